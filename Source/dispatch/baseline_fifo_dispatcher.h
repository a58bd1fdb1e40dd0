// Baseline: first in, first out, without ranks, admission control or floors.
#ifndef BALSAMHALL_DISPATCH_BASELINE_FIFO_DISPATCHER_H_
#define BALSAMHALL_DISPATCH_BASELINE_FIFO_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <map>

#include "dispatch/endpoint_dispatcher.h"

namespace balsamhall {

// For comparison only. Limits the running requests to the slots and bounds the
// queue; rejects a request whose deadline has passed when it reaches the head
// of the queue. Not thread-safe.
class FifoDispatcher {
 public:
  FifoDispatcher(std::uint32_t slots, std::size_t max_queued)
      : slots_(slots), max_queued_(max_queued) {}

  DispatchActions Submit(const DispatchRequest& request, SteadyTime now,
                         WallTime wall_now);
  DispatchActions Finish(Ticket ticket, const StoredResponsePtr& response,
                         SteadyTime now, WallTime wall_now);
  DispatchActions Tick(SteadyTime now, WallTime wall_now);

 private:
  struct Item {
    Ticket ticket = 0;
    SteadyTime deadline;
  };

  void StartReady(SteadyTime now, DispatchActions& actions);

  std::uint32_t slots_;
  std::size_t max_queued_;
  std::deque<Item> queue_;
  std::map<Ticket, SteadyTime> running_;  // with deadline
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_BASELINE_FIFO_DISPATCHER_H_
