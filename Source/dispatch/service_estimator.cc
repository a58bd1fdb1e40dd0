#include "dispatch/service_estimator.h"

#include <algorithm>
#include <cmath>

namespace balsamhall {
namespace {

// Used until there are samples. A low value admits too much for a moment; a
// high one would reject work that the endpoint could have done.
constexpr Microseconds kDefaultEstimate{1000};
// The mean follows a changed service time within about 30 requests.
constexpr double kMinSampleWeight = 0.1;
// A wrong estimate of twice the deadline excludes a kind for about 10 s; a
// higher one excludes it for longer.
constexpr double kHalfLifeSeconds = 10;
// Kinds come from the configuration. The bound limits the memory if a caller
// passes unchecked numbers.
constexpr std::size_t kMaxKinds = 256;

// Mean absolute deviations above the mean. With exponential service times, 2%
// of the requests take longer.
constexpr double kUpperEstimateDeviations = 4;

Microseconds Decayed(double value, SteadyTime last_sample, SteadyTime now) {
  const double idle = std::chrono::duration<double>(now - last_sample).count();
  const double kept_fraction =
      std::exp2(-std::max(0.0, idle) / kHalfLifeSeconds);
  return Microseconds{static_cast<std::int64_t>(value * kept_fraction)};
}

}  // namespace

void ServiceEstimator::Mean::Add(double sample, SteadyTime now) {
  last_sample = now;
  ++samples;
  // The first samples have equal weights, so that one outlier at the start
  // does not dominate.
  const double weight = std::max(kMinSampleWeight, 1.0 / samples);
  // One sample does not show the deviation; half of the sample is assumed.
  const double error = samples == 1 ? sample / 2 : sample - value;
  value += weight * (sample - value);
  deviation += weight * (std::abs(error) - deviation);
}

void ServiceEstimator::Record(std::uint32_t kind, Microseconds duration,
                              SteadyTime now) {
  const auto sample = static_cast<double>(duration.count());
  all_kinds_.Add(sample, now);
  if (by_kind_.contains(kind) || by_kind_.size() < kMaxKinds) {
    by_kind_[kind].Add(sample, now);
  }
}

const ServiceEstimator::Mean& ServiceEstimator::MeanOf(
    std::uint32_t kind) const {
  const auto found = by_kind_.find(kind);
  return found != by_kind_.end() ? found->second : all_kinds_;
}

Microseconds ServiceEstimator::Estimate(std::uint32_t kind,
                                        SteadyTime now) const {
  const Mean& mean = MeanOf(kind);
  if (mean.samples == 0) return kDefaultEstimate;
  return Decayed(mean.value, mean.last_sample, now);
}

Microseconds ServiceEstimator::UpperEstimate(std::uint32_t kind,
                                             SteadyTime now) const {
  const Mean& mean = MeanOf(kind);
  if (mean.samples == 0) return kDefaultEstimate;
  return Decayed(mean.value + kUpperEstimateDeviations * mean.deviation,
                 mean.last_sample, now);
}

}  // namespace balsamhall
