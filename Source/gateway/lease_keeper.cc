#include "gateway/lease_keeper.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>

#include "gateway/log_position.h"

namespace balsamhall::gateway {
namespace {

// Endpoint clocks may run 2% slow (the users' protocol page). The margin covers
// rounding and the transit time of the call's last bytes.
constexpr double kClockDrift = 0.02;
constexpr Milliseconds kDriftMargin{100};
// Four renewals fit into a lease, so three in a row may be lost.
constexpr Milliseconds kRenewInterval{1'000};
// During a store outage several renewers renew the same leases, so each may do
// so less often.
constexpr Milliseconds kOutageRenewInterval{1'600};
// A renewer other than the leader starts after the store has been unreachable
// for this time.
constexpr Milliseconds kOutageDelay{700};
constexpr Milliseconds kCallRetryDelay{120};
// The first table is written once the registry has not changed for this time,
// so that the keys of a starting fleet are not moved again at once.
constexpr Milliseconds kRegistrySettleTime{1'000};
constexpr Milliseconds kPlanInterval{1'000};
constexpr Milliseconds kUrgentPlanInterval{50};
// Fences that are due together share a record.
constexpr Milliseconds kFenceRaiseInterval{250};
// Minimum load, in requests, for moves that balance load; fewer requests are
// too small a sample.
constexpr double kMinLoadToBalance = 60;
// After this many failed calls in a row over this time, an endpoint is treated
// as unreachable for kUnreachableHold, even while the registry still lists it.
constexpr int kMinUnreachableFailures = 4;
constexpr Milliseconds kMinUnreachableTime{900};
constexpr Milliseconds kUnreachableHold{5'000};
// Endpoints seldom fail together. If more than this share of them (and more
// than one) is unreachable, the fault is assumed to be on this gateway's side,
// and only the registry decides which endpoints are usable.
constexpr double kMaxUnreachableShare = 1.0 / 3;
constexpr Milliseconds kPublishInterval{250};
// To move keys away from an unresponsive endpoint, the leader sends the whole
// table to every renewer, so their number is a cost. If half of the fleet is
// lost, at least one of eight renewers remains in all but one case of 256.
constexpr std::size_t kMaxRenewers = 8;
constexpr Milliseconds kRenewerUpdateInterval{4'000};
constexpr Milliseconds kEraAnnounceInterval{250};
constexpr Milliseconds kConfirmBatchDelay{250};
// Typical time of a move whose previous holder responds.
constexpr Milliseconds kTypicalMoveTime{150};

Milliseconds MaxLeaseTime() {
  return LeaseKeeper::kLeaseTime +
         Milliseconds(static_cast<std::int64_t>(
             static_cast<double>(LeaseKeeper::kLeaseTime.count()) *
             kClockDrift)) +
         kDriftMargin;
}

}  // namespace

std::string_view CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kDone:
      return "done";
    case CallOutcome::kRefused:
      return "refused";
    case CallOutcome::kOtherEndpoint:
      return "other_endpoint";
    case CallOutcome::kNotSent:
      return "not_sent";
    case CallOutcome::kUnanswered:
      break;
  }
  return "unanswered";
}

LeaseKeeper::LeaseKeeper(ServiceId service, GatewayInstance self,
                         BootTime started)
    : LeaseKeeper(std::move(service), std::move(self), started, Guards{}) {}

LeaseKeeper::LeaseKeeper(ServiceId service, GatewayInstance self,
                         BootTime started, Guards guards)
    : service_(std::move(service)),
      self_(std::move(self)),
      started_(started),
      guards_(guards) {
  table_.service = service_;
}

void LeaseKeeper::AddEvent(std::string name, std::string detail) {
  events_.push_back({std::move(name), std::move(detail)});
}

// Reports the first failed call of a row and the response that ends the row:
// the process that responds may not be the one that responded before.
void LeaseKeeper::AddCallEvents(const RangeLease& lease,
                                const Progress& progress, CallOutcome outcome) {
  const bool responded =
      outcome == CallOutcome::kDone || outcome == CallOutcome::kRefused;
  if (responded ? progress.failures == 0 : progress.failures > 0) return;
  const LeaseHolder& called = progress.releasing ? lease.previous : lease.owner;
  AddEvent(
      responded ? "lease_call_responded" : "lease_call_failed",
      std::string(progress.releasing ? "release " : "grant ") +
          lease.range.ToString() + " fence " + std::to_string(lease.fence) +
          " at " + called.ref.ToString() + " " + called.address + ": " +
          std::string(CallOutcomeName(outcome)) +
          (responded
               ? " after " + std::to_string(progress.failures) + " failures"
               : ""));
}

std::vector<LeaseEvent> LeaseKeeper::TakeEvents() {
  return std::exchange(events_, {});
}

bool LeaseKeeper::is_leader() const {
  return table_.version > 0 && table_.leader == self_ && ActsOnTable();
}

void LeaseKeeper::OnTable(LeaseTable table, BootTime now) {
  OnEra(EraOf(table.version), now);
  if (table.version <= table_.version) return;
  table.service = service_;
  KeepProgressOfParts(table);
  // Another leader may have granted keys to a later process under the same id.
  if (table.leader != self_) ended_.clear();
  table_ = std::move(table);
  table_adopted_at_ = now;
  for (const RangeLease& lease : table_.ranges) {
    fence_adopted_at_.try_emplace(lease.fence, now);
  }
  std::erase_if(fence_adopted_at_, [this](const auto& entry) {
    return std::ranges::find(table_.ranges, entry.first, &RangeLease::fence) ==
           table_.ranges.end();
  });
  record_lost_ = false;
  // Ranges that are still in the table keep their progress.
  std::erase_if(progress_, [this](const auto& entry) {
    return std::ranges::none_of(table_.ranges, [&](const RangeLease& lease) {
      return RangeKey{lease.fence, lease.range.first} == entry.first;
    });
  });
  std::erase_if(openings_, [this](const auto& entry) {
    const RangeLease& lease = entry.second;
    return !progress_.contains({lease.fence, lease.range.first});
  });
  std::erase_if(calls_, [this](const auto& entry) {
    const Call& call = entry.second;
    if (progress_.contains({call.lease.fence, call.lease.range.first})) {
      return false;
    }
    RecordLeaseEnd(call.lease.owner.ref, call.lease_end);
    return true;
  });
}

// A part of a range has the lease, and its connection, of the whole range.
void LeaseKeeper::KeepProgressOfParts(const LeaseTable& next) {
  for (const RangeLease& part : next.ranges) {
    const RangeKey key{part.fence, part.range.first};
    const RangeLease* const whole = table_.Find(part.range.first);
    if (progress_.contains(key) || whole == nullptr ||
        whole->fence != part.fence) {
      continue;
    }
    const auto found = progress_.find({whole->fence, whole->range.first});
    if (found == progress_.end()) continue;
    Progress progress = found->second;
    progress.call = 0;
    progress.opening = 0;
    // Two parts take turns in using the connection.
    progress.next_call += kRenewInterval / 2;
    progress_.emplace(key, std::move(progress));
  }
}

void LeaseKeeper::OnRecordLost(std::uint64_t version) {
  if (version > table_.version) record_lost_ = true;
}

void LeaseKeeper::OnEra(std::uint64_t era, BootTime now) {
  if (era <= era_) return;
  era_ = era;
  era_known_at_ = now;
  next_era_announcement_ = {};
}

void LeaseKeeper::OnEraAcknowledged(const GatewayInstance& gateway,
                                    std::uint64_t era,
                                    Milliseconds since_renewal, BootTime now) {
  const auto since =
      std::clamp(since_renewal, Milliseconds(0), Milliseconds(kMaxViewAge));
  era_acknowledgements_[gateway.id] = {gateway.incarnation, era, now - since};
}

// Returns whether the table is of the latest era: an earlier one may have been
// replaced by a record that was lost.
bool LeaseKeeper::ActsOnTable() const {
  return !guards_.act_in_current_era_only || EraOf(table_.version) == era_;
}

// Gateways that may have sent grants for tables of earlier eras: also for those
// that were lost, whose renewers are unknown.
std::vector<GatewayInstance> LeaseKeeper::PossibleGranters() const {
  std::vector<GatewayInstance> granters;
  const auto add = [&](const GatewayInstance& gateway) {
    if (gateway.id.empty() || gateway.id == self_.id) return;
    const auto known =
        std::ranges::find(granters, gateway.id, &GatewayInstance::id);
    if (known == granters.end()) {
      granters.push_back(gateway);
    } else if (known->incarnation < gateway.incarnation) {
      *known = gateway;
    }
  };
  add(table_.leader);
  std::ranges::for_each(table_.renewers, add);
  std::ranges::for_each(gateways_, add);
  return granters;
}

// Returns when all leases of earlier eras have ended. No read of an earlier era
// was sent after this gateway had learnt of the era, so no view of one lasts
// longer than kMaxViewAge from then on.
BootTime LeaseKeeper::EarlierErasEnd() const {
  const Milliseconds grant_time = kCallTimeout + MaxLeaseTime();
  // Covers the grants of this gateway, and of those that have ended.
  BootTime end = era_known_at_ + grant_time;
  for (const GatewayInstance& gateway : PossibleGranters()) {
    const auto said = era_acknowledgements_.find(gateway.id);
    const bool stopped = said != era_acknowledgements_.end() &&
                         said->second.incarnation >= gateway.incarnation &&
                         said->second.era >= era_;
    const BootTime last =
        stopped ? said->second.last_renewal : era_known_at_ + kMaxViewAge;
    end = std::max(end, last + grant_time);
  }
  return end;
}

bool LeaseKeeper::EarlierErasEnded(BootTime now) const {
  return era_ == 0 || !guards_.wait_for_earlier_eras ||
         table_.settled_era == era_ || now >= EarlierErasEnd();
}

void LeaseKeeper::AnnounceEraIfNeeded(BootTime now,
                                      std::vector<LeaseAction>& actions) {
  if (now < next_era_announcement_ || EarlierErasEnded(now)) return;
  next_era_announcement_ = now + kEraAnnounceInterval;
  AnnounceEra announce{era_, PossibleGranters()};
  std::erase_if(announce.recipients, [this](const GatewayInstance& gateway) {
    const auto said = era_acknowledgements_.find(gateway.id);
    return said != era_acknowledgements_.end() && said->second.era >= era_ &&
           said->second.incarnation >= gateway.incarnation;
  });
  if (!announce.recipients.empty()) actions.emplace_back(std::move(announce));
}

void LeaseKeeper::OnLogEnd(std::uint64_t end, BootTime as_of) {
  if (guards_.ignore_earlier_eras && EraOf(end) < era_) return;
  log_end_ = std::max(log_end_, end);
  log_end_known_ = true;
  confirmed_at_ = std::max(confirmed_at_, as_of);
}

void LeaseKeeper::OnStoreReachability(bool reachable, BootTime now) {
  if (reachable == store_reachable_) return;
  store_reachable_ = reachable;
  store_changed_at_ = now;
}

void LeaseKeeper::OnGateways(std::vector<GatewayInstance> gateways) {
  gateways_ = std::move(gateways);
}

void LeaseKeeper::OnEndpoints(std::vector<EligibleEndpoint> endpoints,
                              BootTime now) {
  const auto same = [](const EligibleEndpoint& a, const EligibleEndpoint& b) {
    return a.holder == b.holder;
  };
  if (!std::ranges::equal(endpoints, endpoints_, same)) {
    endpoints_changed_at_ = now;
    next_plan_ = std::min(next_plan_, now);
  }
  endpoints_ = std::move(endpoints);
  std::erase_if(ended_, [this](const LeaseHolder& holder) {
    return std::ranges::none_of(endpoints_,
                                [&](const auto& endpoint) {
                                  return endpoint.holder == holder;
                                }) &&
           std::ranges::none_of(table_.ranges, [&](const RangeLease& lease) {
             return lease.owner == holder || lease.previous == holder;
           });
  });
}

LeaseKeeper::Progress& LeaseKeeper::ProgressOf(const RangeLease& lease) {
  return progress_[{lease.fence, lease.range.first}];
}

bool LeaseKeeper::MayRenew(BootTime now) const {
  if (!guards_.limit_view_age) return true;
  return confirmed_at_ != BootTime{} && now - confirmed_at_ < kMaxViewAge;
}

Milliseconds LeaseKeeper::SinceRenewal(BootTime now) const {
  return std::chrono::duration_cast<Milliseconds>(
      now - std::max(started_, last_renewal_));
}

void LeaseKeeper::RecordLeaseEnd(const EndpointRef& endpoint, BootTime end) {
  if (end == BootTime{}) return;
  BootTime& known = latest_lease_ends_[endpoint];
  known = std::max(known, end);
}

BootTime LeaseKeeper::OwnGrantsEnd(const EndpointRef& endpoint) const {
  const auto known = latest_lease_ends_.find(endpoint);
  BootTime end = known == latest_lease_ends_.end() ? BootTime{} : known->second;
  for (const Call& call : calls_ | std::views::values) {
    if (call.lease.owner.ref == endpoint) end = std::max(end, call.lease_end);
  }
  return end;
}

void LeaseKeeper::Open(const RangeLease& lease, Progress& progress,
                       BootTime now, std::vector<LeaseAction>& actions) {
  if (progress.opening != 0 || now < progress.next_opening) return;
  progress.opening = ++last_call_;
  openings_[progress.opening] = lease;
  actions.emplace_back(OpenConnection{progress.opening, lease.owner});
}

void LeaseKeeper::OnConnection(std::uint64_t id, std::uint64_t connection,
                               BootTime now) {
  const auto found = openings_.find(id);
  if (found == openings_.end()) return;
  const RangeLease lease = std::move(found->second);
  openings_.erase(found);
  Progress& progress = ProgressOf(lease);
  if (progress.opening != id) return;
  progress.opening = 0;
  progress.connection = connection;
  progress.connected_at = now;
  if (connection != 0) return;
  progress.next_opening = now + kCallRetryDelay;
  RecordFailure(lease.owner.ref, now);
}

void LeaseKeeper::SendGrant(const RangeLease& lease, Progress& progress,
                            GrantConnection connection, BootTime now,
                            std::vector<LeaseAction>& actions) {
  progress.call = ++last_call_;
  progress.releasing = false;
  progress.sent = true;
  calls_[progress.call] = {lease, now + kCallTimeout + MaxLeaseTime(),
                           connection};
  last_renewal_ = now;
  actions.emplace_back(GrantCall{progress.call, lease.owner, lease.range,
                                 lease.fence, kLeaseTime, progress.handover,
                                 connection});
}

void LeaseKeeper::RenewLeases(BootTime now, Milliseconds interval,
                              std::vector<LeaseAction>& actions) {
  if (!MayRenew(now) || !ActsOnTable()) return;
  for (const RangeLease& lease : table_.ranges) {
    if (IsSuperseded(lease.owner)) continue;
    Progress& progress = ProgressOf(lease);
    if (!(lease.granted || progress.granted) || progress.call != 0 ||
        progress.refused || now < progress.next_call) {
      continue;
    }
    if (!guards_.bind_lease_to_connection && progress.connection == 0) {
      Open(lease, progress, now, actions);
      continue;
    }
    progress.next_call = now + interval;
    GrantConnection connection = RequestConnection{};
    if (progress.connection != 0) {
      connection = LeaseConnection{progress.connection};
    }
    SendGrant(lease, progress, connection, now, actions);
  }
}

// Records that another endpoint responded at the holder's address.
void LeaseKeeper::RecordEnd(const LeaseHolder& holder, BootTime now) {
  if (std::ranges::find(ended_, holder) != ended_.end()) return;
  ended_.push_back(holder);
  next_plan_ = now;
  AddEvent("endpoint_ended", holder.ref.ToString() +
                                 ", another endpoint responds at " +
                                 holder.address);
}

void LeaseKeeper::RecordFailure(const EndpointRef& endpoint, BootTime now) {
  Failures& failures = failures_[endpoint];
  if (failures.count++ == 0) failures.since = now;
  if (failures.count >= kMinUnreachableFailures &&
      now - failures.since >= kMinUnreachableTime && failures.until < now) {
    failures.until = now + kUnreachableHold;
    next_plan_ = now;
    AddEvent("endpoint_unreachable", endpoint.ToString() + ", " +
                                         std::to_string(failures.count) +
                                         " calls failed");
  }
}

void LeaseKeeper::OnCallResult(std::uint64_t call, CallResult result,
                               BootTime now) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const auto [lease, lease_end, connection] = found->second;
  calls_.erase(found);
  const CallOutcome outcome = result.outcome;
  const bool done = outcome == CallOutcome::kDone;
  // A response does not prove that the grant has arrived: it may be an earlier
  // one that the endpoint repeats.
  if (done || outcome == CallOutcome::kUnanswered) {
    RecordLeaseEnd(lease.owner.ref, lease_end);
  }
  Progress& progress = ProgressOf(lease);
  if (progress.call != call) return;
  progress.call = 0;
  AddCallEvents(lease, progress, outcome);
  const LeaseHolder& called = progress.releasing ? lease.previous : lease.owner;
  if (outcome == CallOutcome::kOtherEndpoint) RecordEnd(called, now);
  if (done || outcome == CallOutcome::kRefused) {
    failures_[called.ref] = {};
    progress.failures = 0;
    // No endpoint refuses a release; one that does is not asked at each tick.
    if (progress.releasing) progress.next_call = now + kCallRetryDelay;
  } else {
    ++progress.failures;
    progress.next_call = now + kCallRetryDelay;
    // A release waits for running requests to finish, so a timeout does not
    // show that the endpoint is unreachable; nor does a missing connection.
    const bool slow_release =
        progress.releasing && outcome == CallOutcome::kUnanswered;
    const bool no_connection =
        !progress.releasing && outcome == CallOutcome::kNotSent;
    if (!slow_release && !no_connection) RecordFailure(called.ref, now);
    if (progress.releasing) progress.release_failed = true;
  }
  if (!progress.releasing) {
    return OnGrantResult(lease, progress, connection, outcome);
  }
  if (done) {
    progress.released = true;
    progress.handover = std::move(result.handover);
    progress.next_call = now;
  }
}

void LeaseKeeper::OnGrantResult(const RangeLease& lease, Progress& progress,
                                const GrantConnection& connection,
                                CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kDone:
      progress.granted = true;
      return progress.handover.clear();
    case CallOutcome::kRefused:
      progress.refused = true;
      return AddEvent("grant_refused", lease.range.ToString() + " at " +
                                           lease.owner.ref.ToString() +
                                           " fence " +
                                           std::to_string(lease.fence));
    case CallOutcome::kNotSent:
      // A first grant can be sent on another connection.
      if (!lease.granted && !progress.granted) progress.sent = false;
      break;
    case CallOutcome::kOtherEndpoint:
    case CallOutcome::kUnanswered:
      break;
  }
  if (std::holds_alternative<LeaseConnection>(connection)) {
    progress.connection = 0;
  }
}

void LeaseKeeper::OnAdopted(const GatewayInstance& gateway,
                            std::uint64_t version, Milliseconds since_renewal,
                            BootTime now) {
  // The time comes from another program: one out of range must neither overflow
  // nor count as an old renewal.
  const auto since = since_renewal < Milliseconds(0)
                         ? Milliseconds(0)
                         : std::min(since_renewal, kMaxViewAge);
  adoptions_[gateway.id] = {gateway.incarnation, version, now - since};
}

BootTime LeaseKeeper::PreviousLeaseEnd(const RangeLease& lease) const {
  // An earlier process of this gateway may have sent grants until it ended.
  BootTime end = std::max(started_ + kCallTimeout + MaxLeaseTime(),
                          OwnGrantsEnd(lease.previous.ref));
  for (const GatewayInstance& renewer : table_.renewers) {
    if (renewer == self_) continue;
    const auto adoption = adoptions_.find(renewer.id);
    const bool adopted = adoption != adoptions_.end() &&
                         adoption->second.incarnation >= renewer.incarnation &&
                         adoption->second.version >= lease.fence;
    const BootTime last = adopted
                              ? adoption->second.last_renewal
                              : fence_adopted_at_.at(lease.fence) + kMaxViewAge;
    end = std::max(end, last + kCallTimeout + MaxLeaseTime());
  }
  return end;
}

// Returns whether there is a later incarnation under the holder's id or another
// or later endpoint at its address.
bool LeaseKeeper::IsSuperseded(const LeaseHolder& holder) const {
  if (std::ranges::find(ended_, holder) != ended_.end()) return true;
  const auto successor = addresses_.find(holder.address);
  return (successor != addresses_.end() &&
          successor->second.ref.incarnation > holder.ref.incarnation) ||
         std::ranges::any_of(endpoints_, [&](const EligibleEndpoint& endpoint) {
           const EndpointRef& ref = endpoint.holder.ref;
           return ref.id == holder.ref.id &&
                  ref.incarnation > holder.ref.incarnation;
         });
}

// Returns whether no lease of the holder can be running. A new connection
// reaches whichever process serves at the address, so a later incarnation may
// have accepted a grant that was meant for the ended one. It then has to
// release the keys.
bool LeaseKeeper::HasEnded(const LeaseHolder& holder) const {
  if (std::ranges::find(ended_, holder) != ended_.end()) return true;
  if (!IsSuperseded(holder)) return false;
  const auto successor = addresses_.find(holder.address);
  return successor == addresses_.end() || !successor->second.takes_leases;
}

bool LeaseKeeper::PreviousLeaseEnded(const RangeLease& lease,
                                     const Progress& progress,
                                     BootTime now) const {
  return lease.previous.ref.empty() || lease.previous == lease.owner ||
         progress.released || progress.sent || HasEnded(lease.previous) ||
         !guards_.wait_for_old_leases || now >= PreviousLeaseEnd(lease);
}

void LeaseKeeper::MoveRange(const RangeLease& lease, BootTime now,
                            std::vector<LeaseAction>& actions) {
  Progress& progress = ProgressOf(lease);
  if (progress.granted || progress.refused || NeedsHigherFence(lease)) return;
  // The next plan assigns the keys of an owner that has ended.
  const bool owner_ended = IsSuperseded(lease.owner);
  if (progress.connection == 0 && !owner_ended) {
    Open(lease, progress, now, actions);
  }
  if (!EarlierErasEnded(now)) return;
  const bool releasing = progress.call != 0 && progress.releasing;
  if ((progress.call != 0 && !releasing) || now < progress.next_call) return;
  if (PreviousLeaseEnded(lease, progress, now)) {
    if (progress.connection == 0 || owner_ended) return;
    if (confirmed_at_ < progress.connected_at) {
      if (store_reachable_) actions.emplace_back(RereadLog{});
      return;
    }
    // The response to a pending release is no longer needed.
    calls_.erase(progress.call);
    progress.next_call = now + kRenewInterval;
    return SendGrant(lease, progress, LeaseConnection{progress.connection}, now,
                     actions);
  }
  if (releasing) return;
  progress.call = ++last_call_;
  progress.releasing = true;
  calls_[progress.call] = {lease, BootTime{}, {}};
  actions.emplace_back(
      ReleaseCall{progress.call, lease.previous, lease.range, lease.fence});
}

void LeaseKeeper::MoveRanges(BootTime now, std::vector<LeaseAction>& actions) {
  for (const RangeLease& lease : table_.ranges) {
    if (!lease.granted) MoveRange(lease, now, actions);
  }
}

void LeaseKeeper::PublishIfNeeded(BootTime now,
                                  std::vector<LeaseAction>& actions) {
  if (now < next_publish_) return;
  // The views of the other gateways matter only if a release stays unanswered.
  const bool release_unanswered =
      std::ranges::any_of(table_.ranges, [&](const RangeLease& lease) {
        return !lease.granted && !lease.previous.ref.empty() &&
               !ProgressOf(lease).released && ProgressOf(lease).release_failed;
      });
  if (!release_unanswered) return;
  next_publish_ = now + kPublishInterval;
  PublishTable publish{table_, {}};
  std::ranges::copy_if(table_.renewers, std::back_inserter(publish.recipients),
                       [this](const GatewayInstance& renewer) {
                         const auto adoption = adoptions_.find(renewer.id);
                         return renewer != self_ &&
                                (adoption == adoptions_.end() ||
                                 adoption->second.version < table_.version);
                       });
  if (!publish.recipients.empty()) actions.emplace_back(std::move(publish));
}

void LeaseKeeper::AddRenewers(LeaseTable& table) const {
  const auto add = [&table](const GatewayInstance& gateway) {
    const auto known =
        std::ranges::find(table.renewers, gateway.id, &GatewayInstance::id);
    if (known == table.renewers.end()) {
      if (table.renewers.size() < kMaxRenewers) {
        table.renewers.push_back(gateway);
      }
      // A later process of the same gateway replaces the earlier one.
    } else if (known->incarnation < gateway.incarnation) {
      *known = gateway;
    }
  };
  // The previous leader may still send renewals.
  const GatewayInstance previous_leader = table_.leader;
  if (!previous_leader.id.empty()) add(previous_leader);
  std::ranges::for_each(gateways_, add);
  const auto own =
      std::ranges::find(table.renewers, self_.id, &GatewayInstance::id);
  if (own == table.renewers.end()) {
    table.renewers.push_back(self_);
  } else {
    *own = self_;
  }
}

bool LeaseKeeper::Append(LeaseTable next, BootTime now,
                         std::vector<LeaseAction>& actions) {
  next.service = service_;
  next.version = log_end_ + 1;
  next.leader = self_;
  if (era_ > 0 && ActsOnTable() && EarlierErasEnded(now)) {
    next.settled_era = era_;
  }
  AddRenewers(next);
  appending_ = next;
  std::optional<std::uint64_t> expected_end;
  if (guards_.conditional_append) expected_end = log_end_;
  actions.emplace_back(AppendTable{std::move(next), expected_end});
  return true;
}

void LeaseKeeper::OnAppendResult(AppendOutcome outcome, BootTime now) {
  if (!appending_) return;
  LeaseTable table = std::move(*appending_);
  appending_.reset();
  if (outcome == AppendOutcome::kDone) {
    OnLogEnd(table.version, confirmed_at_);
    OnTable(std::move(table), now);
    return;
  }
  // The next read shows which table is in force; until then the log's end is
  // unknown.
  if (outcome != AppendOutcome::kNotDone) log_end_known_ = false;
  next_plan_ = now + kUrgentPlanInterval;
}

bool LeaseKeeper::TakeOver(BootTime now, std::vector<LeaseAction>& actions) {
  if (is_leader()) return false;
  if (table_.version == 0 &&
      (endpoints_.empty() ||
       now - endpoints_changed_at_ < kRegistrySettleTime)) {
    return true;
  }
  AddEvent("mover_takeover", "from " + table_.leader.id);
  // The previous leader's connections to the holders are not known here.
  const bool new_era = EraOf(table_.version) != era_;
  LeaseTable next = table_;
  std::ranges::for_each(next.ranges, [&](RangeLease& lease) {
    if (lease.granted) {
      lease.previous = lease.owner;
    } else if (new_era && lease.previous != lease.owner) {
      // The previous holder's leases end with all others of earlier eras.
      lease.previous = {};
    }
    lease.fence = log_end_ + 1;
    lease.granted = false;
  });
  return Append(std::move(next), now, actions);
}

// Returns whether the process that accepted the fence, or may have accepted it,
// can no longer be told from a later one.
bool LeaseKeeper::NeedsHigherFence(const RangeLease& lease) const {
  if (!guards_.bind_lease_to_connection) return false;
  const auto found = progress_.find({lease.fence, lease.range.first});
  if (found == progress_.end()) return lease.granted;
  const Progress& progress = found->second;
  return progress.call == 0 && progress.connection == 0 && !progress.refused &&
         (lease.granted || progress.sent);
}

// Assigns a higher fence to leases whose connection is lost.
bool LeaseKeeper::RaiseFences(BootTime now, std::vector<LeaseAction>& actions) {
  if (now < next_fence_raise_) return false;
  LeaseTable next = table_;
  std::size_t raised = 0;
  for (RangeLease& lease : next.ranges) {
    if (!NeedsHigherFence(lease) || IsSuperseded(lease.owner)) continue;
    // Only the owner can hold the keys: an unconfirmed grant is sent only after
    // the leases of the previous holder have ended.
    lease.previous = lease.owner;
    lease.fence = log_end_ + 1;
    lease.granted = false;
    ++raised;
  }
  if (raised == 0) return false;
  next_fence_raise_ = now + kFenceRaiseInterval;
  AddEvent("fences_raised", std::to_string(raised) + " ranges to fence " +
                                std::to_string(log_end_ + 1));
  return Append(std::move(next), now, actions);
}

bool LeaseKeeper::RestoreRecord(BootTime now,
                                std::vector<LeaseAction>& actions) {
  if (!record_lost_) return false;
  AddEvent("lease_table_restored", "");
  return Append(table_, now, actions);
}

// Makes gateways that joined since the last record renewers as well.
bool LeaseKeeper::AddMissingRenewers(BootTime now,
                                     std::vector<LeaseAction>& actions) {
  if (now < next_renewer_update_) return false;
  next_renewer_update_ = now + kRenewerUpdateInterval;
  LeaseTable next = table_;
  AddRenewers(next);
  return next.renewers != table_.renewers &&
         Append(std::move(next), now, actions);
}

bool LeaseKeeper::ConfirmGrants(BootTime now,
                                std::vector<LeaseAction>& actions) {
  // Every gateway reads each record, so one record confirms all moves of a
  // plan, unless some take much longer.
  const bool complete =
      std::ranges::all_of(table_.ranges, [this](const RangeLease& lease) {
        const auto progress = progress_.find({lease.fence, lease.range.first});
        return lease.granted ||
               (progress != progress_.end() && progress->second.granted);
      });
  if (!complete && now - table_adopted_at_ < kConfirmBatchDelay) return false;
  LeaseTable next = table_;
  bool changed = false;
  for (RangeLease& lease : next.ranges) {
    const auto progress = progress_.find({lease.fence, lease.range.first});
    if (lease.granted || progress == progress_.end() ||
        !progress->second.granted) {
      continue;
    }
    lease.granted = true;
    lease.previous = {};
    lease.expected_wait = Milliseconds(0);
    changed = true;
  }
  return changed && Append(std::move(next), now, actions);
}

bool LeaseKeeper::CallsFail(const EndpointRef& endpoint) const {
  const auto found = failures_.find(endpoint);
  return found != failures_.end() && found->second.count > 0;
}

std::vector<EligibleEndpoint> LeaseKeeper::UsableEndpoints(BootTime now) {
  const auto unreachable = [&](const EligibleEndpoint& endpoint) {
    const auto failed = failures_.find(endpoint.holder.ref);
    return failed != failures_.end() && failed->second.until > now;
  };
  const auto count = std::ranges::count_if(endpoints_, unreachable);
  const bool many = count > 1 && static_cast<double>(count) >
                                     kMaxUnreachableShare *
                                         static_cast<double>(endpoints_.size());
  if (std::exchange(many_unreachable_, many) != many) {
    AddEvent(
        many ? "many_unreachable" : "few_unreachable",
        std::to_string(count) + " of " + std::to_string(endpoints_.size()));
  }
  std::vector<EligibleEndpoint> usable;
  std::ranges::copy_if(endpoints_, std::back_inserter(usable),
                       [&](const EligibleEndpoint& endpoint) {
                         return std::ranges::find(ended_, endpoint.holder) ==
                                    ended_.end() &&
                                (many || !unreachable(endpoint));
                       });
  return usable;
}

bool LeaseKeeper::PlanChanges(BootTime now, std::vector<LeaseAction>& actions) {
  if (now < next_plan_ || !EarlierErasEnded(now)) return false;
  next_plan_ = now + kPlanInterval;
  const auto usable = UsableEndpoints(now);
  if (usable.empty()) return false;
  // A range that is being moved can be assigned to another endpoint only once
  // no lease of its previous holder can be running.
  LeaseTable plannable = table_;
  for (RangeLease& lease : plannable.ranges) {
    const auto progress = progress_.find({lease.fence, lease.range.first});
    const bool refused =
        progress != progress_.end() && progress->second.refused;
    const bool owner_unusable = std::ranges::none_of(
        usable, [&](const auto& e) { return e.holder == lease.owner; });
    if (refused) {
      lease.granted = true;
      lease.owner = {};
    } else if (!lease.granted && owner_unusable &&
               PreviousLeaseEnded(lease, ProgressOf(lease), now)) {
      // Movable, with the unusable owner as previous holder.
      lease.granted = true;
    }
  }
  const auto sums = load_.PrefixSums(now);
  const bool balance = load_.Total(now) >= kMinLoadToBalance;
  const auto moves = PlanMoves(plannable, usable, sums,
                               balance ? MaxMovesPerPlan(usable.size()) : 0);
  if (moves.empty()) return false;

  LeaseTable next = table_;
  const std::uint64_t fence = log_end_ + 1;
  std::vector<RangeLease> ranges;
  for (const RangeMove& move : moves) {
    // A move covers part or all of one range, or a gap between ranges.
    const RangeLease* const from = table_.Find(move.range.first);
    RangeLease lease{move.range, move.to, fence, false, {}, kTypicalMoveTime};
    if (from != nullptr) {
      lease.previous = from->owner;
      if (lease.previous == lease.owner) lease.previous = {};
      const bool unusable = std::ranges::none_of(
          usable, [&](const auto& e) { return e.holder == from->owner; });
      // An endpoint that leaves in order still responds to a release.
      if (unusable && !IsSuperseded(from->owner) &&
          CallsFail(from->owner.ref)) {
        const auto end = OwnGrantsEnd(from->owner.ref);
        lease.expected_wait =
            std::max(kTypicalMoveTime,
                     std::chrono::duration_cast<Milliseconds>(end - now));
      }
    }
    ranges.push_back(lease);
    AddEvent("move_planned",
             move.range.ToString() + " from " +
                 (from == nullptr ? "nobody" : from->owner.ref.ToString()) +
                 " to " + move.to.ref.ToString() + " fence " +
                 std::to_string(fence));
  }
  // The rest of each range keeps its owner and fence.
  for (const RangeLease& lease : table_.ranges) {
    std::uint32_t start = lease.range.first;
    const auto keep = [&](std::uint32_t end) {
      if (start >= end) return;
      RangeLease rest = lease;
      rest.range = {static_cast<ShardKey>(start),
                    static_cast<ShardKey>(end - 1)};
      ranges.push_back(rest);
    };
    std::vector<KeyRange> taken;
    for (const RangeMove& move : moves) {
      if (lease.range.Contains(move.range.first)) taken.push_back(move.range);
    }
    std::ranges::sort(taken);
    for (const KeyRange& range : taken) {
      keep(range.first);
      start = std::uint32_t{range.last} + 1;
    }
    keep(std::uint32_t{lease.range.last} + 1);
  }
  std::ranges::sort(ranges, std::less{},
                    [](const RangeLease& lease) { return lease.range.first; });
  next.ranges = std::move(ranges);
  return Append(std::move(next), now, actions);
}

std::vector<LeaseAction> LeaseKeeper::Tick(BootTime now) {
  std::vector<LeaseAction> actions;
  const bool renewer =
      std::ranges::find(table_.renewers, self_) != table_.renewers.end();
  if (!elected_ || stopping_) {
    const bool outage =
        !store_reachable_ && now - store_changed_at_ >= kOutageDelay;
    if (outage && renewer) RenewLeases(now, kOutageRenewInterval, actions);
    return actions;
  }
  // Other gateways wait for this one's leases only if the table lists it as a
  // renewer.
  if (renewer) RenewLeases(now, kRenewInterval, actions);
  if (is_leader() && MayRenew(now)) {
    MoveRanges(now, actions);
    PublishIfNeeded(now, actions);
  }
  if (elected_) AnnounceEraIfNeeded(now, actions);
  if (appending_ || !store_reachable_) return actions;
  if (!log_end_known_ ||
      (guards_.act_in_current_era_only && EraOf(log_end_) != era_)) {
    actions.emplace_back(RereadLog{});
    return actions;
  }
  if (TakeOver(now, actions) || RestoreRecord(now, actions) ||
      RaiseFences(now, actions) || ConfirmGrants(now, actions) ||
      PlanChanges(now, actions) || AddMissingRenewers(now, actions)) {
    return actions;
  }
  return actions;
}

}  // namespace balsamhall::gateway
