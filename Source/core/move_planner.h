// Plans moves of partitions that balance the load of a service.
#ifndef BALSAMHALL_CORE_MOVE_PLANNER_H_
#define BALSAMHALL_CORE_MOVE_PLANNER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "core/assignment_planner.h"
#include "core/types.h"

namespace balsamhall {

struct MovePlanInput {
  EndpointId self;
  // The partitions that self owns and that may move now, with their load.
  std::map<PartitionId, double> partition_load;
  // All endpoints of the service as last gossiped, self included.
  std::vector<EndpointLoad> endpoints;
  schema::PolicyConfig policy;
  std::size_t service_partitions = 0;
  std::size_t max_moves = 0;  // greatest number of moves
};

struct PlannedMove {
  PartitionId partition = 0;
  EndpointId target;
};

// Returns the moves away from self that lower the maximum, fewest first. Above
// policy.move_threshold x mean (default 1.10) self sheds load until it is half
// way back to the mean; policy.churn_weight against policy.service_weight
// shifts that point and the least gain of a move. An endpoint that is nearly
// empty (below 0.75 x mean) also attracts load from those above the mean.
// Without measured load, partitions are balanced by count. Every primary plans
// for itself from the same view, so the room of a target is divided among those
// that shed load. Thread-safe.
std::vector<PlannedMove> PlanMoves(const MovePlanInput& input);

// Returns the part of the service's churn budget that self may use: its part of
// the load that all endpoints have to shed, as last gossiped; 0..1.
// Thread-safe.
double BudgetShare(const MovePlanInput& input);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_MOVE_PLANNER_H_
