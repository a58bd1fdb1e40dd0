// Virtual time, randomness and trace of one seeded run.
#ifndef BALSAMHALL_TESTS_OWNERSHIP_SIMULATION_H_
#define BALSAMHALL_TESTS_OWNERSHIP_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <ostream>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"

namespace balsamhall::ownership_test {

// Global time of the run; processes see it only through their own clocks.
using VirtualTime = Microseconds;

class FailedCheck : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Simulation {
 public:
  using Step = std::function<void()>;

  explicit Simulation(std::uint64_t seed) : random_(seed) {}

  VirtualTime now() const { return now_; }
  std::uint64_t steps() const { return steps_; }

  void ScheduleAfter(VirtualTime delay, Step step);
  // Runs the steps due until the given time, and advances the time to it.
  void RunUntil(VirtualTime end);

  // Random values, all determined by the seed.
  std::int64_t UniformInt(std::int64_t low, std::int64_t high);
  VirtualTime RandomDuration(Milliseconds low, Milliseconds high);
  bool Chance(double probability);
  std::uint64_t RandomBits() { return random_(); }
  template <typename T>
  T& Pick(std::vector<T>& items) {
    return items[static_cast<std::size_t>(
        UniformInt(0, static_cast<std::int64_t>(items.size()) - 1))];
  }

  void Trace(const std::string& event);
  void PrintTrace(std::ostream& out) const;

 private:
  std::mt19937_64 random_;
  VirtualTime now_{0};
  std::uint64_t steps_ = 0;
  std::uint64_t next_step_ = 0;
  std::map<std::pair<VirtualTime, std::uint64_t>, Step> queue_;
  std::deque<std::string> trace_;
};

}  // namespace balsamhall::ownership_test

#endif  // BALSAMHALL_TESTS_OWNERSHIP_SIMULATION_H_
