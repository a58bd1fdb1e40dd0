#include "load/latency_histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace balsamhall {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBins = 700;
constexpr double kLowestMs = 0.01;
constexpr double kHighestMs = 60'000;

auto MakeHistogram() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
      kBins, kLowestMs, kHighestMs));
}

}  // namespace

struct LatencyHistogram::Impl {
  decltype(MakeHistogram()) histogram = MakeHistogram();
  std::uint64_t count = 0;
  double largest = 0;
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Add(double milliseconds) {
  impl_->histogram(milliseconds);
  impl_->largest = std::max(impl_->largest, milliseconds);
  ++impl_->count;
}

double LatencyHistogram::Quantile(double quantile) const {
  const double wanted = quantile * static_cast<double>(impl_->count);
  double seen = 0;
  for (const auto& bin : bh::indexed(impl_->histogram, bh::coverage::all)) {
    seen += static_cast<double>(*bin);
    if (seen > 0 && seen >= wanted) {
      return std::min(bin.bin().upper(), impl_->largest);
    }
  }
  return impl_->largest;
}

}  // namespace balsamhall
