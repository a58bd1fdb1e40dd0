// Finds turns of the event loop that make everything else wait.
#ifndef BALSAMHALL_GATEWAY_LOOP_WATCH_H_
#define BALSAMHALL_GATEWAY_LOOP_WATCH_H_

#include <string_view>

#include "core/types.h"
#include "telemetry/metrics.h"

namespace balsamhall::gateway {

// A timer of the loop calls OnTimer; as late as it runs, so long has the loop
// been busy. Steps that may take long are measured by themselves and tell the
// cause. Logs at most one line a run of the timer. Not thread-safe.
class LoopWatch {
 public:
  // Interval of the timer. A turn that is longer than the sum of both is always
  // found, a shorter one if it began shortly before the timer was due.
  static constexpr Milliseconds kInterval{100};
  // A request that waits longer misses the shortest time-outs of the loop's
  // other work.
  static constexpr Milliseconds kThreshold{100};

  // Measures a step from its construction to its destruction.
  class Step {
   public:
    // name: outlives the watch.
    Step(LoopWatch& watch, std::string_view name);
    ~Step();
    Step(const Step&) = delete;
    Step& operator=(const Step&) = delete;

   private:
    LoopWatch& watch_;
    const std::string_view name_;
    const SteadyTime start_;
  };

  // The metrics must outlive the watch.
  explicit LoopWatch(Metrics& metrics) : metrics_(metrics) {}

  // Records how long a step has taken. name: outlives the watch.
  void OnStep(std::string_view name, SteadyTime::duration took);

  // The timer that was due at the first time runs at the second one. Logs
  // loop_busy if the loop, or a step since the last run, has taken longer than
  // kThreshold.
  void OnTimer(SteadyTime due, SteadyTime now);

 private:
  Metrics& metrics_;
  SteadyTime::duration longest_turn_{0};  // since the start
  // The longest step since the last run of the timer.
  std::string_view step_;
  SteadyTime::duration step_took_{0};
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_LOOP_WATCH_H_
