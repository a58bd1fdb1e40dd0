#include "core/endpoint_primary.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "core/transfer_refusal.h"

namespace balsamhall {
EndpointPrimary::EndpointPrimary(ControlContext* context,
                                 InitialState initial_state)
    : context_(context),
      service_(std::move(initial_state.service)),
      view_(std::move(initial_state.view)),
      replace_all_(initial_state.replace_all),
      transfers_(context, service_, view_.endpoint()),
      last_response_(context->now()),
      serving_since_(context->now()),
      started_at_(context->now()),
      evict_at_(initial_state.evict_at) {
  const schema::EndpointConfig* config = context->FindEndpoint(endpoint());
  checks_fences_ = config == nullptr || config->checks_fences();
  if (!checks_fences_) {
    authority_until_ = std::make_shared<std::atomic<SteadyTime::rep>>(0);
  }
  for (const auto& [partition, epoch] : initial_state.partitions) {
    held_[partition] = HeldPartition{epoch, false, false, {}, {}};
  }
  for (const auto& record : initial_state.history) {
    history_[record.partition()] = record;
  }
  // The endpoint stores the history, from which a later primary learns what is
  // owned elsewhere.
  send_history_ = initial_state.replace_all;
  if (evict_at_) {
    phase_ = Phase::kEvicting;
    lease_bound_ = *evict_at_;
    OnDispatchStopped(DispatchStopped{endpoint(), Term(), {}});
  }
}

EndpointPrimary EndpointPrimary::AfterFailover(
    ControlContext* context, ServiceId service,
    const schema::GrantResponse& response, SteadyTime lease_bound) {
  EndpointPrimary primary(
      context,
      InitialState{std::move(service), response.view(), {}, {}, false, {}});
  primary.phase_ = Phase::kServing;
  primary.lease_bound_ = lease_bound;
  for (const auto& held : response.held()) {
    primary.held_[held.partition()] =
        HeldPartition{FromProto(held.epoch()), true, false, {}, {}};
  }
  for (const PartitionId partition : response.releasing()) {
    const auto held = primary.held_.find(partition);
    if (held == primary.held_.end()) continue;
    held->second.releasing = true;
    held->second.cause = "failover";
  }
  primary.ResumeTransfers(response, context->now());
  primary.last_response_sequence_ = response.sequence();
  primary.holder_time_us_ = response.holder_time_us();
  primary.holder_time_received_at_ = context->now();
  primary.OnAccepted(response);
  return primary;
}

EndpointPrimary EndpointPrimary::AfterTakeover(
    ControlContext* context, ServiceId service, schema::View view,
    const schema::GrantResponse& state) {
  InitialState initial_state{
      std::move(service), std::move(view), {}, {}, true, {}};
  for (const auto& held : state.held()) {
    initial_state.partitions[held.partition()] = FromProto(held.epoch());
  }
  EndpointPrimary primary(context, std::move(initial_state));
  primary.ResumeTransfers(state, context->now());
  return primary;
}

void EndpointPrimary::ResumeTransfers(const schema::GrantResponse& state,
                                      SteadyTime not_before) {
  for (const auto& record : state.released()) {
    history_[record.partition()] = record;
    const Fence next = FromProto(record.epoch()).Next();
    const bool held = held_.contains(record.partition());
    const bool has_target =
        !record.target_endpoint().empty() && !IsRefusal(record);
    if (held || !has_target ||
        context_->HighestEpoch(service_, record.partition()) >= next) {
      continue;
    }
    // The old primary may not have finished this transfer.
    transfers_.Add(record.partition(), {next, record.target_endpoint(),
                                        not_before, true, "failover"});
  }
}

Fence EndpointPrimary::HighestOwnTerm() const {
  const Fence proposed = proposed_ ? FromProto(proposed_->term()) : Fence{};
  return std::max({Term(), proposed, consented_through_});
}
// ---- Time, load and reports -------------------------------------------------

void EndpointPrimary::OnTick() {
  if (demoted_) {
    transfers_.Tick();
    return;
  }
  TickSuspicion();
  TickDrain();
  AssignMissingTargets();
  TickBackup();
  TickHandover();
  transfers_.Tick();
  // A new target may be found long after the previous one refused.
  RecordTargets();
  const Milliseconds interval = context_->options().renewal_interval;
  const bool due = context_->now() >= last_grant_ + interval;
  if (!due && !has_unsent_changes_) return;
  const bool probe_only = phase_ == Phase::kEvicting ||
                          (phase_ == Phase::kEvicted && !proposed_) ||
                          (phase_ == Phase::kBinding && !proposed_);
  if (!probe_only) {
    SendGrantNow();
  } else if (due) {
    SendProbe();
  }
}

void EndpointPrimary::OnLoad(const LoadMeasured& measured) {
  load_ = measured.load;
  partition_load_ = measured.by_partition;
}

std::map<PartitionId, double> EndpointPrimary::MovablePartitions() const {
  std::map<PartitionId, double> movable;
  if (!Accepting() || proposed_ || handover_) return movable;
  for (const auto& [partition, held] : held_) {
    if (!held.acked || held.releasing) continue;
    const auto load = partition_load_.find(partition);
    movable[partition] = load == partition_load_.end() ? 0 : load->second;
  }
  return movable;
}

std::size_t EndpointPrimary::moving_count() const {
  return transfers_.outgoing().size() +
         std::ranges::count_if(held_ | std::views::values,
                               &HeldPartition::releasing);
}

void EndpointPrimary::FillRouting(schema::EndpointRouting* routing) const {
  routing->set_service(service_);
  *routing->mutable_view() = view_;
  routing->set_load(load_);
  routing->set_accepting(Accepting());
  for (const auto& [partition, held] : held_) {
    if (!held.acked || held.releasing || phase_ != Phase::kServing) {
      continue;
    }
    auto* entry = routing->add_partitions();
    entry->set_partition(partition);
    *entry->mutable_epoch() = ToProto(held.epoch);
  }
  const char* state = "serving";
  if (phase_ == Phase::kBinding) state = "binding";
  if (phase_ == Phase::kEvicting || phase_ == Phase::kEvicted) {
    state = "evicted";
  }
  if (phase_ == Phase::kServing && Suspected()) state = "suspected";
  if (phase_ == Phase::kServing && draining_) state = "draining";
  routing->set_state(state);
}

schema::EndpointClaims EndpointPrimary::Claims() const {
  schema::EndpointClaims claims;
  *claims.mutable_view() = view_;
  if (demoted_) claims.mutable_view()->clear_primary();
  const auto add = [&](PartitionId partition, const Fence& epoch) {
    auto* entry = claims.add_held();
    entry->set_partition(partition);
    *entry->mutable_epoch() = ToProto(epoch);
  };
  for (const auto& [partition, held] : held_) {
    add(partition, held.epoch);
  }
  // The target of an open transfer may already hold the partition at the same
  // epoch.
  for (const auto& [partition, outgoing] : transfers_.outgoing()) {
    if (outgoing.target.empty()) {
      add(partition, outgoing.epoch);
      continue;
    }
    auto* record = claims.add_released();
    record->set_partition(partition);
    *record->mutable_epoch() =
        ToProto(Fence{outgoing.epoch.offset, outgoing.epoch.counter - 1});
    record->set_target_endpoint(outgoing.target);
  }
  for (const auto& [partition, record] : history_) {
    if (record.target_endpoint().empty() || IsRefusal(record) ||
        transfers_.outgoing().contains(partition)) {
      continue;
    }
    *claims.add_released() = record;
  }
  return claims;
}

}  // namespace balsamhall
