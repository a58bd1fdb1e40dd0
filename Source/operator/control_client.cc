#include "operator/control_client.h"

#include <google/protobuf/util/json_util.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "net/http_client.h"
#include "operator/control_calls.h"

namespace balsamhall {
namespace {

template <typename Message>
Result<Message> Decode(const std::string& address, const std::string& text) {
  Message message;
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;  // of a newer router
  const auto status =
      google::protobuf::util::JsonStringToMessage(text, &message, options);
  if (status.ok()) return message;
  return Error{ResultCode::kInternal,
               fmt::format("{}: answer can't be decoded: {}", address,
                           status.message().as_string())};
}

Error Refusal(const std::string& address, const ControlReply& reply) {
  const auto code = static_cast<ResultCode>(reply.code);
  const bool listed =
      reply.code > 0 &&
      std::ranges::find(ResultCodeTable(), code, &ResultCodeInfo::code) !=
          ResultCodeTable().end();
  return {listed ? code : ResultCode::kInternal,
          fmt::format("{}: {}", address, reply.text)};
}

struct Exchange {
  ControlReply reply;
  bool sent = false;
};

template <typename Call>
Exchange Run(const std::string& address, Milliseconds timeout, Call call) {
  Exchange exchange;
  ControlCalls calls([&](const std::string& request, std::string& answer) {
    HttpRequest message{
        "POST", "/rpc", {{"Content-Type", "application/json"}}, request};
    auto outcome = SendHttpAndWait(address, std::move(message), timeout);
    exchange.sent =
        outcome.response || outcome.error.failure != HttpFailure::kNotSent;
    if (!outcome.response) {
      answer = outcome.error.detail;
      return false;
    }
    if (outcome.response->status != 200) {
      answer = fmt::format("HTTP status {}", outcome.response->status);
      return false;
    }
    answer = std::move(outcome.response->body);
    return true;
  });
  exchange.reply = call(calls);
  return exchange;
}

template <typename Call>
Result<std::string> ReadText(const std::string& address, Milliseconds timeout,
                             Call call) {
  const auto [reply, sent] = Run(address, timeout, call);
  switch (reply.kind) {
    case ControlReply::Kind::kResult:
      return reply.text;
    case ControlReply::Kind::kRefused:
      return Refusal(address, reply);
    default:
      return Error{ResultCode::kOperatorUnreachable,
                   fmt::format("{}: {}", address, reply.text)};
  }
}

template <typename Message, typename Call>
Result<Message> Read(const std::string& address, Milliseconds timeout,
                     Call call) {
  const auto text = ReadText(address, timeout, call);
  if (!text) return text.error();
  return Decode<Message>(address, text.value());
}

// An answer that can't be read may belong to a change that took effect.
template <typename Call>
Result<schema::PublishReply> Change(const std::string& address,
                                    Milliseconds timeout, Call call) {
  const auto [reply, sent] = Run(address, timeout, call);
  if (reply.kind == ControlReply::Kind::kResult) {
    auto decoded = Decode<schema::PublishReply>(address, reply.text);
    if (decoded) return decoded;
    return Error{ResultCode::kLogAnswerLost, decoded.error().detail};
  }
  // A negative code is one of JSON-RPC itself.
  if (reply.kind == ControlReply::Kind::kRefused && reply.code > 0) {
    return Refusal(address, reply);
  }
  return Error{
      sent ? ResultCode::kLogAnswerLost : ResultCode::kOperatorUnreachable,
      fmt::format("{}: {}", address, reply.text)};
}

}  // namespace

HttpControlClient::HttpControlClient(Options options)
    : options_(std::move(options)) {}

Result<schema::RouterStatus> HttpControlClient::Status(
    const std::string& address) {
  return Read<schema::RouterStatus>(
      address, options_.read_timeout,
      [](ControlCalls& calls) { return calls.Status(); });
}

Result<schema::ConfigSnapshot> HttpControlClient::Configuration(
    const std::string& address) {
  return Read<schema::ConfigSnapshot>(
      address, options_.read_timeout,
      [](ControlCalls& calls) { return calls.Configuration(); });
}

Result<schema::KeyExplanation> HttpControlClient::ExplainKey(
    const std::string& address, const ServiceId& service,
    const std::string& key) {
  return Read<schema::KeyExplanation>(
      address, options_.read_timeout,
      [&](ControlCalls& calls) { return calls.ExplainKey(service, key); });
}

Result<schema::RequestExplanation> HttpControlClient::ExplainRequest(
    const std::string& address, const std::string& request_id) {
  const auto spans = ReadText(
      address, options_.read_timeout,
      [&](ControlCalls& calls) { return calls.ExplainRequest(request_id); });
  if (!spans) return spans.error();
  // The answer is a list, which has no message of its own.
  return Decode<schema::RequestExplanation>(
      address, fmt::format(R"({{"spans":{}}})", spans.value()));
}

Result<std::uint64_t> HttpControlClient::Publish(
    const std::string& address, const Publication& publication) {
  const auto taken =
      Change(address, options_.change_timeout, [&](ControlCalls& calls) {
        return calls.Publish(options_.operator_key,
                             std::to_string(publication.based_on),
                             publication.author, publication.body);
      });
  if (!taken) return taken.error();
  if (taken.value().code() != 0) {
    return Error{static_cast<ResultCode>(taken.value().code()),
                 fmt::format("{}: {}", address, taken.value().detail())};
  }
  return taken.value().offset();
}

Result<void> HttpControlClient::DeclareLost(const std::string& address,
                                            const std::string& vm,
                                            const std::string& author) {
  const auto taken =
      Change(address, options_.change_timeout, [&](ControlCalls& calls) {
        return calls.DeclareLost(options_.operator_key, vm, author);
      });
  if (!taken) return taken.error();
  return boost::outcome_v2::success();
}

}  // namespace balsamhall
