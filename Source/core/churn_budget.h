// Rate limit for planned changes of ownership.
#ifndef BALSAMHALL_CORE_CHURN_BUDGET_H_
#define BALSAMHALL_CORE_CHURN_BUDGET_H_

#include <cstddef>

#include "core/types.h"

namespace balsamhall {

// Token bucket for the partitions of a service that may move for load balance,
// with a rate in moves per minute. Transfers that the loss of an endpoint or
// router forces are not counted. Not thread-safe.
class ChurnBudget {
 public:
  // Starts with the moves of one minute. A negative rate counts as 0.
  ChurnBudget(double moves_per_minute, SteadyTime now);

  // Changes the rate. A router that is primary of only some of the service's
  // endpoints passes its share of the service's rate.
  void set_moves_per_minute(double moves_per_minute, SteadyTime now);

  // Returns the number of partitions that may move now.
  std::size_t Available(SteadyTime now);

  // Removes moves from the budget. Precondition: moves <= Available(now), else
  // an invariant violation is reported.
  void Take(std::size_t moves, SteadyTime now);

 private:
  void Refill(SteadyTime now);

  double moves_per_minute_;
  double tokens_;
  SteadyTime last_refill_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_CHURN_BUDGET_H_
