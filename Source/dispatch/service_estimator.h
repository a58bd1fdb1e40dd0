// Estimates the service time of an endpoint by kind of request.
#ifndef BALSAMHALL_DISPATCH_SERVICE_ESTIMATOR_H_
#define BALSAMHALL_DISPATCH_SERVICE_ESTIMATOR_H_

#include <cstdint>
#include <unordered_map>

#include "core/types.h"

namespace balsamhall {

// Exponentially weighted means. An estimate decays while there are no samples:
// otherwise one slow period could exclude a kind from admission for ever,
// because a kind that is not admitted gives no samples. Not thread-safe.
class ServiceEstimator {
 public:
  // Records the service time of one finished request.
  void Record(std::uint32_t kind, Microseconds duration, SteadyTime now);

  // Returns the mean of the kind, or of all kinds if this kind has no samples,
  // or a small default if there are no samples.
  Microseconds Estimate(std::uint32_t kind, SteadyTime now) const;

  // Returns the time within which nearly all requests of the kind end, with the
  // same fallbacks as Estimate().
  Microseconds UpperEstimate(std::uint32_t kind, SteadyTime now) const;

 private:
  struct Mean {
    double value = 0;
    double deviation = 0;
    std::uint32_t samples = 0;
    SteadyTime last_sample{};
    void Add(double sample, SteadyTime now);
  };

  const Mean& MeanOf(std::uint32_t kind) const;

  Mean all_kinds_;
  std::unordered_map<std::uint32_t, Mean> by_kind_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_SERVICE_ESTIMATOR_H_
