// Rate-limited log of requests.
#ifndef BALSAMHALL_GATEWAY_REQUEST_LOG_H_
#define BALSAMHALL_GATEWAY_REQUEST_LOG_H_

#include <cstdint>
#include <string_view>

#include "core/types.h"
#include "telemetry/event_log.h"

namespace balsamhall::gateway {

// Lines above the rate are dropped and counted; the count is logged before the
// next line that is written. Failed requests have a limit of their own, so that
// served ones cannot displace them. Not thread-safe.
class RequestLog {
 public:
  enum class Kind { kServed, kFailed };

  // Writes a line unless the limit of its kind is reached. now: a monotonic
  // clock, the same in all calls.
  void Write(Kind kind, std::string_view event, unsigned code,
             const EventFields& fields, SteadyTime now);

  // Returns the number of dropped lines of both kinds.
  std::uint64_t dropped() const { return dropped_total_; }

 private:
  // Token bucket; one token allows one line.
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
