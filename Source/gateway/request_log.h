// Log lines whose number is bounded under load.
#ifndef BALSAMHALL_GATEWAY_REQUEST_LOG_H_
#define BALSAMHALL_GATEWAY_REQUEST_LOG_H_

#include <cstdint>
#include <string_view>

#include "core/types.h"
#include "telemetry/event_log.h"

namespace balsamhall::gateway {

// Lines above the rate are dropped and counted; the count is written with the
// next line that passes. Requests that failed have a budget of their own, so
// that served ones cannot push them out. Not thread-safe.
class RequestLog {
 public:
  enum class Kind { kServed, kFailed };

  void Write(Kind kind, std::string_view event, unsigned code,
             const EventFields& fields, SteadyTime now);

  std::uint64_t dropped() const { return dropped_total_; }

 private:
  struct Bucket {
    double tokens = 0;
    SteadyTime refilled_at;
    std::uint64_t dropped = 0;
  };
  static bool TakeToken(Bucket& bucket, SteadyTime now);

  Bucket served_;
  Bucket failed_;
  std::uint64_t dropped_total_ = 0;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_REQUEST_LOG_H_
