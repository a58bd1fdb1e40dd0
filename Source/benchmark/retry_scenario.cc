// Load that retries add while a part of the attempts is refused.
#include <algorithm>
#include <random>

#include "dispatch/baseline_unbudgeted_retries.h"
#include "dispatch/retry_budget.h"
#include "scenario.h"

namespace balsamhall {
namespace {

constexpr int kTicks = 600;  // of 100 ms
constexpr int kFaultFrom = 200;
constexpr int kFaultTo = 500;
constexpr double kRequestsPerTick = 100;
constexpr double kCapacityPerTick = 120;
constexpr double kRefusalCost = 0.1;  // of an answer
constexpr std::uint32_t kMaxAttempts = 4;

struct Outcome {
  double requests = 0;
  double retries = 0;
  double answered = 0;
};

// A fake service: it answers what its capacity in a tick allows and refuses the
// rest. A refusal costs it a tenth of an answer, so retries displace answers.
template <typename OnRequest, typename TryRetry>
Outcome RunFault(double remaining, std::uint64_t seed, OnRequest on_request,
                 TryRetry try_retry) {
  Outcome outcome;
  std::mt19937_64 random(seed);
  std::vector<std::uint32_t> waiting;  // attempts made by each open request
  for (int tick = 0; tick < kTicks; ++tick) {
    const bool fault = tick >= kFaultFrom && tick < kFaultTo;
    const int fresh = std::poisson_distribution<int>(kRequestsPerTick)(random);
    const auto retried = waiting.size();
    waiting.insert(waiting.end(), fresh, 0);
    std::ranges::shuffle(waiting, random);
    if (fault) {
      outcome.requests += fresh;
      outcome.retries += static_cast<double>(retried);
    }
    const double capacity = kCapacityPerTick * (fault ? remaining : 1);
    double answers =
        (capacity - kRefusalCost * static_cast<double>(waiting.size())) /
        (1 - kRefusalCost);
    std::vector<std::uint32_t> again;
    for (const auto attempts : waiting) {
      if (attempts == 0) on_request();
      if (answers >= 1) {
        answers -= 1;
        if (fault) ++outcome.answered;
      } else if (try_retry(attempts + 1)) {
        again.push_back(attempts + 1);
      }
    }
    waiting = std::move(again);
  }
  return outcome;
}

std::vector<Sample> RunRetries(std::uint64_t seed) {
  std::vector<Sample> samples;
  const std::vector<std::pair<std::string, double>> faults{
      {"half of the capacity lost", 0.5}, {"all capacity lost", 0.0}};
  for (const auto& [name, remaining] : faults) {
    RetryBudget budget(0.1);
    const Outcome policy = RunFault(
        remaining, seed, [&budget] { budget.OnRequest(); },
        [&budget](std::uint32_t attempts) {
          return attempts < kMaxAttempts &&
                 budget.TryRetry(schema::RANK_URGENT);
        });
    const UnbudgetedRetries unbudgeted(kMaxAttempts);
    const Outcome baseline = RunFault(
        remaining, seed, [] {},
        [&unbudgeted](std::uint32_t attempts) {
          return unbudgeted.TryRetry(attempts);
        });
    const std::string added = "retries / requests, " + name;
    const std::string answered = "answers / requests, " + name;
    samples.push_back({"policy", added, policy.retries / policy.requests});
    samples.push_back(
        {"unbudgeted", added, baseline.retries / baseline.requests});
    samples.push_back({"policy", answered, policy.answered / policy.requests});
    samples.push_back(
        {"unbudgeted", answered, baseline.answered / baseline.requests});
  }
  return samples;
}

}  // namespace

Scenario RetryScenario() {
  return {"retry-load",
          RunRetries,
          {{"retries / requests, half of the capacity lost", 0.10, false},
           {"retries / requests, all capacity lost", 0.10, false}}};
}

}  // namespace balsamhall
