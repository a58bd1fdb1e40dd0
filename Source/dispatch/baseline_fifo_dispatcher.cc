#include "dispatch/baseline_fifo_dispatcher.h"

namespace balsamhall {

DispatchActions FifoDispatcher::Submit(const DispatchRequest& request,
                                       SteadyTime now, WallTime) {
  DispatchActions actions;
  if (queue_.size() >= max_queued_) {
    actions.push_back(
        RejectRequest{request.ticket, ResultCode::kNotRunQueueFull});
  } else {
    queue_.push_back({request.ticket, request.deadline});
  }
  StartReady(now, actions);
  return actions;
}

DispatchActions FifoDispatcher::Finish(Ticket ticket, const StoredResponsePtr&,
                                       SteadyTime now, WallTime) {
  DispatchActions actions;
  running_.erase(ticket);
  StartReady(now, actions);
  return actions;
}

DispatchActions FifoDispatcher::Tick(SteadyTime now, WallTime) {
  DispatchActions actions;
  for (auto& [ticket, deadline] : running_) {
    if (deadline > now) continue;
    actions.push_back(CancelWork{ticket});
    deadline = SteadyTime::max();
  }
  return actions;
}

void FifoDispatcher::StartReady(SteadyTime now, DispatchActions& actions) {
  while (running_.size() < slots_ && !queue_.empty()) {
    const Item item = queue_.front();
    queue_.pop_front();
    if (item.deadline <= now) {
      actions.push_back(
          RejectRequest{item.ticket, ResultCode::kNotRunDeadline});
      continue;
    }
    running_.emplace(item.ticket, item.deadline);
    actions.push_back(StartWork{item.ticket});
  }
}

}  // namespace balsamhall
