#include "load/load_report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace balsamhall {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> kRankNames = {"urgent", "normal",
                                                        "background"};

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

json ToJson(const LoadReport::Totals& totals) {
  json codes = json::object();
  for (const auto& [code, count] : totals.codes) {
    codes[std::string(ResultCodeName(code))] = count;
  }
  return {{"planned", totals.planned},
          {"ok", totals.ok},
          {"in_target", totals.in_target},
          {"in_target_share", Share(totals.in_target, totals.planned)},
          {"not_run", totals.not_run},
          {"unknown", totals.unknown},
          {"p50_ms", totals.latency.Quantile(0.5)},
          {"p90_ms", totals.latency.Quantile(0.9)},
          {"p99_ms", totals.latency.Quantile(0.99)},
          {"max_ms", totals.latency.Quantile(1)},
          {"codes", std::move(codes)}};
}

std::string TableLine(std::string_view name, const LoadReport::Totals& totals) {
  return fmt::format(
      "{:<28} {:>9} {:>9} {:>8.2f}% {:>9} {:>8} {:>9.2f} {:>9.2f} {:>9.2f}\n",
      name, totals.planned, totals.ok,
      100 * Share(totals.in_target, totals.planned), totals.not_run,
      totals.unknown, totals.latency.Quantile(0.5),
      totals.latency.Quantile(0.99), totals.latency.Quantile(1));
}

std::string CodeLines(std::string_view title,
                      const std::map<ResultCode, std::uint64_t>& codes) {
  std::string text;
  for (const auto& [code, count] : codes) {
    text += fmt::format("  {:<12} {:>3} {:<30} {:>9}\n", title,
                        static_cast<int>(code), ResultCodeName(code), count);
  }
  return text;
}

std::string FaultLines(const ExecutionFaults& faults,
                       const BackendExecutions& executions) {
  std::string text = fmt::format(
      "executions {}  doubled {}  lost {}  not-run-ran {}  unverified {}  "
      "idempotent-again {}  above-slots {}  refused-full {}\n",
      executions.executions, faults.doubled, faults.lost, faults.not_run_ran,
      faults.unverified, faults.idempotent_again, executions.above_slots,
      executions.refused_full);
  for (const std::string& backend : executions.unreachable) {
    text += "backend not reachable: " + backend + "\n";
  }
  for (const std::string& example : faults.examples) {
    text += "  " + example + "\n";
  }
  return text;
}

}  // namespace

LoadReport::LoadReport(schema::LoadScenario scenario, Milliseconds interval)
    : scenario_(std::move(scenario)),
      interval_(interval),
      kinds_(scenario_.kinds_size()) {}

LoadReport::Totals& LoadReport::IntervalOf(Microseconds at, schema::Rank rank) {
  const auto number = static_cast<std::size_t>(at / interval_);
  if (number >= intervals_.size()) intervals_.resize(number + 1);
  return intervals_[number][rank];
}

void LoadReport::OnPlanned(std::uint32_t kind, Microseconds at) {
  const schema::Rank rank = scenario_.kinds(static_cast<int>(kind)).rank();
  ++kinds_[kind].planned;
  ++ranks_[rank].planned;
  ++IntervalOf(at, rank).planned;
}

void LoadReport::Count(const LoadAnswer& answer, bool in_target,
                       Totals& totals) {
  ++totals.codes[answer.code];
  if (IsNotRun(answer.code)) ++totals.not_run;
  if (IsUnknown(answer.code)) ++totals.unknown;
  if (answer.code != ResultCode::kOk) return;
  ++totals.ok;
  if (in_target) ++totals.in_target;
  totals.latency.Add(static_cast<double>(answer.latency.count()) / 1000);
}

void LoadReport::OnAnswer(const LoadAnswer& answer) {
  const auto& kind = scenario_.kinds(static_cast<int>(answer.kind));
  const bool in_target = answer.latency <= Milliseconds(kind.target_ms());
  Count(answer, in_target, kinds_[answer.kind]);
  Count(answer, in_target, ranks_[kind.rank()]);
  Count(answer, in_target, IntervalOf(answer.planned, kind.rank()));
}

void LoadReport::set_execution_faults(ExecutionFaults faults,
                                      BackendExecutions executions) {
  faults_ = std::move(faults);
  executions_ = std::move(executions);
  executions_.runs.clear();
}

bool LoadReport::Failed() const {
  return mismatched_ > 0 || (faults_ && faults_->Any());
}

std::string LoadReport::Table() const {
  std::string text = fmt::format(
      "{:<28} {:>9} {:>9} {:>9} {:>9} {:>8} {:>9} {:>9} {:>9}\n", "", "planned",
      "ok", "in target", "not run", "unknown", "p50 ms", "p99 ms", "max ms");
  for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
    if (ranks_[rank].planned > 0) {
      text += TableLine(kRankNames[rank], ranks_[rank]);
    }
  }
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    const auto& kind = scenario_.kinds(static_cast<int>(i));
    text += TableLine("  " + kind.service() + "/" + kind.name(), kinds_[i]);
  }
  text += "codes:\n";
  for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
    text += CodeLines(kRankNames[rank], ranks_[rank].codes);
  }
  text += CodeLines("repeats", repeats_);
  text += fmt::format("largest delay of the load tool: {:.1f} ms\n",
                      static_cast<double>(max_send_delay_.count()) / 1000);
  if (mismatched_ > 0) {
    text += fmt::format("answers of another request: {}\n", mismatched_);
  }
  if (faults_) text += FaultLines(*faults_, executions_);
  return text;
}

std::string LoadReport::Csv() const {
  std::string text =
      "start_ms,rank,planned,ok,in_target,not_run,unknown,p50_ms,p99_ms\n";
  for (std::size_t i = 0; i < intervals_.size(); ++i) {
    for (std::size_t rank = 0; rank < kRankNames.size(); ++rank) {
      const Totals& totals = intervals_[i][rank];
      if (totals.planned == 0) continue;
      fmt::format_to(
          std::back_inserter(text), "{},{},{},{},{},{},{},{:.3f},{:.3f}\n",
          static_cast<std::int64_t>(i) * interval_.count(), kRankNames[rank],
          totals.planned, totals.ok, totals.in_target, totals.not_run,
          totals.unknown, totals.latency.Quantile(0.5),
          totals.latency.Quantile(0.99));
    }
  }
  return text;
}

std::string LoadReport::Json() const {
  json ranks = json::object();
  for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
    ranks[std::string(kRankNames[rank])] = ToJson(ranks_[rank]);
  }
  json kinds = json::object();
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    const auto& kind = scenario_.kinds(static_cast<int>(i));
    kinds[kind.service() + "/" + kind.name()] = ToJson(kinds_[i]);
  }
  json report = {{"duration_ms", scenario_.duration_ms()},
                 {"seed", scenario_.seed()},
                 {"ranks", std::move(ranks)},
                 {"kinds", std::move(kinds)},
                 {"max_send_delay_us", max_send_delay_.count()},
                 {"mismatched", mismatched_},
                 {"failed", Failed()}};
  if (faults_) {
    report["executions"] = {{"total", executions_.executions},
                            {"doubled", faults_->doubled},
                            {"lost", faults_->lost},
                            {"not_run_ran", faults_->not_run_ran},
                            {"unverified", faults_->unverified},
                            {"idempotent_again", faults_->idempotent_again},
                            {"above_slots", executions_.above_slots},
                            {"refused_full", executions_.refused_full},
                            {"unreachable", executions_.unreachable},
                            {"examples", faults_->examples}};
  }
  return report.dump(2) + "\n";
}

}  // namespace balsamhall
