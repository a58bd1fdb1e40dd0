// EndpointPrimary: choice of the backup, draining and handover.
#include <algorithm>
#include <utility>

#include "core/endpoint_primary.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kHandoverInterval{300};
constexpr Milliseconds kPrimaryMoveTimeout{3000};

}  // namespace

bool EndpointPrimary::BackupUsable() const {
  if (view_.backup().id().empty()) return false;
  const RouterRef backup = FromProto(view_.backup());
  return !context_->IsGone(backup) &&
         context_->TimeSinceHeartbeat(backup) < kBackupTimeout;
}

void EndpointPrimary::TickBackup() {
  if (phase_ != Phase::kServing || Suspected() || proposed_ ||
      !checks_fences_) {
    return;
  }
  if (requested_backup_view_) {
    if (context_->now() < backup_requested_at_ + kBackupReplyTimeout) return;
    declined_backups_.insert(requested_backup_view_->backup().id());
    requested_backup_view_.reset();
  }
  const schema::EndpointConfig* config = context_->FindEndpoint(endpoint());
  if (config == nullptr) return;
  std::vector<RouterPlace> candidates = context_->CandidateRouters();
  // A leaving backup is not a candidate, but stays the backup until it is
  // replaced.
  const bool backup_is_candidate = std::ranges::any_of(
      candidates,
      [&](const auto& place) { return SameRef(view_.backup(), place.router); });
  const bool backup_fits_move =
      !new_primary_ || SameRef(view_.backup(), *new_primary_);
  if (BackupUsable() && backup_is_candidate && backup_fits_move) return;
  std::erase_if(candidates, [&](const RouterPlace& place) {
    return declined_backups_.contains(place.router.id);
  });
  const std::optional<RouterRef> backup =
      backup_fits_move ? ChooseBackup(*config, context_->self(), candidates)
                       : new_primary_;
  if (!backup) {
    declined_backups_.clear();
    return;
  }
  schema::View view = view_;
  *view.mutable_backup() = ToProto(*backup);
  *view.mutable_term() = ToProto(HighestOwnTerm().Next());
  requested_backup_view_ = view;
  backup_requested_at_ = context_->now();
  schema::PeerMessage message = MakePeerMessage(context_->self());
  *message.mutable_backup_request()->mutable_view() = view;
  context_->Emit(SendPeerMessage{backup->id, std::move(message)});
}

void EndpointPrimary::OnBackupReply(const RouterRef& from,
                                    const schema::BackupReply& reply) {
  if (demoted_ || !requested_backup_view_ || proposed_) return;
  if (FromProto(reply.view().term()) !=
          FromProto(requested_backup_view_->term()) ||
      !SameRef(requested_backup_view_->backup(), from)) {
    return;
  }
  if (phase_ != Phase::kBinding && phase_ != Phase::kServing) return;
  schema::View view = *requested_backup_view_;
  requested_backup_view_.reset();
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
  std::map<PartitionId, double> to_release;
  for (const auto& [partition, held] : held_) {
    if (held.acked && !held.releasing) {
      const auto load = partition_load_.find(partition);
      to_release[partition] = load == partition_load_.end() ? 0 : load->second;
    }
  }
  if (to_release.empty()) return;
  for (const auto& [partition, target] :
       context_->TargetEndpoints(service_, to_release, endpoint())) {
    Release(partition, target, unreachable_ ? "endpoint_lost" : "drain");
  }
}

void EndpointPrimary::AssignMissingTargets() {
  std::map<PartitionId, double> without_target;
  for (const auto& [partition, held] : held_) {
    if (held.releasing && held.target.empty()) without_target[partition] = 0;
  }
  if (without_target.empty()) return;
  for (const auto& [partition, target] :
       context_->TargetEndpoints(service_, without_target, endpoint())) {
    held_[partition].target = target;
    has_unsent_changes_ = true;
  }
}

void EndpointPrimary::RequestHandover() { handover_ = true; }

bool EndpointPrimary::MovePrimaryTo(const RouterRef& router) {
  if (phase_ != Phase::kServing || Suspected() || proposed_ || handover_ ||
      new_primary_ || draining_ || !checks_fences_) {
    return false;
  }
  new_primary_ = router;
  primary_move_started_at_ = context_->now();
  return true;
}

void EndpointPrimary::TickHandover() {
  if (new_primary_ && SameRef(view_.backup(), *new_primary_)) handover_ = true;
  if (new_primary_ &&
      context_->now() > primary_move_started_at_ + kPrimaryMoveTimeout) {
    // The other router did not take over in time; later ticks may choose
    // another.
    handover_ = handover_ && context_->ShuttingDown();
    new_primary_.reset();
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
  held_.clear();
  pending_incoming_transfers_.clear();
  context_->MarkRoutingDirty();
  context_->Emit(
      ReportEvent{"primary_demoted",
                  ResultCode::kOk,
                  {{"endpoint", endpoint()}, {"term", Term().ToString()}}});
}

}  // namespace balsamhall
