// EndpointPrimary: loss of the endpoint, by suspicion, consent and eviction.
#include <algorithm>
#include <utility>

#include "core/endpoint_primary.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kConsentRequestInterval{150};
// The first response of a new endpoint may take longer than those of a serving
// one.
constexpr Milliseconds kBindingTimeout{2000};

}  // namespace

bool EndpointPrimary::Suspected() const {
  const Milliseconds limit = phase_ == Phase::kBinding
                                 ? kBindingTimeout
                                 : context_->options().suspicion_timeout;
  return context_->now() >= last_response_ + limit;
}

bool EndpointPrimary::Accepting() const {
  if (demoted_ || phase_ != Phase::kServing || draining_) return false;
  if (endpoint_restarted_) return false;
  return checks_fences_ ? !Suspected() : HasAuthority() && !unreachable_;
}

bool EndpointPrimary::HasAuthority() const {
  const SteadyTime until{SteadyTime::duration(authority_until_->load())};
  return context_->now() < until;
}

void EndpointPrimary::RenewAuthority(const schema::GrantResponse& response) {
  // Counted from the time of sending, which precedes the time from which the
  // backup counts.
  if (checks_fences_ || response.sequence() != in_flight_sequence_) return;
  const SteadyTime until =
      in_flight_sent_at_ + context_->options().authority_time;
  authority_until_->store(until.time_since_epoch().count());
}

void EndpointPrimary::SetUnreachable(bool unreachable) {
  if (unreachable == unreachable_ || phase_ != Phase::kServing) return;
  unreachable_ = unreachable;
  running_until_.clear();
  dispatch_stopped_ = false;
  if (unreachable) {
    context_->Emit(StopDispatch{endpoint(), Term()});
  } else if (!proposed_) {
    // Dispatch stays stopped for the old term, so a new term is proposed.
    schema::View view = view_;
    *view.mutable_term() = ToProto(HighestOwnTerm().Next());
    Propose(view, Term());
  }
  context_->MarkRoutingDirty();
  context_->Emit(ReportEvent{
      unreachable ? "endpoint_lost" : "endpoint_returned",
      unreachable ? ResultCode::kBackendUnavailable : ResultCode::kOk,
      {{"endpoint", endpoint()}}});
}

void EndpointPrimary::AdoptViewReset(const schema::View& view) {
  view_ = view;
  phase_ = Phase::kBinding;
  proposed_.reset();
  replace_all_ = true;
  send_history_ = true;
  holder_time_received_at_.reset();
  last_response_ = context_->now();
  for (auto& [partition, held] : held_) held.acked = false;
  has_unsent_changes_ = true;
  context_->MarkRoutingDirty();
}

void EndpointPrimary::RequestConsents() {
  const auto require = [&](const schema::View& view) {
    if (view.backup().id().empty()) return;
    const Consent needed{FromProto(view.backup()), FromProto(view.term()),
                         false};
    const bool known = std::ranges::any_of(consents_, [&](const Consent& c) {
      return c.router == needed.router && c.term == needed.term;
    });
    if (!known) consents_.push_back(needed);
  };
  require(view_);
  if (proposed_) require(*proposed_);
  if (requested_backup_view_) require(*requested_backup_view_);
  if (context_->now() < last_consent_request_ + kConsentRequestInterval) return;
  last_consent_request_ = context_->now();
  for (const Consent& consent : consents_) {
    if (consent.given) continue;
    schema::PeerMessage message = MakePeerMessage(context_->self());
    auto* request = message.mutable_stand_down_request();
    *request->mutable_view() = view_;
    *request->mutable_view()->mutable_term() = ToProto(consent.term);
    context_->Emit(SendPeerMessage{consent.router.id, std::move(message)});
  }
}

bool EndpointPrimary::AllConsented() const {
  if (context_->options().removed_guards.contains(Guard::kStandDown)) {
    return true;
  }
  return std::ranges::all_of(consents_, &Consent::given);
}

void EndpointPrimary::OnStandDownReply(const RouterRef& from,
                                       const schema::StandDownReply& reply) {
  if (demoted_ || !reply.promised()) return;
  const Fence promised_term = FromProto(reply.term());
  Fence& known = promised_terms_[from];
  known = std::max(known, promised_term);
  for (Consent& consent : consents_) {
    if (consent.router == from && promised_term >= consent.term) {
      consent.given = true;
      consented_through_ = std::max(consented_through_, promised_term);
    }
  }
}

void EndpointPrimary::TickSuspicion() {
  if (phase_ == Phase::kEvicting || phase_ == Phase::kEvicted ||
      !checks_fences_) {
    return;
  }
  if (!Suspected()) {
    const bool consent_requested = !consents_.empty();
    if (consent_requested && phase_ == Phase::kServing && !proposed_ &&
        !endpoint_restarted_) {
      // The backup's promise ends with the term. A new term lets it fail over
      // again.
      schema::View view = view_;
      *view.mutable_term() = ToProto(HighestOwnTerm().Next());
      Propose(view, Term());
    }
    return;
  }
  if (consents_.empty()) context_->MarkRoutingDirty();
  RequestConsents();
  const bool lease_expired =
      context_->now() >= lease_bound_ ||
      context_->options().removed_guards.contains(Guard::kLeaseWait);
  if (AllConsented() && lease_expired) BeginEviction();
}

bool EndpointPrimary::NeedsBackupByLog() const {
  if (Suspected()) return true;
  const RouterRef backup = FromProto(view_.backup());
  const std::vector<RouterLocation> candidates = context_->CandidateRouters();
  const bool backup_is_candidate = std::ranges::any_of(
      candidates, [&](const auto& place) { return place.router == backup; });
  const bool has_other_candidate = std::ranges::any_of(
      candidates,
      [&](const auto& place) { return place.router != context_->self(); });
  return !backup_is_candidate && has_other_candidate;
}

bool EndpointPrimary::NeedsReset() const {
  if (!demoted_ && !checks_fences_) return NeedsBackupByLog();
  const bool lost = Suspected() || endpoint_restarted_;
  if (demoted_ || !lost || phase_ == Phase::kEvicting ||
      phase_ == Phase::kEvicted) {
    return false;
  }
  return std::ranges::any_of(consents_, [&](const Consent& consent) {
    return !consent.given && context_->IsGone(consent.router);
  });
}

void EndpointPrimary::BeginEviction() {
  phase_ = Phase::kEvicting;
  context_->MarkRoutingDirty();
  context_->Emit(StopDispatch{endpoint(), Term()});
  context_->Emit(ReportEvent{"endpoint_evicted",
                             ResultCode::kBackendUnavailable,
                             {{"endpoint", endpoint()},
                              {"term", Term().ToString()},
                              {"partitions", std::to_string(held_.size())}}});
}

void EndpointPrimary::OnDispatchStopped(const DispatchStopped& stopped) {
  if (!checks_fences_) {
    running_until_ = stopped.running_until;
    dispatch_stopped_ = true;
  }
  if (phase_ != Phase::kEvicting || demoted_) return;
  phase_ = Phase::kEvicted;
  proposed_.reset();
  requested_backup_view_.reset();
  for (const auto& [partition, held] : held_) {
    SteadyTime not_before = std::max(lease_bound_, context_->now());
    const auto running = stopped.running_until.find(partition);
    if (running != stopped.running_until.end()) {
      not_before = std::max(not_before, running->second);
    }
    if (context_->options().removed_guards.contains(Guard::kLeaseWait)) {
      not_before = context_->now();
    }
    transfers_.Add(partition,
                   {held.epoch.Next(), {}, not_before, true, "endpoint_lost"});
    schema::ReleasedPartition record;
    record.set_partition(partition);
    *record.mutable_epoch() = ToProto(held.epoch);
    history_[partition] = record;
  }
  held_.clear();
  unrecorded_refusals_.clear();
  for (const auto& [partition, outgoing] : transfers_.outgoing()) {
    transfers_.MarkTargetRecorded(
        partition, {outgoing.epoch.offset, outgoing.epoch.counter - 1},
        outgoing.target);
  }
  context_->MarkRoutingDirty();
}

}  // namespace balsamhall
