// Bound on planned changes of ownership.
#ifndef BALSAMHALL_CORE_CHURN_BUDGET_H_
#define BALSAMHALL_CORE_CHURN_BUDGET_H_

#include <cstddef>

#include "core/types.h"

namespace balsamhall {

// Partitions per minute that may move for balance, per service. Forced
// transfers after a loss are not counted. Not thread-safe.
class ChurnBudget {
 public:
  // Starts with the moves of one minute.
  ChurnBudget(double moves_per_minute, SteadyTime now);

  // A router that is primary of only some of the service's endpoints passes its
  // part of the service's budget.
  void set_moves_per_minute(double moves_per_minute, SteadyTime now);

  // Returns the number of partitions that may move now.
  std::size_t Available(SteadyTime now);

  // Accounts for moves. Precondition: moves <= Available(now).
  void Take(std::size_t moves, SteadyTime now);

 private:
  void Refill(SteadyTime now);

  double moves_per_minute_;
  double tokens_;
  SteadyTime last_refill_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_CHURN_BUDGET_H_
