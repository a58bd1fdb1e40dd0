// Backup, drain and handover of EndpointPrimary.
#include <algorithm>
#include <utility>

#include "core/endpoint_primary.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kHandoverInterval{300};
constexpr Milliseconds kMoveTimeout{3000};

}  // namespace

bool EndpointPrimary::BackupUsable() const {
  if (view_.backup().id().empty()) return false;
  const RouterRef backup = FromProto(view_.backup());
  return !context_->IsGone(backup) &&
         context_->TimeSinceHeartbeat(backup) < kBackupTimeout;
}

void EndpointPrimary::TickBackup() {
  if (phase_ != Phase::kServing || Suspected() || proposed_ || !fenced_) {
    return;
  }
  if (asked_backup_) {
    if (context_->now() < asked_backup_at_ + kBackupReplyTimeout) return;
    declined_backups_.insert(asked_backup_->backup().id());
    asked_backup_.reset();
  }
  const schema::EndpointConfig* config = context_->FindEndpoint(endpoint());
  if (config == nullptr) return;
  std::vector<RouterPlace> candidates = context_->CandidateRouters();
  // A leaving backup is no candidate, but does its job until it is replaced.
  const bool listed = std::ranges::any_of(candidates, [&](const auto& place) {
    return SameRef(view_.backup(), place.router);
  });
  const bool wanted = !move_to_ || SameRef(view_.backup(), *move_to_);
  if (BackupUsable() && listed && wanted) return;
  std::erase_if(candidates, [&](const RouterPlace& place) {
    return declined_backups_.contains(place.router.id);
  });
  const std::optional<RouterRef> backup =
      wanted ? ChooseBackup(*config, context_->self(), candidates) : move_to_;
  if (!backup) {
    declined_backups_.clear();
    return;
  }
  schema::View view = view_;
  *view.mutable_backup() = ToProto(*backup);
  *view.mutable_term() = ToProto(HighestOwnTerm().Next());
  asked_backup_ = view;
  asked_backup_at_ = context_->now();
  schema::PeerMessage message = MakePeerMessage(context_->self());
  *message.mutable_backup_request()->mutable_view() = view;
  context_->Emit(SendPeerMessage{backup->id, std::move(message)});
}

void EndpointPrimary::OnBackupReply(const RouterRef& from,
                                    const schema::BackupReply& reply) {
  if (demoted_ || !asked_backup_ || proposed_) return;
  if (FromProto(reply.view().term()) != FromProto(asked_backup_->term()) ||
      !SameRef(asked_backup_->backup(), from)) {
    return;
  }
  if (phase_ != Phase::kBinding && phase_ != Phase::kServing) return;
  schema::View view = *asked_backup_;
  asked_backup_.reset();
  if (!reply.agreed()) {
    declined_backups_.insert(from.id);
    if (phase_ != Phase::kBinding) return;
    view.clear_backup();
  }
  Propose(view, phase_ == Phase::kBinding ? proposed_previous_ : Term());
}
void EndpointPrimary::SetDraining(bool draining) {
  if (draining_ == draining) return;
  draining_ = draining;
  context_->MarkRoutingDirty();
  context_->Emit(
      ReportEvent{draining ? "endpoint_draining" : "endpoint_serving",
                  ResultCode::kOk,
                  {{"endpoint", endpoint()}}});
}

void EndpointPrimary::TickDrain() {
  if (!(draining_ || unreachable_) || phase_ != Phase::kServing) return;
  if (unreachable_ && !dispatch_stopped_) return;
  std::map<PartitionId, double> leaving;
  for (const auto& [partition, holding] : holdings_) {
    if (holding.acked && !holding.releasing) {
      const auto load = partition_load_.find(partition);
      leaving[partition] = load == partition_load_.end() ? 0 : load->second;
    }
  }
  if (leaving.empty()) return;
  for (const auto& [partition, target] :
       context_->TargetEndpoints(service_, leaving, endpoint())) {
    Release(partition, target, unreachable_ ? "endpoint_lost" : "drain");
  }
}

void EndpointPrimary::AssignMissingTargets() {
  std::map<PartitionId, double> open;
  for (const auto& [partition, holding] : holdings_) {
    if (holding.releasing && holding.target.empty()) open[partition] = 0;
  }
  if (open.empty()) return;
  for (const auto& [partition, target] :
       context_->TargetEndpoints(service_, open, endpoint())) {
    holdings_[partition].target = target;
    state_changed_ = true;
  }
}

void EndpointPrimary::RequestHandover() { handover_ = true; }

bool EndpointPrimary::MoveTo(const RouterRef& router) {
  if (phase_ != Phase::kServing || Suspected() || proposed_ || handover_ ||
      move_to_ || draining_ || !fenced_) {
    return false;
  }
  move_to_ = router;
  move_started_ = context_->now();
  return true;
}

void EndpointPrimary::TickHandover() {
  if (move_to_ && SameRef(view_.backup(), *move_to_)) handover_ = true;
  if (move_to_ && context_->now() > move_started_ + kMoveTimeout) {
    // The other router did not take over; later ticks may choose another.
    handover_ = handover_ && context_->ShuttingDown();
    move_to_.reset();
  }
  if (!handover_ || phase_ != Phase::kServing || proposed_ || Suspected()) {
    return;
  }
  if (!BackupUsable() || !transfers_.empty() ||
      context_->now() < last_handover_ + kHandoverInterval) {
    return;
  }
  last_handover_ = context_->now();
  schema::PeerMessage message = MakePeerMessage(context_->self());
  *message.mutable_handover()->mutable_view() = view_;
  context_->Emit(SendPeerMessage{view_.backup().id(), std::move(message)});
}

void EndpointPrimary::Demote(bool keep_transfers) {
  if (demoted_) return;
  demoted_ = true;
  if (authority_until_) authority_until_->store(0);
  if (!keep_transfers) transfers_.Clear();
  holdings_.clear();
  waiting_.clear();
  context_->MarkRoutingDirty();
  context_->Emit(
      ReportEvent{"primary_demoted",
                  ResultCode::kOk,
                  {{"endpoint", endpoint()}, {"term", Term().ToString()}}});
}

}  // namespace balsamhall
