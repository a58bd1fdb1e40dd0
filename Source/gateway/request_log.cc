#include "gateway/request_log.h"

#include <algorithm>
#include <string>
#include <utility>

namespace balsamhall::gateway {
namespace {

// Limit for each kind of line: several times the usual request rate of one
// gateway, at a cost of about 1% of a core.
constexpr double kLinesPerSecond = 200;
constexpr double kBurstLines = 400;

}  // namespace

bool RequestLog::TakeToken(Bucket& bucket, SteadyTime now) {
  const std::chrono::duration<double> passed = now - bucket.refilled_at;
  bucket.refilled_at = now;
  bucket.tokens =
      std::min(kBurstLines, bucket.tokens + passed.count() * kLinesPerSecond);
  if (bucket.tokens < 1) {
    ++bucket.dropped;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void RequestLog::Write(Kind kind, std::string_view event, unsigned code,
                       const EventFields& fields, SteadyTime now) {
  Bucket& bucket = kind == Kind::kServed ? served_ : failed_;
  if (!TakeToken(bucket, now)) {
    ++dropped_total_;
    return;
  }
  const auto dropped = std::exchange(bucket.dropped, 0);
  if (dropped > 0) {
    LogEvent(EventLevel::kWarning, "lines_dropped", 0,
             {{"count", std::to_string(dropped)},
              {"kind", kind == Kind::kServed ? "served" : "failed"}});
  }
  LogEvent(kind == Kind::kServed ? EventLevel::kInfo : EventLevel::kWarning,
           event, code, fields);
}

}  // namespace balsamhall::gateway
