// Limits the load that retries add.
#ifndef BALSAMHALL_DISPATCH_RETRY_BUDGET_H_
#define BALSAMHALL_DISPATCH_RETRY_BUDGET_H_

#include <cstdint>

#include "core/types.h"
#include "dispatch/rank_queue.h"

namespace balsamhall {

// Each request adds a fraction of a token and each retry takes one, so that the
// retries stay within this ratio of the requests, however many of them fail.
// Not thread-safe.
class RetryBudget {
 public:
  // Most tokens saved for a short failure. The retries in any period exceed the
  // ratio by at most this number.
  static constexpr double kMaxTokens = 10;

  // Precondition: ratio >= 0.
  explicit RetryBudget(double ratio = 0.1) : ratio_(ratio) {}

  void set_ratio(double ratio) { ratio_ = ratio; }

  // Adds the tokens of one request. Call once per request, not for its retries.
  void OnRequest();

  // Takes a token and returns true if a retry is allowed. Lower ranks leave
  // some of the tokens to higher ranks.
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
