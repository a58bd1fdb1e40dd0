// Gateways, endpoints and a store in simulated time, to attack LeaseKeeper.
#ifndef BALSAMHALL_TESTS_GATEWAY_LEASE_SIMULATION_H_
#define BALSAMHALL_TESTS_GATEWAY_LEASE_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway/lease_keeper.h"

namespace balsamhall::gateway {

// Grants, fences and releases as the users' protocol page describes them. The
// clock that measures leases runs 2% slow.
class SimulatedEndpoint {
 public:
  explicit SimulatedEndpoint(LeaseHolder holder) : holder_(std::move(holder)) {}

  CallOutcome Grant(const GrantCall& call, BootTime arrival, BootTime now);
  void Release(const ReleaseCall& call);
  bool Holds(ShardKey key, BootTime now) const;
  // Starts again under the same id: knows nothing of before.
  void Restart(std::int64_t incarnation);

  const LeaseHolder& holder() const { return holder_; }
  bool up = true;
  bool registered = true;

 private:
  struct KeyState {
    std::uint64_t fence = 0;
    std::uint64_t highest_fence = 0;
    BootTime end;
  };
  static constexpr std::size_t kCells = 64;  // cells of 1,024 keys
  static constexpr std::size_t kCellKeys = kShardKeys / kCells;

  LeaseHolder holder_;
  // By key; only the keys that ranges were cut at are kept apart.
  std::map<ShardKey, KeyState> keys_;
  KeyState& StateOf(ShardKey key);
};

struct SimulationResult {
  std::optional<std::string> violation;  // two holders of a key
  std::optional<std::string> unserved;   // no holder after all faults
  int moves = 0;
};

// Runs one seed: about a minute of faults, then quiet until all must be served.
SimulationResult RunLeaseSimulation(std::uint32_t seed,
                                    LeaseKeeper::Guards guards);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_TESTS_GATEWAY_LEASE_SIMULATION_H_
