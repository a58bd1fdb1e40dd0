#include "router/caller_request.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/partitioner.h"
#include "telemetry/trace_store.h"

namespace balsamhall {
namespace {

constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::uint32_t kDefaultDeadlineMs = 2000;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = HexDigit(text[i + 1]);
    const int low = HexDigit(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    decoded += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return decoded;
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

bool IsVisible(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7f; });
}

Error BadHeader(const std::string& name) {
  return {ResultCode::kNotRunMissingHeader, "header " + name};
}

Result<Milliseconds> RequestTimeout(const HttpRequest& request,
                                    const schema::KindConfig& kind) {
  const Milliseconds max_timeout(kind.deadline_ms() > 0 ? kind.deadline_ms()
                                                        : kDefaultDeadlineMs);
  const std::string_view header =
      FindHeader(request.headers, "Balsamhall-Deadline-Ms");
  if (header.empty()) return max_timeout;
  const auto requested = ParseNumber<std::uint32_t>(header);
  if (!requested || *requested == 0) return BadHeader("Balsamhall-Deadline-Ms");
  return std::min(max_timeout, Milliseconds(*requested));
}

}  // namespace

Result<CallerPath> ParseCallerPath(std::string_view target) {
  const Error bad{ResultCode::kNotRunBadRequest,
                  "the path is not /v1/{service}/{kind}/{key}"};
  constexpr std::string_view prefix = "/v1/";
  if (!target.starts_with(prefix)) return bad;
  target.remove_prefix(prefix.size());
  target = target.substr(0, target.find('?'));
  const std::size_t service_end = target.find('/');
  if (service_end == std::string_view::npos) return bad;
  const std::size_t kind_end = target.find('/', service_end + 1);
  if (kind_end == std::string_view::npos) return bad;
  auto key = PercentDecode(target.substr(kind_end + 1));
  if (!key || key->empty()) return bad;
  if (key->size() > kMaxKeyBytes) {
    return Error{ResultCode::kNotRunTooLarge, "key"};
  }
  return CallerPath{
      std::string(target.substr(0, service_end)),
      std::string(target.substr(service_end + 1, kind_end - service_end - 1)),
      std::move(*key)};
}

std::optional<KindMatch> FindKind(const ServiceRoute& service,
                                  std::string_view kind) {
  const auto& kinds = service.config.kinds();
  const auto found = std::ranges::find(kinds, kind, &schema::KindConfig::name);
  if (found == kinds.end()) return std::nullopt;
  return KindMatch{&*found, static_cast<std::uint32_t>(found - kinds.begin())};
}

std::optional<PartitionId> RoutingPartition(const ServiceRoute& service,
                                            const schema::KindConfig& kind,
                                            std::string_view key) {
  if (!service.config.keyed() && kind.idempotent()) return std::nullopt;
  return PartitionOf(key, service.config.partitions());
}

bool MayHaveRunBefore(const HttpHeaders& headers, ResultCode refusal) {
  const std::string_view attempt = FindHeader(headers, "Balsamhall-Attempt");
  if (attempt == "1") return false;
  switch (refusal) {
    case ResultCode::kNotRunNoOwner:
    case ResultCode::kNotRunRouterOverloaded:
      return !FindHeader(headers, "Balsamhall-First-Issued").empty();
    case ResultCode::kNotRunUnknownService:
    case ResultCode::kNotRunUnknownKind:
      return !attempt.empty();
    default:
      return false;
  }
}

Result<CallerRequest> ParseCallerRequest(HttpRequest& request,
                                         const RoutingSnapshot& snapshot) {
  if (request.method != "GET" && request.method != "POST") {
    return Error{ResultCode::kNotRunBadRequest, "method"};
  }
  auto path = ParseCallerPath(request.target);
  if (!path) return std::move(path).error();
  if (snapshot.config_version == 0) {
    return Error{ResultCode::kNotRunNoOwner, "no configuration yet"};
  }
  const auto service = snapshot.services.find(path.value().service);
  if (service == snapshot.services.end()) {
    return Error{ResultCode::kNotRunUnknownService, path.value().service};
  }
  const auto match = FindKind(service->second, path.value().kind);
  if (!match) {
    return Error{ResultCode::kNotRunUnknownKind, path.value().kind};
  }
  CallerRequest parsed;
  parsed.kind = *match->kind;
  parsed.kind_number = match->number;
  const std::string_view id =
      FindHeader(request.headers, "Balsamhall-Request-Id");
  if (id.empty() || id.size() > kMaxRequestIdBytes || !IsVisible(id)) {
    return BadHeader("Balsamhall-Request-Id");
  }
  const std::string_view issued =
      FindHeader(request.headers, "Balsamhall-First-Issued");
  if (!parsed.kind.idempotent() || !issued.empty()) {
    const auto number = ParseNumber<std::int64_t>(issued);
    if (!number || *number <= 0) return BadHeader("Balsamhall-First-Issued");
    parsed.forward.set_first_issued_ms(*number);
  }
  const std::string_view attempt =
      FindHeader(request.headers, "Balsamhall-Attempt");
  if (!attempt.empty()) {
    const auto number = ParseNumber<std::uint32_t>(attempt);
    if (!number || *number == 0) return BadHeader("Balsamhall-Attempt");
    parsed.forward.set_first_attempt(*number == 1);
  }
  const auto timeout = RequestTimeout(request, parsed.kind);
  if (!timeout) return timeout.error();
  parsed.timeout = timeout.value();
  parsed.partition =
      RoutingPartition(service->second, parsed.kind, path.value().key);
  parsed.forward.set_service(std::move(path.value().service));
  parsed.forward.set_kind(std::move(path.value().kind));
  parsed.forward.set_key(std::move(path.value().key));
  parsed.forward.set_partition(parsed.partition.value_or(0));
  parsed.forward.set_request_id(std::string(id));
  parsed.forward.set_method(request.method);
  parsed.forward.set_content_type(
      std::string(FindHeader(request.headers, "Content-Type")));
  parsed.forward.set_body(std::move(request.body));
  parsed.forward.set_traceparent(
      std::string(FindHeader(request.headers, "traceparent")));
  return parsed;
}

unsigned HttpStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return 200;
    case ResultCode::kNotRunBadRequest:
    case ResultCode::kNotRunMissingHeader:
      return 400;
    case ResultCode::kNotRunTooLarge:
      return 413;
    case ResultCode::kNotRunUnknownService:
    case ResultCode::kNotRunUnknownKind:
      return 404;
    case ResultCode::kNotRunDeadline:
    case ResultCode::kUnknownTimeout:
      return 504;
    case ResultCode::kUnknownRepeatBeforeMemory:
    case ResultCode::kUnknownRepeatOutsideWindow:
      return 409;
    default:
      break;
  }
  if (IsNotRun(code)) return 503;
  return IsUnknown(code) ? 502 : 500;
}

HttpResponse ResponseOf(const schema::ForwardReply& reply,
                        const std::string& request_id) {
  const auto code = static_cast<ResultCode>(reply.code());
  HttpResponse response;
  response.status = code == ResultCode::kOk && reply.http_status() != 0
                        ? reply.http_status()
                        : HttpStatusOf(code);
  response.headers = {{"Balsamhall-Code", std::to_string(reply.code())},
                      {"Balsamhall-Result", std::string(ResultClass(code))}};
  if (!request_id.empty()) {
    response.headers.emplace_back("Balsamhall-Request-Id", request_id);
  }
  if (code != ResultCode::kOk) {
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = std::string(ResultCodeName(code));
    if (!reply.detail().empty()) response.body += ": " + reply.detail();
    response.body += "\n";
    return response;
  }
  if (!reply.content_type().empty()) {
    response.headers.emplace_back("Content-Type", reply.content_type());
  }
  response.body = reply.body();
  return response;
}

}  // namespace balsamhall
