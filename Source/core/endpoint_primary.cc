#include "core/endpoint_primary.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "core/invariant.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kProbeInterval{150};
// An unreachable backup is replaced after this time; shorter pauses are common.
constexpr Milliseconds kBackupTimeout{2000};
constexpr Milliseconds kBackupReplyTimeout{1000};
constexpr Milliseconds kHandoverInterval{300};
constexpr Milliseconds kMoveTimeout{3000};
// Target in the record of a transfer that was refused, followed by the name of
// its source. No endpoint's name contains a colon.
constexpr const char* kRefusedPrefix = "refused:";
// A new endpoint may take longer to answer first than a serving one.
constexpr Milliseconds kBindingTimeout{2000};

bool IsRefusal(const schema::ReleasedPartition& record) {
  return record.target_endpoint().starts_with(kRefusedPrefix);
}

}  // namespace

EndpointPrimary::EndpointPrimary(ControlContext* context, Start start)
    : context_(context),
      service_(std::move(start.service)),
      view_(std::move(start.view)),
      replace_all_(start.replace_all),
      transfers_(context, service_, view_.endpoint()),
      last_response_(context->now()),
      serving_since_(context->now()),
      started_at_(context->now()),
      evict_at_(start.evict_at) {
  const schema::EndpointConfig* config = context->FindEndpoint(endpoint());
  fenced_ = config == nullptr || config->checks_fences();
  if (!fenced_) {
    authority_until_ = std::make_shared<std::atomic<SteadyTime::rep>>(0);
  }
  for (const auto& [partition, epoch] : start.partitions) {
    holdings_[partition] = Holding{epoch, false, false, {}, {}};
  }
  for (const auto& record : start.history) {
    history_[record.partition()] = record;
  }
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
      context, Start{std::move(service), response.view(), {}, {}, false, {}});
  primary.phase_ = Phase::kServing;
  primary.lease_bound_ = lease_bound;
  for (const auto& held : response.held()) {
    primary.holdings_[held.partition()] =
        Holding{FromProto(held.epoch()), true, false, {}, {}};
  }
  for (const PartitionId partition : response.releasing()) {
    const auto holding = primary.holdings_.find(partition);
    if (holding == primary.holdings_.end()) continue;
    holding->second.releasing = true;
    holding->second.cause = "failover";
  }
  primary.ResumeTransfers(response, context->now());
  primary.last_response_sequence_ = response.sequence();
  primary.holder_time_us_ = response.holder_time_us();
  primary.holder_time_at_ = context->now();
  primary.OnAccepted(response);
  return primary;
}

EndpointPrimary EndpointPrimary::AfterTakeover(
    ControlContext* context, ServiceId service, schema::View view,
    const schema::GrantResponse& state) {
  Start start{std::move(service), std::move(view), {}, {}, true, {}};
  for (const auto& held : state.held()) {
    start.partitions[held.partition()] = FromProto(held.epoch());
  }
  EndpointPrimary primary(context, std::move(start));
  primary.send_history_ = true;
  primary.ResumeTransfers(state, context->now());
  return primary;
}

void EndpointPrimary::ResumeTransfers(const schema::GrantResponse& state,
                                      SteadyTime not_before) {
  for (const auto& record : state.released()) {
    history_[record.partition()] = record;
    const Fence next = FromProto(record.epoch()).Next();
    const bool held = holdings_.contains(record.partition());
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

// ---- Grants ----------------------------------------------------------------

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
  context_->RoutingDirty();
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
  if (was_suspected) context_->RoutingDirty();
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
    context_->RoutingDirty();
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
      context_->SilenceOf(FromProto(view.backup())) > kBackupTimeout;
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
  context_->RoutingDirty();
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
    context_->RoutingDirty();
    AnswerWaitingTransfers();
  }
}

// ---- Loss of the endpoint ---------------------------------------------------

bool EndpointPrimary::Suspected() const {
  const Milliseconds limit = phase_ == Phase::kBinding
                                 ? kBindingTimeout
                                 : context_->options().suspicion_timeout;
  return context_->now() >= last_response_ + limit;
}

bool EndpointPrimary::Accepting() const {
  if (demoted_ || phase_ != Phase::kServing || draining_) return false;
  if (endpoint_restarted_) return false;
  return fenced_ ? !Suspected() : HasAuthority() && !unreachable_;
}

bool EndpointPrimary::HasAuthority() const {
  const SteadyTime until{SteadyTime::duration(authority_until_->load())};
  return context_->now() < until;
}

void EndpointPrimary::RenewAuthority(const schema::GrantResponse& response) {
  // Counted from the time of sending: the backup counts from a later time.
  if (fenced_ || response.sequence() != in_flight_grant_) return;
  const SteadyTime until =
      in_flight_grant_at_ + context_->options().authority_time;
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
    // Dispatch stays stopped for the old term.
    schema::View view = view_;
    *view.mutable_term() = ToProto(HighestOwnTerm().Next());
    Propose(view, Term());
  }
  context_->RoutingDirty();
  context_->Emit(ReportEvent{
      unreachable ? "endpoint_lost" : "endpoint_returned",
      unreachable ? ResultCode::kBackendUnavailable : ResultCode::kOk,
      {{"endpoint", endpoint()}}});
}

void EndpointPrimary::AdoptReset(const schema::View& view) {
  view_ = view;
  phase_ = Phase::kBinding;
  proposed_.reset();
  replace_all_ = true;
  send_history_ = true;
  holder_time_at_.reset();
  last_response_ = context_->now();
  for (auto& [partition, holding] : holdings_) holding.acked = false;
  state_changed_ = true;
  context_->RoutingDirty();
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
  if (asked_backup_) require(*asked_backup_);
  if (context_->now() < last_consent_request_ + kProbeInterval) return;
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
  const Fence through = FromProto(reply.term());
  for (Consent& consent : consents_) {
    if (consent.router == from && through >= consent.term) {
      consent.given = true;
      consented_through_ = std::max(consented_through_, through);
    }
  }
}

void EndpointPrimary::TickSuspicion() {
  if (phase_ == Phase::kEvicting || phase_ == Phase::kEvicted || !fenced_) {
    return;
  }
  if (!Suspected()) {
    const bool asked = !consents_.empty();
    if (asked && phase_ == Phase::kServing && !proposed_ &&
        !endpoint_restarted_) {
      // The promise ends with the term, so the backup can act again.
      schema::View view = view_;
      *view.mutable_term() = ToProto(HighestOwnTerm().Next());
      Propose(view, Term());
    }
    return;
  }
  if (consents_.empty()) context_->RoutingDirty();
  RequestConsents();
  const bool lease_over =
      context_->now() >= lease_bound_ ||
      context_->options().removed_guards.contains(Guard::kLeaseWait);
  if (AllConsented() && lease_over) BeginEviction();
}

bool EndpointPrimary::NeedsBackupByLog() const {
  if (Suspected()) return true;
  const RouterRef backup = FromProto(view_.backup());
  const std::vector<RouterPlace> candidates = context_->Candidates();
  const bool listed = std::ranges::any_of(
      candidates, [&](const auto& place) { return place.router == backup; });
  const bool other = std::ranges::any_of(candidates, [&](const auto& place) {
    return place.router != context_->self();
  });
  return !listed && other;
}

bool EndpointPrimary::NeedsReset() const {
  if (!demoted_ && !fenced_) return NeedsBackupByLog();
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
  context_->RoutingDirty();
  context_->Emit(StopDispatch{endpoint(), Term()});
  context_->Emit(
      ReportEvent{"endpoint_evicted",
                  ResultCode::kBackendUnavailable,
                  {{"endpoint", endpoint()},
                   {"term", Term().ToString()},
                   {"partitions", std::to_string(holdings_.size())}}});
}

void EndpointPrimary::OnDispatchStopped(const DispatchStopped& stopped) {
  if (!fenced_) {
    running_until_ = stopped.running_until;
    dispatch_stopped_ = true;
  }
  if (phase_ != Phase::kEvicting || demoted_) return;
  phase_ = Phase::kEvicted;
  proposed_.reset();
  asked_backup_.reset();
  for (const auto& [partition, holding] : holdings_) {
    SteadyTime not_before = std::max(lease_bound_, context_->now());
    const auto running = stopped.running_until.find(partition);
    if (running != stopped.running_until.end()) {
      not_before = std::max(not_before, running->second);
    }
    if (context_->options().removed_guards.contains(Guard::kLeaseWait)) {
      not_before = context_->now();
    }
    transfers_.Add(
        partition,
        {holding.epoch.Next(), {}, not_before, true, "endpoint_lost"});
    schema::ReleasedPartition record;
    record.set_partition(partition);
    *record.mutable_epoch() = ToProto(holding.epoch);
    history_[partition] = record;
  }
  holdings_.clear();
  unrecorded_refusals_.clear();
  for (const auto& [partition, outgoing] : transfers_.outgoing()) {
    transfers_.MarkRecorded(partition, outgoing.target);
  }
  context_->RoutingDirty();
}

// ---- Backup -----------------------------------------------------------------

bool EndpointPrimary::BackupUsable() const {
  if (view_.backup().id().empty()) return false;
  const RouterRef backup = FromProto(view_.backup());
  return !context_->IsGone(backup) &&
         context_->SilenceOf(backup) < kBackupTimeout;
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
  std::vector<RouterPlace> candidates = context_->Candidates();
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

// ---- Transfers --------------------------------------------------------------

void EndpointPrimary::OnTransfer(const RouterId& from,
                                 const schema::Transfer& transfer) {
  schema::PeerMessage message = MakePeerMessage(context_->self());
  auto* reply = message.mutable_transfer_reply();
  reply->set_service(transfer.service());
  reply->set_source_endpoint(transfer.source_endpoint());
  reply->set_target_endpoint(transfer.target_endpoint());
  *reply->mutable_target_view() = view_;
  const bool stale = FromProto(transfer.target_term()) != Term();
  if (stale) {
    reply->set_status(schema::TRANSFER_STALE_VIEW);
    context_->Emit(SendPeerMessage{from, std::move(message)});
    return;
  }
  if (!AnswerTransfer(from, transfer)) {
    waiting_[transfer.source_endpoint()] = {from, transfer};
  }
}

bool EndpointPrimary::AnswerTransfer(const RouterId& from,
                                     const schema::Transfer& transfer) {
  schema::TransferReply done;
  done.set_service(transfer.service());
  done.set_source_endpoint(transfer.source_endpoint());
  done.set_target_endpoint(endpoint());
  *done.mutable_target_view() = view_;
  schema::TransferReply refused = done;
  done.set_status(schema::TRANSFER_DONE);
  refused.set_status(schema::TRANSFER_REFUSED);
  bool all_answered = true;
  const bool check_order =
      !context_->options().removed_guards.contains(Guard::kEpochOrder);
  for (const auto& entry : transfer.partitions()) {
    const PartitionId partition = entry.partition();
    const Fence epoch = FromProto(entry.epoch());
    const auto holding = holdings_.find(partition);
    if (holding != holdings_.end() && holding->second.epoch >= epoch) {
      if (holding->second.acked) {
        *done.add_partitions() = entry;
      } else {
        all_answered = false;
      }
      continue;
    }
    const auto outgoing = transfers_.outgoing().find(partition);
    if (outgoing != transfers_.outgoing().end() &&
        outgoing->second.epoch > epoch) {
      all_answered = false;
      continue;
    }
    const auto record = history_.find(partition);
    if (check_order && record != history_.end() &&
        FromProto(record->second.epoch()) >= epoch) {
      // A lower epoch from another source is obsolete: the partition has moved
      // on to the source of the refused transfer.
      const bool was_refused = record->second.target_endpoint() ==
                               kRefusedPrefix + transfer.source_endpoint();
      if (was_refused && unrecorded_refusals_.contains(partition)) {
        all_answered = false;
        continue;
      }
      *(was_refused ? refused : done).add_partitions() = entry;
      continue;
    }
    if (check_order && context_->HighestEpoch(service_, partition) > epoch) {
      *done.add_partitions() = entry;
      continue;
    }
    if (!Accepting() || handover_) {
      if (phase_ != Phase::kServing && phase_ != Phase::kEvicted) {
        all_answered = false;
        continue;
      }
      // Remembered, so that a repeat of this transfer is refused as well. The
      // endpoint records it before the answer: a later primary might accept a
      // repeat while the source already sends the partition elsewhere. An
      // evicted endpoint has no other primary.
      schema::ReleasedPartition refusal;
      refusal.set_partition(partition);
      *refusal.mutable_epoch() = entry.epoch();
      refusal.set_target_endpoint(kRefusedPrefix + transfer.source_endpoint());
      history_[partition] = refusal;
      if (phase_ == Phase::kServing) {
        unrecorded_refusals_.insert(partition);
        state_changed_ = true;
        all_answered = false;
        continue;
      }
      *refused.add_partitions() = entry;
      continue;
    }
    holdings_[partition] = Holding{epoch, false, false, {}, {}};
    state_changed_ = true;
    all_answered = false;
  }
  for (auto* reply : {&done, &refused}) {
    if (reply->partitions_size() == 0) continue;
    schema::PeerMessage message = MakePeerMessage(context_->self());
    *message.mutable_transfer_reply() = std::move(*reply);
    context_->Emit(SendPeerMessage{from, std::move(message)});
  }
  return all_answered;
}

void EndpointPrimary::AnswerWaitingTransfers() {
  std::erase_if(waiting_, [&](const auto& item) {
    const auto& [from, transfer] = item.second;
    return FromProto(transfer.target_term()) != Term() ||
           AnswerTransfer(from, transfer);
  });
}

void EndpointPrimary::OnTransferReply(const schema::TransferReply& reply) {
  const TransferSender::ReplyResult result = transfers_.OnReply(reply);
  for (const PartitionId partition : result.completed) {
    history_[partition].set_target_endpoint(reply.target_endpoint());
  }
  for (const PartitionId partition : result.refused) {
    if (phase_ != Phase::kServing || demoted_) continue;
    // The endpoint learns the new target first, for a failover in between.
    const auto outgoing = transfers_.outgoing().find(partition);
    if (outgoing == transfers_.outgoing().end()) continue;
    transfers_.RequireRecord(partition);
  }
  RecordTargets();
  if (transfers_.empty()) context_->RoutingDirty();
}

void EndpointPrimary::RecordTargets() {
  if (phase_ != Phase::kServing) return;
  for (const auto& [partition, outgoing] : transfers_.outgoing()) {
    if (outgoing.recorded || outgoing.target.empty()) continue;
    schema::ReleasedPartition& record = history_[partition];
    if (record.target_endpoint() == outgoing.target) continue;
    record.set_target_endpoint(outgoing.target);
    state_changed_ = true;
  }
}

void EndpointPrimary::Release(PartitionId partition, const EndpointId& target,
                              const std::string& cause) {
  const auto holding = holdings_.find(partition);
  if (holding == holdings_.end() || !holding->second.acked ||
      holding->second.releasing || target == endpoint()) {
    return;
  }
  holding->second.releasing = true;
  holding->second.target = target;
  holding->second.cause = cause;
  state_changed_ = true;
  context_->RoutingDirty();
}

void EndpointPrimary::AddAssigned(PartitionId partition, const Fence& epoch) {
  const bool known = holdings_.contains(partition) ||
                     history_.contains(partition) ||
                     transfers_.outgoing().contains(partition) ||
                     context_->HighestEpoch(service_, partition) >= epoch;
  if (known || demoted_ || phase_ == Phase::kEvicting ||
      phase_ == Phase::kEvicted) {
    return;
  }
  holdings_[partition] = Holding{epoch, false, false, {}, {}};
  state_changed_ = true;
}

// ---- Drain and handover -----------------------------------------------------

void EndpointPrimary::SetDraining(bool draining) {
  if (draining_ == draining) return;
  draining_ = draining;
  context_->RoutingDirty();
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
       context_->Targets(service_, leaving, endpoint())) {
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
       context_->Targets(service_, open, endpoint())) {
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
  context_->RoutingDirty();
  context_->Emit(
      ReportEvent{"primary_demoted",
                  ResultCode::kOk,
                  {{"endpoint", endpoint()}, {"term", Term().ToString()}}});
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
  // A target may be found long after the refusal of the last one.
  RecordTargets();
  const Milliseconds interval = context_->options().renewal_interval;
  const bool due = context_->now() >= last_grant_ + interval;
  if (!due && !state_changed_) return;
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
  for (const auto& [partition, holding] : holdings_) {
    if (!holding.acked || holding.releasing) continue;
    const auto load = partition_load_.find(partition);
    movable[partition] = load == partition_load_.end() ? 0 : load->second;
  }
  return movable;
}

std::size_t EndpointPrimary::moving() const {
  return transfers_.outgoing().size() +
         std::ranges::count_if(holdings_ | std::views::values,
                               &Holding::releasing);
}

void EndpointPrimary::FillRouting(schema::EndpointRouting* routing) const {
  routing->set_service(service_);
  *routing->mutable_view() = view_;
  routing->set_load(load_);
  routing->set_accepting(Accepting());
  for (const auto& [partition, holding] : holdings_) {
    if (!holding.acked || holding.releasing || phase_ != Phase::kServing) {
      continue;
    }
    auto* entry = routing->add_partitions();
    entry->set_partition(partition);
    *entry->mutable_epoch() = ToProto(holding.epoch);
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
  for (const auto& [partition, holding] : holdings_) {
    add(partition, holding.epoch);
  }
  // The target may already hold a partition on its way, at the same epoch.
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
