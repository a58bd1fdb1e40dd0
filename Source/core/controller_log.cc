// Log handling of OwnershipController: reading, joining, initial views and
// assignments, snapshots and resets.
#include <algorithm>
#include <utility>

#include "core/assignment_planner.h"
#include "core/controller_impl.h"
#include "core/rendezvous.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kReadRetryInterval{200};
constexpr Milliseconds kAppendRepeatInterval{3000};
// Lets routers that start together receive each other's heartbeats first.
constexpr Milliseconds kBootstrapDelay{700};
// Additional delay for each rank in the rendezvous order, so that usually one
// router appends.
constexpr Milliseconds kRankDelayStep{1000};
constexpr Milliseconds kBootstrapInterval{200};
// Lets the backup fail over first if it can.
constexpr Milliseconds kResetDelay{300};
// Minimum delay of a reset by a router that was not chosen to append it.
constexpr Milliseconds kFallbackResetDelay{3000};
// A router whose last heartbeat is older is not expected to answer a locate
// query (LocateRequest).
constexpr Milliseconds kLocateHeartbeatTimeout{1000};
constexpr int kSnapshotsPerRetention = 3;

}  // namespace

// ---- Reading ----------------------------------------------------------------

void OwnershipController::Impl::On(const LogRecordRead& event) {
  if (stopped_ || event.offset < next_offset_) return;
  DetectTruncation(event.first_offset);
  next_offset_ = event.offset + 1;
  if (!deduplicator_.IsFirst(event.writer, event.sequence)) return;
  if (event.writer == writer_id_) {
    writer_.OnOwnRecordRead(event.sequence);
    if (pending_submissions_.erase(event.sequence) > 0) {
      submission_results_[event.sequence] = {event.offset,
                                             ConfigVerdict::kIgnored};
    }
  }
  if (event.record.has_config_published() ||
      event.record.has_config_snapshot()) {
    config_appended_at_ = std::max(config_appended_at_, now_ - event.age);
  }
  if (event.record.has_fleet_snapshot()) {
    fleet_appended_at_ = std::max(fleet_appended_at_, now_ - event.age);
  }
  ApplyRecord(event.offset, event.record);
}

void OwnershipController::Impl::ApplyRecord(std::uint64_t offset,
                                            const schema::LogRecord& record) {
  if (record.has_config_published()) {
    config_.OnPublished(offset, record.config_published());
  } else if (record.has_config_snapshot()) {
    config_.OnSnapshot(record.config_snapshot());
  } else if (!caught_up_) {
    buffered_.push_back({offset, record});
  } else {
    ApplyFleetRecord(offset, record);
  }
  for (auto& [sequence, result] : submission_results_) {
    if (result.offset != offset) continue;
    result.verdict =
        config_.VerdictOf(offset).value_or(ConfigVerdict::kIgnored);
  }
  if (config_.current().version() != config_version_seen_) OnConfigChanged();
}

void OwnershipController::Impl::ApplyFleetRecord(
    std::uint64_t offset, const schema::LogRecord& record) {
  switch (record.body_case()) {
    case schema::LogRecord::kRouterJoined: {
      fleet_.OnRouterJoined(offset, record.router_joined());
      AdoptOwnIncarnation();
      // A delayed join of an earlier process of this VM came first, so the join
      // of this process had no effect: join again.
      if (record.router_joined().nonce() == join_.nonce() &&
          self_.incarnation == 0) {
        join_sent_ = false;
      }
      break;
    }
    case schema::LogRecord::kRouterLeft:
      fleet_.OnRouterLeft(record.router_left());
      break;
    case schema::LogRecord::kViewSet:
      OnViewsSet(fleet_.OnViewSet(offset, record.view_set()));
      break;
    case schema::LogRecord::kAssignment:
      if (fleet_.OnAssignment(offset, record.assignment())) {
        OnAssigned(record.assignment().service());
      }
      break;
    case schema::LogRecord::kViewReset: {
      const auto view = fleet_.OnViewReset(offset, record.view_reset());
      if (view) OnResetAccepted(*view);
      break;
    }
    case schema::LogRecord::kVmDeclaredLost:
      fleet_.OnVmDeclaredLost(offset, record.vm_declared_lost());
      break;
    default:
      break;
  }
  MarkRoutingDirty();
}

void OwnershipController::Impl::AdoptOwnIncarnation() {
  // The join of this process may also be learned from a snapshot or a peer.
  const auto known = fleet_.routers().find(self_.id);
  if (self_.incarnation != 0 || known == fleet_.routers().end() ||
      known->second.join.nonce() != join_.nonce()) {
    return;
  }
  self_.incarnation = known->second.incarnation;
  Emit(ReportEvent{"router_joined",
                   ResultCode::kOk,
                   {{"incarnation", std::to_string(self_.incarnation)}}});
}

void OwnershipController::Impl::On(const LogReadFinished& event) {
  reading_ = false;
  next_read_ = now_;
  if (log_reachable_ != event.reachable || !log_reachability_reported_) {
    log_reachable_ = event.reachable;
    log_reachability_reported_ = true;
    Emit(ReportEvent{
        event.reachable ? "log_reachable" : "log_unreachable",
        event.reachable ? ResultCode::kOk : ResultCode::kLogUnavailable,
        {{"next_offset", std::to_string(next_offset_)}}});
  }
  if (!event.reachable) {
    next_read_ = now_ + kReadRetryInterval;
    return;
  }
  retention_ = event.retention;
  DetectTruncation(event.first_offset);
  if (next_offset_ < event.next_offset) return;
  config_.OnReachedEnd();
  if (config_.current().version() != config_version_seen_) OnConfigChanged();
  if (!caught_up_) FinishReplay();
  writer_.OnReachedEnd(now_);
}

void OwnershipController::Impl::DetectTruncation(std::uint64_t first_offset) {
  if (first_offset <= next_offset_) return;
  // The log no longer retains records that were not read yet; the newest
  // snapshots replace them. The gap must be detected before the records that
  // follow are applied.
  next_offset_ = first_offset;
  config_.OnTruncated();
  caught_up_ = false;
  Emit(ReportEvent{"log_truncated",
                   ResultCode::kLogTruncated,
                   {{"first_offset", std::to_string(first_offset)}}});
}

void OwnershipController::Impl::FinishReplay() {
  caught_up_ = true;
  const schema::FleetSnapshot* newest = nullptr;
  for (const BufferedRecord& buffered : buffered_) {
    if (!buffered.record.has_fleet_snapshot()) continue;
    const schema::FleetSnapshot& snapshot = buffered.record.fleet_snapshot();
    if (newest == nullptr || newest->as_of() < snapshot.as_of()) {
      newest = &snapshot;
    }
  }
  std::uint64_t from = 0;
  if (newest != nullptr) {
    fleet_.Merge(*newest);
    AdoptOwnIncarnation();
    // A reset among the missing records may have ended a role of this router.
    for (const auto& view : newest->views()) OnReportedView(view);
    from = newest->as_of();
  }
  const std::vector<BufferedRecord> records = std::exchange(buffered_, {});
  for (const BufferedRecord& buffered : records) {
    if (buffered.offset >= from) {
      ApplyFleetRecord(buffered.offset, buffered.record);
    }
  }
  MarkRoutingDirty();
}

void OwnershipController::Impl::OnConfigChanged() {
  config_version_seen_ = config_.current().version();
  std::map<ServiceId, ServiceEntry> services;
  endpoints_.clear();
  for (const auto& service : config_.config().services()) {
    ServiceEntry& entry = services[service.name()];
    const auto known = services_.find(service.name());
    if (known != services_.end()) entry = known->second;
    if (entry.incomplete_since == SteadyTime{}) entry.incomplete_since = now_;
    entry.config = &service;
    for (const auto& endpoint : service.endpoints()) {
      endpoints_[endpoint.name()] = {&service, &endpoint};
    }
  }
  services_ = std::move(services);
  MarkRoutingDirty();
  Emit(ReportEvent{"config_in_force",
                   ResultCode::kOk,
                   {{"version", std::to_string(config_version_seen_)},
                    {"digest", config_.current().digest()}}});
}

// ---- Views and owners -------------------------------------------------------

void OwnershipController::Impl::OnViewsSet(
    const std::vector<schema::View>& views) {
  for (const schema::View& view : views) {
    table_.NoteView(view);
    const auto endpoint = endpoints_.find(view.endpoint());
    if (endpoint == endpoints_.end() || self_.incarnation == 0) continue;
    if (SameRef(view.primary(), self_)) {
      StartPrimary(EndpointPrimary(
          this, {endpoint->second.first->name(), view, {}, {}, false, {}}));
      AddAssignedPartitions(FindPrimary(view.endpoint()));
    } else if (SameRef(view.backup(), self_) && ChecksFences(view.endpoint())) {
      StartBackup(view);
    }
  }
}

void OwnershipController::Impl::OnAssigned(const ServiceId& service) {
  for (const auto& [endpoint, primary] : primaries_) {
    if (primary->service() == service) AddAssignedPartitions(primary.get());
  }
}

void OwnershipController::Impl::AddAssignedPartitions(
    EndpointPrimary* primary) {
  const auto* known = fleet_.AssignmentOf(primary->service());
  if (known == nullptr) return;
  const schema::Assignment& assignment = known->assignment;
  const auto endpoint =
      std::ranges::find(assignment.endpoints(), primary->view().endpoint());
  const auto index = static_cast<std::uint32_t>(
      std::distance(assignment.endpoints().begin(), endpoint));
  for (int i = 0; i < assignment.owner_size(); ++i) {
    if (assignment.owner(i) == index) {
      primary->AddAssigned(static_cast<PartitionId>(i),
                           Fence{known->offset, 0});
    }
  }
}

void OwnershipController::Impl::OnResetAccepted(const schema::View& view) {
  const EndpointId& endpoint = view.endpoint();
  pending_resets_.erase(endpoint);
  handover_requested_.erase(endpoint);
  table_.NoteView(view);
  if (!ChecksFences(endpoint)) {
    OnUnfencedReset(view);
    return;
  }
  RetirePrimary(endpoint, true);
  resets_.erase(endpoint);
  Fence& promise = PromisedTerm(endpoint);
  promise = std::max(promise, FromProto(view.term()));
  const auto backup = backups_.find(endpoint);
  if (backup != backups_.end()) backup->second.RaisePromise(promise);
  if (SameRef(view.primary(), self_)) StartReset(view);
}

void OwnershipController::Impl::StartReset(const schema::View& view) {
  const EndpointId& endpoint = view.endpoint();
  const auto config = endpoints_.find(endpoint);
  if (config == endpoints_.end()) return;
  const ServiceId& service = config->second.first->name();
  auto lapse = std::chrono::duration_cast<Milliseconds>(
      LeaseBound(options_, now_) - now_);
  // An endpoint that does not check fences accepts work from the previous
  // primary until that router's authority time has passed.
  if (!ChecksFences(endpoint)) lapse += options_.authority_time;
  lapse += LongestDeadline(service);
  resets_.emplace(endpoint,
                  EndpointReset(this, service, view, ++locate_query_, lapse));
  Emit(ReportEvent{
      "view_reset",
      ResultCode::kOk,
      {{"endpoint", endpoint}, {"term", FromProto(view.term()).ToString()}}});
}

// ---- Appending --------------------------------------------------------------

bool OwnershipController::Impl::LogUsable() const {
  return caught_up_ && log_reachable_;
}

void OwnershipController::Impl::Append(schema::LogRecord record) {
  writer_.Enqueue(std::move(record));
}

void OwnershipController::Impl::TickLog() {
  if (!reading_ && now_ >= next_read_) {
    reading_ = true;
    Emit(ReadLog{next_offset_});
  }
  if (const auto append = writer_.NextAppend(now_)) Emit(*append);
}

void OwnershipController::Impl::TickJoin() {
  if (join_sent_ || !LogUsable() || shutdown_since_) return;
  join_sent_ = true;
  const auto known = fleet_.routers().find(self_.id);
  join_.set_replaces(
      known == fleet_.routers().end() ? 0 : known->second.incarnation);
  schema::LogRecord record;
  *record.mutable_router_joined() = join_;
  Append(std::move(record));
}

void OwnershipController::Impl::TickBootstrap() {
  if (now_ < last_bootstrap_ + kBootstrapInterval) return;
  last_bootstrap_ = now_;
  if (!LogUsable() || self_.incarnation == 0 || shutdown_since_) return;
  std::vector<std::string> routers;
  for (const RouterPlace& place : CandidateRouters()) {
    routers.push_back(place.router.id);
  }
  for (auto& [name, entry] : services_) {
    const bool missing =
        fleet_.AssignmentOf(name) == nullptr ||
        std::ranges::any_of(entry.config->endpoints(), [&](const auto& e) {
          return fleet_.BaseView(e.name()) == nullptr;
        });
    if (!missing) {
      entry.incomplete_since = now_;
      continue;
    }
    const auto order = RendezvousOrder(name, routers);
    const auto rank = std::ranges::find(order, self_.id) - order.begin();
    const SteadyTime due =
        entry.incomplete_since + kBootstrapDelay + rank * kRankDelayStep;
    const bool repeat_due =
        entry.bootstrap_sent_at == SteadyTime{} ||
        now_ >= entry.bootstrap_sent_at + kAppendRepeatInterval;
    if (now_ < due || !repeat_due) continue;
    entry.bootstrap_sent_at = now_;
    Bootstrap(*entry.config);
  }
}

void OwnershipController::Impl::Bootstrap(
    const schema::ServiceConfig& service) {
  const std::vector<RouterPlace> candidates = CandidateRouters();
  schema::LogRecord views;
  for (const auto& endpoint : service.endpoints()) {
    if (fleet_.BaseView(endpoint.name()) != nullptr) continue;
    const Parties parties = ChooseParties(endpoint, candidates);
    if (!parties.primary) continue;
    schema::View* view = views.mutable_view_set()->add_views();
    view->set_endpoint(endpoint.name());
    *view->mutable_primary() = ToProto(*parties.primary);
    if (parties.backup) *view->mutable_backup() = ToProto(*parties.backup);
  }
  if (views.has_view_set()) Append(std::move(views));
  if (fleet_.AssignmentOf(service.name()) != nullptr) return;
  schema::LogRecord owners;
  schema::Assignment* assignment = owners.mutable_assignment();
  assignment->set_service(service.name());
  for (const auto& endpoint : service.endpoints()) {
    assignment->add_endpoints(endpoint.name());
  }
  for (const std::uint32_t owner : PlanInitialAssignment(service)) {
    assignment->add_owner(owner);
  }
  Append(std::move(owners));
}

bool OwnershipController::Impl::SnapshotIsDue(SteadyTime appended_at,
                                              const std::string& topic) const {
  if (retention_ <= Milliseconds{0}) return false;
  std::vector<std::string> routers;
  for (const RouterPlace& place : CandidateRouters()) {
    routers.push_back(place.router.id);
  }
  const auto order = RendezvousOrder(topic, routers);
  const auto rank = std::ranges::find(order, self_.id) - order.begin();
  // Each rank waits one step longer, so that usually one router appends.
  const Milliseconds interval = retention_ / kSnapshotsPerRetention;
  const Milliseconds step = interval / 16;
  return now_ >= appended_at + interval + rank * step;
}

void OwnershipController::Impl::TickSnapshots() {
  if (!LogUsable() || self_.incarnation == 0 ||
      now_ < last_snapshot_append_ + kAppendRepeatInterval) {
    return;
  }
  if (config_.current().version() > 0 &&
      SnapshotIsDue(config_appended_at_, "config")) {
    last_snapshot_append_ = now_;
    schema::LogRecord record;
    *record.mutable_config_snapshot() = config_.current();
    Append(std::move(record));
  }
  if (SnapshotIsDue(fleet_appended_at_, "fleet")) {
    last_snapshot_append_ = now_;
    schema::LogRecord record;
    *record.mutable_fleet_snapshot() = fleet_.Snapshot(next_offset_);
    Append(std::move(record));
  }
}

// ---- Resets -----------------------------------------------------------------

void OwnershipController::Impl::TickResets() {
  for (auto& [endpoint, reset] : resets_) {
    reset.SetOwnClaims(
        MakeLocateReply(reset.service(), endpoint, 0, reset.term()));
    reset.OnTick();
    const auto& entry = services_.find(reset.service());
    if (entry == services_.end()) continue;
    const std::uint32_t partitions = entry->second.config->partitions();
    std::vector<EndpointId> owners = table_.Owners(reset.service(), partitions);
    const auto* assigned = fleet_.AssignmentOf(reset.service());
    for (PartitionId p = 0; assigned != nullptr && p < owners.size(); ++p) {
      if (!owners[p].empty()) continue;
      const auto owner = assigned->assignment.owner(static_cast<int>(p));
      owners[p] = assigned->assignment.endpoints(static_cast<int>(owner));
    }
    auto start = reset.Resolve(owners);
    if (!start) continue;
    resets_.erase(endpoint);
    StartPrimary(EndpointPrimary(this, std::move(*start)));
    break;  // erase() invalidated the iterator; the next tick continues
  }
  if (!LogUsable() || self_.incarnation == 0 || shutdown_since_) return;
  const bool all_reachable = AllRoutersReachable();
  for (const auto& [endpoint, config] : endpoints_) {
    const auto view = table_.KnownView(endpoint);
    if (!view || fleet_.BaseView(endpoint) == nullptr ||
        resets_.contains(endpoint) || takeovers_.contains(endpoint)) {
      continue;
    }
    const EndpointPrimary* primary = FindPrimary(endpoint);
    // The backup of an endpoint without fence checks takes over by itself.
    const bool backup_takes_over = !config.second->checks_fences() &&
                                   !IsGone(FromProto(view->backup())) &&
                                   !view->backup().id().empty();
    const bool lost = primary != nullptr ? primary->NeedsReset()
                                         : IsGone(FromProto(view->primary())) &&
                                               !backup_takes_over;
    if (!lost && !witnesses_.contains(endpoint)) {
      pending_resets_.erase(endpoint);
      continue;
    }
    if (!lost) continue;
    // An unreachable router may be the current primary. The locate query of a
    // reset would have to wait for its answer as well.
    if (primary == nullptr && !all_reachable) {
      pending_resets_.erase(endpoint);
      continue;
    }
    const auto [pending, inserted] =
        pending_resets_.try_emplace(endpoint, PendingReset{now_, {}});
    const bool may_append =
        !pending->second.sent_at ||
        now_ >= *pending->second.sent_at + kAppendRepeatInterval;
    if (now_ < pending->second.since + kResetDelay || !may_append) continue;
    const Parties parties = ChooseParties(*config.second, CandidateRouters());
    const bool chosen =
        primary != nullptr || (parties.primary && *parties.primary == self_);
    // The other routers append after a delay, because the chosen router may not
    // know the latest view.
    if (!chosen &&
        now_ < pending->second.since + FallbackResetDelay(endpoint)) {
      continue;
    }
    pending->second.sent_at = now_;
    AppendReset(*config.second,
                primary != nullptr ? "backup gone" : "primary gone");
  }
}

Milliseconds OwnershipController::Impl::FallbackResetDelay(
    const EndpointId& endpoint) const {
  std::vector<std::string> routers;
  for (const RouterPlace& place : CandidateRouters()) {
    routers.push_back(place.router.id);
  }
  const auto order = RendezvousOrder(endpoint, routers);
  const auto rank = std::ranges::find(order, self_.id) - order.begin();
  return kFallbackResetDelay + rank * kRankDelayStep;
}

bool OwnershipController::Impl::AllRoutersReachable() const {
  const std::vector<RouterRef> routers = OtherRouters();
  return std::ranges::all_of(routers, [&](const RouterRef& router) {
    return TimeSinceHeartbeat(router) < kLocateHeartbeatTimeout;
  });
}

void OwnershipController::Impl::AppendReset(
    const schema::EndpointConfig& endpoint, const std::string& proof) {
  schema::LogRecord record;
  schema::ViewReset* reset = record.mutable_view_reset();
  reset->set_endpoint(endpoint.name());
  *reset->mutable_previous_term() = fleet_.BaseView(endpoint.name())->term();
  *reset->mutable_primary() = ToProto(self_);
  const auto backup = ChooseBackup(endpoint, self_, CandidateRouters());
  if (backup) *reset->mutable_backup() = ToProto(*backup);
  reset->set_proof(proof);
  Append(std::move(record));
}

}  // namespace balsamhall
