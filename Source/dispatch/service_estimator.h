// Measured service time of an endpoint, by kind of work.
#ifndef BALSAMHALL_DISPATCH_SERVICE_ESTIMATOR_H_
#define BALSAMHALL_DISPATCH_SERVICE_ESTIMATOR_H_

#include <cstdint>
#include <unordered_map>

#include "core/types.h"

namespace balsamhall {

// Exponentially weighted means. An estimate decays while nothing is measured:
// otherwise a slow spell could exclude a kind from admission for good, because
// a kind that is not admitted is not measured. Not thread-safe.
class ServiceEstimator {
 public:
  // Records the slot time of one finished request.
  void Record(std::uint32_t kind, Microseconds duration, SteadyTime now);

  // Returns the mean of the kind; of all kinds if this one was not measured; a
  // small default if nothing was.
  Microseconds Estimate(std::uint32_t kind, SteadyTime now) const;

  // Returns the time within which nearly all requests of the kind end.
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
