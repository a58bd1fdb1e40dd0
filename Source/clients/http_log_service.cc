#include "clients/http_log_service.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>
#include <optional>

namespace balsamhall {
namespace {

using nlohmann::json;
namespace base64 = boost::beast::detail::base64;

constexpr char kRecordsTarget[] = "/streams/balsamhall/records";
// Several hundred appends/s pass in well under this time; a slower log counts
// as down until the next attempt.
constexpr Milliseconds kTimeout{2000};
constexpr std::size_t kMaxPageBytes = 64U << 20U;

HttpClientOptions ClientOptions() {
  HttpClientOptions options;
  options.max_connections = 8;
  options.max_body_bytes = kMaxPageBytes;
  return options;
}

std::string Encode(const std::string& payload) {
  std::string text(base64::encoded_size(payload.size()), '\0');
  text.resize(base64::encode(text.data(), payload.data(), payload.size()));
  return text;
}

std::optional<std::string> Decode(const std::string& text) {
  std::string payload(base64::decoded_size(text.size()), '\0');
  const auto [written, read] =
      base64::decode(payload.data(), text.data(), text.size());
  // The decoder stops at padding or at the first character that is no base64.
  if (text.find_first_not_of('=', read) != std::string::npos) {
    return std::nullopt;
  }
  payload.resize(written);
  return payload;
}

// Returns the code of a failed append. Nothing was written if no byte was
// sent, or if the log refused the request.
Error AppendError(const HttpClient::Outcome& outcome) {
  if (!outcome.response) {
    const bool sent = outcome.error.failure != HttpFailure::kNotSent;
    return {sent ? ResultCode::kLogAnswerLost : ResultCode::kLogUnavailable,
            outcome.error.detail};
  }
  const unsigned status = outcome.response->status;
  const bool refused = status == 503 || (status >= 400 && status < 500);
  return {refused ? ResultCode::kLogUnavailable : ResultCode::kLogAnswerLost,
          "status " + std::to_string(status)};
}

Result<std::uint64_t> ParseAppend(const HttpClient::Outcome& outcome) {
  if (!outcome.response || outcome.response->status != 200) {
    return AppendError(outcome);
  }
  const json answer = json::parse(outcome.response->body, nullptr, false);
  if (!answer.is_object() || !answer.contains("offset") ||
      !answer["offset"].is_number_unsigned()) {
    return Error{ResultCode::kLogAnswerLost, "malformed append answer"};
  }
  return answer["offset"].get<std::uint64_t>();
}

LogPage ParsePage(const json& body) {
  LogPage page;
  page.first_offset = body.at("first_offset").get<std::uint64_t>();
  page.next_offset = body.at("next_offset").get<std::uint64_t>();
  page.retention = Milliseconds(body.at("retention_ms").get<std::int64_t>());
  std::uint64_t previous = 0;
  for (const json& record : body.at("records")) {
    const auto payload = Decode(record.at("payload").get<std::string>());
    if (!payload) throw std::invalid_argument("payload is not base64");
    LogEntry entry{record.at("offset").get<std::uint64_t>(),
                   Milliseconds(record.at("age_ms").get<std::int64_t>()),
                   record.at("writer").get<std::string>(),
                   record.at("sequence").get<std::uint64_t>(), *payload};
    if (entry.offset <= previous || entry.offset >= page.next_offset) {
      throw std::invalid_argument("offsets out of order");
    }
    previous = entry.offset;
    page.entries.push_back(std::move(entry));
  }
  return page;
}

Result<LogPage> ParseRead(const HttpClient::Outcome& outcome) {
  if (!outcome.response) {
    return Error{ResultCode::kLogUnavailable, outcome.error.detail};
  }
  if (outcome.response->status != 200) {
    return Error{ResultCode::kLogUnavailable,
                 "status " + std::to_string(outcome.response->status)};
  }
  try {
    return ParsePage(json::parse(outcome.response->body));
  } catch (const std::exception& error) {
    return Error{ResultCode::kLogRecordMalformed, error.what()};
  }
}

}  // namespace

HttpLogService::HttpLogService(boost::asio::io_context& loop,
                               std::string address)
    : client_(loop, std::move(address), ClientOptions()) {}

void HttpLogService::Append(const std::string& writer, std::uint64_t sequence,
                            const std::string& payload, AppendCallback done) {
  const json body = {
      {"writer", writer}, {"sequence", sequence}, {"payload", Encode(payload)}};
  client_.Send({"POST",
                kRecordsTarget,
                {{"Content-Type", "application/json"}},
                body.dump()},
               kTimeout,
               [done = std::move(done)](const HttpClient::Outcome& outcome) {
                 done(ParseAppend(outcome));
               });
}

void HttpLogService::Read(std::uint64_t from, std::size_t max_entries,
                          Milliseconds wait, ReadCallback done) {
  const std::string target = std::string(kRecordsTarget) +
                             "?from=" + std::to_string(from) +
                             "&max=" + std::to_string(max_entries) +
                             "&wait_ms=" + std::to_string(wait.count());
  client_.Send({"GET", target, {}, ""}, wait + kTimeout,
               [done = std::move(done)](const HttpClient::Outcome& outcome) {
                 done(ParseRead(outcome));
               });
}

}  // namespace balsamhall
