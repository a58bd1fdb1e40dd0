#include <spdlog/fmt/fmt.h>

#include <chrono>

#include "operator/commands.h"
#include "operator/explanation.h"
#include "operator/fleet.h"
#include "operator/router_arguments.h"

namespace balsamhall {
namespace {

constexpr const char* kName = "balsamhall-explain";

// Asks every answering router. Routers that fail to answer are left out; the
// error is the last one seen.
template <typename Answer, typename Ask>
std::vector<Answer> AskAll(const Fleet& fleet, Error& error, Ask ask) {
  std::vector<const RouterAnswer*> asked;
  for (const auto& router : fleet.routers) {
    if (router.status) asked.push_back(&router);
  }
  std::vector<Result<Answer>> results(
      asked.size(), Error{ResultCode::kOperatorUnreachable, {}});
  RunInParallel(asked.size(),
                [&](std::size_t i) { results[i] = ask(asked[i]->address); });
  std::vector<Answer> answers;
  for (auto& result : results) {
    if (result) {
      answers.push_back(std::move(result).value());
    } else {
      error = result.error();
    }
  }
  return answers;
}

ExitStatus ExplainKey(ControlClient& client, const Fleet& fleet,
                      const std::string& service, const std::string& key,
                      CommandIo io) {
  Error error;
  const auto answers = AskAll<schema::KeyExplanation>(
      fleet, error, [&](const std::string& address) {
        return client.ExplainKey(address, service, key);
      });
  if (answers.empty()) return ReportFailure(io, kName, error);
  io.out << DescribeKey(MergeKeyExplanations(answers),
                        std::chrono::system_clock::now());
  io.out << fleet.DescribeSilent();
  return ExitStatus::kOk;
}

ExitStatus ExplainRequest(ControlClient& client, const Fleet& fleet,
                          const std::string& request_id, CommandIo io) {
  Error error;
  const auto answers = AskAll<schema::RequestExplanation>(
      fleet, error, [&](const std::string& address) {
        return client.ExplainRequest(address, request_id);
      });
  std::vector<schema::Span> spans;
  for (const auto& answer : answers) {
    spans.insert(spans.end(), answer.spans().begin(), answer.spans().end());
  }
  if (spans.empty()) {
    // A router without a record of the request may refuse or answer nothing.
    if (!answers.empty() || error.code == ResultCode::kOperatorNotFound) {
      error = {ResultCode::kOperatorNotFound,
               fmt::format("no answering router remembers request {}; the "
                           "memory of spans is bounded\n{}",
                           request_id, fleet.DescribeSilent())};
    }
    return ReportFailure(io, kName, error);
  }
  io.out << DescribeSpans(std::move(spans), std::chrono::system_clock::now());
  io.out << fleet.DescribeSilent();
  return ExitStatus::kOk;
}

}  // namespace

ExitStatus RunExplain(const CommandArguments& arguments, CommandIo io) {
  CommandLine line(
      kName,
      "Explains which endpoint owns a key and why, or shows the "
      "path of a request hop by hop.",
      {"KEY --service NAME --router ip:port [--router ip:port ...]",
       "--request ID --router ip:port [--router ip:port ...]"});
  TCLAP::UnlabeledValueArg<std::string> key("key", "The key to explain.", false,
                                            "", "KEY", line.arguments());
  TCLAP::ValueArg<std::string> service("s", "service", "Service of the key.",
                                       false, "", "NAME", line.arguments());
  TCLAP::ValueArg<std::string> request(
      "i", "request", "Request id, as sent in Balsamhall-Request-Id.", false,
      "", "ID", line.arguments());
  RouterArguments routers(line);
  if (const auto ended = line.Parse(arguments, io)) return *ended;
  if (key.isSet() == request.isSet()) {
    return line.Misused(io, "give either KEY or --request");
  }
  if (key.isSet() != service.isSet()) {
    return line.Misused(io, "--service goes with KEY");
  }
  if (const auto reason = routers.Check(true)) return line.Misused(io, *reason);

  HttpControlClient::Options options;
  options.read_timeout = routers.timeout();
  HttpControlClient client(options);
  const Fleet fleet = GatherFleet(client, routers.addresses());
  if (!fleet.AnyAnswer()) {
    return ReportFailure(io, kName,
                         {ResultCode::kOperatorUnreachable,
                          "no router answers\n" + fleet.DescribeSilent()});
  }
  if (request.isSet()) {
    return ExplainRequest(client, fleet, request.getValue(), io);
  }
  return ExplainKey(client, fleet, service.getValue(), key.getValue(), io);
}

}  // namespace balsamhall
