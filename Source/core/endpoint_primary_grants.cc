// Grants of EndpointPrimary: proposals, responses and returned endpoints.
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
  if (!holder_time_at_) {
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
  for (const auto& [partition, holding] : holdings_) {
    if (!holding.acked || replace_all_) {
      auto* add = request.add_add();
      add->set_partition(partition);
      *add->mutable_epoch() = ToProto(holding.epoch);
    } else if (holding.releasing && !holding.target.empty()) {
      auto* release = request.add_release();
      release->set_partition(partition);
      *release->mutable_epoch() = ToProto(holding.epoch);
      release->set_target_endpoint(holding.target);
    }
  }
  for (const auto& [partition, record] : history_) {
    const auto outgoing = transfers_.outgoing().find(partition);
    const bool unrecorded =
        outgoing != transfers_.outgoing().end() && !outgoing->second.recorded;
    if (send_history_ || unrecorded ||
        unrecorded_refusals_.contains(partition)) {
      *request.add_history() = record;
    }
  }
  lease_bound_ =
      std::max(lease_bound_, LeaseBound(context_->options(), *holder_time_at_));
  in_flight_grant_ = request.sequence();
  in_flight_grant_at_ = context_->now();
  last_grant_ = context_->now();
  state_changed_ = false;
  context_->Emit(SendGrant{endpoint(), std::move(request)});
}

void EndpointPrimary::Propose(schema::View view, const Fence& previous) {
  proposed_ = std::move(view);
  proposed_previous_ = previous;
  state_changed_ = true;
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

bool EndpointPrimary::CheckDemotion(const schema::GrantResponse& response) {
  const Fence theirs = FromProto(response.view().term());
  if (SameRef(response.view().primary(), context_->self())) return false;
  const Fence proposed = proposed_ ? FromProto(proposed_->term()) : Fence{};
  const Fence ours = std::max(Term(), proposed);
  if (theirs < ours) return false;
  // The backup that took over has since given its authority back.
  if (theirs <= consented_through_) return false;
  // A view that was never bound yields to a higher one only.
  if (phase_ == Phase::kBinding && theirs.offset < Term().offset) return false;
  Demote(false);
  return true;
}

void EndpointPrimary::OnGrantResponse(const schema::GrantResponse& response) {
  if (demoted_ || response.sequence() <= last_response_sequence_) return;
  last_response_sequence_ = response.sequence();
  if (CheckDemotion(response)) return;
  const bool was_suspected = Suspected();
  last_response_ = context_->now();
  holder_time_us_ = response.holder_time_us();
  holder_time_at_ = context_->now();
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
    // A new process knows no view, so it can't tell whether this router is
    // still the primary. The backup can: it consents as for an eviction.
    endpoint_restarted_ = true;
    context_->MarkRoutingDirty();
    if (fenced_) RequestConsents();
    if (!fenced_ || AllConsented()) OnRestartedEndpoint(incarnation);
    return;
  }
  if (response.status() == schema::GRANT_ACCEPTED &&
      SameRef(response.view().primary(), context_->self())) {
    OnAccepted(response);
  } else if (FromProto(response.view().term()) > Term()) {
    RetakeEndpoint(response);
  }
}

void EndpointPrimary::RetakeEndpoint(const schema::GrantResponse& response) {
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
  if (!fenced_ && !proposed_) {
    Propose(view, current);
    return;
  }
  if (proposed_) {
    // The endpoint restarted or was fenced before it accepted.
    proposed_->set_endpoint_incarnation(view.endpoint_incarnation());
    proposed_previous_ = current;
    return;
  }
  const bool backup_silent =
      context_->TimeSinceHeartbeat(FromProto(view.backup())) > kBackupTimeout;
  if (view.backup().id().empty() || backup_silent ||
      (asked_backup_ &&
       context_->now() > asked_backup_at_ + kBackupReplyTimeout)) {
    view.clear_backup();
    Propose(view, current);
    return;
  }
  if (asked_backup_) return;
  asked_backup_ = view;
  asked_backup_at_ = context_->now();
  schema::PeerMessage message = MakePeerMessage(context_->self());
  *message.mutable_backup_request()->mutable_view() = view;
  context_->Emit(SendPeerMessage{view.backup().id(), std::move(message)});
  proposed_previous_ = current;
}

void EndpointPrimary::ReadmitEndpoint(const schema::GrantResponse& response) {
  // While a transfer is open, a new primary could not know its target.
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
  if (!holdings_.empty()) {
    // From here on a loss of the endpoint is an eviction again.
    phase_ = Phase::kServing;
    endpoint_restarted_ = true;
    consents_.clear();
  }
  context_->Emit(ReportEvent{
      "endpoint_returned", ResultCode::kOk, {{"endpoint", endpoint()}}});
}

bool EndpointPrimary::ReclaimPartitions() {
  const bool unsent = std::ranges::all_of(
      transfers_.outgoing() | std::views::values, [&](const auto& outgoing) {
        return outgoing.target.empty() &&
               context_->now() >= outgoing.not_before;
      });
  if (!unsent) return false;
  // All endpoints of the service may be evicted, each waiting for another.
  for (const auto& [partition, outgoing] : transfers_.outgoing()) {
    holdings_[partition] = Holding{outgoing.epoch, false, false, {}, {}};
  }
  transfers_.Clear();
  return true;
}

void EndpointPrimary::OnRestartedEndpoint(std::uint64_t incarnation) {
  // The old process is gone, and with it every lease; the same endpoint is
  // granted the partitions again under new epochs.
  schema::View view = proposed_ ? *proposed_ : view_;
  view.set_endpoint_incarnation(incarnation);
  *view.mutable_term() = ToProto(HighestOwnTerm().Next());
  for (auto& [partition, holding] : holdings_) {
    holding.epoch = holding.epoch.Next();
    holding.acked = false;
    holding.releasing = false;
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
    const auto acked =
        std::ranges::count_if(holdings_ | std::views::values, &Holding::acked);
    if (static_cast<std::uint32_t>(acked) != response.held_count()) {
      state_changed_ = true;
      SendProbe();
    }
  }
}

void EndpointPrimary::ApplyState(const schema::GrantResponse& response) {
  std::map<PartitionId, Fence> held;
  for (const auto& entry : response.held()) {
    held[entry.partition()] = FromProto(entry.epoch());
  }
  bool changed = false;
  for (const auto& record : response.released()) {
    const PartitionId partition = record.partition();
    const Fence epoch = FromProto(record.epoch());
    transfers_.MarkRecorded(partition, record.target_endpoint());
    if (unrecorded_refusals_.contains(partition) &&
        epoch >= FromProto(history_[partition].epoch())) {
      unrecorded_refusals_.erase(partition);
      changed = true;
    }
    const auto holding = holdings_.find(partition);
    if (holding == holdings_.end() || epoch < holding->second.epoch) continue;
    // Released as asked for, or released before under a later epoch.
    if (epoch == holding->second.epoch && holding->second.releasing) {
      // Without fence checks nothing but the deadline ends running work.
      SteadyTime not_before = context_->now();
      const auto running = running_until_.find(partition);
      if (running != running_until_.end()) {
        not_before = running->second;
      } else if (!fenced_ && !dispatch_stopped_) {
        not_before += context_->LongestDeadline(service_);
      }
      transfers_.Add(partition, {epoch.Next(), record.target_endpoint(),
                                 not_before, true, holding->second.cause});
    }
    history_[partition] = record;
    holdings_.erase(holding);
    changed = true;
  }
  for (auto& [partition, holding] : holdings_) {
    const auto found = held.find(partition);
    const bool acked = found != held.end() && found->second == holding.epoch;
    if (acked != holding.acked) {
      holding.acked = acked;
      changed = true;
      state_changed_ |= !acked;
    }
  }
  if (changed) {
    context_->MarkRoutingDirty();
    AnswerWaitingTransfers();
  }
}

}  // namespace balsamhall
