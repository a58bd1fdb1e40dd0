// Bounded store of spans with W3C trace context and OTLP JSON export.
#ifndef BALSAMHALL_TELEMETRY_TRACE_STORE_H_
#define BALSAMHALL_TELEMETRY_TRACE_STORE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balsamhall.pb.h"

namespace balsamhall {

// W3C trace context of one hop.
struct TraceContext {
  std::string trace_id;  // 32 hexadecimal digits
  std::string span_id;   // 16 hexadecimal digits
  bool sampled = false;
};

// Parses a traceparent header; nullopt if it is malformed or all zero.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

// Returns the header value of a context.
std::string FormatTraceparent(const TraceContext& context);

// Returns a new span id of the same trace, or of a new one without a parent.
// Thread-safe.
TraceContext NextSpan(const std::optional<TraceContext>& parent);

// Returns one OTLP JSON line (ExportTraceServiceRequest) of a span.
std::string OtlpJsonLine(const schema::Span& span);

// Ring of the latest spans. Thread-safe.
class TraceStore {
 public:
  // An empty export file disables export.
  TraceStore(std::size_t capacity, const std::string& export_file);
  ~TraceStore();
  TraceStore(const TraceStore&) = delete;
  TraceStore& operator=(const TraceStore&) = delete;

  // Stores a span in place of the oldest. Exports it too if sampled.
  void Record(schema::Span span, bool sampled);

  // Returns the spans of a request, oldest first.
  std::vector<schema::Span> Find(std::string_view request_id) const;

  // Writes the export lines gathered since the last call; for the control
  // thread, so that traffic threads do not wait for a disk.
  void Flush();

  // Spans that were not exported because the buffer was full.
  std::size_t dropped_exports() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TELEMETRY_TRACE_STORE_H_
