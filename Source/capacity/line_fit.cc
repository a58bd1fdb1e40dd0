#include "capacity/line_fit.h"

#include <algorithm>
#include <cmath>

namespace balsamhall {

std::optional<LineFit> FitLine(std::span<const Sample> samples) {
  if (samples.empty()) return std::nullopt;
  const auto count = static_cast<double>(samples.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const Sample& sample : samples) {
    mean_size += sample.size / count;
    mean_value += sample.value / count;
  }
  double variance = 0;
  double covariance = 0;
  for (const Sample& sample : samples) {
    variance += (sample.size - mean_size) * (sample.size - mean_size);
    covariance += (sample.size - mean_size) * (sample.value - mean_value);
  }
  if (variance == 0) return std::nullopt;
  LineFit fit;
  fit.slope = covariance / variance;
  fit.intercept = mean_value - fit.slope * mean_size;
  double squares = 0;
  for (const Sample& sample : samples) {
    const double expected = fit.intercept + fit.slope * sample.size;
    squares += (sample.value - expected) * (sample.value - expected);
  }
  if (mean_value != 0) {
    fit.residual = std::sqrt(squares / count) / std::abs(mean_value);
  }
  return fit;
}

double Median(std::vector<double> values) {
  std::ranges::sort(values);
  const std::size_t middle = values.size() / 2;
  if (values.size() % 2 == 1) return values[middle];
  return (values[middle - 1] + values[middle]) / 2;
}

}  // namespace balsamhall
