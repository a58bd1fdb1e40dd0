// What a focused benchmark measures: one decision over a fake of its interface.
#ifndef BALSAMHALL_TESTS_BENCHMARKS_SCENARIO_H_
#define BALSAMHALL_TESTS_BENCHMARKS_SCENARIO_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamhall {

struct Sample {
  std::string variant;  // "policy" or the name of a baseline
  std::string measure;
  double value = 0;
};

struct Target {
  std::string measure;
  double bound = 0;
  bool at_least = false;
};

struct Scenario {
  std::string name;
  // Runs policy and baselines with the same seed.
  std::function<std::vector<Sample>(std::uint64_t seed)> run;
  std::vector<Target> targets;  // for the policy, worst seed
};

Scenario BackgroundFloodScenario();
Scenario LongBackgroundFloodScenario();
Scenario UrgentFloodScenario();
Scenario ZipfBalanceScenario();
Scenario LossAndReturnScenario();
Scenario HotSetScenario();
Scenario MisleadingLoadScenario();
Scenario RetryScenario();
Scenario LinkScenario();

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_BENCHMARKS_SCENARIO_H_
