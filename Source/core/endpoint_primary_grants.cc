// EndpointPrimary: grants, view proposals, grant responses and the return of
// restarted or evicted endpoints.
#include <algorithm>
#include <ranges>
#include <utility>

#include "core/endpoint_primary.h"

namespace balsamhall {
void EndpointPrimary::SendProbe() {
  schema::GrantRequest request;
  *request.mutable_view() = view_;
  request.set_read_only(true);
  request.set_sequence(context_->NextGrantSequence());
  last_grant_ = context_->now();
  context_->Emit(SendGrant{endpoint(), std::move(request)});
}

void EndpointPrimary::SendGrantNow() {
  if (!holder_time_received_at_) {
    SendProbe();
    return;
  }
  schema::GrantRequest request;
  *request.mutable_view() = proposed_ ? *proposed_ : view_;
  if (proposed_) *request.mutable_previous_term() = ToProto(proposed_previous_);
  request.set_sequence(context_->NextGrantSequence());
  request.set_lease_ms(
      static_cast<std::uint32_t>(context_->options().lease.count()));
  request.set_lease_from_us(holder_time_us_);
  request.set_release_all_unlisted(replace_all_);
  for (const auto& [partition, held] : held_) {
    if (!held.acked || replace_all_) {
      auto* add = request.add_add();
      add->set_partition(partition);
      *add->mutable_epoch() = ToProto(held.epoch);
    } else if (held.releasing && !held.target.empty()) {
      auto* release = request.add_release();
      release->set_partition(partition);
      *release->mutable_epoch() = ToProto(held.epoch);
      release->set_target_endpoint(held.target);
    }
  }
  for (const auto& [partition, record] : history_) {
    const auto outgoing = transfers_.outgoing().find(partition);
    const bool unrecorded = outgoing != transfers_.outgoing().end() &&
                            !outgoing->second.target_recorded;
    if (send_history_ || unrecorded ||
        unrecorded_refusals_.contains(partition)) {
      *request.add_history() = record;
    }
  }
  lease_bound_ = std::max(
      lease_bound_, LeaseBound(context_->options(), *holder_time_received_at_));
  in_flight_sequence_ = request.sequence();
  in_flight_sent_at_ = context_->now();
  last_grant_ = context_->now();
  has_unsent_changes_ = false;
  context_->Emit(SendGrant{endpoint(), std::move(request)});
}

void EndpointPrimary::Propose(schema::View view, const Fence& previous) {
  proposed_ = std::move(view);
  proposed_previous_ = previous;
  has_unsent_changes_ = true;
}

void EndpointPrimary::NotifyBackup() {
  if (view_.backup().id().empty()) return;
  schema::PeerMessage message = MakePeerMessage(context_->self());
  *message.mutable_view_notice()->mutable_view() = view_;
  context_->Emit(SendPeerMessage{view_.backup().id(), std::move(message)});
}

void EndpointPrimary::AdoptProposal() {
  view_ = *proposed_;
  proposed_.reset();
  consents_.clear();
  endpoint_restarted_ = false;
  rearm_ = false;
  replace_all_ = false;
  send_history_ = false;
  if (phase_ != Phase::kServing) {
    phase_ = Phase::kServing;
    serving_since_ = context_->now();
  }
  NotifyBackup();
  context_->MarkRoutingDirty();
}

bool EndpointPrimary::DemoteIfSuperseded(
    const schema::GrantResponse& response) {
  const Fence current = FromProto(response.view().term());
  if (SameRef(response.view().primary(), context_->self())) return false;
  const Fence proposed = proposed_ ? FromProto(proposed_->term()) : Fence{};
  const Fence own_term = std::max(Term(), proposed);
  if (current < own_term) return false;
  // The router that failed over has stood down since. Another one's promise
  // proves nothing: both may have been backup in views of the same term.
  const auto promised =
      promised_terms_.find(FromProto(response.view().primary()));
  if (promised != promised_terms_.end() && current <= promised->second) {
    return false;
  }
  // A view that the endpoint never accepted gives way only to a higher one.
  if (phase_ == Phase::kBinding && current.offset < Term().offset) return false;
  Demote(false);
  return true;
}

void EndpointPrimary::OnGrantResponse(const schema::GrantResponse& response) {
  if (demoted_ || response.sequence() <= last_response_sequence_) return;
  // Another endpoint serves at the address, which says nothing of this one.
  if (response.view().endpoint() != endpoint()) return;
  last_response_sequence_ = response.sequence();
  if (DemoteIfSuperseded(response)) return;
  const bool was_suspected = Suspected();
  last_response_ = context_->now();
  holder_time_us_ = response.holder_time_us();
  holder_time_received_at_ = context_->now();
  if (was_suspected) context_->MarkRoutingDirty();
  const std::uint64_t incarnation = response.view().endpoint_incarnation();
  if (phase_ == Phase::kBinding) {
    if (proposed_ && response.status() == schema::GRANT_ACCEPTED &&
        FromProto(response.view().term()) == FromProto(proposed_->term()) &&
        SameRef(response.view().primary(), context_->self())) {
      OnAccepted(response);
    } else {
      BindFirstView(response);
    }
    return;
  }
  if (phase_ == Phase::kEvicting) return;
  if (phase_ == Phase::kEvicted) {
    if (proposed_ && response.status() == schema::GRANT_ACCEPTED &&
        FromProto(response.view().term()) == FromProto(proposed_->term())) {
      OnAccepted(response);
    } else {
      ReadmitEndpoint(response);
    }
    return;
  }
  const std::uint64_t expected = proposed_ ? proposed_->endpoint_incarnation()
                                           : view_.endpoint_incarnation();
  if (incarnation != expected) {
    // A restarted endpoint knows no view, so it can't tell whether this router
    // is still the primary. The backup can, so its consent is required as for
    // an eviction.
    endpoint_restarted_ = true;
    context_->MarkRoutingDirty();
    if (checks_fences_) RequestConsents();
    if (!checks_fences_ || AllConsented()) OnRestartedEndpoint(incarnation);
    return;
  }
  if (response.status() == schema::GRANT_ACCEPTED &&
      SameRef(response.view().primary(), context_->self())) {
    OnAccepted(response);
  } else if (FromProto(response.view().term()) > Term()) {
    ReproposeAfterStandDown(response);
  }
}

void EndpointPrimary::ReproposeAfterStandDown(
    const schema::GrantResponse& response) {
  const Fence current = FromProto(response.view().term());
  if (proposed_ && proposed_previous_ == current) return;
  schema::View view = proposed_ ? *proposed_ : view_;
  *view.mutable_term() = ToProto(std::max(HighestOwnTerm(), current).Next());
  Propose(view, current);
}

void EndpointPrimary::BindFirstView(const schema::GrantResponse& response) {
  const Fence current = FromProto(response.view().term());
  schema::View view = view_;
  view.set_endpoint_incarnation(response.view().endpoint_incarnation());
  *view.mutable_term() = ToProto(std::max(Term(), current).Next());
  if (current.offset >= Term().offset && !current.IsZero() &&
      current > Term() &&
      !SameRef(response.view().primary(), context_->self())) {
    Demote(false);
    return;
  }
  if (!checks_fences_ && !proposed_) {
    Propose(view, current);
    return;
  }
  if (proposed_) {
    // The endpoint restarted, or accepted another term, before it accepted the
    // proposal.
    proposed_->set_endpoint_incarnation(view.endpoint_incarnation());
    proposed_previous_ = current;
    return;
  }
  const bool backup_silent =
      context_->TimeSinceHeartbeat(FromProto(view.backup())) > kBackupTimeout;
  if (view.backup().id().empty() || backup_silent ||
      (requested_backup_view_ &&
       context_->now() > backup_requested_at_ + kBackupReplyTimeout)) {
    view.clear_backup();
    Propose(view, current);
    return;
  }
  if (requested_backup_view_) return;
  requested_backup_view_ = view;
  backup_requested_at_ = context_->now();
  schema::PeerMessage message = MakePeerMessage(context_->self());
  *message.mutable_backup_request()->mutable_view() = view;
  context_->Emit(SendPeerMessage{view.backup().id(), std::move(message)});
  proposed_previous_ = current;
}

void EndpointPrimary::ReadmitEndpoint(const schema::GrantResponse& response) {
  // The endpoint is readmitted only without open transfers, because a new
  // primary could not learn their targets.
  if (!transfers_.empty() && !ReclaimPartitions()) return;
  if (proposed_) {
    proposed_->set_endpoint_incarnation(response.view().endpoint_incarnation());
    proposed_previous_ = FromProto(response.view().term());
    const Fence term = FromProto(proposed_->term());
    if (proposed_previous_ >= term) {
      *proposed_->mutable_term() = ToProto(proposed_previous_.Next());
    }
    return;
  }
  const Fence current = FromProto(response.view().term());
  schema::View view = view_;
  view.set_endpoint_incarnation(response.view().endpoint_incarnation());
  *view.mutable_term() = ToProto(std::max(HighestOwnTerm(), current).Next());
  replace_all_ = true;
  send_history_ = true;
  Propose(view, current);
  if (!held_.empty()) {
    // From here on a loss of the endpoint requires an eviction again.
    phase_ = Phase::kServing;
    endpoint_restarted_ = true;
    consents_.clear();
  }
  context_->Emit(ReportEvent{
      "endpoint_returned", ResultCode::kOk, {{"endpoint", endpoint()}}});
}

bool EndpointPrimary::ReclaimPartitions() {
  const bool all_without_target = std::ranges::all_of(
      transfers_.outgoing() | std::views::values, [&](const auto& outgoing) {
        return outgoing.target.empty() &&
               context_->now() >= outgoing.not_before;
      });
  if (!all_without_target) return false;
  // Otherwise, if all endpoints of the service were evicted, each would wait
  // for another to take its partitions.
  for (const auto& [partition, outgoing] : transfers_.outgoing()) {
    held_[partition] = HeldPartition{outgoing.epoch, false, false, {}, {}};
  }
  transfers_.Clear();
  return true;
}

void EndpointPrimary::OnRestartedEndpoint(std::uint64_t incarnation) {
  // The old process has ended and with it every lease, so the endpoint is
  // granted the same partitions again under new epochs.
  schema::View view = proposed_ ? *proposed_ : view_;
  view.set_endpoint_incarnation(incarnation);
  *view.mutable_term() = ToProto(HighestOwnTerm().Next());
  for (auto& [partition, held] : held_) {
    held.epoch = held.epoch.Next();
    held.acked = false;
    held.releasing = false;
  }
  send_history_ = true;
  serving_since_ = context_->now();
  Propose(view, Fence{});
  context_->MarkRoutingDirty();
  context_->Emit(ReportEvent{"endpoint_restarted",
                             ResultCode::kOk,
                             {{"endpoint", endpoint()},
                              {"incarnation", std::to_string(incarnation)}}});
}

void EndpointPrimary::OnAccepted(const schema::GrantResponse& response) {
  RenewAuthority(response);
  if (proposed_ &&
      FromProto(response.view().term()) == FromProto(proposed_->term())) {
    AdoptProposal();
  }
  if (response.full_state()) {
    ApplyState(response);
  } else {
    const auto acked = std::ranges::count_if(held_ | std::views::values,
                                             &HeldPartition::acked);
    if (static_cast<std::uint32_t>(acked) != response.held_count()) {
      has_unsent_changes_ = true;
      SendProbe();
    }
  }
}

void EndpointPrimary::ApplyState(const schema::GrantResponse& response) {
  std::map<PartitionId, Fence> reported_epochs;
  for (const auto& entry : response.held()) {
    reported_epochs[entry.partition()] = FromProto(entry.epoch());
  }
  bool changed = false;
  for (const auto& record : response.released()) {
    const PartitionId partition = record.partition();
    const Fence epoch = FromProto(record.epoch());
    transfers_.MarkTargetRecorded(partition, epoch, record.target_endpoint());
    if (unrecorded_refusals_.contains(partition) &&
        epoch >= FromProto(history_[partition].epoch())) {
      unrecorded_refusals_.erase(partition);
      changed = true;
    }
    const auto held = held_.find(partition);
    if (held == held_.end() || epoch < held->second.epoch) continue;
    // The requested release is complete, or the partition was released before
    // under a later epoch.
    if (epoch == held->second.epoch && held->second.releasing) {
      // Without fence checks only its deadline ends running work.
      SteadyTime not_before = context_->now();
      const auto running = running_until_.find(partition);
      if (running != running_until_.end()) {
        not_before = running->second;
      } else if (!checks_fences_ && !dispatch_stopped_) {
        not_before += context_->LongestDeadline(service_);
      }
      transfers_.Add(partition, {epoch.Next(), record.target_endpoint(),
                                 not_before, true, held->second.cause});
    }
    history_[partition] = record;
    held_.erase(held);
    changed = true;
  }
  for (auto& [partition, held] : held_) {
    const auto found = reported_epochs.find(partition);
    const bool acked =
        found != reported_epochs.end() && found->second == held.epoch;
    if (acked != held.acked) {
      held.acked = acked;
      changed = true;
      has_unsent_changes_ |= !acked;
    }
  }
  if (changed) {
    context_->MarkRoutingDirty();
    AnswerPendingTransfers();
  }
}

}  // namespace balsamhall
