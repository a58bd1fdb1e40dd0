// Endpoints that do not check fences, in OwnershipController. The parties that
// decide on their ownership are the primary, the backup and the log.
#include <algorithm>
#include <utility>

#include "core/controller_impl.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kResetRepeatInterval{3000};
// Health probes are sent every 500 ms; two missed ones count as a loss.
constexpr Milliseconds kHealthTimeout{1300};

}  // namespace

bool OwnershipController::Impl::ChecksFences(const EndpointId& endpoint) const {
  const schema::EndpointConfig* config = FindEndpoint(endpoint);
  return config == nullptr || config->checks_fences();
}

void OwnershipController::Impl::SendWitnessGrant(SendGrant grant) {
  // Without a backup this router is its own witness, because no other router
  // may take over.
  const schema::View* base = fleet_.BaseView(grant.endpoint);
  if (base == nullptr) return;
  const RouterId to =
      base->backup().id().empty() ? self_.id : base->backup().id();
  schema::PeerMessage message = MakePeerMessage(self_);
  *message.mutable_witness_request() = std::move(grant.request);
  SendTo(to, std::move(message));
}

void OwnershipController::Impl::OnWitnessRequest(
    const RouterRef& from, const schema::GrantRequest& request) {
  const EndpointId& endpoint = request.view().endpoint();
  const schema::View* base = fleet_.BaseView(endpoint);
  if (base == nullptr || !SameRef(base->primary(), from)) return;
  const bool is_witness = SameRef(base->backup(), self_) ||
                          (base->backup().id().empty() && from == self_);
  if (!is_witness || takeovers_.contains(endpoint)) return;
  const auto [witness, inserted] =
      witnesses_.try_emplace(endpoint, Witness(endpoint, self_, now_));
  schema::PeerMessage message = MakePeerMessage(self_);
  auto* reply = message.mutable_witness_reply();
  reply->set_endpoint(endpoint);
  *reply->mutable_response() = witness->second.OnGrant(request, now_);
  SendTo(from.id, std::move(message));
}

void OwnershipController::Impl::OnUnfencedReset(const schema::View& view) {
  const EndpointId& endpoint = view.endpoint();
  EndpointPrimary* primary = FindPrimary(endpoint);
  const auto witness = witnesses_.find(endpoint);
  if (!SameRef(view.primary(), self_)) {
    RetirePrimary(endpoint, false);
    witnesses_.erase(endpoint);
    takeovers_.erase(endpoint);
    return;
  }
  if (primary != nullptr) {
    primary->AdoptViewReset(view);
    return;
  }
  if (witness == witnesses_.end()) {
    StartReset(view);
    return;
  }
  Takeover takeover;
  takeover.view = view;
  const auto config = endpoints_.find(endpoint);
  if (config == endpoints_.end()) return;
  takeover.service = config->second.first->name();
  takeover.start_at =
      witness->second.TakeoverTime(options_, LongestDeadline(takeover.service));
  takeover.state = witness->second.State(now_);
  witnesses_.erase(witness);
  takeovers_.insert_or_assign(endpoint, std::move(takeover));
}

void OwnershipController::Impl::TickUnfenced() {
  for (auto takeover = takeovers_.begin(); takeover != takeovers_.end();) {
    if (now_ < takeover->second.start_at) {
      ++takeover;
      continue;
    }
    const Takeover due = std::move(takeover->second);
    takeover = takeovers_.erase(takeover);
    StartPrimary(
        EndpointPrimary::AfterTakeover(this, due.service, due.view, due.state));
    Emit(ReportEvent{"takeover_by_log",
                     ResultCode::kOk,
                     {{"endpoint", due.view.endpoint()}}});
  }
  for (const auto& [endpoint, primary] : primaries_) {
    if (ChecksFences(endpoint)) continue;
    const auto heard = health_received_at_.find(endpoint);
    const SteadyTime last = heard == health_received_at_.end()
                                ? primary->started_at()
                                : heard->second;
    primary->SetUnreachable(now_ >= last + kHealthTimeout);
  }
  if (!LogUsable() || self_.incarnation == 0 || shutdown_since_) return;
  for (const auto& [endpoint, witness] : witnesses_) {
    const schema::View* base = fleet_.BaseView(endpoint);
    if (base == nullptr || !SameRef(base->backup(), self_)) continue;
    const bool requested = handover_requested_.contains(endpoint);
    if (!requested && !witness.PrimarySilent(options_, now_)) continue;
    RequestReset(endpoint, "primary silent");
  }
}

void OwnershipController::Impl::RequestReset(const EndpointId& endpoint,
                                             const std::string& proof) {
  const schema::EndpointConfig* config = FindEndpoint(endpoint);
  if (config == nullptr) return;
  const auto [pending, inserted] =
      pending_resets_.try_emplace(endpoint, PendingReset{now_, {}});
  if (pending->second.sent_at &&
      now_ < *pending->second.sent_at + kResetRepeatInterval) {
    return;
  }
  pending->second.sent_at = now_;
  AppendReset(*config, proof);
}

}  // namespace balsamhall
