#include "load/zipf_sampler.h"

#include <algorithm>
#include <cmath>

namespace balsamhall {
namespace {

// Below this the quotients lose precision and their series is exact enough.
constexpr double kSmall = 1e-8;

double Log1pOverX(double x) {
  return std::abs(x) > kSmall ? std::log1p(x) / x : 1 - x / 2;
}

double Expm1OverX(double x) {
  return std::abs(x) > kSmall ? std::expm1(x) / x : 1 + x / 2;
}

}  // namespace

ZipfSampler::ZipfSampler(std::uint64_t count, double exponent)
    : count_(static_cast<double>(count)),
      exponent_(exponent),
      integral_start_(Integral(1.5) - 1),
      integral_end_(Integral(count_ + 0.5)),
      acceptance_(2 - IntegralInverse(Integral(2.5) - std::pow(2, -exponent))) {
}

// Integral of x^-exponent, up to a constant.
double ZipfSampler::Integral(double x) const {
  const double log_x = std::log(x);
  return Expm1OverX((1 - exponent_) * log_x) * log_x;
}

double ZipfSampler::IntegralInverse(double y) const {
  const double t = std::max(-1.0, y * (1 - exponent_));
  return std::exp(Log1pOverX(t) * y);
}

std::uint64_t ZipfSampler::Draw(std::mt19937_64& random) const {
  std::uniform_real_distribution<double> uniform(integral_start_,
                                                 integral_end_);
  while (true) {
    const double u = uniform(random);
    const double x = IntegralInverse(u);
    const double n = std::clamp(std::floor(x + 0.5), 1.0, count_);
    if (n - x <= acceptance_ ||
        u >= Integral(n + 0.5) - std::pow(n, -exponent_)) {
      return static_cast<std::uint64_t>(n);
    }
  }
}

}  // namespace balsamhall
