// Least-squares line through measured samples.
#ifndef BALSAMHALL_CAPACITY_LINE_FIT_H_
#define BALSAMHALL_CAPACITY_LINE_FIT_H_

#include <optional>
#include <span>
#include <vector>

namespace balsamhall {

struct Sample {
  double size = 0;
  double value = 0;
};

struct LineFit {
  double slope = 0;
  double intercept = 0;
  // Root mean square of the deviations, as a share of the mean value.
  double residual = 0;
};

// Returns nullopt for fewer than two different sizes. Thread-safe.
std::optional<LineFit> FitLine(std::span<const Sample> samples);

// Returns the mean of the two middle values of an even number of values.
// Precondition: not empty. Thread-safe.
double Median(std::vector<double> values);

}  // namespace balsamhall

#endif  // BALSAMHALL_CAPACITY_LINE_FIT_H_
