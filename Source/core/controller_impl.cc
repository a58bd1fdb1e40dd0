#include "core/controller_impl.h"

#include <algorithm>
#include <utility>

#include "core/assignment_planner.h"
#include "core/config_rules.h"
#include "core/invariant.h"

namespace balsamhall {
namespace {

// A router whose last heartbeat is older takes no new role and is reported as
// unreachable.
constexpr Milliseconds kCandidateHeartbeatTimeout{1000};
constexpr std::size_t kMoveHistoryPerPartition = 8;

}  // namespace

OwnershipController::Impl::Impl(schema::RouterJoined self,
                                OwnershipOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      join_(std::move(self)),
      random_(seed),
      deduplicator_(
          !options_.removed_guards.contains(Guard::kAppendDeduplication)),
      config_([](const std::string& body) { return ParseConfig(body); }),
      snapshot_(std::make_shared<RoutingSnapshot>()) {
  join_.set_nonce(random_());
  self_.id = join_.id();
  writer_id_ = join_.id() + "#" + std::to_string(join_.nonce());
}

OwnershipActions OwnershipController::Impl::Handle(const OwnershipEvent& event,
                                                   SteadyTime now) {
  BALSAMHALL_INVARIANT(now >= now_, "control-time-monotonic", self_.id);
  now_ = now;
  std::visit([this](const auto& typed) { On(typed); }, event);
  DeliverLocalMessages();
  if (routing_dirty_) PublishSnapshot();
  return std::exchange(actions_, {});
}

OwnershipController::Submission OwnershipController::Impl::Submit(
    schema::LogRecord record, SteadyTime now) {
  now_ = std::max(now_, now);
  const std::uint64_t sequence = writer_.Enqueue(std::move(record));
  pending_submissions_.insert(sequence);
  TickLog();
  return Submission{sequence, std::exchange(actions_, {})};
}

std::optional<OwnershipController::SubmissionResult>
OwnershipController::Impl::ResultOf(std::uint64_t sequence) const {
  const auto found = submission_results_.find(sequence);
  if (found == submission_results_.end()) return std::nullopt;
  SubmissionResult result = found->second;
  // A publication that was read before the end of the log was reached gets its
  // verdict later.
  result.verdict = config_.VerdictOf(result.offset).value_or(result.verdict);
  return result;
}

void OwnershipController::Impl::Emit(OwnershipAction action) {
  if (auto* send = std::get_if<SendPeerMessage>(&action)) {
    if (send->to == self_.id) {
      local_messages_.push_back(std::move(send->message));
      return;
    }
    if (send->to.empty()) return;
  }
  if (auto* grant = std::get_if<SendGrant>(&action);
      grant != nullptr && !ChecksFences(grant->endpoint)) {
    SendWitnessGrant(std::move(*grant));
    return;
  }
  actions_.push_back(std::move(action));
}

void OwnershipController::Impl::DeliverLocalMessages() {
  // A message to this router itself takes the same path as one from a peer.
  while (!local_messages_.empty()) {
    const schema::PeerMessage message = std::move(local_messages_.front());
    local_messages_.pop_front();
    OnPeerMessage(message);
  }
}

void OwnershipController::Impl::PublishSnapshot() {
  routing_dirty_ = false;
  TickRoutingUpdates();
  auto next = std::make_shared<RoutingSnapshot>();
  next->self = self_;
  next->region = join_.region();
  next->config_version = config_.current().version();
  next->config_digest = config_.current().digest();
  next->policy = config_.config().policy();
  table_.FillSnapshot(config_.config(), next.get());
  for (auto& [endpoint, route] : next->endpoints) {
    if (const EndpointPrimary* primary = FindPrimary(endpoint)) {
      route.authority_until = primary->authority_until();
      route.tenure = tenures_[endpoint];
    } else if (route.primary == self_.id) {
      // A stale report from before this router was demoted.
      route.primary.clear();
      route.accepting = false;
    }
  }
  for (const auto& [id, router] : fleet_.routers()) {
    if (router.left) continue;
    const RouterRef ref{id, router.incarnation};
    const bool reachable =
        id == self_.id || TimeSinceHeartbeat(ref) < kCandidateHeartbeatTimeout;
    next->routers[id] = RouterRoute{router.join, router.incarnation, reachable};
  }
  snapshot_ = std::move(next);
  actions_.emplace_back(RoutingChanged{});
}

// ---- Events -----------------------------------------------------------------

void OwnershipController::Impl::On(const TimerTick& /*event*/) {
  if (stopped_) return;
  TickHeartbeat();
  TickJoin();
  TickBootstrap();
  TickResets();
  TickUnfenced();
  TickRoles();
  TickDrain();
  TickPlacement();
  TickRebalance();
  TickRoutingUpdates();
  TickPeerState();
  TickSnapshots();
  TickShutdown();
  TickLog();
}

void OwnershipController::Impl::On(const PeerMessageReceived& event) {
  if (!stopped_) OnPeerMessage(event.message);
}

void OwnershipController::Impl::On(const GrantResponseReceived& event) {
  if (stopped_) return;
  // If only the endpoint and its failed primary knew this view, the decision on
  // a reset would otherwise not take it into account.
  const schema::View& view = event.response.view();
  if (!FromProto(view.term()).IsZero()) table_.NoteView(view);
  if (EndpointPrimary* primary = FindPrimary(event.endpoint)) {
    primary->OnGrantResponse(event.response);
    if (primary->demoted()) RetirePrimary(event.endpoint, false);
    return;
  }
  if (const auto reset = resets_.find(event.endpoint); reset != resets_.end()) {
    reset->second.OnGrantResponse(event.response);
    return;
  }
  const auto backup = backups_.find(event.endpoint);
  if (backup == backups_.end()) return;
  const auto accepted = backup->second.OnGrantResponse(event.response);
  if (accepted) FailOver(*accepted, backup->second.lease_bound());
}

void OwnershipController::Impl::On(const HealthReportReceived& event) {
  health_[event.report.endpoint()] = event.report;
  health_received_at_[event.report.endpoint()] = now_;
  if (!event.report.draining()) drain_refused_.erase(event.report.endpoint());
}

void OwnershipController::Impl::On(const LogAppendFinished& event) {
  writer_.OnAppendFinished(event, now_);
  TickLog();
}

void OwnershipController::Impl::On(const VmListRead& event) {
  fleet_.OnVmList(event.vms);
  listed_routers_.clear();
  for (const auto& vm : event.vms) {
    if (vm.is_router && vm.id != self_.id) listed_routers_.insert(vm.id);
  }
}

void OwnershipController::Impl::On(const DispatchStopped& event) {
  EndpointPrimary* primary = FindPrimary(event.endpoint);
  if (primary != nullptr) primary->OnDispatchStopped(event);
}

void OwnershipController::Impl::On(const LoadMeasured& event) {
  EndpointPrimary* primary = FindPrimary(event.endpoint);
  if (primary == nullptr) return;
  primary->OnLoad(event);
  if (event.drain_refused) drain_refused_.insert(event.endpoint);
}

void OwnershipController::Impl::On(const ShutdownRequested& /*event*/) {
  if (shutdown_since_) return;
  shutdown_since_ = now_;
  for (const auto& [endpoint, primary] : primaries_) primary->RequestHandover();
  last_heartbeat_ = SteadyTime{};
  TickHeartbeat();
}

// ---- Context ----------------------------------------------------------------

Milliseconds OwnershipController::Impl::TimeSinceHeartbeat(
    const RouterRef& router) const {
  if (router == self_) return Milliseconds{0};
  return membership_.TimeSinceHeartbeat(router, now_);
}

bool OwnershipController::Impl::IsGone(const RouterRef& router) const {
  return router != self_ && fleet_.IsGone(router);
}

std::vector<RouterPlace> OwnershipController::Impl::CandidateRouters() const {
  std::vector<RouterPlace> candidates;
  for (const auto& [id, router] : fleet_.routers()) {
    const RouterRef ref{id, router.incarnation};
    if (router.left || fleet_.IsGone(ref)) continue;
    bool usable = false;
    if (ref == self_) {
      usable = !shutdown_since_;
    } else if (TimeSinceHeartbeat(ref) < kCandidateHeartbeatTimeout) {
      usable = !membership_.Find(id)->heartbeat.leaving();
    }
    if (!usable || fleet_.IsVmLeaving(id)) continue;
    candidates.push_back(
        {ref, router.join.data_centre(), router.join.region()});
  }
  return candidates;
}

std::vector<RouterRef> OwnershipController::Impl::OtherRouters() const {
  std::vector<RouterRef> others;
  for (const auto& [id, router] : fleet_.routers()) {
    const RouterRef ref{id, router.incarnation};
    if (id != self_.id && !router.left && !fleet_.IsGone(ref)) {
      others.push_back(ref);
    }
  }
  return others;
}

const schema::EndpointConfig* OwnershipController::Impl::FindEndpoint(
    const EndpointId& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : found->second.second;
}

std::vector<EndpointId> OwnershipController::Impl::EndpointsOf(
    const ServiceId& service) const {
  std::vector<EndpointId> endpoints;
  const auto found = services_.find(service);
  if (found == services_.end()) return endpoints;
  for (const auto& endpoint : found->second.config->endpoints()) {
    endpoints.push_back(endpoint.name());
  }
  return endpoints;
}

std::uint64_t OwnershipController::Impl::BaseViewOffset(
    const EndpointId& endpoint) const {
  const schema::View* view = fleet_.BaseView(endpoint);
  return view == nullptr ? 0 : view->term().offset();
}

bool OwnershipController::Impl::AppliedByAll(std::uint64_t offset) const {
  const std::vector<RouterRef> routers = OtherRouters();
  return std::ranges::all_of(routers, [&](const RouterRef& router) {
    const Membership::LastHeartbeat* heard = membership_.Find(router.id);
    return heard != nullptr && SameRef(heard->heartbeat.sender(), router) &&
           heard->heartbeat.log_offset() > offset;
  });
}

Milliseconds OwnershipController::Impl::LongestDeadline(
    const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return Milliseconds{0};
  std::uint32_t longest = 0;
  for (const auto& kind : found->second.config->kinds()) {
    longest = std::max(longest, kind.deadline_ms());
  }
  return Milliseconds{longest};
}

std::optional<schema::View> OwnershipController::Impl::KnownView(
    const EndpointId& endpoint) const {
  return table_.KnownView(endpoint);
}

Fence OwnershipController::Impl::HighestEpoch(const ServiceId& service,
                                              PartitionId partition) const {
  return table_.HighestEpoch(service, partition);
}

bool OwnershipController::Impl::PrimaryHeartbeatRecent(
    const schema::View& view) const {
  // The last report of a failed primary stays in the table unchanged, so the
  // report alone does not show that the primary is alive.
  return TimeSinceHeartbeat(FromProto(view.primary())) <
         options_.suspicion_timeout;
}

std::vector<EndpointLoad> OwnershipController::Impl::FleetLoads(
    const schema::ServiceConfig& service) const {
  std::vector<EndpointLoad> fleet;
  for (const auto& endpoint : service.endpoints()) {
    const schema::EndpointRouting* routing = table_.Find(endpoint.name());
    if (routing == nullptr) continue;
    fleet.push_back(
        {endpoint.name(), routing->load(),
         static_cast<std::size_t>(routing->partitions_size()),
         routing->accepting() && PrimaryHeartbeatRecent(routing->view())});
  }
  return fleet;
}

std::map<PartitionId, EndpointId> OwnershipController::Impl::TargetEndpoints(
    const ServiceId& service, const std::map<PartitionId, double>& partitions,
    const EndpointId& exclude) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return {};
  std::vector<EndpointLoad> fleet = FleetLoads(*found->second.config);
  std::erase_if(fleet, [&](const EndpointLoad& load) {
    return load.endpoint == exclude;
  });
  return ChooseTargets(partitions, std::move(fleet));
}

void OwnershipController::Impl::RecordMove(const schema::MoveEvent& move) {
  auto& history = moves_[{move.service(), move.partition()}];
  history.push_back(move);
  if (history.size() > kMoveHistoryPerPartition) history.pop_front();
  Emit(ReportEvent{"partition_moved",
                   ResultCode::kOk,
                   {{"service", move.service()},
                    {"partition", std::to_string(move.partition())},
                    {"from", move.from_endpoint()},
                    {"to", move.to_endpoint()},
                    {"epoch", FromProto(move.epoch()).ToString()},
                    {"cause", move.cause()}}});
}

// ---- Reports ----------------------------------------------------------------

std::vector<schema::MoveEvent> OwnershipController::Impl::Moves(
    const ServiceId& service, PartitionId partition) const {
  const auto found = moves_.find({service, partition});
  if (found == moves_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

schema::RouterStatus OwnershipController::Impl::Status() const {
  schema::RouterStatus status;
  *status.mutable_router() = ToProto(self_);
  status.set_data_centre(join_.data_centre());
  status.set_region(join_.region());
  status.set_config_version(config_.current().version());
  status.set_config_digest(config_.current().digest());
  status.set_log_offset(next_offset_);
  status.set_log_reachable(log_reachable_);
  status.set_ready(config_.current().version() > 0 && !shutdown_since_);
  status.set_leaving(shutdown_since_.has_value());
  status.set_invariant_violations(InvariantViolations());
  for (const auto& [endpoint, primary] : primaries_) {
    auto* routing = status.add_endpoints();
    primary->FillRouting(routing);
    const schema::View& view = primary->view();
    if (view.backup().id().empty()) {
      status.add_degraded()->set_what("endpoint " + endpoint +
                                      " has no backup router");
    }
    if (!primary->Accepting()) {
      status.add_degraded()->set_what("endpoint " + endpoint + " is " +
                                      routing->state());
    }
  }
  for (const auto& [endpoint, reset] : resets_) {
    status.add_degraded()->set_what("endpoint " + endpoint +
                                    " waits for a log reset");
  }
  if (!log_reachable_) status.add_degraded()->set_what("log unreachable");
  for (const auto& [id, router] : fleet_.routers()) {
    const RouterRef ref{id, router.incarnation};
    if (id == self_.id || router.left || fleet_.IsGone(ref)) continue;
    auto* peer = status.add_peers();
    *peer->mutable_join() = router.join;
    peer->set_incarnation(router.incarnation);
    peer->set_reachable(TimeSinceHeartbeat(ref) < kCandidateHeartbeatTimeout);
  }
  return status;
}

}  // namespace balsamhall
