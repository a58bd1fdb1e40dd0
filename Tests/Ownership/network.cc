#include "Ownership/network.h"

namespace balsamhall::ownership_test {
namespace {

// Wall-clock time at which every run starts.
constexpr VirtualTime kRunStartWallTime{1'800'000'000'000'000};

}  // namespace

Process::Process(Simulation* simulation, std::string name,
                 std::string data_centre)
    : simulation_(simulation),
      name_(std::move(name)),
      data_centre_(std::move(data_centre)) {}

void Process::Start() {
  running_ = true;
  paused_ = false;
  ++generation_;
  // Two clocks differ by at most the drift ratio of 1%, and wall clocks by at
  // most the skew bound of 2 s.
  clock_rate_ =
      1 + static_cast<double>(simulation_->UniformInt(-4950, 4950)) / 1e6;
  clock_offset_ = simulation_->RandomDuration(Milliseconds(1'000'000),
                                              Milliseconds(9'000'000));
  wall_offset_ =
      simulation_->RandomDuration(Milliseconds(-800), Milliseconds(800));
}

void Process::Stop() {
  running_ = false;
  paused_ = false;
  deferred_.clear();
}

void Process::Pause() { paused_ = running_; }

void Process::Resume() {
  if (!paused_) return;
  paused_ = false;
  for (auto& step : std::exchange(deferred_, {})) Deliver(std::move(step));
}

void Process::Deliver(Simulation::Step step) {
  if (!running_) return;
  if (paused_) {
    deferred_.push_back(std::move(step));
    return;
  }
  step();
}

void Process::DeliverAfter(VirtualTime delay, Simulation::Step step) {
  simulation_->ScheduleAfter(delay, [this, generation = generation_,
                                     step = std::move(step)]() mutable {
    if (generation == generation_) Deliver(std::move(step));
  });
}

SteadyTime Process::Clock() const {
  const double elapsed =
      static_cast<double>(simulation_->now().count()) * clock_rate_;
  return SteadyTime(clock_offset_ +
                    VirtualTime(static_cast<std::int64_t>(elapsed)));
}

WallTime Process::WallClock() const {
  return WallTime(kRunStartWallTime + wall_offset_ + simulation_->now());
}

void Network::Send(const Process& from, Process* to, Simulation::Step step) {
  if (simulation_->Chance(faults_.duplicate)) SendOnce(from, to, step);
  SendOnce(from, to, std::move(step));
}

void Network::SendOnce(const Process& from, Process* to,
                       Simulation::Step step) {
  if (!CanReach(from.name(), to->name()) || simulation_->Chance(faults_.drop)) {
    return;
  }
  to->DeliverAfter(Delay(from.region() == to->region()), std::move(step));
}

VirtualTime Network::Delay(bool same_region) {
  const VirtualTime delay =
      same_region
          ? simulation_->RandomDuration(Milliseconds(0), Milliseconds(2))
          : simulation_->RandomDuration(Milliseconds(20), Milliseconds(24));
  if (!simulation_->Chance(faults_.delay)) return delay;
  return delay +
         simulation_->RandomDuration(Milliseconds(0), Milliseconds(400));
}

void Network::Block(const std::string& from, const std::string& to) {
  blocked_.emplace(from, to);
}

void Network::Unblock(const std::string& from, const std::string& to) {
  blocked_.erase({from, to});
}

bool Network::CanReach(const std::string& from, const std::string& to) const {
  return !blocked_.contains({from, to});
}

}  // namespace balsamhall::ownership_test
