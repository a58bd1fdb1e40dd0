#include "core/move_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <tuple>

namespace balsamhall {
namespace {

constexpr double kDefaultThreshold = 1.10;
// Below this share of the mean an endpoint counts as nearly empty. Far from 1,
// so that noise of the measured load causes no moves.
constexpr double kNearlyEmpty = 0.75;
// Least gain of a move in shares of the mean, at equal weights.
constexpr double kLeastGain = 0.005;

struct Target {
  EndpointId id;
  double load = 0;
  double room = 0;  // load that self may add
};

// Bounds derived from the mean load and the policy.
struct Bounds {
  double mean = 0;
  double trigger = 0;
  double stop = 0;  // self sheds down to this load
  double least_gain = 0;
};

Bounds BoundsOf(double mean, const schema::PolicyConfig& policy) {
  const double threshold =
      policy.move_threshold() > 1 ? policy.move_threshold() : kDefaultThreshold;
  const double churn = policy.churn_weight() > 0 ? policy.churn_weight() : 1;
  const double service =
      policy.service_weight() > 0 ? policy.service_weight() : 1;
  const double weight = std::clamp(churn / service, 0.1, 10.0);
  return {mean, mean * threshold,
          mean * (1 + (threshold - 1) * weight / (1 + weight)),
          mean * kLeastGain * weight};
}

// Load that an endpoint sheds under these bounds.
double Excess(const EndpointLoad& endpoint, const Bounds& bounds,
              bool nearly_empty) {
  if (endpoint.load > bounds.trigger) return endpoint.load - bounds.stop;
  if (nearly_empty && endpoint.load > bounds.mean) {
    return endpoint.load - bounds.mean;
  }
  return 0;
}

using Loads = std::vector<std::pair<double, PartitionId>>;  // ascending

// Returns the partition to move next: the smallest that removes the excess in
// one move, else the largest that fits.
Loads::const_iterator BestFit(const Loads& loads, double excess, double room) {
  const auto enough =
      std::ranges::lower_bound(loads, excess, {}, &Loads::value_type::first);
  if (enough != loads.end() && enough->first <= room) return enough;
  const auto above = std::ranges::upper_bound(loads, std::min(excess, room), {},
                                              &Loads::value_type::first);
  return above == loads.begin() ? loads.end() : std::prev(above);
}

struct Shedding {
  double self = 0;
  double all = 0;
};

Shedding SheddingOf(const EndpointLoad& self,
                    const std::vector<EndpointLoad>& accepting,
                    const Bounds& bounds) {
  const bool nearly_empty =
      std::ranges::any_of(accepting, [&](const auto& endpoint) {
        return endpoint.load < kNearlyEmpty * bounds.mean;
      });
  Shedding shedding{Excess(self, bounds, nearly_empty), 0};
  for (const auto& endpoint : accepting) {
    shedding.all += Excess(endpoint, bounds, nearly_empty);
  }
  return shedding;
}

// Least gain of a move. It spares partitions with little load, but an endpoint
// with nothing but small partitions has to shed some of them.
double LeastGain(const MovePlanInput& input, const EndpointLoad& self,
                 const Bounds& bounds) {
  const auto own = static_cast<double>(input.partition_load.size());
  return std::min(bounds.least_gain, self.load / std::max(1.0, own) / 2);
}

std::vector<PlannedMove> ByLoad(const MovePlanInput& input,
                                const EndpointLoad& self,
                                const std::vector<EndpointLoad>& accepting,
                                const Bounds& bounds) {
  const Shedding shedding = SheddingOf(self, accepting, bounds);
  double excess = shedding.self;
  if (excess <= 0) return {};
  const double part = excess / shedding.all;

  std::vector<Target> targets;
  for (const auto& endpoint : accepting) {
    const double room = bounds.stop - endpoint.load;
    if (endpoint.endpoint == self.endpoint || room <= 0) continue;
    targets.push_back({endpoint.endpoint, endpoint.load, room * part});
  }
  Loads loads;
  for (const auto& [partition, load] : input.partition_load) {
    loads.emplace_back(load, partition);
  }
  std::ranges::sort(loads);

  const double least_gain = LeastGain(input, self, bounds);
  std::vector<PlannedMove> moves;
  double load = self.load;
  while (moves.size() < input.budget && excess > 0 && !targets.empty()) {
    const auto target = std::ranges::max_element(targets, {}, &Target::room);
    const auto fit = BestFit(loads, excess, target->room);
    if (fit == loads.end()) break;
    const double moved = fit->first;
    if (load - std::max(load - moved, target->load + moved) < least_gain) {
      break;
    }
    moves.push_back({fit->second, target->id});
    loads.erase(fit);
    load -= moved;
    excess -= moved;
    target->load += moved;
    target->room -= moved;
  }
  return moves;
}

// One move, for partitions too heavy for the divided room. Self gives in its
// turn among those that shed load, heaviest first, so that they do not all
// choose the same target.
std::vector<PlannedMove> OneMove(const MovePlanInput& input,
                                 const EndpointLoad& self,
                                 std::vector<EndpointLoad> accepting,
                                 const Bounds& bounds) {
  const Shedding shedding = SheddingOf(self, accepting, bounds);
  if (shedding.self <= 0) return {};
  std::ranges::sort(accepting, [](const auto& a, const auto& b) {
    return std::tie(a.load, a.endpoint) < std::tie(b.load, b.endpoint);
  });
  const auto turn = static_cast<std::size_t>(
      accepting.end() -
      std::ranges::find(accepting, self.endpoint, &EndpointLoad::endpoint) - 1);
  const bool overloaded = self.load > bounds.trigger;
  const EndpointLoad& target =
      accepting[overloaded ? turn % accepting.size() : 0];
  const double room =
      overloaded ? self.load - target.load
                 : (bounds.stop - target.load) / static_cast<double>(turn + 1);
  std::optional<PlannedMove> best;
  double best_gain = LeastGain(input, self, bounds);
  for (const auto& [partition, load] : input.partition_load) {
    const double gain =
        self.load - std::max(self.load - load, target.load + load);
    if (load <= room && gain > best_gain) {
      best_gain = gain;
      best = PlannedMove{partition, target.endpoint};
    }
  }
  if (!best || target.endpoint == self.endpoint) return {};
  return {*best};
}

std::vector<PlannedMove> ByCount(const MovePlanInput& input,
                                 const EndpointLoad& self,
                                 std::vector<EndpointLoad> accepting) {
  const std::size_t low = input.service_partitions / accepting.size();
  const std::size_t high =
      (input.service_partitions + accepting.size() - 1) / accepting.size();
  std::size_t own = self.partitions;
  std::vector<PlannedMove> moves;
  for (const auto& [partition, load] : input.partition_load) {
    const auto target =
        std::ranges::min_element(accepting, {}, &EndpointLoad::partitions);
    if (own <= high || target->partitions >= low ||
        moves.size() >= input.budget) {
      break;
    }
    moves.push_back({partition, target->endpoint});
    ++target->partitions;
    --own;
  }
  return moves;
}

double Sum(const std::vector<EndpointLoad>& fleet) {
  return std::accumulate(
      fleet.begin(), fleet.end(), 0.0,
      [](double sum, const auto& endpoint) { return sum + endpoint.load; });
}

std::vector<EndpointLoad> Accepting(const std::vector<EndpointLoad>& fleet) {
  std::vector<EndpointLoad> accepting;
  std::ranges::copy_if(fleet, std::back_inserter(accepting),
                       &EndpointLoad::accepting);
  return accepting;
}

}  // namespace

std::vector<PlannedMove> PlanMoves(const MovePlanInput& input) {
  const auto self =
      std::ranges::find(input.fleet, input.self, &EndpointLoad::endpoint);
  const auto accepting = Accepting(input.fleet);
  // An endpoint that drains is emptied by its own rule, not for balance.
  if (self == input.fleet.end() || !self->accepting || accepting.size() < 2 ||
      input.budget == 0) {
    return {};
  }
  const double sum = Sum(accepting);
  if (sum <= 0) return ByCount(input, *self, accepting);
  const Bounds bounds =
      BoundsOf(sum / static_cast<double>(accepting.size()), input.policy);
  auto moves = ByLoad(input, *self, accepting, bounds);
  if (moves.empty()) moves = OneMove(input, *self, accepting, bounds);
  return moves;
}

double BudgetShare(const MovePlanInput& input) {
  const auto self =
      std::ranges::find(input.fleet, input.self, &EndpointLoad::endpoint);
  const auto accepting = Accepting(input.fleet);
  if (self == input.fleet.end() || !self->accepting) return 0;
  const auto endpoints = static_cast<double>(accepting.size());
  const double sum = Sum(accepting);
  if (sum <= 0) return 1 / endpoints;
  const Shedding shedding =
      SheddingOf(*self, accepting, BoundsOf(sum / endpoints, input.policy));
  return shedding.all > 0 ? shedding.self / shedding.all : 0;
}

}  // namespace balsamhall
