// State of one endpoint at its primary router. Implemented in
// endpoint_primary*.cc, one file for each responsibility.
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

// Renews the endpoint's lease, keeps a backup assigned, evicts the endpoint
// when it is lost and moves partitions. A view changes either with the consent
// of the endpoint, which accepts a proposal by compare-and-set, or with the
// consent of the backup, which promises to stand down. Not thread-safe.
class EndpointPrimary {
 public:
  enum class Phase {
    kBinding,   // the endpoint has not yet accepted a view of this router
    kServing,   // the endpoint holds a lease granted by this router
    kEvicting,  // consent obtained; waiting for dispatch to stop
    kEvicted,   // holds no partitions; waiting for the endpoint to return
  };

  struct InitialState {
    ServiceId service;
    schema::View view;
    std::map<PartitionId, Fence> partitions;
    std::vector<schema::ReleasedPartition> history;
    // Grant only the given partitions; the endpoint releases all others.
    bool replace_all = false;
    // Set if the endpoint is unreachable: it is evicted, and its partitions may
    // be transferred from this time on.
    std::optional<SteadyTime> evict_at;
  };

  EndpointPrimary(ControlContext* context, InitialState initial_state);

  // Returns the state after a failover, from the response to the accepted
  // failover grant. No lease of that grant is valid after lease_bound.
  static EndpointPrimary AfterFailover(ControlContext* context,
                                       ServiceId service,
                                       const schema::GrantResponse& response,
                                       SteadyTime lease_bound);

  // Returns the state after a takeover by the log, from the state that the
  // witness of an endpoint without fence checks kept for the old primary.
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
  // Sets whether the endpoint drains, as reported by its health or the VM list.
  void SetDraining(bool draining);
  // Endpoints without fence checks: sets whether the health probes fail.
  void SetUnreachable(bool unreachable);
  // Endpoints without fence checks: adopts a view by which the log names a new
  // backup.
  void AdoptViewReset(const schema::View& view);
  // Adds a partition of the first assignment, unless this router already knows
  // it.
  void AddAssigned(PartitionId partition, const Fence& epoch);
  // Starts a planned move of a partition to the target; cause goes into the
  // record of the move.
  void Release(PartitionId partition, const EndpointId& target,
               const std::string& cause);
  // Asks the backup to take over, for a shutdown or a better placement.
  void RequestHandover();
  // Makes another router the backup and then hands the primary role over to it.
  // Returns false if the endpoint's state does not allow it now.
  bool MovePrimaryTo(const RouterRef& router);
  // Gives up the primary role because another router holds a higher term. After
  // a log reset, keep_transfers continues the outgoing transfers.
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
  // Returns true if only a reset by the log can proceed: eviction waits for a
  // backup that is known to be gone for good, or an endpoint without fence
  // checks needs a new backup.
  bool NeedsReset() const;
  // Returns true if this router may dispatch new work to the endpoint.
  bool Accepting() const;
  // Partitions that can be released now, with their load.
  std::map<PartitionId, double> MovablePartitions() const;
  // Number of partitions that are being released or transferred.
  std::size_t moving_count() const;

  // Fills in all fields except the revision.
  void FillRouting(schema::EndpointRouting* routing) const;
  schema::EndpointClaims Claims() const;
  SteadyTime started_at() const { return started_at_; }
  // Latest time at which this router may start work at the endpoint; null for
  // endpoints that check fences.
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
  // Proposes a view above that of a backup which failed over and then stood
  // down.
  void ReproposeAfterStandDown(const schema::GrantResponse& response);
  void ReadmitEndpoint(const schema::GrantResponse& response);
  // Takes back the partitions of an evicted endpoint whose transfers found no
  // target. Returns false if a transfer has a target or may not be sent yet.
  bool ReclaimPartitions();

  void TickSuspicion();
  void RequestConsents();
  bool AllConsented() const;
  void BeginEviction();
  void TickBackup();
  bool BackupUsable() const;
  void TickDrain();
  void AssignMissingTargets();
  // Queues the new targets of refused transfers for the endpoint to record.
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
  // The endpoint process that held the partitions has ended.
  bool endpoint_restarted_ = false;
  bool rearm_ = false;  // a stand-down was requested, but the endpoint answers
  bool handover_ = false;
  bool checks_fences_ = true;
  bool unreachable_ = false;  // maintained only without fence checks
  bool dispatch_stopped_ = false;

  std::map<PartitionId, HeldPartition> held_;
  std::map<PartitionId, schema::ReleasedPartition> history_;
  // Incoming transfers whose refusal the endpoint has not recorded yet.
  std::set<PartitionId> unrecorded_refusals_;
  TransferSender transfers_;
  std::map<EndpointId, std::pair<RouterId, schema::Transfer>>
      pending_incoming_transfers_;
  std::map<PartitionId, double> partition_load_;
  double load_ = 0;

  // Latest clock reading of the endpoint and the local time of its arrival.
  std::int64_t holder_time_us_ = 0;
  std::optional<SteadyTime> holder_time_received_at_;
  SteadyTime lease_bound_;
  SteadyTime last_response_;
  SteadyTime serving_since_;
  std::uint64_t last_response_sequence_ = 0;
  // Sequence of the last grant that was not a probe.
  std::uint64_t in_flight_sequence_ = 0;
  SteadyTime last_grant_;
  SteadyTime in_flight_sent_at_;
  SteadyTime started_at_;
  std::shared_ptr<std::atomic<SteadyTime::rep>> authority_until_;
  // Latest deadline of work that ran at the endpoint when dispatch stopped, by
  // partition.
  std::map<PartitionId, SteadyTime> running_until_;
  bool has_unsent_changes_ = false;  // for the next grant to carry

  std::vector<Consent> consents_;
  Fence consented_through_;
  // Highest term up to which each router has promised to stand down.
  std::map<RouterRef, Fence> promised_terms_;
  SteadyTime last_consent_request_;

  std::optional<schema::View> requested_backup_view_;
  SteadyTime backup_requested_at_;
  std::set<RouterId> declined_backups_;
  SteadyTime last_handover_;
  // Set while the primary role is being moved to this router.
  std::optional<RouterRef> new_primary_;
  SteadyTime primary_move_started_at_;
  std::optional<SteadyTime> evict_at_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_ENDPOINT_PRIMARY_H_
