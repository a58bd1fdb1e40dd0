// Plans which key ranges move to which endpoint.
#ifndef BALSAMHALL_GATEWAY_RANGE_PLANNER_H_
#define BALSAMHALL_GATEWAY_RANGE_PLANNER_H_

#include <span>
#include <vector>

#include "core/types.h"
#include "gateway/boot_clock.h"
#include "gateway/lease_table.h"

namespace balsamhall::gateway {

// Request load by key, which decays exponentially. Not thread-safe.
class KeyLoad {
 public:
  // Counts one request to each of the keys.
  void Add(std::span<const ShardKey> keys, BootTime now);

  // Returns kShardKeys + 1 values: for each index, the total load of all keys
  // below it. Each key has a small baseline load, so that unused keys count
  // too.
  std::vector<double> PrefixSums(BootTime now);

  // Returns the load of all keys. A request that has not decayed counts as 1.
  double Total(BootTime now);

 private:
  void Decay(BootTime now);

  std::vector<float> load_;  // empty until the first request
  BootTime decayed_at_;
};

struct EligibleEndpoint {
  LeaseHolder holder;
  double capacity = 1;  // slots divided by slowness
  bool cold = false;    // tolerates only few requests for now
};

struct RangeMove {
  KeyRange range;
  LeaseHolder to;

  bool operator==(const RangeMove&) const = default;
};

// Returns the maximum number of moves per plan that balance the load of this
// many endpoints.
//
// Load pattern: a hot range carries a fixed share of the load, so the number of
// endpoints that it has to be divided among grows with the fleet, while the
// time for it does not.
std::size_t MaxMovesPerPlan(std::size_t endpoints);

// Returns the moves that give every key an owner among the endpoints, followed
// by at most max_moves moves that take load off the busiest ones. Ranges that
// are not granted are not moved. A cold endpoint keeps its keys, but gets none
// unless all endpoints are cold.
//
// Load pattern: the hot keys are close together and change within seconds.
// Ranges are split by measured load, so a hot range is divided among several
// endpoints. The owner of a single hot key keeps it and loses its other keys.
//
// prefix_sums: from KeyLoad::PrefixSums. Preconditions: the endpoints are
// distinct and their capacities positive.
std::vector<RangeMove> PlanMoves(const LeaseTable& table,
                                 const std::vector<EligibleEndpoint>& endpoints,
                                 std::span<const double> prefix_sums,
                                 std::size_t max_moves);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_RANGE_PLANNER_H_
