#include "Soak/soak.h"

#include "Soak/soak_run.h"

namespace balsamhall::soak {
namespace {

// For processes that start at the same time.
constexpr Milliseconds kStartLimit{10'000};
constexpr Milliseconds kSeriesStartLimit{40'000};
// After all faults: until a configuration is in force, and some probes.
constexpr Milliseconds kSettle{6'000};

}  // namespace

SoakResult Soak::Run() {
  if (!AwaitService(options_.series ? kSeriesStartLimit : kStartLimit)) {
    return std::move(result_);
  }
  const auto start = std::chrono::steady_clock::now();
  start_ = start;
  for (std::size_t i = 0; i < options_.callers; ++i) Call(i, i);
  if (options_.series) {
    WatchLag(start);
    for (std::size_t i = 0; i < options_.callers; ++i) AddLoneCaller(i);
    for (Gateway& gateway : gateways_) {
      ProbeConfiguration(gateway, 0);
      if (options_.cut_connections) CutConnections(gateway);
    }
  }
  const auto faults_end = start + options_.faults;
  auto next_fault = start + Milliseconds(500);
  while (std::chrono::steady_clock::now() < faults_end) {
    if (std::chrono::steady_clock::now() >= next_fault) {
      if (options_.stand_still) {
        InjectStandStill();
      } else {
        options_.series ? InjectSeries() : InjectFault();
      }
      next_fault =
          std::chrono::steady_clock::now() +
          (options_.stand_still ? Between(1'000, 5'000) : Between(100, 1'200));
    }
    Step();
  }
  Heal();
  const auto healed = std::chrono::steady_clock::now();
  AwaitService(kRecover);
  if (options_.series) StepUntil(healed + kSettle);
  calling_ = false;
  StepUntil(std::chrono::steady_clock::now() + kCallerPatience);
  CheckRuns();
  for (Gateway& gateway : gateways_) gateway.process.reset();
  return std::move(result_);
}

SoakResult RunSoak(const SoakOptions& options, std::uint32_t seed) {
  return Soak(options, seed).Run();
}

}  // namespace balsamhall::soak
