#include "gateway/retry_window.h"

#include <algorithm>
#include <numeric>

namespace balsamhall::gateway {
namespace {

// Margin for two effects: the window of the fleet's budget is not aligned with
// this one, and a request counted here may reach its endpoint in the next
// window.
constexpr double kMargin = 0.75;

}  // namespace

RetryWindow::Bucket& RetryWindow::CurrentBucket(SteadyTime now) {
  const std::int64_t number =
      now.time_since_epoch() / (window_ / static_cast<int>(kBuckets));
  Bucket& bucket = buckets_[static_cast<std::size_t>(number) % buckets_.size()];
  if (bucket.number != number) bucket = {number, 0, 0};
  return bucket;
}

void RetryWindow::OnRequest(SteadyTime now) { ++CurrentBucket(now).requests; }

bool RetryWindow::TryRetry(SteadyTime now) {
  Bucket& current = CurrentBucket(now);
  double requests = 0;
  double retries = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.number < 0 ||
        current.number - bucket.number > static_cast<std::int64_t>(kBuckets)) {
      continue;
    }
    requests += bucket.requests;
    retries += bucket.retries;
  }
  if (retries + 1 > kMargin * (ratio_ * requests + allowance_)) return false;
  ++current.retries;
  return true;
}

}  // namespace balsamhall::gateway
