// Latencies with a relative resolution of about 2%.
#ifndef BALSAMHALL_LOAD_LATENCY_HISTOGRAM_H_
#define BALSAMHALL_LOAD_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>

namespace balsamhall {

// Not thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Add(double milliseconds);

  // Returns the upper edge of the bin that holds the quantile, at most the
  // largest value; 0 if empty. Precondition: quantile in 0..1.
  double Quantile(double quantile) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_LOAD_LATENCY_HISTOGRAM_H_
