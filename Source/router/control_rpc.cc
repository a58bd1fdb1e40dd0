#include "router/control_rpc.h"

#include <google/protobuf/util/json_util.h>

#include <charconv>
#include <optional>
#include <utility>

#include "core/partitioner.h"
#include "telemetry/event_log.h"

namespace balsamhall {
namespace {

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  std::string json;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &json, options);
  return status.ok() ? json : "{}";
}

[[noreturn]] void ThrowRpcError(const Error& error) {
  throw jsonrpc::JsonRpcException(static_cast<int>(error.code),
                                  DescribeError(error));
}

std::optional<std::uint64_t> ParseVersion(const std::string& text) {
  std::uint64_t version = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return version;
}

ControlCommands::SubmissionCallback JsonCallback(
    ControlConnector::Complete complete) {
  return [complete =
              std::move(complete)](const Result<schema::PublishReply>& reply) {
    if (reply) {
      complete(ToJson(reply.value()));
    } else {
      complete(reply.error());
    }
  };
}

}  // namespace

bool OperatorKeysEqual(std::string_view given, std::string_view expected) {
  if (expected.empty()) return false;
  // The length of the key is not secret, but every byte is compared even if the
  // lengths differ.
  volatile unsigned difference = given.size() == expected.size() ? 0U : 1U;
  for (std::size_t i = 0; i < given.size(); ++i) {
    const auto a = static_cast<unsigned char>(given[i]);
    const auto b = static_cast<unsigned char>(expected[i % expected.size()]);
    difference = difference | static_cast<unsigned>(a ^ b);
  }
  return difference == 0;
}

ControlRpc::ControlRpc(ControlConnector& connector, ControlCommands& commands,
                       std::string operator_key)
    : ControlServerStub(connector, jsonrpc::JSONRPC_SERVER_V2),
      connector_(connector),
      commands_(commands),
      operator_key_(std::move(operator_key)) {}

void ControlRpc::CheckOperatorKey(const std::string& given,
                                  const char* method) const {
  if (OperatorKeysEqual(given, operator_key_)) return;
  LogEvent(EventLevel::kWarning, "operator_refused",
           static_cast<unsigned>(ResultCode::kOperatorKeyWrong),
           {{"method", method}});
  ThrowRpcError({ResultCode::kOperatorKeyWrong, ""});
}

std::string ControlRpc::status() { return ToJson(commands_.Status()); }

std::string ControlRpc::configuration() {
  return ToJson(commands_.Configuration());
}

std::string ControlRpc::explain_key(const std::string& key,
                                    const std::string& service) {
  const auto explanation = commands_.ExplainKey(service, key);
  if (!explanation) ThrowRpcError(explanation.error());
  return ToJson(explanation.value());
}

std::string ControlRpc::explain_request(const std::string& request_id) {
  std::string list = "[";
  for (const schema::Span& span : commands_.ExplainRequest(request_id)) {
    if (list.size() > 1) list += ",";
    list += ToJson(span);
  }
  return list + "]";
}

std::string ControlRpc::publish(const std::string& author,
                                const std::string& based_on,
                                const std::string& body,
                                const std::string& operator_key) {
  CheckOperatorKey(operator_key, "publish");
  const auto version = ParseVersion(based_on);
  if (!version) {
    ThrowRpcError({ResultCode::kOperatorUsage, "based_on is not a version"});
  }
  schema::ConfigPublished publication;
  publication.set_based_on(*version);
  publication.set_author(author);
  publication.set_body(body);
  publication.set_digest(Digest(body));
  commands_.Publish(publication, JsonCallback(connector_.Defer()));
  return "";
}

std::string ControlRpc::declare_lost(const std::string& author,
                                     const std::string& operator_key,
                                     const std::string& vm) {
  CheckOperatorKey(operator_key, "declare_lost");
  if (vm.empty()) ThrowRpcError({ResultCode::kOperatorUsage, "vm is empty"});
  schema::VmDeclaredLost declaration;
  declaration.set_vm(vm);
  declaration.set_author(author);
  commands_.DeclareLost(declaration, JsonCallback(connector_.Defer()));
  return "";
}

}  // namespace balsamhall
