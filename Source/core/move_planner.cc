#include "core/move_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <tuple>

namespace balsamhall {
namespace {

constexpr double kDefaultMoveThreshold = 1.10;
// Endpoints below this share of the mean load count as underloaded. Far from 1,
// so that noise of the measured load causes no moves.
constexpr double kUnderloadedRatio = 0.75;
// Minimum gain of a move as a share of the mean load, at equal weights. The
// gain is the decrease of the higher load of source and target.
constexpr double kMinGainRatio = 0.005;

struct Target {
  EndpointId id;
  double load = 0;
  double headroom = 0;  // load that self may move there
};

// Bounds derived from the mean load and the policy.
struct Bounds {
  double mean = 0;
  double trigger = 0;  // endpoints above this load move load away
  double stop = 0;     // until they are down to this load
  double min_gain = 0;
};

Bounds ComputeBounds(double mean, const schema::PolicyConfig& policy) {
  const double threshold = policy.move_threshold() > 1 ? policy.move_threshold()
                                                       : kDefaultMoveThreshold;
  const double churn_weight =
      policy.churn_weight() > 0 ? policy.churn_weight() : 1;
  const double service_weight =
      policy.service_weight() > 0 ? policy.service_weight() : 1;
  const double weight = std::clamp(churn_weight / service_weight, 0.1, 10.0);
  return {mean, mean * threshold,
          mean * (1 + (threshold - 1) * weight / (1 + weight)),
          mean * kMinGainRatio * weight};
}

// Returns the load that an endpoint has to move away under these bounds.
double ExcessLoad(const EndpointLoad& endpoint, const Bounds& bounds,
                  bool has_underloaded) {
  if (endpoint.load > bounds.trigger) return endpoint.load - bounds.stop;
  if (has_underloaded && endpoint.load > bounds.mean) {
    return endpoint.load - bounds.mean;
  }
  return 0;
}

using PartitionsByLoad =
    std::vector<std::pair<double, PartitionId>>;  // ascending

// Returns the partition to move next: the smallest that removes the excess in
// one move, else the largest that fits.
PartitionsByLoad::const_iterator BestFit(const PartitionsByLoad& partitions,
                                         double excess, double headroom) {
  const auto enough = std::ranges::lower_bound(
      partitions, excess, {}, &PartitionsByLoad::value_type::first);
  if (enough != partitions.end() && enough->first <= headroom) return enough;
  const auto above =
      std::ranges::upper_bound(partitions, std::min(excess, headroom), {},
                               &PartitionsByLoad::value_type::first);
  return above == partitions.begin() ? partitions.end() : std::prev(above);
}

struct ExcessLoads {
  double self = 0;
  double total = 0;  // of all accepting endpoints
};

ExcessLoads ComputeExcess(const EndpointLoad& self,
                          const std::vector<EndpointLoad>& accepting,
                          const Bounds& bounds) {
  const bool has_underloaded =
      std::ranges::any_of(accepting, [&](const auto& endpoint) {
        return endpoint.load < kUnderloadedRatio * bounds.mean;
      });
  ExcessLoads excess_loads{ExcessLoad(self, bounds, has_underloaded), 0};
  for (const auto& endpoint : accepting) {
    excess_loads.total += ExcessLoad(endpoint, bounds, has_underloaded);
  }
  return excess_loads;
}

// Returns the minimum gain of a move. It prevents moves of partitions with
// little load, but is lower for an endpoint that has only small partitions,
// because some of them have to move.
double MinGain(const MovePlanInput& input, const EndpointLoad& self,
               const Bounds& bounds) {
  const auto own_count = static_cast<double>(input.partition_load.size());
  return std::min(bounds.min_gain, self.load / std::max(1.0, own_count) / 2);
}

std::vector<PlannedMove> PlanByLoad(const MovePlanInput& input,
                                    const EndpointLoad& self,
                                    const std::vector<EndpointLoad>& accepting,
                                    const Bounds& bounds) {
  const ExcessLoads excess_loads = ComputeExcess(self, accepting, bounds);
  double excess = excess_loads.self;
  if (excess <= 0) return {};
  const double share = excess / excess_loads.total;

  std::vector<Target> targets;
  for (const auto& endpoint : accepting) {
    const double headroom = bounds.stop - endpoint.load;
    if (endpoint.endpoint == self.endpoint || headroom <= 0) continue;
    targets.push_back({endpoint.endpoint, endpoint.load, headroom * share});
  }
  PartitionsByLoad partitions;
  for (const auto& [partition, load] : input.partition_load) {
    partitions.emplace_back(load, partition);
  }
  std::ranges::sort(partitions);

  const double min_gain = MinGain(input, self, bounds);
  std::vector<PlannedMove> moves;
  double load = self.load;
  while (moves.size() < input.max_moves && excess > 0 && !targets.empty()) {
    const auto target =
        std::ranges::max_element(targets, {}, &Target::headroom);
    const auto fit = BestFit(partitions, excess, target->headroom);
    if (fit == partitions.end()) break;
    const double moved = fit->first;
    if (load - std::max(load - moved, target->load + moved) < min_gain) {
      break;
    }
    moves.push_back({fit->second, target->id});
    partitions.erase(fit);
    load -= moved;
    excess -= moved;
    target->load += moved;
    target->headroom -= moved;
  }
  return moves;
}

// Plans one move, for partitions too heavy for self's share of the headroom. An
// overloaded endpoint takes its target by rank: the heaviest endpoint takes the
// lightest target, the second heaviest the second lightest, and so on, so that
// they don't all choose the same one.
std::vector<PlannedMove> PlanSingleMove(const MovePlanInput& input,
                                        const EndpointLoad& self,
                                        std::vector<EndpointLoad> accepting,
                                        const Bounds& bounds) {
  const ExcessLoads excess_loads = ComputeExcess(self, accepting, bounds);
  if (excess_loads.self <= 0) return {};
  std::ranges::sort(accepting, [](const auto& a, const auto& b) {
    return std::tie(a.load, a.endpoint) < std::tie(b.load, b.endpoint);
  });
  const auto heavier_count = static_cast<std::size_t>(
      accepting.end() -
      std::ranges::find(accepting, self.endpoint, &EndpointLoad::endpoint) - 1);
  const bool overloaded = self.load > bounds.trigger;
  const EndpointLoad& target =
      accepting[overloaded ? heavier_count % accepting.size() : 0];
  const double headroom = overloaded
                              ? self.load - target.load
                              : (bounds.stop - target.load) /
                                    static_cast<double>(heavier_count + 1);
  std::optional<PlannedMove> best;
  double best_gain = MinGain(input, self, bounds);
  for (const auto& [partition, load] : input.partition_load) {
    const double gain =
        self.load - std::max(self.load - load, target.load + load);
    if (load <= headroom && gain > best_gain) {
      best_gain = gain;
      best = PlannedMove{partition, target.endpoint};
    }
  }
  if (!best || target.endpoint == self.endpoint) return {};
  return {*best};
}

// Plans moves that even out the number of partitions.
std::vector<PlannedMove> PlanByCount(const MovePlanInput& input,
                                     const EndpointLoad& self,
                                     std::vector<EndpointLoad> accepting) {
  const std::size_t min_count = input.service_partitions / accepting.size();
  const std::size_t max_count =
      (input.service_partitions + accepting.size() - 1) / accepting.size();
  std::size_t own_count = self.partitions;
  std::vector<PlannedMove> moves;
  for (const auto& [partition, load] : input.partition_load) {
    const auto target =
        std::ranges::min_element(accepting, {}, &EndpointLoad::partitions);
    if (own_count <= max_count || target->partitions >= min_count ||
        moves.size() >= input.max_moves) {
      break;
    }
    moves.push_back({partition, target->endpoint});
    ++target->partitions;
    --own_count;
  }
  return moves;
}

double TotalLoad(const std::vector<EndpointLoad>& endpoints) {
  return std::accumulate(
      endpoints.begin(), endpoints.end(), 0.0,
      [](double sum, const auto& endpoint) { return sum + endpoint.load; });
}

std::vector<EndpointLoad> AcceptingEndpoints(
    const std::vector<EndpointLoad>& endpoints) {
  std::vector<EndpointLoad> accepting;
  std::ranges::copy_if(endpoints, std::back_inserter(accepting),
                       &EndpointLoad::accepting);
  return accepting;
}

}  // namespace

std::vector<PlannedMove> PlanMoves(const MovePlanInput& input) {
  const auto self =
      std::ranges::find(input.endpoints, input.self, &EndpointLoad::endpoint);
  const auto accepting = AcceptingEndpoints(input.endpoints);
  // The partitions of a draining endpoint are moved away by another rule.
  if (self == input.endpoints.end() || !self->accepting ||
      accepting.size() < 2 || input.max_moves == 0) {
    return {};
  }
  const double sum = TotalLoad(accepting);
  if (sum <= 0) return PlanByCount(input, *self, accepting);
  const Bounds bounds =
      ComputeBounds(sum / static_cast<double>(accepting.size()), input.policy);
  auto moves = PlanByLoad(input, *self, accepting, bounds);
  if (moves.empty()) moves = PlanSingleMove(input, *self, accepting, bounds);
  return moves;
}

double BudgetShare(const MovePlanInput& input) {
  const auto self =
      std::ranges::find(input.endpoints, input.self, &EndpointLoad::endpoint);
  const auto accepting = AcceptingEndpoints(input.endpoints);
  if (self == input.endpoints.end() || !self->accepting) return 0;
  const auto endpoint_count = static_cast<double>(accepting.size());
  const double sum = TotalLoad(accepting);
  if (sum <= 0) return 1 / endpoint_count;
  const ExcessLoads excess_loads = ComputeExcess(
      *self, accepting, ComputeBounds(sum / endpoint_count, input.policy));
  return excess_loads.total > 0 ? excess_loads.self / excess_loads.total : 0;
}

}  // namespace balsamhall
