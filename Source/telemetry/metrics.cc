#include "telemetry/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <utility>

namespace balsamhall {
namespace {

namespace bh = boost::histogram;

constexpr std::array<std::string_view, 4> kResults{"ok", "not-run", "unknown",
                                                   "error"};
constexpr std::array<std::string_view, 3> kRanks{"urgent", "normal",
                                                 "background"};

// 48 logarithmic bins from 0.1 ms to 60 s: about 32% wide each.
using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(
    bh::axis::integer<>(0, 3), bh::axis::integer<>(0, 4),
    LatencyAxis(48, 0.1, 60'000.0)));

LatencyHistogram MakeLatencyHistogram() {
  return bh::make_histogram(bh::axis::integer<>(0, 3),
                            bh::axis::integer<>(0, 4),
                            LatencyAxis(48, 0.1, 60'000.0));
}

int ResultIndex(std::string_view result) {
  const auto* const found = std::ranges::find(kResults, result);
  return found == kResults.end() ? 3
                                 : static_cast<int>(found - kResults.begin());
}

using Series = std::pair<std::string, std::string>;

void AppendSample(std::string& text, const Series& series,
                  const std::string& value) {
  text += "balsamhall_" + series.first;
  if (!series.second.empty()) text += "{" + series.second + "}";
  text += " " + value + "\n";
}

}  // namespace

class Metrics::Impl {
 public:
  mutable std::mutex mutex;
  LatencyHistogram latency = MakeLatencyHistogram();
  std::array<std::uint64_t, 3> in_target{};
  std::map<std::pair<int, unsigned>, std::uint64_t> codes;
  std::map<Series, std::uint64_t> counters;
  std::map<Series, double> gauges;

  double Count(int rank, int result) const {
    double count = 0;
    const int bins = latency.axis(2).size();
    for (int i = -1; i <= bins; ++i) count += latency.at(rank, result, i);
    return count;
  }

  // Upper edge of the bin that holds the quantile, in milliseconds.
  double Quantile(int rank, double share) const {
    const double wanted = Count(rank, 0) * share;
    double seen = 0;
    const int bins = latency.axis(2).size();
    for (int i = -1; i < bins; ++i) {
      seen += latency.at(rank, 0, i);
      if (seen >= wanted && seen > 0) return latency.axis(2).value(i + 1);
    }
    return seen > 0 ? latency.axis(2).value(bins) : 0;
  }

  void AppendLatency(std::string& text) const {
    text += "# TYPE balsamhall_request_duration_ms histogram\n";
    for (int rank = 0; rank < 3; ++rank) {
      for (int result = 0; result < 4; ++result) {
        const std::string labels = fmt::format("rank=\"{}\",result=\"{}\"",
                                               kRanks[rank], kResults[result]);
        double seen = 0;
        double sum = 0;
        const auto& axis = latency.axis(2);
        for (int i = -1; i < axis.size(); ++i) {
          const double count = latency.at(rank, result, i);
          seen += count;
          sum += count * axis.value(i + 0.5);
          AppendSample(
              text,
              {"request_duration_ms_bucket",
               fmt::format("{},le=\"{:.4g}\"", labels, axis.value(i + 1))},
              fmt::format("{:.0f}", seen));
        }
        const double over = latency.at(rank, result, axis.size());
        AppendSample(text,
                     {"request_duration_ms_bucket", labels + ",le=\"+Inf\""},
                     fmt::format("{:.0f}", seen + over));
        AppendSample(text, {"request_duration_ms_sum", labels},
                     fmt::format("{:.3f}", sum + over * 60'000));
        AppendSample(text, {"request_duration_ms_count", labels},
                     fmt::format("{:.0f}", seen + over));
      }
    }
  }
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::RecordRequest(schema::Rank rank, std::string_view result,
                            unsigned code, std::chrono::microseconds latency,
                            bool within_target) {
  const std::scoped_lock lock(impl_->mutex);
  const int index = std::clamp(static_cast<int>(rank), 0, 2);
  const double milliseconds = static_cast<double>(latency.count()) / 1000;
  impl_->latency(index, ResultIndex(result), milliseconds);
  ++impl_->codes[{index, code}];
  if (within_target) ++impl_->in_target.at(index);
}

void Metrics::Add(std::string_view name, std::string_view labels,
                  std::uint64_t amount) {
  const std::scoped_lock lock(impl_->mutex);
  impl_->counters[{std::string(name), std::string(labels)}] += amount;
}

void Metrics::Set(std::string_view name, std::string_view labels,
                  double value) {
  const std::scoped_lock lock(impl_->mutex);
  impl_->gauges[{std::string(name), std::string(labels)}] = value;
}

void Metrics::MergeFrom(const Metrics& other) {
  const std::scoped_lock lock(impl_->mutex, other.impl_->mutex);
  impl_->latency += other.impl_->latency;
  for (std::size_t i = 0; i < impl_->in_target.size(); ++i) {
    impl_->in_target.at(i) += other.impl_->in_target.at(i);
  }
  for (const auto& [key, value] : other.impl_->codes) {
    impl_->codes[key] += value;
  }
  for (const auto& [key, value] : other.impl_->counters) {
    impl_->counters[key] += value;
  }
  for (const auto& [key, value] : other.impl_->gauges) {
    impl_->gauges[key] += value;
  }
}

std::string Metrics::PrometheusText() const {
  const std::scoped_lock lock(impl_->mutex);
  std::string text;
  impl_->AppendLatency(text);
  text += "# TYPE balsamhall_requests_total counter\n";
  for (const auto& [key, value] : impl_->codes) {
    AppendSample(
        text,
        {"requests_total", fmt::format("rank=\"{}\",code=\"{}\"",
                                       kRanks.at(key.first), key.second)},
        std::to_string(value));
  }
  text += "# TYPE balsamhall_requests_in_target_total counter\n";
  for (std::size_t i = 0; i < kRanks.size(); ++i) {
    AppendSample(
        text,
        {"requests_in_target_total", fmt::format("rank=\"{}\"", kRanks.at(i))},
        std::to_string(impl_->in_target.at(i)));
  }
  std::string last;
  for (const auto& [series, value] : impl_->counters) {
    if (series.first != last) {
      text += "# TYPE balsamhall_" + series.first + " counter\n";
      last = series.first;
    }
    AppendSample(text, series, std::to_string(value));
  }
  for (const auto& [series, value] : impl_->gauges) {
    if (series.first != last) {
      text += "# TYPE balsamhall_" + series.first + " gauge\n";
      last = series.first;
    }
    AppendSample(text, series, fmt::format("{:.6g}", value));
  }
  return text;
}

std::vector<schema::RankStatus> Metrics::ranks() const {
  const std::scoped_lock lock(impl_->mutex);
  std::vector<schema::RankStatus> ranks(kRanks.size());
  for (int i = 0; i < static_cast<int>(kRanks.size()); ++i) {
    schema::RankStatus& status = ranks.at(i);
    status.set_rank(static_cast<schema::Rank>(i));
    double total = 0;
    for (int result = 0; result < 4; ++result) total += impl_->Count(i, result);
    status.set_requests(static_cast<std::uint64_t>(total));
    status.set_in_target(impl_->in_target.at(i));
    status.set_not_run(static_cast<std::uint64_t>(impl_->Count(i, 1)));
    status.set_unknown(static_cast<std::uint64_t>(impl_->Count(i, 2)));
    status.set_p50_ms(impl_->Quantile(i, 0.50));
    status.set_p99_ms(impl_->Quantile(i, 0.99));
  }
  return ranks;
}

}  // namespace balsamhall
