// Plans which endpoint owns which partition.
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

struct EndpointLoad {
  EndpointId endpoint;
  double load = 0;
  std::size_t partitions = 0;
  bool accepting = true;
};

// Distributes partitions, given with their load, over the accepting endpoints:
// heaviest first, to the endpoint with the lowest resulting load. Partitions
// without load go to the endpoint with the fewest partitions, which also
// breaks ties. Empty if no endpoint accepts. Thread-safe.
std::map<PartitionId, EndpointId> ChooseTargets(
    const std::map<PartitionId, double>& partition_load,
    std::vector<EndpointLoad> endpoints);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_ASSIGNMENT_PLANNER_H_
