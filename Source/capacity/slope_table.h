// Probes that measure real code at a row of sizes, and their fitted slopes.
#ifndef BALSAMHALL_CAPACITY_SLOPE_TABLE_H_
#define BALSAMHALL_CAPACITY_SLOPE_TABLE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "capacity/line_fit.h"

namespace balsamhall {

struct Measure {
  std::string name;
  std::string unit;
};

// One value for each measure of a probe.
using Reading = std::vector<double>;

struct Probe {
  std::string name;
  std::string size;  // what the size counts
  std::vector<Measure> measures;
  std::vector<std::size_t> sizes;
  // Returns one reading per run.
  std::function<std::vector<Reading>(std::size_t size, std::size_t runs)> run;
};

struct Slope {
  std::string probe;
  std::string size;
  Measure measure;
  std::vector<Sample> samples;  // median of the runs at each size
  LineFit fit;
};

// Measures at all sizes up to max_size, and always at the two smallest ones.
// Not thread-safe: CPU time is that of the calling thread.
std::vector<Slope> RunProbe(const Probe& probe, std::size_t runs,
                            std::size_t max_size);

// Returns lines that end with a line feed, below a heading.
std::string ToTable(const std::vector<Slope>& slopes);
std::string ToCsv(const std::vector<Slope>& slopes);

// CPU time of the calling thread in microseconds.
double ThreadMicros();

// CPU time that an action takes, in microseconds.
double MicrosOf(const std::function<void()>& action);

// Bytes that the process has allocated and not freed.
double AllocatedBytes();

}  // namespace balsamhall

#endif  // BALSAMHALL_CAPACITY_SLOPE_TABLE_H_
