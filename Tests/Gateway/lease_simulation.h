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

// What the simulated fleet does, beside the guards.
struct SimulationOptions {
  // Grants and releases name their endpoint on the wire, and a process with
  // another id refuses them. Otherwise any process at the address takes them.
  bool calls_name_endpoint = true;
  // Endpoints also end and start again, under the same or another id, while the
  // registry shows the ended process.
  bool hidden_restarts = false;
  // The store states eras, and comes back from a copy that lacks its last
  // records.
  bool restores = false;
  // Records that come back are taken for records of the new era.
  bool old_records_count_as_new = false;
  // An append counts as done or not, whatever era its response states.
  bool trust_appends_of_any_era = false;
};

// The process at an endpoint's address, with the grants, fences and releases
// that the users' protocol page describes. Its lease clock runs 2% slow.
class SimulatedEndpoint {
 public:
  SimulatedEndpoint(LeaseHolder holder, SimulationOptions options)
      : holder_(std::move(holder)), options_(options) {}

  CallOutcome Grant(const GrantCall& call, BootTime arrival, BootTime now);
  CallOutcome Release(const ReleaseCall& call);
  bool Holds(ShardKey key, BootTime now) const;
  // Fence of the last accepted grant of the key; 0 if there was none.
  std::uint64_t Fence(ShardKey key) const;
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
  SimulationOptions options_;
  // By key; only watched keys have an entry.
  std::map<ShardKey, KeyState> keys_;
  KeyState& StateOf(ShardKey key);
  bool IsForAnother(const LeaseHolder& named) const;
};

struct SimulationResult {
  std::optional<std::string> violation;  // two holders of a key at once
  // The first grant that a process accepted with a fence that was not above
  // every fence with which another process had the key.
  std::optional<std::string> fence_violation;
  std::optional<std::string> unserved;  // a key without holder at the end
  int moves = 0;                        // appended tables
  int restores = 0;
  // Steps at which a watched key had no holder, summed over the keys.
  int unserved_steps = 0;
};

// Runs one seed: about a minute with faults, then a recovery phase without
// any, after which every key must have a holder within two seconds.
SimulationResult RunLeaseSimulation(std::uint32_t seed,
                                    LeaseKeeper::Guards guards,
                                    SimulationOptions options = {});

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_TESTS_GATEWAY_LEASE_SIMULATION_H_
