#include "capacity/slope_table.h"

#include <malloc.h>
#include <spdlog/fmt/fmt.h>

#include <ctime>
#include <ranges>

namespace balsamhall {

std::vector<Slope> RunProbe(const Probe& probe, std::size_t runs,
                            std::size_t max_size) {
  std::vector<Slope> slopes;
  slopes.reserve(probe.measures.size());
  for (const Measure& measure : probe.measures) {
    slopes.push_back({probe.name, probe.size, measure, {}, {}});
  }
  for (std::size_t i = 0; i < probe.sizes.size(); ++i) {
    const std::size_t size = probe.sizes[i];
    // A line needs two sizes.
    if (i >= 2 && size > max_size) break;
    const std::vector<Reading> readings = probe.run(size, runs);
    for (std::size_t m = 0; m < slopes.size(); ++m) {
      std::vector<double> values;
      values.reserve(readings.size());
      for (const Reading& reading : readings) values.push_back(reading.at(m));
      slopes[m].samples.push_back(
          {static_cast<double>(size), Median(std::move(values))});
    }
  }
  for (Slope& slope : slopes) {
    slope.fit = FitLine(slope.samples).value_or(LineFit{});
  }
  return slopes;
}

std::string ToTable(const std::vector<Slope>& slopes) {
  std::string text =
      fmt::format("{:<18} {:<32} {:<22} {:>13} {:>13} {:>9}\n", "PROBE",
                  "MEASURE", "UNIT", "SLOPE", "INTERCEPT", "RESIDUAL");
  for (const Slope& slope : slopes) {
    text += fmt::format(
        "{:<18} {:<32} {:<22} {:>13.4g} {:>13.4g} {:>8.1f}%\n", slope.probe,
        slope.measure.name, slope.measure.unit + " per " + slope.size,
        slope.fit.slope, slope.fit.intercept, 100 * slope.fit.residual);
    text += "    at ";
    for (const Sample& sample : slope.samples) {
      text += fmt::format(" {:g}: {:.4g}", sample.size, sample.value);
    }
    text += "\n";
  }
  return text;
}

std::string ToCsv(const std::vector<Slope>& slopes) {
  std::string text =
      "probe,measure,unit,size_unit,size,value,slope,intercept,residual\n";
  for (const Slope& slope : slopes) {
    for (const Sample& sample : slope.samples) {
      text +=
          fmt::format("{},{},{},{},{},{:.6g},{:.6g},{:.6g},{:.4f}\n",
                      slope.probe, slope.measure.name, slope.measure.unit,
                      slope.size, sample.size, sample.value, slope.fit.slope,
                      slope.fit.intercept, slope.fit.residual);
    }
  }
  return text;
}

double ThreadMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

double MicrosOf(const std::function<void()>& action) {
  const double start = ThreadMicros();
  action();
  return ThreadMicros() - start;
}

double AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace balsamhall
