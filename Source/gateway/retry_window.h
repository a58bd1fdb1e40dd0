// One gateway's share of the fleet's retry budget for a service.
//
// Load pattern: endpoints fail or shed requests for seconds, and every gateway
// retries its requests elsewhere. The budget covers the requests of the whole
// fleet in a sliding window. Gateways do not coordinate it: each limits its
// retries to the ratio of its own requests plus an equal part of the fixed
// allowance.
#ifndef BALSAMHALL_GATEWAY_RETRY_WINDOW_H_
#define BALSAMHALL_GATEWAY_RETRY_WINDOW_H_

#include <array>
#include <cstdint>

#include "core/types.h"

namespace balsamhall::gateway {

// Not thread-safe.
class RetryWindow {
 public:
  // ratio: retries per request. allowance: this gateway's part of the retries
  // per window in addition to the ratio. Precondition: window > 0.
  RetryWindow(Milliseconds window, double ratio, double allowance)
      : window_(window), ratio_(ratio), allowance_(allowance) {}

  // Counts a request, not including its retries.
  void OnRequest(SteadyTime now);

  void set_allowance(double allowance) { allowance_ = allowance; }

  // Counts a retry and returns true if the budget of the window allows it.
  bool TryRetry(SteadyTime now);

 private:
  // The window is divided into buckets. One more is counted, so that the span
  // is never shorter than the window.
  static constexpr std::size_t kBuckets = 10;
  struct Bucket {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  Bucket& CurrentBucket(SteadyTime now);

  Milliseconds window_;
  double ratio_;
  double allowance_;
  std::array<Bucket, kBuckets + 1> buckets_{};
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_RETRY_WINDOW_H_
