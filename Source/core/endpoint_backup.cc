#include "core/endpoint_backup.h"

#include <algorithm>
#include <utility>

namespace balsamhall {
namespace {

constexpr Milliseconds kProbeInterval{100};

}  // namespace

EndpointBackup::EndpointBackup(ControlContext* context, schema::View view)
    : context_(context), view_(std::move(view)) {}

void EndpointBackup::OnView(const schema::View& view) {
  if (FromProto(view.term()) < FromProto(view_.term())) return;
  view_ = view;
  retired_ = false;
}

bool EndpointBackup::PrimaryLost() const {
  const RouterRef primary = FromProto(view_.primary());
  return context_->IsGone(primary) || context_->TimeSinceHeartbeat(primary) >=
                                          context_->options().suspicion_timeout;
}

void EndpointBackup::OnTick() {
  if (retired_) return;
  if (!PrimaryLost() && !handover_term_ && !attempted_) return;
  if (context_->now() < last_probe_ + kProbeInterval) return;
  SendProbe();
}

void EndpointBackup::OnHandover(const schema::Handover& handover) {
  OnView(handover.view());
  handover_term_ = FromProto(handover.view().term());
  SendProbe();
}

void EndpointBackup::SendProbe() {
  last_probe_ = context_->now();
  schema::GrantRequest request;
  *request.mutable_view() = view_;
  request.set_read_only(true);
  request.set_sequence(context_->NextGrantSequence());
  context_->Emit(SendGrant{view_.endpoint(), std::move(request)});
}

std::optional<schema::GrantResponse> EndpointBackup::OnGrantResponse(
    const schema::GrantResponse& response) {
  if (retired_ || response.sequence() <= last_response_sequence_ ||
      response.view().endpoint() != view_.endpoint()) {
    return std::nullopt;
  }
  last_response_sequence_ = response.sequence();
  const Fence term = FromProto(response.view().term());
  if (SameRef(response.view().primary(), context_->self())) {
    // A response without the full state is not used; the next probe returns the
    // full state.
    const bool is_own_failover =
        attempted_ && term == *attempted_ && term > promised_term_;
    if (!is_own_failover || !response.full_state()) return std::nullopt;
    retired_ = true;
    return response;
  }
  const bool restarted =
      response.view().endpoint_incarnation() != view_.endpoint_incarnation();
  // The attempt is over: the endpoint has reached or passed the attempted term,
  // or the process that may have accepted it has ended.
  if (attempted_ && (term >= *attempted_ || restarted)) attempted_.reset();
  if (!SameRef(response.view().backup(), context_->self())) {
    // A restarted endpoint has no view, so no router may fail over without the
    // log.
    const bool superseded = term >= FromProto(view_.term());
    if (superseded && !attempted_) retired_ = true;
    return std::nullopt;
  }
  OnView(response.view());
  const bool handed_over = handover_term_ && *handover_term_ == term;
  if (term <= promised_term_ || !(handed_over || PrimaryLost())) {
    return std::nullopt;
  }
  SendFailover(response);
  return std::nullopt;
}

void EndpointBackup::SendFailover(const schema::GrantResponse& response) {
  const Fence previous = FromProto(response.view().term());
  schema::GrantRequest request;
  schema::View* view = request.mutable_view();
  *view = response.view();
  *view->mutable_primary() = ToProto(context_->self());
  view->clear_backup();
  *view->mutable_term() = ToProto(previous.Next());
  *request.mutable_previous_term() = ToProto(previous);
  request.set_sequence(context_->NextGrantSequence());
  request.set_lease_ms(
      static_cast<std::uint32_t>(context_->options().lease.count()));
  request.set_lease_from_us(response.holder_time_us());
  attempted_ = previous.Next();
  lease_bound_ =
      std::max(lease_bound_, LeaseBound(context_->options(), context_->now()));
  last_probe_ = context_->now();
  context_->Emit(SendGrant{view_.endpoint(), std::move(request)});
}

std::optional<Fence> EndpointBackup::PromiseStandDown(const Fence& term) {
  if (!attempted_) {
    RaisePromise(term);
    return promised_term_;
  }
  // The endpoint may have accepted the failover. Only this router renews that
  // lease, so after the lease bound the endpoint serves nothing.
  if (context_->now() < lease_bound_) return std::nullopt;
  RaisePromise(std::max(term, *attempted_));
  attempted_.reset();
  handover_term_.reset();
  return promised_term_;
}

void EndpointBackup::RaisePromise(const Fence& term) {
  promised_term_ = std::max(promised_term_, term);
}

}  // namespace balsamhall
