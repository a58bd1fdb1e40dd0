#include <spdlog/fmt/fmt.h>

#include <cstdlib>

#include "core/config_rules.h"
#include "operator/commands.h"
#include "operator/config_source.h"
#include "operator/publisher.h"
#include "operator/router_arguments.h"

namespace balsamhall {
namespace {

constexpr const char* kName = "balsamhall-publish";

std::string DefaultAuthor() {
  const char* const user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "operator" : user;
}

ExitStatus Conclude(const PublishReport& report, CommandIo io) {
  for (const auto& note : report.notes) io.out << note << "\n";
  if (report.outcome.code != ResultCode::kOk) {
    return ReportFailure(io, kName, report.outcome);
  }
  return ExitStatus::kOk;
}

}  // namespace

ExitStatus RunPublish(const CommandArguments& arguments, CommandIo io) {
  CommandLine line(
      kName,
      "Publishes a configuration and waits until it is in force on every live "
      "router, or declares a VM lost for good. FILE is a CSV sheet or a JSON "
      "configuration. The operator key comes from --key-file or from the "
      "environment variable BALSAMHALL_OPERATOR_KEY.",
      {"FILE --based-on VERSION --router ip:port [--router ip:port ...]",
       "--declare-lost VM --router ip:port [--router ip:port ...]"});
  TCLAP::UnlabeledValueArg<std::string> file(
      "file", "The sheet or configuration to publish.", false, "", "FILE",
      line.arguments());
  TCLAP::ValueArg<std::uint64_t> based_on(
      "b", "based-on",
      "Version that the change was made from, as balsamhall-status shows it; "
      "0 for the first configuration. If another one is in force, nothing is "
      "published.",
      false, 0, "VERSION", line.arguments());
  TCLAP::ValueArg<std::string> declare_lost("", "declare-lost",
                                            "VM that will never return.", false,
                                            "", "VM", line.arguments());
  RouterArguments routers(line);
  TCLAP::ValueArg<std::string> key_file(
      "k", "key-file", "File whose first line is the operator key.", false, "",
      "FILE", line.arguments());
  TCLAP::ValueArg<std::string> author(
      "", "author", "Name recorded with the change; default $USER.", false,
      DefaultAuthor(), "NAME", line.arguments());
  TCLAP::ValueArg<int> wait(
      "", "wait-s",
      "Time to wait until the configuration is in force, and to find the "
      "outcome after a lost answer; default 16.",
      false, 16, "number", line.arguments());
  if (const auto ended = line.Parse(arguments, io)) return *ended;
  if (file.isSet() == declare_lost.isSet()) {
    return line.Misused(io, "give either FILE or --declare-lost");
  }
  if (file.isSet() != based_on.isSet()) {
    return line.Misused(io, "--based-on goes with FILE");
  }
  if (declare_lost.isSet() && !IsName(declare_lost.getValue())) {
    return line.Misused(io, "--declare-lost is not the name of a VM");
  }
  if (wait.getValue() < 0 || wait.getValue() > 3600) {
    return line.Misused(io, "--wait-s is not from 0 to 3600");
  }
  if (const auto reason = routers.Check(true)) return line.Misused(io, *reason);

  PublisherOptions options;
  options.routers = routers.addresses();
  options.author = author.getValue();
  options.in_force_timeout = std::chrono::seconds(wait.getValue());
  options.resolve_timeout = options.in_force_timeout;
  Result<schema::RoutingConfig> config = schema::RoutingConfig();
  if (file.isSet()) config = ReadConfigFile(file.getValue());
  if (!config) return ReportFailure(io, kName, config.error());
  const auto key = ReadOperatorKey(key_file.getValue());
  if (!key) return ReportFailure(io, kName, key.error());
  HttpControlClient::Options client_options;
  client_options.read_timeout = routers.timeout();
  client_options.operator_key = key.value();
  HttpControlClient client(client_options);
  Publisher publisher(client, options);
  if (declare_lost.isSet()) {
    return Conclude(publisher.DeclareLost(declare_lost.getValue()), io);
  }
  const auto report = publisher.Publish(config.value(), based_on.getValue());
  const auto status = Conclude(report, io);
  if (status == ExitStatus::kOk) {
    io.out << fmt::format("Version {} is in force on every live router.\n",
                          report.version);
  }
  return status;
}

}  // namespace balsamhall
