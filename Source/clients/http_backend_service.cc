#include "clients/http_backend_service.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>

#include "net/percent_encoding.h"

namespace balsamhall {
namespace {

// Time for the server's refusal of expired work to arrive; the delay between
// regions is 20 ms.
constexpr Milliseconds kDeadlineGrace{25};
constexpr Milliseconds kCancelTimeout{500};
constexpr char kRequestIdHeader[] = "Balsamhall-Request-Id";

// Grants and probes need their own connections, or a flood of work could stop
// the renewal of the lease.
std::size_t ControlConnections(std::size_t max_connections) {
  return max_connections >= 8 ? 4 : 1;
}

HttpClientOptions WorkOptions(std::size_t max_connections) {
  HttpClientOptions options;
  options.max_connections = std::max<std::size_t>(
      1, max_connections - ControlConnections(max_connections));
  options.accept_answer = [](const HttpRequest& request,
                             const HttpResponse& response) {
    return FindHeader(request.headers, kRequestIdHeader) ==
           FindHeader(response.headers, kRequestIdHeader);
  };
  return options;
}

HttpClientOptions ControlOptions(std::size_t max_connections) {
  HttpClientOptions options;
  options.max_connections = ControlConnections(max_connections);
  return options;
}

HttpRequest WorkMessage(WorkRequest work) {
  HttpRequest request;
  request.method = "POST";
  request.target =
      "/work/" + PercentEncode(work.kind) + "/" + PercentEncode(work.key);
  request.headers.reserve(8);
  auto& headers = request.headers;
  headers.emplace_back(kRequestIdHeader, work.request_id);
  headers.emplace_back("Balsamhall-Deadline-Ms",
                       std::to_string(work.remaining.count()));
  if (work.fenced) {
    headers.emplace_back("Balsamhall-Term", work.term.ToString());
  }
  if (work.fenced && work.partition) {
    headers.emplace_back("Balsamhall-Partition",
                         std::to_string(*work.partition));
    headers.emplace_back("Balsamhall-Epoch", work.epoch.ToString());
  }
  if (!work.traceparent.empty()) {
    headers.emplace_back("traceparent", work.traceparent);
  }
  if (!work.content_type.empty()) {
    headers.emplace_back("Content-Type", work.content_type);
  }
  request.body = std::move(work.body);
  return request;
}

ResultCode FailureCode(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNotSent:
      return ResultCode::kNotRunNoConnection;
    case HttpFailure::kTimeout:
      return ResultCode::kUnknownTimeout;
    case HttpFailure::kClosed:
      return ResultCode::kUnknownConnectionLost;
    case HttpFailure::kBadAnswer:
      return ResultCode::kUnknownBadAnswer;
  }
  return ResultCode::kUnknownBadAnswer;
}

// Returns the server's own code of a refusal, or the given one.
ResultCode RefusalCode(const HttpResponse& response, ResultCode otherwise) {
  const auto text = FindHeader(response.headers, "Balsamhall-Code");
  std::uint16_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc()) return otherwise;
  const auto code = static_cast<ResultCode>(number);
  return IsNotRun(code) ? code : otherwise;
}

ResultCode AnswerCode(const HttpResponse& response, bool draining) {
  switch (response.status) {
    case 409:
      return RefusalCode(response, ResultCode::kNotRunStaleFence);
    case 503:
      return draining ? ResultCode::kNotRunDraining
                      : RefusalCode(response, ResultCode::kNotRunShed);
    case 504:
      return ResultCode::kUnknownTimeout;
    default:
      return response.status >= 500 ? ResultCode::kUnknownBadAnswer
                                    : ResultCode::kOk;
  }
}

WorkAnswer ToAnswer(HttpClient::Outcome outcome) {
  WorkAnswer answer;
  if (!outcome.response) {
    answer.code = FailureCode(outcome.error.failure);
    return answer;
  }
  HttpResponse& response = *outcome.response;
  answer.draining = FindHeader(response.headers, "Balsamhall-Drain") == "1";
  answer.code = AnswerCode(response, answer.draining);
  answer.http_status = response.status;
  answer.content_type = FindHeader(response.headers, "Content-Type");
  answer.body = std::move(response.body);
  return answer;
}

template <typename Message>
Result<Message> ParseMessage(const HttpClient::Outcome& outcome) {
  const auto unavailable = [](std::string detail) {
    return Error{ResultCode::kBackendUnavailable, std::move(detail)};
  };
  if (!outcome.response) return unavailable(outcome.error.detail);
  if (outcome.response->status != 200) {
    return unavailable("status " + std::to_string(outcome.response->status));
  }
  Message message;
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const auto status = google::protobuf::util::JsonStringToMessage(
      outcome.response->body, &message, options);
  if (!status.ok()) return unavailable(status.ToString());
  return message;
}

}  // namespace

HttpBackendService::HttpBackendService(boost::asio::io_context& loop,
                                       std::string address,
                                       std::size_t max_connections)
    : work_(loop, address, WorkOptions(max_connections)),
      control_(loop, std::move(address), ControlOptions(max_connections)) {}

void HttpBackendService::Work(WorkRequest request,
                              std::function<void(WorkAnswer)> done) {
  const Milliseconds timeout = request.remaining + kDeadlineGrace;
  work_.Send(WorkMessage(std::move(request)), timeout,
             [done = std::move(done)](HttpClient::Outcome outcome) {
               done(ToAnswer(std::move(outcome)));
             });
}

void HttpBackendService::Cancel(const std::string& request_id) {
  work_.Send({"POST", "/cancel/" + PercentEncode(request_id), {}, ""},
             kCancelTimeout, [](const HttpClient::Outcome&) {});
}

template <typename Message>
void HttpBackendService::Control(const HttpRequest& request,
                                 Milliseconds timeout,
                                 std::function<void(Result<Message>)> done) {
  control_.Send(
      request, timeout,
      [this, done = std::move(done)](const HttpClient::Outcome& outcome) {
        if (!outcome.response &&
            outcome.error.failure == HttpFailure::kTimeout) {
          // The work connections cross the same path and may be
          // silent too.
          work_.RetireConnections();
        }
        done(ParseMessage<Message>(outcome));
      });
}

void HttpBackendService::Grant(
    const schema::GrantRequest& request, Milliseconds timeout,
    std::function<void(Result<schema::GrantResponse>)> done) {
  std::string body;
  const auto status =
      google::protobuf::util::MessageToJsonString(request, &body);
  if (!status.ok()) body.clear();  // the server answers "malformed"
  Control<schema::GrantResponse>(
      {"POST", "/grant", {{"Content-Type", "application/json"}}, body}, timeout,
      std::move(done));
}

void HttpBackendService::Health(
    Milliseconds timeout,
    std::function<void(Result<schema::HealthReport>)> done) {
  Control<schema::HealthReport>({"GET", "/health", {}, ""}, timeout,
                                std::move(done));
}

std::size_t HttpBackendService::open_connections() const {
  return work_.open_connections() + control_.open_connections();
}

}  // namespace balsamhall
