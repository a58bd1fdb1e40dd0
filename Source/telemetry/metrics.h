// Counters and latency histograms with Prometheus text output.
#ifndef BALSAMHALL_TELEMETRY_METRICS_H_
#define BALSAMHALL_TELEMETRY_METRICS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "balsamhall.pb.h"

namespace balsamhall {

// One shard; each traffic thread has its own, so that its lock is not
// contended. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Records an answered request. result is the value of Balsamhall-Result.
  void RecordRequest(schema::Rank rank, std::string_view result, unsigned code,
                     std::chrono::microseconds latency, bool within_target);

  // Adds to the counter with this name and these labels (`cause="retry"`, may
  // be empty). Use few names: each is kept for ever.
  void Add(std::string_view name, std::string_view labels,
           std::uint64_t amount);

  // Sets a gauge.
  void Set(std::string_view name, std::string_view labels, double value);

  // Adds all values of another shard to this one.
  void MergeFrom(const Metrics& other);

  // Returns all values in the Prometheus text format.
  std::string PrometheusText() const;

  // Returns counts and latency quantiles of ok requests by rank.
  std::vector<schema::RankStatus> ranks() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TELEMETRY_METRICS_H_
