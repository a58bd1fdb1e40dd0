#include "gateway/loop_watch.h"

#include <algorithm>
#include <string>
#include <utility>

#include "telemetry/event_log.h"

namespace balsamhall::gateway {
namespace {

std::string FormatDuration(SteadyTime::duration duration) {
  return std::to_string(
             std::chrono::duration_cast<Milliseconds>(duration).count()) +
         "ms";
}

}  // namespace

LoopWatch::Step::Step(LoopWatch& watch, std::string_view name)
    : watch_(watch), name_(name), start_(std::chrono::steady_clock::now()) {}

LoopWatch::Step::~Step() {
  watch_.OnStep(name_, std::chrono::steady_clock::now() - start_);
}

void LoopWatch::OnStep(std::string_view name, SteadyTime::duration took) {
  if (took <= step_took_) return;
  step_ = name;
  step_took_ = took;
}

void LoopWatch::OnTimer(SteadyTime due, SteadyTime now) {
  const auto step = std::exchange(step_, {});
  const auto step_took = std::exchange(step_took_, SteadyTime::duration(0));
  const auto turn = std::max(now - due, step_took);
  if (turn > longest_turn_) {
    longest_turn_ = turn;
    metrics_.Set(
        "loop_longest_turn_ms", "",
        std::chrono::duration<double, std::milli>(longest_turn_).count());
  }
  if (turn < kThreshold) return;
  metrics_.Add("loop_busy_total", "", 1);
  LogEvent(EventLevel::kWarning, "loop_busy", 0,
           {{"took", FormatDuration(turn)},
            {"step", std::string(step.empty() ? "none" : step)},
            {"step_took", FormatDuration(step_took)}});
}

}  // namespace balsamhall::gateway
