// Simulates gateways, endpoints and a store under faults, to test LeaseKeeper.
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

// The process at an endpoint's address, with the grants, fences and releases
// that the users' protocol page describes. Its lease clock runs 2% slow.
class SimulatedEndpoint {
 public:
  explicit SimulatedEndpoint(LeaseHolder holder) : holder_(std::move(holder)) {}

  CallOutcome Grant(const GrantCall& call, BootTime arrival, BootTime now);
  void Release(const ReleaseCall& call);
  bool Holds(ShardKey key, BootTime now) const;
  // Starts another process at the address, with no earlier state.
  void Restart(EndpointRef process);

  const LeaseHolder& holder() const { return holder_; }
  bool up = true;

 private:
  struct KeyState {
    std::uint64_t fence = 0;
    std::uint64_t highest_fence = 0;
    BootTime end;
  };
  static constexpr std::size_t kCells = 64;  // cells of 1,024 keys
  static constexpr std::size_t kCellKeys = kShardKeys / kCells;

  LeaseHolder holder_;
  // By key; only watched keys have an entry.
  std::map<ShardKey, KeyState> keys_;
  KeyState& StateOf(ShardKey key);
};

struct SimulationResult {
  std::optional<std::string> violation;  // two holders of a key at once
  std::optional<std::string> unserved;   // a key without holder at the end
  int moves = 0;                         // appended tables
};

// Runs one seed: about a minute with faults, then a recovery phase without any,
// at whose end every key must have a holder.
SimulationResult RunLeaseSimulation(std::uint32_t seed,
                                    LeaseKeeper::Guards guards);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_TESTS_GATEWAY_LEASE_SIMULATION_H_
