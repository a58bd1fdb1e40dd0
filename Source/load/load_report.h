// Counts of a load run by kind, rank and interval.
#ifndef BALSAMHALL_LOAD_LOAD_REPORT_H_
#define BALSAMHALL_LOAD_LOAD_REPORT_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"
#include "core/types.h"
#include "load/execution_check.h"
#include "load/latency_histogram.h"

namespace balsamhall {

struct LoadAnswer {
  std::uint32_t kind = 0;
  Microseconds planned{0};  // since the start of the run
  Microseconds latency{0};  // from the planned time
  ResultCode code = ResultCode::kInternal;
};

// Not thread-safe.
class LoadReport {
 public:
  struct Totals {
    std::uint64_t planned = 0;
    std::uint64_t ok = 0;
    std::uint64_t in_target = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::map<ResultCode, std::uint64_t> codes;
    LatencyHistogram latency;  // of ok answers
  };

  LoadReport(schema::LoadScenario scenario, Milliseconds interval);

  void OnPlanned(std::uint32_t kind, Microseconds at);
  void OnAnswer(const LoadAnswer& answer);
  // A repeat's answer counts by code only.
  void OnRepeatAnswer(ResultCode code) { ++repeats_[code]; }
  void OnMismatchedBody() { ++mismatched_; }
  // How far the tool itself was behind its plan.
  void OnSendDelay(Microseconds delay) {
    max_send_delay_ = std::max(max_send_delay_, delay);
  }
  void set_execution_faults(ExecutionFaults faults,
                            BackendExecutions executions);

  // Returns true if an answer or an execution broke a promise.
  bool Failed() const;

  std::string Table() const;
  // One line per interval and rank.
  std::string Csv() const;
  std::string Json() const;

  const Totals& of_rank(schema::Rank rank) const { return ranks_[rank]; }
  std::uint64_t mismatched() const { return mismatched_; }

 private:
  static void Count(const LoadAnswer& answer, bool in_target, Totals& totals);
  Totals& IntervalOf(Microseconds at, schema::Rank rank);

  schema::LoadScenario scenario_;
  Milliseconds interval_;
  std::vector<Totals> kinds_;
  std::array<Totals, 3> ranks_;
  std::vector<std::array<Totals, 3>> intervals_;
  std::map<ResultCode, std::uint64_t> repeats_;
  std::uint64_t mismatched_ = 0;
  Microseconds max_send_delay_{0};
  std::optional<ExecutionFaults> faults_;
  BackendExecutions executions_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_LOAD_LOAD_REPORT_H_
