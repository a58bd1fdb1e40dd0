#include "telemetry/trace_store.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace balsamhall {
namespace {

constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kMaxExportBytes = 8U << 20U;

bool IsHex(std::string_view text) {
  return std::ranges::all_of(text, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool AllZero(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c == '0'; });
}

std::uint64_t RandomNumber() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  std::uint64_t number = 0;
  while (number == 0) number = generator();
  return number;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  // version "-" trace id "-" span id "-" flags; later versions may append.
  constexpr std::size_t length = 55;
  if (header.size() < length || header[2] != '-' || header[35] != '-' ||
      header[52] != '-') {
    return std::nullopt;
  }
  const std::string_view version = header.substr(0, 2);
  const std::string_view trace = header.substr(3, kTraceDigits);
  const std::string_view span = header.substr(36, kSpanDigits);
  const std::string_view flags = header.substr(53, 2);
  if (!IsHex(version) || !IsHex(trace) || !IsHex(span) || !IsHex(flags) ||
      version == "ff" || AllZero(trace) || AllZero(span)) {
    return std::nullopt;
  }
  if (header.size() > length && (version == "00" || header[length] != '-')) {
    return std::nullopt;
  }
  const bool odd =
      std::string_view("13579bdf").find(flags[1]) != std::string_view::npos;
  return TraceContext{std::string(trace), std::string(span), odd};
}

std::string FormatTraceparent(const TraceContext& context) {
  return fmt::format("00-{}-{}-0{}", context.trace_id, context.span_id,
                     context.sampled ? 1 : 0);
}

TraceContext NextSpan(const std::optional<TraceContext>& parent) {
  TraceContext next;
  if (parent) {
    next = *parent;
  } else {
    next.trace_id =
        fmt::format("{:016x}{:016x}", RandomNumber(), RandomNumber());
  }
  next.span_id = fmt::format("{:016x}", RandomNumber());
  return next;
}

std::string OtlpJsonLine(const schema::Span& span) {
  using Json = nlohmann::json;
  const auto attribute = [](const char* key, const std::string& value) {
    return Json{{"key", key}, {"value", {{"stringValue", value}}}};
  };
  const std::int64_t end_us = span.start_us() + span.duration_us();
  Json item{{"traceId", span.trace_id()},
            {"spanId", span.span_id()},
            {"name", span.name()},
            {"kind", 2},
            {"startTimeUnixNano", std::to_string(span.start_us() * 1000)},
            {"endTimeUnixNano", std::to_string(end_us * 1000)},
            {"attributes",
             Json::array(
                 {attribute("balsamhall.request_id", span.request_id()),
                  attribute("balsamhall.endpoint", span.endpoint()),
                  attribute("balsamhall.code", std::to_string(span.code()))})},
            {"status", {{"code", span.code() == 0 ? 1 : 2}}}};
  if (!span.parent_span_id().empty()) {
    item["parentSpanId"] = span.parent_span_id();
  }
  const Json resource{
      {"attributes",
       Json::array({attribute("service.name", "balsamhall-router"),
                    attribute("service.instance.id", span.router())})}};
  const Json scope{{"scope", {{"name", "balsamhall"}}},
                   {"spans", Json::array({item})}};
  const Json line{{"resourceSpans",
                   Json::array({Json{{"resource", resource},
                                     {"scopeSpans", Json::array({scope})}}})}};
  return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

class TraceStore::Impl {
 public:
  Impl(std::size_t capacity, const std::string& export_file)
      : ring(std::max<std::size_t>(capacity, 1)) {
    if (!export_file.empty()) file.open(export_file, std::ios::app);
  }

  mutable std::mutex mutex;
  std::vector<schema::Span> ring;
  std::size_t next = 0;
  std::vector<schema::Span> to_export;
  std::size_t export_bytes = 0;
  std::size_t dropped = 0;
  std::ofstream file;
};

TraceStore::TraceStore(std::size_t capacity, const std::string& export_file)
    : impl_(std::make_unique<Impl>(capacity, export_file)) {}

TraceStore::~TraceStore() { Flush(); }

void TraceStore::Record(schema::Span span, bool sampled) {
  const std::scoped_lock lock(impl_->mutex);
  if (sampled && impl_->file.is_open()) {
    const std::size_t bytes = span.ByteSizeLong();
    if (impl_->export_bytes + bytes <= kMaxExportBytes) {
      impl_->export_bytes += bytes;
      impl_->to_export.push_back(span);
    } else {
      ++impl_->dropped;
    }
  }
  impl_->ring[impl_->next] = std::move(span);
  impl_->next = (impl_->next + 1) % impl_->ring.size();
}

std::vector<schema::Span> TraceStore::Find(std::string_view request_id) const {
  std::vector<schema::Span> found;
  if (request_id.empty()) return found;
  const std::scoped_lock lock(impl_->mutex);
  for (std::size_t i = 0; i < impl_->ring.size(); ++i) {
    const schema::Span& span =
        impl_->ring[(impl_->next + i) % impl_->ring.size()];
    if (span.request_id() == request_id) found.push_back(span);
  }
  std::ranges::stable_sort(found, {}, &schema::Span::start_us);
  return found;
}

void TraceStore::Flush() {
  std::vector<schema::Span> spans;
  {
    const std::scoped_lock lock(impl_->mutex);
    spans.swap(impl_->to_export);
    impl_->export_bytes = 0;
  }
  for (const schema::Span& span : spans) {
    impl_->file << OtlpJsonLine(span) << '\n';
  }
  if (!spans.empty()) impl_->file.flush();
}

std::size_t TraceStore::dropped_exports() const {
  const std::scoped_lock lock(impl_->mutex);
  return impl_->dropped;
}

}  // namespace balsamhall
