// Roles of OwnershipController: primaries, backups, placement, rebalancing and
// shutdown.
#include <algorithm>
#include <utility>

#include "core/controller_impl.h"
#include "core/move_planner.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kHealthProbeInterval{500};
constexpr Milliseconds kPlacementInterval{2000};
// Maximum time that a shutdown waits for backup roles, which may find no other
// router.
constexpr Milliseconds kShutdownBackupWait{3000};
constexpr Milliseconds kShutdownLimit{20000};

}  // namespace

EndpointPrimary* OwnershipController::Impl::FindPrimary(
    const EndpointId& endpoint) {
  const auto found = primaries_.find(endpoint);
  return found == primaries_.end() ? nullptr : found->second.get();
}

void OwnershipController::Impl::StartPrimary(EndpointPrimary primary) {
  const EndpointId endpoint = primary.view().endpoint();
  auto& slot = primaries_[endpoint];
  slot = std::make_unique<EndpointPrimary>(std::move(primary));
  tenures_[endpoint] = ++last_tenure_;
  if (shutdown_since_) slot->RequestHandover();
  backups_.erase(endpoint);
  MarkRoutingDirty();
}

void OwnershipController::Impl::StartBackup(const schema::View& view) {
  const EndpointId& endpoint = view.endpoint();
  if (FindPrimary(endpoint) != nullptr || resets_.contains(endpoint)) return;
  const auto [backup, inserted] =
      backups_.try_emplace(endpoint, EndpointBackup(this, view));
  if (inserted) backup->second.RaisePromise(PromisedTerm(endpoint));
  backup->second.OnView(view);
}

void OwnershipController::Impl::RetirePrimary(const EndpointId& endpoint,
                                              bool keep_transfers) {
  const auto found = primaries_.find(endpoint);
  if (found == primaries_.end()) return;
  std::unique_ptr<EndpointPrimary> primary = std::move(found->second);
  primaries_.erase(found);
  primary->Demote(keep_transfers);
  if (!primary->finished()) retired_primaries_.push_back(std::move(primary));
  MarkRoutingDirty();
}

void OwnershipController::Impl::FailOver(const schema::GrantResponse& response,
                                         SteadyTime lease_bound) {
  const EndpointId endpoint = response.view().endpoint();
  const auto config = endpoints_.find(endpoint);
  if (config == endpoints_.end()) return;
  Emit(ReportEvent{"failover",
                   ResultCode::kOk,
                   {{"endpoint", endpoint},
                    {"term", FromProto(response.view().term()).ToString()},
                    {"partitions", std::to_string(response.held_count())}}});
  const Fence term = FromProto(response.view().term());
  failover_terms_[endpoint] = term;
  const ServiceId& service = config->second.first->name();
  StartPrimary(
      EndpointPrimary::AfterFailover(this, service, response, lease_bound));
  // The previous primary may not have granted the initial assignment yet. If a
  // reset followed the assignment, it has already resolved every partition, and
  // the endpoint does not know which partitions moved away before the reset.
  const auto* assigned = fleet_.AssignmentOf(service);
  if (assigned != nullptr && term.offset < assigned->offset) {
    AddAssignedPartitions(FindPrimary(endpoint));
  }
}

void OwnershipController::Impl::TickRoles() {
  const bool probe_health = now_ >= last_health_probe_ + kHealthProbeInterval;
  if (probe_health) last_health_probe_ = now_;
  std::vector<EndpointId> demoted;
  for (const auto& [endpoint, primary] : primaries_) {
    primary->OnTick();
    if (primary->demoted()) demoted.push_back(endpoint);
    if (probe_health) Emit(SendHealthProbe{endpoint});
  }
  for (const EndpointId& endpoint : demoted) RetirePrimary(endpoint, false);
  for (const auto& primary : retired_primaries_) primary->OnTick();
  std::erase_if(retired_primaries_,
                [](const auto& primary) { return primary->finished(); });
  for (auto& [endpoint, backup] : backups_) backup.OnTick();
  std::erase_if(backups_,
                [](const auto& item) { return item.second.retired(); });
}

void OwnershipController::Impl::TickDrain() {
  for (const auto& [endpoint, primary] : primaries_) {
    const schema::EndpointConfig* config = FindEndpoint(endpoint);
    const auto health = health_.find(endpoint);
    bool draining = config == nullptr || drain_refused_.contains(endpoint);
    draining |= health != health_.end() && health->second.draining();
    if (config != nullptr) {
      const std::string& vm =
          config->vm().empty() ? config->name() : config->vm();
      draining |= fleet_.IsVmLeaving(vm);
    }
    primary->SetDraining(draining);
  }
}

void OwnershipController::Impl::TickPlacement() {
  if (now_ < last_placement_ + kPlacementInterval || shutdown_since_) return;
  last_placement_ = now_;
  // Moves one endpoint at a time, because a new primary starts without the
  // request ids that the previous one remembered.
  for (const auto& [endpoint, primary] : primaries_) {
    const schema::EndpointConfig* config = FindEndpoint(endpoint);
    if (config == nullptr) continue;
    const bool misplaced = join_.region() != config->region() ||
                           join_.data_centre() == config->data_centre();
    if (!misplaced) continue;
    const Parties parties = ChooseParties(*config, CandidateRouters());
    if (!parties.primary || *parties.primary == self_) continue;
    const auto candidates = CandidateRouters();
    const auto better = std::ranges::find(
        candidates, *parties.primary,
        [](const RouterPlace& place) { return place.router; });
    const bool improves = better != candidates.end() &&
                          better->region == config->region() &&
                          (join_.region() != config->region() ||
                           better->data_centre != config->data_centre());
    if (improves && primary->MovePrimaryTo(*parties.primary)) return;
  }
}

void OwnershipController::Impl::TickRebalance() {
  if (now_ < last_rebalance_ + options_.rebalance_interval || shutdown_since_) {
    return;
  }
  last_rebalance_ = now_;
  for (auto& [service, entry] : services_) Rebalance(service, &entry);
}

void OwnershipController::Impl::Rebalance(const ServiceId& service,
                                          ServiceEntry* entry) {
  const bool has_primary = std::ranges::any_of(
      primaries_,
      [&](const auto& item) { return item.second->service() == service; });
  if (!has_primary) return;
  const schema::ServiceConfig& config = *entry->config;
  const schema::PolicyConfig& policy = config_.config().policy();
  MovePlanInput input;
  input.fleet = FleetLoads(config);
  input.policy = policy;
  input.service_partitions = config.partitions();
  // The service's budget is shared by the routers whose endpoints have excess
  // load.
  double share = 0;
  for (const auto& [endpoint, primary] : primaries_) {
    if (primary->service() != service) continue;
    input.self = endpoint;
    share += BudgetShare(input);
  }
  const double per_minute =
      policy.churn_per_minute() * config.partitions() * std::min(1.0, share);
  if (!entry->churn_budget) entry->churn_budget.emplace(per_minute, now_);
  entry->churn_budget->set_moves_per_minute(per_minute, now_);
  for (const auto& [endpoint, primary] : primaries_) {
    if (primary->service() != service || primary->moving_count() > 0) continue;
    input.self = endpoint;
    input.partition_load = primary->MovablePartitions();
    input.budget = entry->churn_budget->Available(now_);
    if (input.partition_load.empty() || input.budget == 0) continue;
    const std::vector<PlannedMove> moves = PlanMoves(input);
    entry->churn_budget->Take(moves.size(), now_);
    for (const PlannedMove& move : moves) {
      primary->Release(move.partition, move.target, "load");
    }
  }
}

void OwnershipController::Impl::TickShutdown() {
  if (!shutdown_since_ || stopped_) return;
  const bool primaries_done = std::ranges::all_of(
      primaries_, [](const auto& item) { return item.second->idle_evicted(); });
  const bool backups_done =
      backups_.empty() || now_ >= *shutdown_since_ + kShutdownBackupWait;
  const bool roles_done =
      primaries_done && backups_done && retired_primaries_.empty();
  const bool limit_reached = now_ >= *shutdown_since_ + kShutdownLimit;
  if (!left_sent_ && (roles_done || limit_reached)) {
    left_sent_ = true;
    if (roles_done && self_.incarnation != 0 && LogUsable()) {
      schema::LogRecord record;
      *record.mutable_router_left()->mutable_router() = ToProto(self_);
      Append(std::move(record));
    }
  }
  if (!left_sent_) return;
  // Without the log, the other routers learn from the VM list or from a later
  // join that this process is gone.
  if (writer_.idle() || !LogUsable() || limit_reached) {
    stopped_ = true;
    Emit(ShutdownReady{});
  }
}

}  // namespace balsamhall
