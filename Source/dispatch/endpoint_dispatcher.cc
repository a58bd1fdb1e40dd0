#include "dispatch/endpoint_dispatcher.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

#include "core/invariant.h"
#include "dispatch/ramp.h"
#include "dispatch/rank_queue.h"
#include "dispatch/rank_shares.h"
#include "dispatch/request_memory.h"
#include "dispatch/service_estimator.h"
#include "dispatch/slot_table.h"
#include "dispatch/wait_estimator.h"

namespace balsamhall {
namespace {

RequestMemory::Options MemoryOptions(const DispatcherOptions& options) {
  return {options.memory_window, options.clock_skew,
          options.max_stored_responses, options.max_stored_response_bytes,
          options.check_memory_start};
}

std::array<double, kRanks> Floors(const DispatcherOptions& options) {
  return {0, options.floor_normal, options.floor_background};
}

}  // namespace

class EndpointDispatcher::Impl {
 public:
  Impl(DispatcherOptions options, SteadyTime serving_since, bool cold)
      : options_(options),
        serving_since_(serving_since),
        cold_(cold),
        now_(serving_since),
        slow_start_(cold ? SlowStart(serving_since, options.slow_start_time)
                         : SlowStart()),
        slots_(options.slots),
        shares_(Floors(options)),
        memory_(MemoryOptions(options)) {}

  // Each public method that takes the time calls this first. A time that steps
  // back is ignored.
  void Advance(SteadyTime now) {
    now_ = std::max(now_, now);
    shares_.Advance(now_, OpenSlots(),
                    {queue_.size(0), queue_.size(1), queue_.size(2)},
                    slots_.running_by_rank());
  }
  void AdvanceWall(WallTime wall_now) { memory_.Advance(wall_now); }

  void Admit(DispatchRequest request, DispatchActions& actions) {
    const Ticket ticket = request.ticket;
    const bool is_new_ticket =
        !active_.contains(ticket) && !waiters_.contains(ticket);
    BALSAMHALL_INVARIANT(is_new_ticket, "ticket_reused",
                         std::to_string(ticket));
    if (!is_new_ticket) return;
    if (request.request_id.empty()) {
      actions.push_back(
          RejectRequest{ticket, ResultCode::kNotRunMissingHeader});
      return;
    }
    if (auto* entry = memory_.Find(request.request_id)) {
      HandleRepeat(request, *entry, actions);
      return;
    }
    const ResultCode code = CheckNewRequest(request);
    if (code != ResultCode::kOk) {
      actions.push_back(RejectRequest{ticket, code});
      return;
    }
    Enqueue(std::move(request), actions);
  }

  void Cancel(Ticket ticket, DispatchActions& actions) {
    if (const auto waiting = waiters_.find(ticket); waiting != waiters_.end()) {
      // The request that the repeat waits for is not cancelled and may run.
      RejectWaiter(ticket, ResultCode::kUnknownTimeout, actions);
      return;
    }
    if (slots_.Cancel(ticket)) actions.push_back(CancelWork{ticket});
    if (queue_.Remove(ticket)) {
      RejectDequeued(ticket, ResultCode::kNotRunCancelled, actions);
    }
  }

  void Finish(Ticket ticket, StoredResponsePtr response,
              DispatchActions& actions) {
    const auto work = slots_.Finish(ticket);
    if (!work) return;
    if (!response) {
      response = std::make_shared<StoredResponse>(
          StoredResponse{ResultCode::kUnknownConnectionLost, 0, {}, {}});
    }
    const DispatchRequest request = std::move(active_.extract(ticket).mapped());
    RecordFinishedWork(*work, request.kind, IsNotRun(response->code));
    const std::string& id = request.request_id;
    if (auto* entry = memory_.Find(id)) {
      for (const auto& waiter : entry->waiters) {
        UnregisterWaiter(waiter);
        actions.push_back(SendStoredResponse{waiter.ticket, response});
      }
      entry->waiters.clear();
    }
    // A request that the endpoint rejected before execution may be sent again.
    if (request.idempotent || IsNotRun(response->code)) {
      memory_.Forget(id);
    } else {
      memory_.StoreResponse(id, std::move(response));
    }
  }

  void Expire(DispatchActions& actions) {
    for (const Ticket ticket : queue_.RemoveExpired(now_)) {
      RejectDequeued(ticket, ResultCode::kNotRunDeadline, actions);
    }
    while (!waiter_deadlines_.empty() &&
           waiter_deadlines_.begin()->first <= now_) {
      RejectWaiter(waiter_deadlines_.begin()->second,
                   ResultCode::kUnknownTimeout, actions);
    }
    for (const Ticket ticket : slots_.Overdue(now_)) {
      slots_.Cancel(ticket);
      actions.push_back(CancelWork{ticket});
    }
  }

  void SetPartitions(const std::map<PartitionId, Fence>& partitions,
                     DispatchActions& actions) {
    const auto kept = memory_.SetPartitions(partitions);
    // Also rejects requests queued under an earlier epoch: a repeat may have
    // run at another endpoint in between.
    RejectQueuedIf(
        [&](const DispatchRequest& request) {
          return request.partition && !kept.contains(*request.partition);
        },
        ResultCode::kNotRunMoved, actions);
  }

  void Stop(ResultCode code, DispatchActions& actions) {
    stop_code_ = code;
    RejectQueuedIf([](const DispatchRequest&) { return true; }, code, actions);
  }

  void SetOptions(const DispatcherOptions& options) {
    options_ = options;
    if (cold_) slow_start_ = SlowStart(serving_since_, options.slow_start_time);
    slots_.set_slots(options.slots);
    shares_.set_floors(Floors(options));
    memory_.set_options(MemoryOptions(options));
  }

  // Starts queued work while slots are open.
  void StartReady(DispatchActions& actions) {
    while (slots_.running() < OpenSlots()) {
      const auto choice = ChooseNext();
      if (!choice) return;
      const RankQueue::Item item = *choice->item;
      // Work that would be cancelled at its deadline wastes the slot. The last
      // queued request is started nevertheless, because the estimate may be
      // wrong.
      const bool misses_deadline =
          now_ + item.required_time > item.deadline && queue_.size() > 1;
      if (misses_deadline || item.deadline <= now_) {
        RejectQueued(item.ticket, ResultCode::kNotRunDeadline, actions);
        continue;
      }
      queue_.Remove(item.ticket);
      Start(item.ticket, choice->ahead_of_turn, actions);
    }
  }

  const SlotTable& slots() const { return slots_; }
  std::size_t queued() const { return queue_.size(); }

  Microseconds ExpectedWait(std::size_t rank, bool long_running) const {
    return ExpectedQueueWait(rank, long_running, State(), queue_, shares_);
  }

 private:
  struct Choice {
    const RankQueue::Item* item;
    bool ahead_of_turn;
  };

  std::uint32_t OpenSlots() const {
    return slow_start_.OpenSlots(slots_.slots(), now_);
  }

  SlotState State() const {
    SlotState state;
    state.open = OpenSlots();
    state.running = slots_.running();
    state.long_running_limit = slots_.LongRunningLimit(state.open);
    state.long_running = slots_.long_running();
    state.remaining = slots_.Remaining(now_, false);
    state.long_running_remaining = slots_.Remaining(now_, true);
    if (state.long_running_limit == 0) {
      state.until_long_running =
          slow_start_.TimeUntilOpen(2, slots_.slots(), now_);
    }
    return state;
  }

  Microseconds EstimateOf(Ticket ticket) const {
    return estimator_.Estimate(active_.at(ticket).kind, now_);
  }

  // Returns the least time between the start of the request and its deadline.
  // Work that is cancelled at its deadline wastes its slot, so the mean service
  // time is too little. A kind whose deadline is tight from the start must not
  // be rejected because its service times vary, so the margin above the mean is
  // limited to half of the time to the deadline.
  Microseconds RequiredTime(const DispatchRequest& request) const {
    const auto mean = estimator_.Estimate(request.kind, now_);
    const auto half_of_remaining =
        std::chrono::duration_cast<Microseconds>(request.deadline - now_) / 2;
    return std::min(estimator_.UpperEstimate(request.kind, now_),
                    std::max(mean, half_of_remaining));
  }

  // Checks whether a request whose id is not remembered can be admitted.
  ResultCode CheckNewRequest(const DispatchRequest& request) const {
    if (!request.idempotent) {
      if (!request.first_issued) return ResultCode::kNotRunMissingHeader;
      if (!request.partition) return ResultCode::kNotRunBadRequest;
    }
    if (request.partition && !memory_.Owns(*request.partition)) {
      return stop_code_.value_or(ResultCode::kNotRunMoved);
    }
    if (!request.idempotent && !request.first_attempt) {
      const ResultCode code =
          memory_.CheckFirstIssued(*request.partition, *request.first_issued);
      if (code != ResultCode::kOk) return code;
    }
    if (stop_code_) return *stop_code_;
    if (request.deadline <= now_) return ResultCode::kNotRunDeadline;
    const auto wait =
        ExpectedWait(RankIndex(request.rank), request.long_running);
    // A request that can start at once is admitted whatever the estimate is,
    // because the estimate may be wrong.
    if (wait.count() > 0 &&
        now_ + wait + RequiredTime(request) > request.deadline) {
      return ResultCode::kNotRunDeadline;
    }
    return ResultCode::kOk;
  }

  void Enqueue(DispatchRequest request, DispatchActions& actions) {
    const Ticket ticket = request.ticket;
    const RankQueue::Item item{ticket,
                               RankIndex(request.rank),
                               request.long_running,
                               request.deadline,
                               request.bytes,
                               estimator_.Estimate(request.kind, now_),
                               RequiredTime(request)};
    const auto dropped = queue_.MakeRoom(
        item,
        {options_.max_queued, options_.max_queued_bytes, Floors(options_)});
    if (!dropped) {
      actions.push_back(RejectRequest{ticket, ResultCode::kNotRunQueueFull});
      return;
    }
    for (const Ticket victim : *dropped) {
      RejectDequeued(victim, ResultCode::kNotRunShed, actions);
    }
    RequestMemory::Entry entry;
    entry.ticket = ticket;
    entry.idempotent = request.idempotent;
    entry.content_digest = request.content_digest;
    memory_.Add(request.request_id, std::move(entry));
    queue_.Push(item);
    active_.emplace(ticket, std::move(request));
  }

  void HandleRepeat(const DispatchRequest& request, RequestMemory::Entry& entry,
                    DispatchActions& actions) {
    if (entry.content_digest != request.content_digest) {
      actions.push_back(
          RejectRequest{request.ticket, ResultCode::kNotRunBadRequest});
    } else if (entry.state == RequestMemory::State::kFinished) {
      actions.push_back(SendStoredResponse{request.ticket, entry.response});
    } else if (request.deadline <= now_ ||
               entry.waiters.size() >= options_.max_waiters) {
      actions.push_back(
          RejectRequest{request.ticket, ResultCode::kUnknownTimeout});
    } else {
      entry.waiters.push_back({request.ticket, request.deadline});
      waiters_.emplace(request.ticket, request.request_id);
      waiter_deadlines_.emplace(request.deadline, request.ticket);
    }
  }

  std::optional<Choice> ChooseNext() const {
    const bool allow_long =
        slots_.long_running() < slots_.LongRunningLimit(OpenSlots());
    std::size_t highest = 0;
    while (highest < kRanks && !queue_.Oldest(highest, allow_long)) ++highest;
    if (highest == kRanks) return std::nullopt;
    for (std::size_t rank = highest + 1; rank < kRanks; ++rank) {
      const auto* item = queue_.Oldest(rank, allow_long);
      if (item && shares_.HasCredit(rank)) return Choice{item, true};
    }
    return Choice{queue_.Oldest(highest, allow_long), false};
  }

  void Start(Ticket ticket, bool ahead_of_turn, DispatchActions& actions) {
    const auto found = active_.find(ticket);
    BALSAMHALL_INVARIANT(found != active_.end(), "settled_ticket_started",
                         std::to_string(ticket));
    if (found == active_.end()) return;
    const DispatchRequest& request = found->second;
    auto* entry = memory_.Find(request.request_id);
    BALSAMHALL_INVARIANT(entry && entry->ticket == ticket, "started_unknown_id",
                         request.request_id);
    if (entry) {
      ++entry->start_count;
      entry->state = RequestMemory::State::kRunning;
      BALSAMHALL_INVARIANT(entry->start_count == 1, "request_started_twice",
                           request.request_id);
    }
    SlotTable::Work work;
    work.rank = RankIndex(request.rank);
    work.long_running = request.long_running;
    work.ahead_of_turn = ahead_of_turn;
    work.partition = request.partition;
    work.started = now_;
    work.deadline = request.deadline;
    work.estimate = EstimateOf(ticket);
    if (ahead_of_turn) {
      shares_.Charge(work.rank, work.estimate);
    } else {
      shares_.ChargeInTurn(work.rank, work.estimate);
    }
    slots_.Start(ticket, work);
    actions.push_back(StartWork{ticket});
  }

  // Replaces the estimate charged to the rank by the time used, and records the
  // service time.
  void RecordFinishedWork(const SlotTable::Work& work, std::uint32_t kind,
                          bool not_run) {
    const auto elapsed =
        std::chrono::duration_cast<Microseconds>(now_ - work.started);
    if (work.ahead_of_turn) shares_.Charge(work.rank, elapsed - work.estimate);
    // A rejection by the endpoint is quick and not a sample of the service
    // time.
    if (!not_run) estimator_.Record(kind, elapsed, now_);
  }

  void RejectQueued(Ticket ticket, ResultCode code, DispatchActions& actions) {
    queue_.Remove(ticket);
    RejectDequeued(ticket, code, actions);
  }

  // Rejects a request that has been removed from the queue, and the repeats
  // that wait for it.
  void RejectDequeued(Ticket ticket, ResultCode code,
                      DispatchActions& actions) {
    const auto node = active_.extract(ticket);
    const std::string& id = node.mapped().request_id;
    actions.push_back(RejectRequest{ticket, code});
    if (auto* entry = memory_.Find(id)) {
      for (const auto& waiter : entry->waiters) {
        UnregisterWaiter(waiter);
        actions.push_back(RejectRequest{waiter.ticket, code});
      }
    }
    memory_.Forget(id);
  }

  template <typename Predicate>
  void RejectQueuedIf(Predicate predicate, ResultCode code,
                      DispatchActions& actions) {
    std::vector<Ticket> rejected;
    for (const auto& [ticket, request] : active_) {
      if (queue_.Contains(ticket) && predicate(request)) {
        rejected.push_back(ticket);
      }
    }
    for (const Ticket ticket : rejected) RejectQueued(ticket, code, actions);
  }

  void UnregisterWaiter(const RequestMemory::Waiter& waiter) {
    waiters_.erase(waiter.ticket);
    waiter_deadlines_.erase({waiter.deadline, waiter.ticket});
  }

  // Rejects one waiting repeat. The request that it waits for goes on.
  void RejectWaiter(Ticket ticket, ResultCode code, DispatchActions& actions) {
    const auto found = waiters_.find(ticket);
    auto& waiters = memory_.Find(found->second)->waiters;
    const auto waiter =
        std::ranges::find(waiters, ticket, &RequestMemory::Waiter::ticket);
    const RequestMemory::Waiter removed = *waiter;
    waiters.erase(waiter);
    UnregisterWaiter(removed);
    actions.push_back(RejectRequest{ticket, code});
  }

  DispatcherOptions options_;
  SteadyTime serving_since_;
  bool cold_;
  SteadyTime now_;
  SlowStart slow_start_;
  SlotTable slots_;
  RankShares shares_;
  RankQueue queue_;
  ServiceEstimator estimator_;
  RequestMemory memory_;
  std::optional<ResultCode> stop_code_;

  std::map<Ticket, DispatchRequest> active_;  // queued and running
  std::map<Ticket, std::string> waiters_;     // with request id
  std::set<std::pair<SteadyTime, Ticket>> waiter_deadlines_;
};

EndpointDispatcher::EndpointDispatcher(DispatcherOptions options,
                                       SteadyTime serving_since, bool cold)
    : impl_(std::make_unique<Impl>(options, serving_since, cold)) {}
EndpointDispatcher::~EndpointDispatcher() = default;

DispatchActions EndpointDispatcher::Submit(DispatchRequest request,
                                           SteadyTime now, WallTime wall_now) {
  DispatchActions actions;
  impl_->Advance(now);
  impl_->AdvanceWall(wall_now);
  impl_->Admit(std::move(request), actions);
  impl_->StartReady(actions);
  return actions;
}

DispatchActions EndpointDispatcher::Cancel(Ticket ticket, SteadyTime now) {
  DispatchActions actions;
  impl_->Advance(now);
  impl_->Cancel(ticket, actions);
  impl_->StartReady(actions);
  return actions;
}

DispatchActions EndpointDispatcher::Finish(Ticket ticket,
                                           StoredResponsePtr response,
                                           SteadyTime now, WallTime wall_now) {
  DispatchActions actions;
  impl_->Advance(now);
  impl_->AdvanceWall(wall_now);
  impl_->Finish(ticket, std::move(response), actions);
  impl_->StartReady(actions);
  return actions;
}

DispatchActions EndpointDispatcher::Tick(SteadyTime now, WallTime wall_now) {
  DispatchActions actions;
  impl_->Advance(now);
  impl_->AdvanceWall(wall_now);
  impl_->Expire(actions);
  impl_->StartReady(actions);
  return actions;
}

DispatchActions EndpointDispatcher::SetPartitions(
    const std::map<PartitionId, Fence>& partitions, SteadyTime now,
    WallTime wall_now) {
  DispatchActions actions;
  impl_->Advance(now);
  impl_->AdvanceWall(wall_now);
  impl_->SetPartitions(partitions, actions);
  impl_->StartReady(actions);
  return actions;
}

DispatchActions EndpointDispatcher::Stop(ResultCode code, SteadyTime now) {
  DispatchActions actions;
  impl_->Advance(now);
  impl_->Stop(code, actions);
  return actions;
}

DispatchActions EndpointDispatcher::SetOptions(DispatcherOptions options,
                                               SteadyTime now) {
  DispatchActions actions;
  impl_->Advance(now);
  impl_->SetOptions(options);
  impl_->StartReady(actions);
  return actions;
}

std::map<PartitionId, SteadyTime> EndpointDispatcher::RunningUntil() const {
  return impl_->slots().RunningUntil();
}

std::uint32_t EndpointDispatcher::running() const {
  return impl_->slots().running();
}

std::size_t EndpointDispatcher::queued() const { return impl_->queued(); }

Microseconds EndpointDispatcher::ExpectedWait(schema::Rank rank) const {
  return impl_->ExpectedWait(RankIndex(rank), false);
}

}  // namespace balsamhall
