// Peer message handling of OwnershipController.
#include <algorithm>
#include <utility>

#include "core/controller_impl.h"

namespace balsamhall {
namespace {

// Reports that differ only in load are sent at most this often.
constexpr Milliseconds kLoadReportInterval{1000};
constexpr Milliseconds kRoutingRequestInterval{500};
constexpr Milliseconds kStateRequestInterval{1000};

}  // namespace

void OwnershipController::Impl::SendTo(const RouterId& to,
                                       schema::PeerMessage message) {
  Emit(SendPeerMessage{to, std::move(message)});
}

void OwnershipController::Impl::OnPeerMessage(
    const schema::PeerMessage& message) {
  const RouterRef from = FromProto(message.sender());
  switch (message.body_case()) {
    case schema::PeerMessage::kHeartbeat:
      return OnHeartbeat(message.heartbeat());
    case schema::PeerMessage::kStandDownRequest:
      return OnStandDownRequest(from, message.stand_down_request());
    case schema::PeerMessage::kStandDownReply: {
      EndpointPrimary* primary =
          FindPrimary(message.stand_down_reply().endpoint());
      if (primary != nullptr) {
        primary->OnStandDownReply(from, message.stand_down_reply());
      }
      return;
    }
    case schema::PeerMessage::kBackupRequest:
      return OnBackupRequest(from, message.backup_request());
    case schema::PeerMessage::kBackupReply: {
      EndpointPrimary* primary =
          FindPrimary(message.backup_reply().view().endpoint());
      if (primary != nullptr) {
        primary->OnBackupReply(from, message.backup_reply());
      }
      return;
    }
    case schema::PeerMessage::kViewNotice:
      return OnReportedView(message.view_notice().view());
    case schema::PeerMessage::kHandover:
      return OnHandover(message.handover());
    case schema::PeerMessage::kTransfer:
      return OnTransfer(from, message.transfer());
    case schema::PeerMessage::kTransferReply:
      return OnTransferReply(message.transfer_reply());
    case schema::PeerMessage::kLocateRequest:
      return OnLocateRequest(from, message.locate_request());
    case schema::PeerMessage::kLocateReply: {
      const auto reset = resets_.find(message.locate_reply().endpoint());
      if (reset != resets_.end()) {
        reset->second.OnLocateReply(from, message.locate_reply());
      }
      return;
    }
    case schema::PeerMessage::kRoutingUpdate:
      return OnRoutingUpdate(message.routing_update());
    case schema::PeerMessage::kRoutingRequest:
      return OnRoutingRequest(from);
    case schema::PeerMessage::kStateRequest:
      return OnStateRequest(from);
    case schema::PeerMessage::kStateReply:
      return OnStateReply(message.state_reply());
    case schema::PeerMessage::kWitnessRequest:
      return OnWitnessRequest(from, message.witness_request());
    case schema::PeerMessage::kWitnessReply: {
      EndpointPrimary* primary =
          FindPrimary(message.witness_reply().endpoint());
      if (primary == nullptr) return;
      primary->OnGrantResponse(message.witness_reply().response());
      return;
    }
    default:
      // Forwarded requests do not reach the control thread.
      return;
  }
}

// ---- Heartbeats and routing state -------------------------------------------

void OwnershipController::Impl::TickHeartbeat() {
  if (now_ < last_heartbeat_ + options_.heartbeat_interval) return;
  last_heartbeat_ = now_;
  schema::PeerMessage message = MakePeerMessage(self_);
  schema::Heartbeat* heartbeat = message.mutable_heartbeat();
  *heartbeat->mutable_sender() = ToProto(self_);
  heartbeat->set_sequence(++heartbeat_sequence_);
  heartbeat->set_config_version(config_.current().version());
  heartbeat->set_config_digest(config_.current().digest());
  // Records are buffered, not applied, until the end of the log is reached.
  heartbeat->set_log_offset(caught_up_ ? next_offset_ : 0);
  heartbeat->set_routing_digest(table_.DigestOf(self_.id));
  heartbeat->set_ready(config_.current().version() > 0);
  heartbeat->set_leaving(shutdown_since_.has_value());
  for (const RouterRef& router : OtherRouters()) SendTo(router.id, message);
}

void OwnershipController::Impl::OnHeartbeat(
    const schema::Heartbeat& heartbeat) {
  const RouterRef from = FromProto(heartbeat.sender());
  const bool was_silent = TimeSinceHeartbeat(from) > Milliseconds{1000};
  membership_.OnHeartbeat(heartbeat, now_);
  if (was_silent) MarkRoutingDirty();
  if (heartbeat.routing_digest() == table_.DigestOf(from.id)) return;
  // A routing update of the sender was lost: request all of its reports.
  SteadyTime& requested_at = routing_requested_at_[from.id];
  if (now_ < requested_at + kRoutingRequestInterval) return;
  requested_at = now_;
  schema::PeerMessage message = MakePeerMessage(self_);
  message.mutable_routing_request();
  SendTo(from.id, std::move(message));
}

void OwnershipController::Impl::TickRoutingUpdates() {
  schema::PeerMessage message = MakePeerMessage(self_);
  for (const auto& [endpoint, primary] : primaries_) {
    if (primary->demoted() ||
        primary->phase() == EndpointPrimary::Phase::kBinding) {
      continue;
    }
    schema::EndpointRouting routing;
    primary->FillRouting(&routing);
    schema::EndpointRouting& last = last_reports_[endpoint];
    const bool same_term =
        FromProto(last.view().term()) == FromProto(routing.view().term());
    routing.set_revision(last.revision());
    if (same_term && routing.SerializeAsString() == last.SerializeAsString()) {
      continue;
    }
    schema::EndpointRouting without_load = routing;
    without_load.set_load(last.load());
    const bool only_load = same_term && without_load.SerializeAsString() ==
                                            last.SerializeAsString();
    SteadyTime& sent_at = last_report_at_[endpoint];
    if (only_load && now_ < sent_at + kLoadReportInterval) continue;
    sent_at = now_;
    routing.set_revision(last.revision() + 1);
    last = routing;
    table_.Update(routing, now_);
    *message.mutable_routing_update()->add_endpoints() = routing;
    routing_dirty_ = true;
  }
  if (!message.has_routing_update()) return;
  for (const RouterRef& router : OtherRouters()) SendTo(router.id, message);
}

void OwnershipController::Impl::OnRoutingUpdate(
    const schema::RoutingUpdate& update) {
  for (const auto& routing : update.endpoints()) {
    if (!table_.Update(routing, now_)) continue;
    MarkRoutingDirty();
    OnReportedView(routing.view());
  }
}

void OwnershipController::Impl::OnRoutingRequest(const RouterRef& from) {
  schema::PeerMessage message = MakePeerMessage(self_);
  auto* update = message.mutable_routing_update();
  for (const auto& [endpoint, primary] : primaries_) {
    const auto found = last_reports_.find(endpoint);
    if (found != last_reports_.end()) *update->add_endpoints() = found->second;
  }
  SendTo(from.id, std::move(message));
}

void OwnershipController::Impl::OnReportedView(const schema::View& view) {
  table_.NoteView(view);
  const EndpointId& endpoint = view.endpoint();
  const EndpointPrimary* primary = FindPrimary(endpoint);
  const Fence term = FromProto(view.term());
  if (primary != nullptr) {
    const bool replaced = !SameRef(view.primary(), self_) &&
                          term > FromProto(primary->view().term());
    if (!replaced) return;
    RetirePrimary(endpoint, false);
  }
  if (!ChecksFences(endpoint)) return;
  if (SameRef(view.backup(), self_)) StartBackup(view);
  const auto backup = backups_.find(endpoint);
  if (backup != backups_.end()) backup->second.OnView(view);
}

// ---- Consent ----------------------------------------------------------------

Fence& OwnershipController::Impl::PromisedTerm(const EndpointId& endpoint) {
  return promised_terms_[endpoint];
}

void OwnershipController::Impl::OnStandDownRequest(
    const RouterRef& from, const schema::StandDownRequest& request) {
  const EndpointId& endpoint = request.view().endpoint();
  const Fence term = FromProto(request.view().term());
  schema::PeerMessage message = MakePeerMessage(self_);
  schema::StandDownReply* reply = message.mutable_stand_down_reply();
  reply->set_endpoint(endpoint);
  // This router has failed over since this term, so the sender is no longer
  // primary.
  const auto failed_over = failover_terms_.find(endpoint);
  const bool superseded =
      failed_over != failover_terms_.end() && term <= failed_over->second;
  if (FindPrimary(endpoint) == nullptr && !superseded) {
    const auto backup = backups_.find(endpoint);
    std::optional<Fence> promised = term;
    if (backup != backups_.end()) {
      promised = backup->second.PromiseStandDown(term);
    }
    if (promised) {
      Fence& known = PromisedTerm(endpoint);
      known = std::max(known, *promised);
      *reply->mutable_term() = ToProto(known);
    }
    reply->set_promised(promised.has_value());
  }
  SendTo(from.id, std::move(message));
}

void OwnershipController::Impl::OnBackupRequest(
    const RouterRef& from, const schema::BackupRequest& request) {
  const schema::View& view = request.view();
  const bool agreed = SameRef(view.backup(), self_) && !shutdown_since_ &&
                      FindPrimary(view.endpoint()) == nullptr &&
                      FromProto(view.term()) > PromisedTerm(view.endpoint());
  schema::PeerMessage message = MakePeerMessage(self_);
  schema::BackupReply* reply = message.mutable_backup_reply();
  *reply->mutable_view() = view;
  reply->set_agreed(agreed);
  if (agreed) StartBackup(view);
  SendTo(from.id, std::move(message));
}

void OwnershipController::Impl::OnHandover(const schema::Handover& handover) {
  const EndpointId& endpoint = handover.view().endpoint();
  if (FindPrimary(endpoint) != nullptr || shutdown_since_) return;
  if (!ChecksFences(endpoint)) {
    if (witnesses_.contains(endpoint)) handover_requested_.insert(endpoint);
    return;
  }
  StartBackup(handover.view());
  const auto backup = backups_.find(endpoint);
  if (backup != backups_.end()) backup->second.OnHandover(handover);
}

// ---- Transfers and locate queries -------------------------------------------

void OwnershipController::Impl::OnTransfer(const RouterRef& from,
                                           const schema::Transfer& transfer) {
  EndpointPrimary* primary = FindPrimary(transfer.target_endpoint());
  if (primary != nullptr) return primary->OnTransfer(from.id, transfer);
  schema::PeerMessage message = MakePeerMessage(self_);
  auto* reply = message.mutable_transfer_reply();
  reply->set_service(transfer.service());
  reply->set_source_endpoint(transfer.source_endpoint());
  reply->set_target_endpoint(transfer.target_endpoint());
  reply->set_status(schema::TRANSFER_STALE_VIEW);
  const auto view = table_.KnownView(transfer.target_endpoint());
  if (view) *reply->mutable_target_view() = *view;
  SendTo(from.id, std::move(message));
}

void OwnershipController::Impl::OnTransferReply(
    const schema::TransferReply& reply) {
  if (!reply.target_view().endpoint().empty()) {
    OnReportedView(reply.target_view());
  }
  EndpointPrimary* primary = FindPrimary(reply.source_endpoint());
  if (primary != nullptr) primary->OnTransferReply(reply);
  for (const auto& retired : retired_primaries_) {
    if (retired->view().endpoint() == reply.source_endpoint()) {
      retired->OnTransferReply(reply);
    }
  }
}

schema::LocateReply OwnershipController::Impl::MakeLocateReply(
    const ServiceId& service, const EndpointId& endpoint, std::uint64_t query,
    const Fence& term) const {
  schema::LocateReply reply;
  reply.set_service(service);
  reply.set_endpoint(endpoint);
  reply.set_query(query);
  reply.set_resolving(std::ranges::any_of(resets_, [&](const auto& item) {
    return item.second.service() == service && item.second.term() < term;
  }));
  for (const auto& [id, primary] : primaries_) {
    if (primary->service() == service) {
      *reply.add_claims() = primary->Claims();
    }
  }
  for (const auto& primary : retired_primaries_) {
    if (primary->service() == service) {
      *reply.add_claims() = primary->Claims();
    }
  }
  return reply;
}

void OwnershipController::Impl::OnLocateRequest(
    const RouterRef& from, const schema::LocateRequest& request) {
  const Fence term = FromProto(request.term());
  // The reset record must be applied here before the reply, because it ends the
  // roles of the previous view.
  if (!caught_up_ || next_offset_ <= term.offset) return;
  Fence& promise = PromisedTerm(request.endpoint());
  promise = std::max(promise, term);
  const auto backup = backups_.find(request.endpoint());
  if (backup != backups_.end()) backup->second.RaisePromise(term);
  schema::PeerMessage message = MakePeerMessage(self_);
  *message.mutable_locate_reply() = MakeLocateReply(
      request.service(), request.endpoint(), request.query(), term);
  SendTo(from.id, std::move(message));
}

// ---- State for routers that start without the log ---------------------------

void OwnershipController::Impl::TickPeerState() {
  if (now_ < last_state_request_ + kStateRequestInterval) return;
  RouterId source;
  if (!log_reachable_) {
    for (const auto& [id, heard] : membership_.last_heartbeats()) {
      if (heard.heartbeat.config_version() > config_.current().version()) {
        source = id;
      }
    }
    if (config_.current().version() == 0 && source.empty() &&
        !listed_routers_.empty()) {
      const auto skip =
          static_cast<std::ptrdiff_t>(random_() % listed_routers_.size());
      source = *std::next(listed_routers_.begin(), skip);
    }
  }
  if (source.empty()) return;
  last_state_request_ = now_;
  schema::PeerMessage message = MakePeerMessage(self_);
  message.mutable_state_request();
  SendTo(source, std::move(message));
}

void OwnershipController::Impl::OnStateRequest(const RouterRef& from) {
  if (config_.current().version() == 0) return;
  schema::PeerMessage message = MakePeerMessage(self_);
  auto* reply = message.mutable_state_reply();
  reply->set_log_offset(next_offset_);
  *reply->mutable_fleet() = fleet_.Snapshot(next_offset_);
  *reply->mutable_config() = config_.current();
  reply->set_digest(config_.current().digest());
  SendTo(from.id, std::move(message));
}

void OwnershipController::Impl::OnStateReply(const schema::StateReply& reply) {
  // While the log is reachable, it is the only source of this state.
  if (log_reachable_) return;
  fleet_.Merge(reply.fleet());
  AdoptOwnIncarnation();
  if (config_.OnPeerSnapshot(reply.config())) OnConfigChanged();
  for (const auto& view : reply.fleet().views()) table_.NoteView(view);
  MarkRoutingDirty();
}

}  // namespace balsamhall
