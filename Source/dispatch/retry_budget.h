// Bound on the load that retries add.
#ifndef BALSAMHALL_DISPATCH_RETRY_BUDGET_H_
#define BALSAMHALL_DISPATCH_RETRY_BUDGET_H_

#include <cstdint>

#include "core/types.h"
#include "dispatch/rank_queue.h"

namespace balsamhall {

// Each request earns a fraction of a token and each retry costs one, so that
// retries stay at the ratio of the requests however many of them fail. Not
// thread-safe.
class RetryBudget {
 public:
  // Tokens saved for a short fault. The retries in any span of time exceed the
  // ratio by at most this number.
  static constexpr double kMaxTokens = 10;

  // Precondition: ratio >= 0.
  explicit RetryBudget(double ratio = 0.1) : ratio_(ratio) {}

  void set_ratio(double ratio) { ratio_ = ratio; }

  // Call once per request of a caller, not for retries.
  void OnRequest();

  // Takes a token and returns true if a retry is allowed. Normal and background
  // work leave a part of the tokens to more urgent work.
  bool TryRetry(schema::Rank rank);

  std::uint64_t allowed() const { return allowed_; }
  std::uint64_t refused() const { return refused_; }

 private:
  double ratio_;
  double tokens_ = 0;
  std::uint64_t allowed_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_RETRY_BUDGET_H_
