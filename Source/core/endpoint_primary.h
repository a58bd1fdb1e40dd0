// State of one endpoint at its primary router, spread over
// endpoint_primary*.cc by job.
#ifndef BALSAMHALL_CORE_ENDPOINT_PRIMARY_H_
#define BALSAMHALL_CORE_ENDPOINT_PRIMARY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/control_context.h"
#include "core/transfer_sender.h"
#include "core/types.h"

namespace balsamhall {

// Renews the lease, keeps the backup, evicts the endpoint when it is lost and
// moves partitions. A change of view is made with the endpoint's consent by a
// proposal that the endpoint accepts by compare-and-set, or with the backup's
// consent by a stand-down. Not thread-safe.
class EndpointPrimary {
 public:
  enum class Phase {
    kBinding,   // the endpoint has not yet accepted a view of this router
    kServing,   // the endpoint holds a lease of this router
    kEvicting,  // consent obtained; waits for dispatch to stop
    kEvicted,   // holds nothing; waits for the endpoint to return
  };

  struct InitialState {
    ServiceId service;
    schema::View view;
    std::map<PartitionId, Fence> partitions;
    std::vector<schema::ReleasedPartition> history;
    // Grant only the given partitions and drop what the endpoint holds besides.
    bool replace_all = false;
    // The endpoint can't be reached: wait until this time, then evict.
    std::optional<SteadyTime> evict_at;
  };

  EndpointPrimary(ControlContext* context, InitialState initial_state);

  // Starts from the response to an accepted failover grant.
  static EndpointPrimary AfterFailover(ControlContext* context,
                                       ServiceId service,
                                       const schema::GrantResponse& response,
                                       SteadyTime lease_bound);

  // Starts from the state that the witness of an endpoint without fence checks
  // kept for the old primary.
  static EndpointPrimary AfterTakeover(ControlContext* context,
                                       ServiceId service, schema::View view,
                                       const schema::GrantResponse& state);

  void OnTick();
  void OnGrantResponse(const schema::GrantResponse& response);
  void OnStandDownReply(const RouterRef& from,
                        const schema::StandDownReply& reply);
  void OnBackupReply(const RouterRef& from, const schema::BackupReply& reply);
  void OnTransfer(const RouterId& from, const schema::Transfer& transfer);
  void OnTransferReply(const schema::TransferReply& reply);
  void OnDispatchStopped(const DispatchStopped& stopped);
  void OnLoad(const LoadMeasured& measured);
  // A report of a draining or serving endpoint, from its health or the list.
  void SetDraining(bool draining);
  // Endpoints without fence checks: their health probes fail or succeed again.
  void SetUnreachable(bool unreachable);
  // Endpoints without fence checks: the log named a new backup.
  void AdoptViewReset(const schema::View& view);
  // Adds a partition of the first assignment, unless it is already known.
  void AddAssigned(PartitionId partition, const Fence& epoch);
  // Starts a planned move.
  void Release(PartitionId partition, const EndpointId& target,
               const std::string& cause);
  // Asks the backup to take over, for a shutdown or a better placement.
  void RequestHandover();
  // Makes another router the backup and then hands over to it. Returns false if
  // the endpoint's state does not allow it now.
  bool MovePrimaryTo(const RouterRef& router);
  // Another router holds a higher term: stops everything but transfers that
  // were already sent under a log reset.
  void Demote(bool keep_transfers);

  bool demoted() const { return demoted_; }
  bool finished() const { return demoted_ && transfers_.empty(); }
  bool idle_evicted() const {
    return phase_ == Phase::kEvicted && transfers_.empty();
  }
  Phase phase() const { return phase_; }
  const schema::View& view() const { return view_; }
  const ServiceId& service() const { return service_; }
  bool Suspected() const;
  // True if eviction waits for a backup that is proved gone: needs the log.
  bool NeedsReset() const;
  bool Accepting() const;
  std::map<PartitionId, double> MovablePartitions() const;
  std::size_t moving_count() const;

  // Fills in everything but the revision.
  void FillRouting(schema::EndpointRouting* routing) const;
  schema::EndpointClaims Claims() const;
  SteadyTime started_at() const { return started_at_; }
  // Null for endpoints that check fences.
  std::shared_ptr<const std::atomic<SteadyTime::rep>> authority_until() const {
    return authority_until_;
  }

 private:
  // An unreachable backup is replaced after this time; shorter pauses are
  // common.
  static constexpr Milliseconds kBackupTimeout{2000};
  static constexpr Milliseconds kBackupReplyTimeout{1000};

  struct HeldPartition {
    Fence epoch;
    bool acked = false;
    bool releasing = false;
    EndpointId target;
    std::string cause;
  };
  struct Consent {
    RouterRef router;
    Fence term;
    bool given = false;
  };

  const EndpointId& endpoint() const { return view_.endpoint(); }
  Fence Term() const { return FromProto(view_.term()); }
  Fence HighestOwnTerm() const;

  void ResumeTransfers(const schema::GrantResponse& state,
                       SteadyTime not_before);
  bool HasAuthority() const;
  void RenewAuthority(const schema::GrantResponse& response);
  bool NeedsBackupByLog() const;
  void SendProbe();
  void SendGrantNow();
  void Propose(schema::View view, const Fence& previous);
  void AdoptProposal();
  void NotifyBackup();
  bool DemoteIfSuperseded(const schema::GrantResponse& response);
  void OnRestartedEndpoint(std::uint64_t incarnation);
  void OnAccepted(const schema::GrantResponse& response);
  void OnProbed(const schema::GrantResponse& response);
  void ApplyState(const schema::GrantResponse& response);
  void BindFirstView(const schema::GrantResponse& response);
  // Proposes a view after one of a backup that gave its authority back.
  void ReproposeAfterStandDown(const schema::GrantResponse& response);
  void ReadmitEndpoint(const schema::GrantResponse& response);
  // Takes back the transfers of an evicted endpoint that found no target.
  // Returns false if one has a target.
  bool ReclaimPartitions();

  void TickSuspicion();
  void RequestConsents();
  bool AllConsented() const;
  void BeginEviction();
  void TickBackup();
  bool BackupUsable() const;
  void TickDrain();
  void AssignMissingTargets();
  // Tells the endpoint the new targets of refused transfers.
  void RecordTargets();
  void TickHandover();
  void AnswerPendingTransfers();
  bool AnswerTransfer(const RouterId& from, const schema::Transfer& transfer);

  ControlContext* context_;
  ServiceId service_;
  schema::View view_;
  std::optional<schema::View> proposed_;
  Fence proposed_previous_;
  Phase phase_ = Phase::kBinding;
  bool demoted_ = false;
  bool replace_all_ = false;
  bool send_history_ = false;
  bool draining_ = false;
  // The endpoint's process that held the partitions is gone.
  bool endpoint_restarted_ = false;
  bool rearm_ = false;  // a stand-down was requested, but the endpoint answers
  bool handover_ = false;
  bool checks_fences_ = true;  // the endpoint checks fences
  bool unreachable_ = false;   // only known without fence checks
  bool dispatch_stopped_ = false;

  std::map<PartitionId, HeldPartition> held_;
  std::map<PartitionId, schema::ReleasedPartition> history_;
  // Refused transfers that the endpoint has not recorded yet.
  std::set<PartitionId> unrecorded_refusals_;
  TransferSender transfers_;
  std::map<EndpointId, std::pair<RouterId, schema::Transfer>>
      pending_incoming_transfers_;
  std::map<PartitionId, double> partition_load_;
  double load_ = 0;

  // Latest clock reading of the endpoint and when it arrived here.
  std::int64_t holder_time_us_ = 0;
  std::optional<SteadyTime> holder_time_received_at_;
  SteadyTime lease_bound_;
  SteadyTime last_response_;
  SteadyTime serving_since_;
  std::uint64_t last_response_sequence_ = 0;
  std::uint64_t in_flight_sequence_ =
      0;  // sequence of the last non-probe grant
  SteadyTime last_grant_;
  SteadyTime in_flight_sent_at_;
  SteadyTime started_at_;
  std::shared_ptr<std::atomic<SteadyTime::rep>> authority_until_;
  // Work that ran at the endpoint when dispatch stopped, by partition.
  std::map<PartitionId, SteadyTime> running_until_;
  bool has_unsent_changes_ = false;  // adds or releases wait for a grant

  std::vector<Consent> consents_;
  Fence consented_through_;
  SteadyTime last_consent_request_;

  std::optional<schema::View> requested_backup_view_;
  SteadyTime backup_requested_at_;
  std::set<RouterId> declined_backups_;
  SteadyTime last_handover_;
  std::optional<RouterRef> new_primary_;
  SteadyTime primary_move_started_at_;
  std::optional<SteadyTime> evict_at_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_ENDPOINT_PRIMARY_H_
