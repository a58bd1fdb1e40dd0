// Which keys should move to which endpoint.
#ifndef BALSAMHALL_GATEWAY_RANGE_PLANNER_H_
#define BALSAMHALL_GATEWAY_RANGE_PLANNER_H_

#include <span>
#include <vector>

#include "core/types.h"
#include "gateway/boot_clock.h"
#include "gateway/lease_table.h"

namespace balsamhall::gateway {

// Requests by key, older ones counting less. Not thread-safe.
class KeyLoad {
 public:
  void Add(std::span<const ShardKey> keys, BootTime now);

  // Returns the sums of the load of all keys below each index (kShardKeys + 1
  // values), with a small even load under it, so that unused keys weigh too.
  std::vector<double> PrefixSums(BootTime now);

  // Returns the load of all keys, in requests that count fully.
  double Total(BootTime now);

 private:
  void Decay(BootTime now);

  std::vector<float> load_;  // empty until the first request
  BootTime decayed_at_;
};

struct EligibleEndpoint {
  LeaseHolder holder;
  double capacity = 1;  // slots over slowness
};

struct RangeMove {
  KeyRange range;
  LeaseHolder to;

  bool operator==(const RangeMove&) const = default;
};

// Returns how many moves a plan may have to balance the load of this many
// endpoints.
//
// Load pattern: a hot stretch carries a fixed share of the load, so the number
// of endpoints that it has to be divided among grows with the fleet, and the
// time for it does not.
std::size_t MaxMovesPerPlan(std::size_t endpoints);

// Returns the moves that give every key an owner among the endpoints and take
// load off the busiest ones. Keys without a usable owner come first; beyond
// that at most max_moves. Ranges that are not granted are left alone.
//
// Load pattern: the busy keys lie close together and change within seconds.
// Ranges are cut by measured load, so a hot stretch is divided among several
// endpoints; from the owner of a single hot key everything else is moved away.
//
// prefix_sums: as of KeyLoad. Preconditions: the endpoints are distinct and
// their capacities positive.
std::vector<RangeMove> PlanMoves(const LeaseTable& table,
                                 const std::vector<EligibleEndpoint>& endpoints,
                                 std::span<const double> prefix_sums,
                                 std::size_t max_moves);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_RANGE_PLANNER_H_
