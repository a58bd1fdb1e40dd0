// Assigns partitions to endpoints.
#ifndef BALSAMHALL_CORE_ASSIGNMENT_PLANNER_H_
#define BALSAMHALL_CORE_ASSIGNMENT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// Returns the index in service.endpoints of the first owner of each partition,
// by rendezvous hashing with bounded load: no endpoint receives more than the
// mean, rounded up, plus one. Empty if the service has no endpoints.
// Thread-safe.
std::vector<std::uint32_t> PlanInitialAssignment(
    const schema::ServiceConfig& service);

// Input of the planners: an endpoint with its load.
struct EndpointLoad {
  EndpointId endpoint;
  double load = 0;
  std::size_t partitions = 0;  // number of owned partitions
  bool accepting = true;       // may receive partitions
};

// Distributes partitions, given with their load, over the accepting endpoints:
// heaviest first, each to the endpoint with the lowest load so far, or the
// fewest partitions among equal loads. A partition without load goes to the
// endpoint with the fewest partitions. Empty if no endpoint accepts.
// Thread-safe.
std::map<PartitionId, EndpointId> ChooseTargets(
    const std::map<PartitionId, double>& partition_load,
    std::vector<EndpointLoad> endpoints);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_ASSIGNMENT_PLANNER_H_
