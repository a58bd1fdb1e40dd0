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
  return {options.memory_window, options.clock_skew, options.max_remembered,
          options.max_remembered_bytes, options.check_memory_start};
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
        ramp_(cold ? Ramp(serving_since, options.ramp) : Ramp()),
        slots_(options.slots),
        shares_(Floors(options)),
        memory_(MemoryOptions(options)) {}

  // Every public call starts with Advance.
  void Advance(SteadyTime now) {
    now_ = std::max(now_, now);
    shares_.Advance(now_, OpenSlots(),
                    {queue_.size(0), queue_.size(1), queue_.size(2)},
                    slots_.by_rank());
  }
  void AdvanceWall(WallTime wall_now) { memory_.Advance(wall_now); }

  void Admit(DispatchRequest request, DispatchActions& actions) {
    const Ticket ticket = request.ticket;
    const bool fresh = !active_.contains(ticket) && !attached_.contains(ticket);
    BALSAMHALL_INVARIANT(fresh, "ticket_reused", std::to_string(ticket));
    if (!fresh) return;
    if (request.request_id.empty()) {
      actions.push_back(
          RejectRequest{ticket, ResultCode::kNotRunMissingHeader});
      return;
    }
    if (auto* entry = memory_.Find(request.request_id)) {
      Repeat(request, *entry, actions);
      return;
    }
    const ResultCode code = CheckNew(request);
    if (code != ResultCode::kOk) {
      actions.push_back(RejectRequest{ticket, code});
      return;
    }
    Enqueue(std::move(request), actions);
  }

  void Cancel(Ticket ticket, DispatchActions& actions) {
    if (const auto waiting = attached_.find(ticket);
        waiting != attached_.end()) {
      // The request itself goes on, so it may run.
      Detach(ticket, ResultCode::kUnknownTimeout, actions);
      return;
    }
    if (slots_.Cancel(ticket)) actions.push_back(CancelWork{ticket});
    if (queue_.Remove(ticket)) {
      RejectRemoved(ticket, ResultCode::kNotRunCancelled, actions);
    }
  }

  void Finish(Ticket ticket, StoredAnswerPtr answer, DispatchActions& actions) {
    const auto work = slots_.Finish(ticket);
    if (!work) return;
    if (!answer) {
      answer = std::make_shared<StoredAnswer>(
          StoredAnswer{ResultCode::kUnknownConnectionLost, 0, {}, {}});
    }
    const DispatchRequest done = std::move(active_.extract(ticket).mapped());
    Account(*work, done.kind, IsNotRun(answer->code));
    const std::string& id = done.request_id;
    if (auto* entry = memory_.Find(id)) {
      for (const auto& waiter : entry->waiters) {
        Unlink(waiter);
        actions.push_back(AnswerFromMemory{waiter.ticket, answer});
      }
      entry->waiters.clear();
    }
    // What the endpoint refused before execution may be sent again.
    if (done.idempotent || IsNotRun(answer->code)) {
      memory_.Forget(id);
    } else {
      memory_.Store(id, std::move(answer));
    }
  }

  void Expire(DispatchActions& actions) {
    for (const Ticket ticket : queue_.RemoveExpired(now_)) {
      RejectRemoved(ticket, ResultCode::kNotRunDeadline, actions);
    }
    while (!attached_deadlines_.empty() &&
           attached_deadlines_.begin()->first <= now_) {
      Detach(attached_deadlines_.begin()->second, ResultCode::kUnknownTimeout,
             actions);
    }
    for (const Ticket ticket : slots_.Overdue(now_)) {
      slots_.Cancel(ticket);
      actions.push_back(CancelWork{ticket});
    }
  }

  void SetPartitions(const std::map<PartitionId, Fence>& partitions,
                     DispatchActions& actions) {
    const auto staying = memory_.SetPartitions(partitions);
    // Also rejects what was queued under an earlier epoch: a repeat may have
    // run at another endpoint in between.
    RejectQueuedIf(
        [&](const DispatchRequest& request) {
          return request.partition && !staying.contains(*request.partition);
        },
        ResultCode::kNotRunMoved, actions);
  }

  void Stop(ResultCode code, DispatchActions& actions) {
    stopped_ = code;
    RejectQueuedIf([](const DispatchRequest&) { return true; }, code, actions);
  }

  void SetOptions(const DispatcherOptions& options) {
    options_ = options;
    if (cold_) ramp_ = Ramp(serving_since_, options.ramp);
    slots_.set_slots(options.slots);
    shares_.set_floors(Floors(options));
    memory_.set_options(MemoryOptions(options));
  }

  // Starts queued work while slots are open.
  void StartReady(DispatchActions& actions) {
    while (slots_.running() < OpenSlots()) {
      const auto choice = Next();
      if (!choice) return;
      const RankQueue::Item item = *choice->item;
      // Work that would be cut off by its deadline wastes the slot. The last
      // one is tried nevertheless, because the estimate may be wrong.
      const bool late = now_ + item.needed > item.deadline && queue_.size() > 1;
      if (late || item.deadline <= now_) {
        RejectQueued(item.ticket, ResultCode::kNotRunDeadline, actions);
        continue;
      }
      queue_.Remove(item.ticket);
      Start(item.ticket, choice->ahead_of_turn, actions);
    }
  }

  const SlotTable& slots() const { return slots_; }
  std::size_t queued() const { return queue_.size(); }

  Microseconds Wait(std::size_t rank, bool long_running) const {
    return ExpectedQueueWait(rank, long_running, State(), queue_, shares_);
  }

 private:
  struct Choice {
    const RankQueue::Item* item;
    bool ahead_of_turn;
  };

  std::uint32_t OpenSlots() const { return ramp_.Slots(slots_.slots(), now_); }

  SlotState State() const {
    SlotState state;
    state.open = OpenSlots();
    state.running = slots_.running();
    state.long_limit = slots_.LongLimit(state.open);
    state.long_running = slots_.long_running();
    state.remaining = slots_.Remaining(now_, false);
    state.long_remaining = slots_.Remaining(now_, true);
    if (state.long_limit == 0) {
      state.until_long = ramp_.TimeUntil(2, slots_.slots(), now_);
    }
    return state;
  }

  Microseconds EstimateOf(Ticket ticket) const {
    return estimator_.Estimate(active_.at(ticket).kind, now_);
  }

  // Time left at which the request should start. Work cut off by its deadline
  // wastes its slot, so the mean is too little; but a kind whose deadline is
  // tight from the start is not excluded for the spread of its service times.
  Microseconds Needed(const DispatchRequest& request) const {
    const auto mean = estimator_.Estimate(request.kind, now_);
    const auto half =
        std::chrono::duration_cast<Microseconds>(request.deadline - now_) / 2;
    return std::min(estimator_.Enough(request.kind, now_),
                    std::max(mean, half));
  }

  // Checks a request whose id is not remembered.
  ResultCode CheckNew(const DispatchRequest& request) const {
    if (!request.idempotent) {
      if (!request.first_issued) return ResultCode::kNotRunMissingHeader;
      if (!request.partition) return ResultCode::kNotRunBadRequest;
    }
    if (request.partition && !memory_.Owns(*request.partition)) {
      return stopped_.value_or(ResultCode::kNotRunMoved);
    }
    if (!request.idempotent && !request.first_attempt) {
      const ResultCode code =
          memory_.CheckFirstIssued(*request.partition, *request.first_issued);
      if (code != ResultCode::kOk) return code;
    }
    if (stopped_) return *stopped_;
    if (request.deadline <= now_) return ResultCode::kNotRunDeadline;
    const auto wait = Wait(RankIndex(request.rank), request.long_running);
    // A request that can start at once is tried whatever the estimate says.
    if (wait.count() > 0 && now_ + wait + Needed(request) > request.deadline) {
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
                               Needed(request)};
    const auto dropped = queue_.MakeRoom(
        item,
        {options_.max_queued, options_.max_queued_bytes, Floors(options_)});
    if (!dropped) {
      actions.push_back(RejectRequest{ticket, ResultCode::kNotRunQueueFull});
      return;
    }
    for (const Ticket victim : *dropped) {
      RejectRemoved(victim, ResultCode::kNotRunShed, actions);
    }
    RequestMemory::Entry entry;
    entry.ticket = ticket;
    entry.idempotent = request.idempotent;
    entry.content = request.content;
    memory_.Add(request.request_id, std::move(entry));
    queue_.Push(item);
    active_.emplace(ticket, std::move(request));
  }

  void Repeat(const DispatchRequest& request, RequestMemory::Entry& entry,
              DispatchActions& actions) {
    if (entry.content != request.content) {
      actions.push_back(
          RejectRequest{request.ticket, ResultCode::kNotRunBadRequest});
    } else if (entry.state == RequestMemory::State::kFinished) {
      actions.push_back(AnswerFromMemory{request.ticket, entry.answer});
    } else if (request.deadline <= now_ ||
               entry.waiters.size() >= options_.max_attached) {
      actions.push_back(
          RejectRequest{request.ticket, ResultCode::kUnknownTimeout});
    } else {
      entry.waiters.push_back({request.ticket, request.deadline});
      attached_.emplace(request.ticket, request.request_id);
      attached_deadlines_.emplace(request.deadline, request.ticket);
    }
  }

  std::optional<Choice> Next() const {
    const bool allow_long =
        slots_.long_running() < slots_.LongLimit(OpenSlots());
    std::size_t top = 0;
    while (top < kRanks && !queue_.First(top, allow_long)) ++top;
    if (top == kRanks) return std::nullopt;
    for (std::size_t rank = top + 1; rank < kRanks; ++rank) {
      const auto* item = queue_.First(rank, allow_long);
      if (item && shares_.Due(rank)) return Choice{item, true};
    }
    return Choice{queue_.First(top, allow_long), false};
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
      ++entry->starts;
      entry->state = RequestMemory::State::kRunning;
      BALSAMHALL_INVARIANT(entry->starts == 1, "request_started_twice",
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
      shares_.Spend(work.rank, work.estimate);
    }
    slots_.Start(ticket, work);
    actions.push_back(StartWork{ticket});
  }

  // Settles the share of the rank and records the service time.
  void Account(const SlotTable::Work& work, std::uint32_t kind, bool not_run) {
    const auto spent =
        std::chrono::duration_cast<Microseconds>(now_ - work.started);
    if (work.ahead_of_turn) shares_.Charge(work.rank, spent - work.estimate);
    // A refusal is quick and says nothing about the service time.
    if (!not_run) estimator_.Record(kind, spent, now_);
  }

  void RejectQueued(Ticket ticket, ResultCode code, DispatchActions& actions) {
    queue_.Remove(ticket);
    RejectRemoved(ticket, code, actions);
  }

  // Rejects a request that has been taken from the queue, and its repeats.
  void RejectRemoved(Ticket ticket, ResultCode code, DispatchActions& actions) {
    const auto node = active_.extract(ticket);
    const std::string& id = node.mapped().request_id;
    actions.push_back(RejectRequest{ticket, code});
    if (auto* entry = memory_.Find(id)) {
      for (const auto& waiter : entry->waiters) {
        Unlink(waiter);
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

  void Unlink(const RequestMemory::Waiter& waiter) {
    attached_.erase(waiter.ticket);
    attached_deadlines_.erase({waiter.deadline, waiter.ticket});
  }

  // Answers one attached repeat; the request that it waits for goes on.
  void Detach(Ticket ticket, ResultCode code, DispatchActions& actions) {
    const auto found = attached_.find(ticket);
    auto& waiters = memory_.Find(found->second)->waiters;
    const auto waiter =
        std::ranges::find(waiters, ticket, &RequestMemory::Waiter::ticket);
    const RequestMemory::Waiter detached = *waiter;
    waiters.erase(waiter);
    Unlink(detached);
    actions.push_back(RejectRequest{ticket, code});
  }

  DispatcherOptions options_;
  SteadyTime serving_since_;
  bool cold_;
  SteadyTime now_;
  Ramp ramp_;
  SlotTable slots_;
  RankShares shares_;
  RankQueue queue_;
  ServiceEstimator estimator_;
  RequestMemory memory_;
  std::optional<ResultCode> stopped_;

  std::map<Ticket, DispatchRequest> active_;  // queued and running
  std::map<Ticket, std::string> attached_;  // repeats that wait, by request id
  std::set<std::pair<SteadyTime, Ticket>> attached_deadlines_;
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
                                           StoredAnswerPtr answer,
                                           SteadyTime now, WallTime wall_now) {
  DispatchActions actions;
  impl_->Advance(now);
  impl_->AdvanceWall(wall_now);
  impl_->Finish(ticket, std::move(answer), actions);
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
  return impl_->Wait(RankIndex(rank), false);
}

}  // namespace balsamhall
