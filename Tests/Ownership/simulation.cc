#include "Ownership/simulation.h"

#include <spdlog/fmt/fmt.h>

namespace balsamhall::ownership_test {
namespace {

constexpr std::size_t kMaxTraceEvents = 400;

}  // namespace

void Simulation::ScheduleAfter(VirtualTime delay, Step step) {
  queue_.emplace(std::pair(now_ + delay, next_step_++), std::move(step));
}

void Simulation::RunUntil(VirtualTime end) {
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto node = queue_.extract(queue_.begin());
    now_ = node.key().first;
    ++steps_;
    node.mapped()();
  }
  now_ = end;
}

std::int64_t Simulation::UniformInt(std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

VirtualTime Simulation::RandomDuration(Milliseconds low, Milliseconds high) {
  return VirtualTime(
      UniformInt(VirtualTime(low).count(), VirtualTime(high).count()));
}

bool Simulation::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void Simulation::Trace(const std::string& event) {
  trace_.push_back(fmt::format(
      "{:10.3f} ms {}", static_cast<double>(now_.count()) / 1000, event));
  if (trace_.size() > kMaxTraceEvents) trace_.pop_front();
}

void Simulation::PrintTrace(std::ostream& out) const {
  for (const std::string& line : trace_) out << line << '\n';
}

}  // namespace balsamhall::ownership_test
