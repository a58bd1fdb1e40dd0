// Baseline: strict priority of ranks, without floors and without a slot
// reserved for short work.
#ifndef BALSAMHALL_DISPATCH_BASELINE_NO_RESERVATION_H_
#define BALSAMHALL_DISPATCH_BASELINE_NO_RESERVATION_H_

#include <utility>

#include "dispatch/endpoint_dispatcher.h"

namespace balsamhall {

// For comparison only. Not thread-safe.
class NoReservationDispatcher {
 public:
  NoReservationDispatcher(DispatcherOptions options, SteadyTime serving_since)
      : dispatcher_(WithoutFloors(options), serving_since, false) {}

  DispatchActions SetPartitions(const std::map<PartitionId, Fence>& partitions,
                                SteadyTime now, WallTime wall_now) {
    return dispatcher_.SetPartitions(partitions, now, wall_now);
  }
  DispatchActions Submit(DispatchRequest request, SteadyTime now,
                         WallTime wall_now) {
    request.long_running = false;
    return dispatcher_.Submit(std::move(request), now, wall_now);
  }
  DispatchActions Finish(Ticket ticket, StoredResponsePtr response,
                         SteadyTime now, WallTime wall_now) {
    return dispatcher_.Finish(ticket, std::move(response), now, wall_now);
  }
  DispatchActions Tick(SteadyTime now, WallTime wall_now) {
    return dispatcher_.Tick(now, wall_now);
  }

 private:
  static DispatcherOptions WithoutFloors(DispatcherOptions options) {
    options.floor_normal = 0;
    options.floor_background = 0;
    return options;
  }

  EndpointDispatcher dispatcher_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_BASELINE_NO_RESERVATION_H_
