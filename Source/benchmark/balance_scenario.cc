// Balance of keyed load: Zipf keys, loss and return, a changed hot set.
#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <set>

#include "core/assignment_planner.h"
#include "core/churn_budget.h"
#include "core/move_planner.h"
#include "core/partitioner.h"
#include "dispatch/baseline_modulo_hashing.h"
#include "scenario.h"

namespace balsamhall {
namespace {

constexpr std::uint32_t kPartitions = 1024;
constexpr int kEndpoints = 12;  // lookup service of the Association
constexpr int kKeys = 200'000;
constexpr double kRequestsPerSecond = 13'400;
constexpr std::chrono::seconds kRound{5};  // between two plans
constexpr double kDecaySeconds = 30;       // of the measured load

struct Key {
  std::string name;
  double rate = 0;  // requests per second
};

std::vector<Key> ZipfKeys(std::uint64_t seed, double exponent) {
  std::vector<Key> keys(kKeys);
  double sum = 0;
  for (int i = 0; i < kKeys; ++i) {
    keys[i].name = "asset-" + std::to_string(seed) + "-" + std::to_string(i);
    keys[i].rate = std::pow(i + 1, -exponent);
    sum += keys[i].rate;
  }
  for (auto& key : keys) key.rate *= kRequestsPerSecond / sum;
  return keys;
}

// The given keys, from first on, carry half of the load in equal parts; the
// rest is spread evenly.
std::vector<Key> HotKeys(std::uint64_t seed, int first, int hot) {
  auto keys = ZipfKeys(seed, 0);
  for (auto& key : keys) key.rate /= 2;
  for (int i = first; i < first + hot; ++i) {
    keys[i].rate += kRequestsPerSecond / 2 / hot;
  }
  return keys;
}

std::string Name(int endpoint) {
  return "endpoint-" + std::to_string(endpoint);
}

double MaxOverMean(const std::map<EndpointId, double>& load) {
  double sum = 0;
  double max = 0;
  for (const auto& [endpoint, value] : load) {
    sum += value;
    max = std::max(max, value);
  }
  return max / (sum / static_cast<double>(load.size()));
}

// A fake fleet: partitions with true rates, measured with noise and decay, and
// planned for by each endpoint's primary.
class Fleet {
 public:
  // With equal parts, each endpoint has the same part of the churn budget;
  // otherwise its part follows BudgetShare.
  Fleet(const std::vector<Key>& keys, std::uint64_t seed,
        bool equal_parts = false)
      : random_(seed), equal_parts_(equal_parts) {
    schema::ServiceConfig service;
    service.set_name("lookup");
    service.set_partitions(kPartitions);
    for (int i = 0; i < kEndpoints; ++i) {
      service.add_endpoints()->set_name(Name(i));
      alive_.insert(Name(i));
    }
    for (const auto owner : PlanInitialAssignment(service)) {
      owners_.push_back(Name(static_cast<int>(owner)));
    }
    SetKeys(keys);
    measured_ = rates_;
    for (int i = 0; i < kEndpoints; ++i) {
      budgets_.emplace(Name(i), ChurnBudget(0, now_));
    }
  }

  void SetKeys(const std::vector<Key>& keys) {
    rates_.assign(kPartitions, 0);
    for (const auto& key : keys) {
      rates_[PartitionOf(key.name, kPartitions)] += key.rate;
    }
  }

  // One planning round of all primaries, each from the same gossiped view.
  void Round() {
    now_ += kRound;
    Sample();
    const auto view = View();
    for (const auto& endpoint : alive_) {
      MovePlanInput input;
      input.self = endpoint;
      input.fleet = view;
      input.service_partitions = kPartitions;
      for (PartitionId p = 0; p < kPartitions; ++p) {
        if (owners_[p] == endpoint) input.partition_load[p] = measured_[p];
      }
      ChurnBudget& budget = budgets_.at(endpoint);
      // Default of the policy: 2% of the partitions per minute and service.
      const double part = equal_parts_ ? 1 / static_cast<double>(alive_.size())
                                       : BudgetShare(input);
      budget.set_moves_per_minute(part * 0.02 * kPartitions, now_);
      input.budget = budget.Available(now_);
      const auto moves = PlanMoves(input);
      budget.Take(moves.size(), now_);
      for (const auto& move : moves) owners_[move.partition] = move.target;
      moves_ += moves.size();
    }
  }

  void Lose(const EndpointId& lost) {
    alive_.erase(lost);
    std::map<PartitionId, double> orphans;
    for (PartitionId p = 0; p < kPartitions; ++p) {
      if (owners_[p] == lost) orphans[p] = measured_[p];
    }
    for (const auto& [partition, target] : ChooseTargets(orphans, View())) {
      owners_[partition] = target;
    }
    moves_ += orphans.size();
  }

  void Return(const EndpointId& endpoint) { alive_.insert(endpoint); }

  std::size_t Count(const EndpointId& endpoint) const {
    return static_cast<std::size_t>(std::ranges::count(owners_, endpoint));
  }
  double LoadOf(const EndpointId& endpoint) const {
    return TrueLoad().at(endpoint);
  }
  double Imbalance() const { return MaxOverMean(TrueLoad()); }
  std::size_t moves() const { return moves_; }

 private:
  std::map<EndpointId, double> TrueLoad() const {
    std::map<EndpointId, double> load;
    for (const auto& endpoint : alive_) load[endpoint] = 0;
    for (PartitionId p = 0; p < kPartitions; ++p) load[owners_[p]] += rates_[p];
    return load;
  }

  void Sample() {
    const double seconds = std::chrono::duration<double>(kRound).count();
    const double weight = 1 - std::exp(-seconds / kDecaySeconds);
    for (PartitionId p = 0; p < kPartitions; ++p) {
      const double mean = rates_[p] * seconds;
      const double seen =
          mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0;
      measured_[p] += weight * (seen / seconds - measured_[p]);
    }
  }

  std::vector<EndpointLoad> View() const {
    std::vector<EndpointLoad> view;
    for (const auto& endpoint : alive_) {
      EndpointLoad load{endpoint, 0, 0, true};
      for (PartitionId p = 0; p < kPartitions; ++p) {
        if (owners_[p] != endpoint) continue;
        load.load += measured_[p];
        ++load.partitions;
      }
      view.push_back(load);
    }
    return view;
  }

  std::mt19937_64 random_;
  bool equal_parts_;
  SteadyTime now_{std::chrono::hours{1}};
  std::set<EndpointId> alive_;
  std::vector<EndpointId> owners_;
  std::vector<double> rates_;     // true, by partition
  std::vector<double> measured_;  // by partition
  std::map<EndpointId, ChurnBudget> budgets_;
  std::size_t moves_ = 0;
};

std::vector<EndpointId> Endpoints(int count) {
  std::vector<EndpointId> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) endpoints.push_back(Name(i));
  return endpoints;
}

double ModuloImbalance(const std::vector<Key>& keys) {
  std::map<EndpointId, double> load;
  const auto endpoints = Endpoints(kEndpoints);
  for (const auto& key : keys) {
    load[ModuloOwner(key.name, endpoints)] += key.rate;
  }
  return MaxOverMean(load);
}

constexpr int kRoundsPerMinute = 12;
constexpr int kHot = 79;  // keys of the hot set

void Rounds(Fleet& fleet, int rounds) {
  for (int i = 0; i < rounds; ++i) fleet.Round();
}

std::vector<Sample> RunZipf(std::uint64_t seed) {
  std::vector<Sample> samples;
  for (const double exponent : {0.8, 1.0}) {
    const auto keys = ZipfKeys(seed, exponent);
    Fleet fleet(keys, seed);
    const std::string suffix = exponent == 1.0 ? ", s=1.0" : ", s=0.8";
    samples.push_back(
        {"modulo hashing", "max/mean" + suffix, ModuloImbalance(keys)});
    samples.push_back(
        {"before the first move", "max/mean" + suffix, fleet.Imbalance()});
    Rounds(fleet, 10 * kRoundsPerMinute);
    samples.push_back({"policy", "max/mean" + suffix, fleet.Imbalance()});
    const auto settled = fleet.moves();
    Rounds(fleet, 10 * kRoundsPerMinute);
    samples.push_back({"policy", "moves in minutes 1-10" + suffix,
                       static_cast<double>(settled)});
    samples.push_back({"policy", "moves in minutes 11-20" + suffix,
                       static_cast<double>(fleet.moves() - settled)});
  }
  return samples;
}

std::vector<Sample> RunLossAndReturn(std::uint64_t seed) {
  const auto keys = ZipfKeys(seed, 0.8);
  Fleet fleet(keys, seed);
  Rounds(fleet, 20 * kRoundsPerMinute);
  const EndpointId lost = Name(static_cast<int>(seed % kEndpoints));

  // Least possible: exactly the partitions of the lost endpoint.
  const auto least = static_cast<double>(fleet.Count(lost));
  auto before = fleet.moves();
  fleet.Lose(lost);
  Rounds(fleet, 10 * kRoundsPerMinute);
  const auto loss = static_cast<double>(fleet.moves() - before);
  const double after_loss = fleet.Imbalance();

  // Least possible by count: an equal share of the partitions.
  before = fleet.moves();
  fleet.Return(lost);
  Rounds(fleet, 10 * kRoundsPerMinute);
  const auto back = static_cast<double>(fleet.moves() - before);
  const double share = static_cast<double>(kPartitions) / kEndpoints;

  double changed = 0;
  const auto all = Endpoints(kEndpoints);
  const auto fewer = Endpoints(kEndpoints - 1);
  for (const auto& key : keys) {
    if (ModuloOwner(key.name, all) != ModuloOwner(key.name, fewer)) ++changed;
  }
  const double modulo = changed / kKeys * kEndpoints;
  return {{"policy", "churn / least, loss", loss / least},
          {"modulo hashing", "churn / least, loss", modulo},
          {"policy", "churn / least, return", back / share},
          {"modulo hashing", "churn / least, return", modulo},
          {"policy", "max/mean after loss", after_loss},
          {"policy", "max/mean after return", fleet.Imbalance()},
          {"policy", "returned load / mean",
           fleet.LoadOf(lost) / (kRequestsPerSecond / kEndpoints)}};
}

std::vector<Sample> RunHotSet(std::uint64_t seed) {
  const auto changed = HotKeys(seed, 1000, kHot);
  std::vector<Sample> samples{
      {"modulo hashing", "max/mean after", ModuloImbalance(changed)}};
  for (const bool equal_parts : {false, true}) {
    const std::string variant = equal_parts ? "equal budget parts" : "policy";
    Fleet fleet(HotKeys(seed, 0, kHot), seed, equal_parts);
    Rounds(fleet, 10 * kRoundsPerMinute);
    samples.push_back(
        {variant, "max/mean before the change", fleet.Imbalance()});
    fleet.SetKeys(changed);
    samples.push_back({variant, "max/mean at the change", fleet.Imbalance()});
    const auto before = fleet.moves();
    int rounds = 0;
    while (fleet.Imbalance() > 1.15 && rounds < 30 * kRoundsPerMinute) {
      fleet.Round();
      ++rounds;
    }
    samples.push_back({variant, "minutes until max/mean <= 1.15",
                       static_cast<double>(rounds) / kRoundsPerMinute});
    samples.push_back({variant, "moves until then",
                       static_cast<double>(fleet.moves() - before)});
    samples.push_back({variant, "max/mean after", fleet.Imbalance()});
  }
  return samples;
}

}  // namespace

Scenario ZipfBalanceScenario() {
  return {"zipf-balance",
          RunZipf,
          {{"max/mean, s=0.8", 1.15, false}, {"max/mean, s=1.0", 1.15, false}}};
}

Scenario LossAndReturnScenario() {
  return {"loss-and-return",
          RunLossAndReturn,
          {{"churn / least, loss", 1.1, false},
           {"churn / least, return", 1.1, false},
           {"max/mean after loss", 1.15, false},
           {"max/mean after return", 1.15, false}}};
}

Scenario HotSetScenario() {
  return {"hot-set", RunHotSet, {{"max/mean after", 1.15, false}}};
}

}  // namespace balsamhall
