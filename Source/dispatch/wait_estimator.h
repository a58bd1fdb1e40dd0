// Estimates how long a request waits in the queue of an endpoint.
#ifndef BALSAMHALL_DISPATCH_WAIT_ESTIMATOR_H_
#define BALSAMHALL_DISPATCH_WAIT_ESTIMATOR_H_

#include <cstdint>
#include <vector>

#include "core/types.h"
#include "dispatch/rank_queue.h"
#include "dispatch/rank_shares.h"

namespace balsamhall {

// State of the slots at the time of the estimate.
struct SlotState {
  std::uint32_t open = 1;  // slots that may be used
  std::uint32_t running = 0;
  // Slots that long-running work may hold.
  std::uint32_t long_running_limit = 1;
  std::uint32_t long_running = 0;
  // Expected remaining time of each running request, and of those that are
  // long-running.
  std::vector<Microseconds> remaining;
  std::vector<Microseconds> long_running_remaining;
  Microseconds until_long_running{0};  // until long_running_limit is above zero
};

// Returns the expected wait of a request that is queued now; zero if it would
// start at once. Thread-safe.
Microseconds ExpectedQueueWait(std::size_t rank, bool long_running,
                               const SlotState& slots, const RankQueue& queue,
                               const RankShares& shares);

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_WAIT_ESTIMATOR_H_
