// Zipf-distributed numbers without a table, for billions of keys.
#ifndef BALSAMHALL_LOAD_ZIPF_SAMPLER_H_
#define BALSAMHALL_LOAD_ZIPF_SAMPLER_H_

#include <cstdint>
#include <random>

namespace balsamhall {

// Draws n in 1..count with probability proportional to n^-exponent, by
// rejection inversion (Hoermann and Derflinger, 1996). Immutable.
class ZipfSampler {
 public:
  // Preconditions: count >= 1, exponent >= 0.
  ZipfSampler(std::uint64_t count, double exponent);

  std::uint64_t Draw(std::mt19937_64& random) const;

 private:
  double Integral(double x) const;
  double IntegralInverse(double y) const;

  double count_;
  double exponent_;
  double integral_start_;
  double integral_end_;
  double acceptance_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_LOAD_ZIPF_SAMPLER_H_
