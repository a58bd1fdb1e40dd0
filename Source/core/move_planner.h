// Plans moves of partitions that balance load over the endpoints of a service.
#ifndef BALSAMHALL_CORE_MOVE_PLANNER_H_
#define BALSAMHALL_CORE_MOVE_PLANNER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "core/assignment_planner.h"
#include "core/types.h"

namespace balsamhall {

struct MovePlanInput {
  EndpointId self;  // the endpoint to move partitions away from
  // Load of the partitions that self owns and that may move now.
  std::map<PartitionId, double> partition_load;
  // All endpoints of the service as last gossiped, self included.
  std::vector<EndpointLoad> endpoints;
  schema::PolicyConfig policy;
  std::size_t service_partitions = 0;  // partitions of the whole service
  std::size_t max_moves = 0;
};

struct PlannedMove {
  PartitionId partition = 0;
  EndpointId target;
};

// Returns moves away from self that lower the maximum load, as few as possible.
// Above policy.move_threshold times the mean (default 1.10), self moves load
// away until it is halfway from the threshold back to the mean. The ratio of
// policy.churn_weight to policy.service_weight shifts that point and scales the
// minimum gain of a move. While an endpoint is underloaded (below 0.75 times
// the mean), those above the mean also move load away. Without measured load,
// partitions are balanced by count. Every primary plans independently from the
// same gossiped loads, so the headroom of a target is divided among the
// endpoints in proportion to their excess load. Thread-safe.
std::vector<PlannedMove> PlanMoves(const MovePlanInput& input);

// Returns the share of the service's churn budget that self may use, from 0 to
// 1: its share of the excess load of all accepting endpoints, as last gossiped.
// Without measured load, the accepting endpoints share equally. 0 if self does
// not accept partitions. Thread-safe.
double BudgetShare(const MovePlanInput& input);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_MOVE_PLANNER_H_
