// Baseline: every failed attempt is retried up to a number of attempts.
#ifndef BALSAMHALL_DISPATCH_BASELINE_UNBUDGETED_RETRIES_H_
#define BALSAMHALL_DISPATCH_BASELINE_UNBUDGETED_RETRIES_H_

#include <cstdint>

namespace balsamhall {

// For comparison only. Thread-safe.
class UnbudgetedRetries {
 public:
  explicit UnbudgetedRetries(std::uint32_t max_attempts)
      : max_attempts_(max_attempts) {}

  bool TryRetry(std::uint32_t attempts_so_far) const {
    return attempts_so_far < max_attempts_;
  }

 private:
  std::uint32_t max_attempts_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_BASELINE_UNBUDGETED_RETRIES_H_
