// Implementation of OwnershipController, split by responsibility across
// controller_*.cc.
#ifndef BALSAMHALL_CORE_CONTROLLER_IMPL_H_
#define BALSAMHALL_CORE_CONTROLLER_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/append_deduplicator.h"
#include "core/assignment_planner.h"
#include "core/churn_budget.h"
#include "core/config_register.h"
#include "core/control_context.h"
#include "core/endpoint_backup.h"
#include "core/endpoint_primary.h"
#include "core/endpoint_reset.h"
#include "core/fleet_register.h"
#include "core/log_writer.h"
#include "core/membership.h"
#include "core/ownership_controller.h"
#include "core/routing_table.h"
#include "core/witness.h"

namespace balsamhall {

class OwnershipController::Impl final : public ControlContext {
 public:
  Impl(schema::RouterJoined self, OwnershipOptions options, std::uint64_t seed);

  OwnershipActions Handle(const OwnershipEvent& event, SteadyTime now);
  Submission Submit(schema::LogRecord record, SteadyTime now);

  std::shared_ptr<const RoutingSnapshot> routing() const { return snapshot_; }
  const ConfigRegister& config() const { return config_; }
  schema::RouterStatus Status() const;
  std::vector<schema::MoveEvent> Moves(const ServiceId& service,
                                       PartitionId partition) const;
  std::optional<SubmissionResult> ResultOf(std::uint64_t sequence) const;
  const std::string& writer_id() const { return writer_id_; }

  // ControlContext
  SteadyTime now() const override { return now_; }
  const RouterRef& self() const override { return self_; }
  const OwnershipOptions& options() const override { return options_; }
  void Emit(OwnershipAction action) override;
  std::uint64_t NextGrantSequence() override { return ++grant_sequence_; }
  Milliseconds TimeSinceHeartbeat(const RouterRef& router) const override;
  bool IsGone(const RouterRef& router) const override;
  std::vector<RouterPlace> CandidateRouters() const override;
  std::vector<RouterRef> OtherRouters() const override;
  const schema::EndpointConfig* FindEndpoint(
      const EndpointId& endpoint) const override;
  std::vector<EndpointId> EndpointsOf(const ServiceId& service) const override;
  std::uint64_t BaseViewOffset(const EndpointId& endpoint) const override;
  bool AppliedByAll(std::uint64_t offset) const override;
  Milliseconds LongestDeadline(const ServiceId& service) const override;
  std::optional<schema::View> KnownView(
      const EndpointId& endpoint) const override;
  Fence HighestEpoch(const ServiceId& service,
                     PartitionId partition) const override;
  std::map<PartitionId, EndpointId> TargetEndpoints(
      const ServiceId& service, const std::map<PartitionId, double>& partitions,
      const EndpointId& exclude) const override;
  void RecordMove(const schema::MoveEvent& move) override;
  void MarkRoutingDirty() override { routing_dirty_ = true; }
  bool ShuttingDown() const override { return shutdown_since_.has_value(); }

 private:
  struct ServiceEntry {
    const schema::ServiceConfig* config = nullptr;
    // Last time at which no first view and no first assignment was missing, or
    // the time at which the service was configured.
    SteadyTime incomplete_since;
    SteadyTime bootstrap_sent_at;
    std::optional<ChurnBudget> churn_budget;  // share of this router
  };
  struct PendingReset {
    SteadyTime since;  // when the reset was first found to be needed
    std::optional<SteadyTime> sent_at;
  };
  // A ViewReset record made this router the primary of an endpoint that does
  // not check fences. The router starts at start_at, when the previous primary
  // can no longer dispatch.
  struct Takeover {
    ServiceId service;
    schema::View view;
    SteadyTime start_at;
    schema::GrantResponse state;
  };
  struct BufferedRecord {
    std::uint64_t offset = 0;
    schema::LogRecord record;
  };

  // Events, in controller_impl.cc.
  void On(const TimerTick& event);
  void On(const PeerMessageReceived& event);
  void On(const GrantResponseReceived& event);
  void On(const HealthReportReceived& event);
  void On(const LogRecordRead& event);
  void On(const LogReadFinished& event);
  void On(const LogAppendFinished& event);
  void On(const VmListRead& event);
  void On(const DispatchStopped& event);
  void On(const LoadMeasured& event);
  void On(const ShutdownRequested& event);
  void DeliverLocalMessages();
  void PublishSnapshot();

  // Log, in controller_log.cc.
  void ApplyRecord(std::uint64_t offset, const schema::LogRecord& record);
  void ApplyFleetRecord(std::uint64_t offset, const schema::LogRecord& record);
  void FinishReplay();
  void DetectTruncation(std::uint64_t first_offset);
  void AdoptOwnIncarnation();
  void OnViewsSet(const std::vector<schema::View>& views);
  void OnAssigned(const ServiceId& service);
  void OnResetAccepted(const schema::View& view);
  void OnConfigChanged();
  void Append(schema::LogRecord record);
  void TickLog();
  void TickJoin();
  void TickBootstrap();
  void TickSnapshots();
  void TickResets();
  void Bootstrap(const schema::ServiceConfig& service);
  void AppendReset(const schema::EndpointConfig& endpoint,
                   const std::string& proof);
  // Delay after which this router appends a reset that another router was
  // chosen to append.
  Milliseconds FallbackResetDelay(const EndpointId& endpoint) const;
  bool AllRoutersReachable() const;
  bool LogUsable() const;
  bool SnapshotIsDue(SteadyTime appended_at, const std::string& topic) const;

  void StartReset(const schema::View& view);

  // Endpoints without fence checks, in controller_unfenced.cc.
  bool ChecksFences(const EndpointId& endpoint) const;
  void SendWitnessGrant(SendGrant grant);
  void OnWitnessRequest(const RouterRef& from,
                        const schema::GrantRequest& request);
  void OnUnfencedReset(const schema::View& view);
  void TickUnfenced();
  void RequestReset(const EndpointId& endpoint, const std::string& proof);

  // Peer messages, in controller_peers.cc.
  void OnPeerMessage(const schema::PeerMessage& message);
  void OnHeartbeat(const schema::Heartbeat& heartbeat);
  void OnStandDownRequest(const RouterRef& from,
                          const schema::StandDownRequest& request);
  void OnBackupRequest(const RouterRef& from,
                       const schema::BackupRequest& request);
  void OnHandover(const schema::Handover& handover);
  void OnTransfer(const RouterRef& from, const schema::Transfer& transfer);
  void OnTransferReply(const schema::TransferReply& reply);
  void OnLocateRequest(const RouterRef& from,
                       const schema::LocateRequest& request);
  void OnRoutingUpdate(const schema::RoutingUpdate& update);
  void OnRoutingRequest(const RouterRef& from);
  void OnStateRequest(const RouterRef& from);
  void OnStateReply(const schema::StateReply& reply);
  void OnReportedView(const schema::View& view);
  void SendTo(const RouterId& to, schema::PeerMessage message);
  schema::LocateReply MakeLocateReply(const ServiceId& service,
                                      const EndpointId& endpoint,
                                      std::uint64_t query,
                                      const Fence& term) const;
  void TickHeartbeat();
  void TickRoutingUpdates();
  void TickPeerState();

  // Roles, in controller_roles.cc.
  void TickRoles();
  void TickDrain();
  void TickPlacement();
  void TickShutdown();
  void TickRebalance();
  void Rebalance(const ServiceId& service, ServiceEntry* entry);
  bool PrimaryHeartbeatRecent(const schema::View& view) const;
  std::vector<EndpointLoad> FleetLoads(
      const schema::ServiceConfig& service) const;
  EndpointPrimary* FindPrimary(const EndpointId& endpoint);
  void StartPrimary(EndpointPrimary primary);
  void StartBackup(const schema::View& view);
  void RetirePrimary(const EndpointId& endpoint, bool keep_transfers);
  void AddAssignedPartitions(EndpointPrimary* primary);
  void FailOver(const schema::GrantResponse& response, SteadyTime lease_bound);
  Fence& PromisedTerm(const EndpointId& endpoint);

  OwnershipOptions options_;
  schema::RouterJoined join_;
  RouterRef self_;
  std::string writer_id_;
  std::mt19937_64 random_;
  SteadyTime now_;
  OwnershipActions actions_;
  std::deque<schema::PeerMessage> local_messages_;

  // Log.
  AppendDeduplicator deduplicator_;
  LogWriter writer_;
  ConfigRegister config_;
  FleetRegister fleet_;
  // The log was read to its end since the start or the last truncation.
  bool caught_up_ = false;
  bool reading_ = false;
  bool log_reachable_ = false;
  bool log_reachability_reported_ = false;
  bool join_sent_ = false;
  std::uint64_t next_offset_ = 1;
  Milliseconds retention_{0};
  SteadyTime next_read_;
  std::vector<BufferedRecord> buffered_;
  SteadyTime config_appended_at_;
  SteadyTime fleet_appended_at_;
  SteadyTime last_snapshot_append_;
  std::map<std::uint64_t, SubmissionResult> submission_results_;
  std::set<std::uint64_t> pending_submissions_;
  std::uint64_t config_version_seen_ = 0;

  // Configuration indices.
  std::map<ServiceId, ServiceEntry> services_;
  std::map<EndpointId, std::pair<const schema::ServiceConfig*,
                                 const schema::EndpointConfig*>>
      endpoints_;

  // Membership and routing.
  Membership membership_;
  RoutingTable table_;
  // Last routing report of each endpoint that this router sent as its primary.
  std::map<EndpointId, schema::EndpointRouting> last_reports_;
  std::map<EndpointId, SteadyTime> last_report_at_;
  std::map<RouterId, SteadyTime> routing_requested_at_;
  std::set<RouterId> listed_routers_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  bool routing_dirty_ = true;
  std::uint64_t heartbeat_sequence_ = 0;
  SteadyTime last_heartbeat_;
  SteadyTime last_state_request_;
  SteadyTime last_bootstrap_;

  // Roles.
  std::uint64_t grant_sequence_ = 0;
  std::uint64_t locate_query_ = 0;
  std::map<EndpointId, std::unique_ptr<EndpointPrimary>> primaries_;
  std::map<EndpointId, std::uint64_t> tenures_;  // see EndpointRoute::tenure
  std::uint64_t last_tenure_ = 0;
  std::vector<std::unique_ptr<EndpointPrimary>> retired_primaries_;
  std::map<EndpointId, EndpointBackup> backups_;
  std::map<EndpointId, EndpointReset> resets_;
  std::map<EndpointId, PendingReset> pending_resets_;
  // Highest term up to which this router promised not to fail over.
  std::map<EndpointId, Fence> promised_terms_;
  // Term of the last failover by this router that the endpoint accepted.
  std::map<EndpointId, Fence> failover_terms_;
  std::map<EndpointId, schema::HealthReport> health_;
  std::map<EndpointId, SteadyTime> health_received_at_;
  std::set<EndpointId> drain_refused_;
  std::map<EndpointId, Witness> witnesses_;
  std::map<EndpointId, Takeover> takeovers_;
  std::set<EndpointId> handover_requested_;
  SteadyTime last_health_probe_;
  SteadyTime last_placement_;
  SteadyTime last_rebalance_;
  std::map<std::pair<ServiceId, PartitionId>, std::deque<schema::MoveEvent>>
      moves_;

  // Shutdown.
  std::optional<SteadyTime> shutdown_since_;
  bool left_sent_ = false;
  bool stopped_ = false;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_CONTROLLER_IMPL_H_
