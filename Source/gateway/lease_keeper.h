// Assigns the keys of one service to endpoints and renews their leases.
#ifndef BALSAMHALL_GATEWAY_LEASE_KEEPER_H_
#define BALSAMHALL_GATEWAY_LEASE_KEEPER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/types.h"
#include "gateway/boot_clock.h"
#include "gateway/endpoint_registry.h"
#include "gateway/lease_table.h"
#include "gateway/range_planner.h"

namespace balsamhall::gateway {

// Appends the table; with expected_end, only if the log still ends there.
struct AppendTable {
  LeaseTable table;
  std::optional<std::uint64_t> expected_end;
};
// Opens a connection to an endpoint for a LeaseConnection.
struct OpenConnection {
  std::uint64_t id = 0;
  LeaseHolder to;
};
// Connection for a grant. A lease belongs to the process that accepted it, but
// a new connection leads to whichever process serves at the address, also to a
// later one under the same id.
//
// One that was opened for this lease, before its first grant.
struct LeaseConnection {
  std::uint64_t number = 0;
};
// One on which the endpoint has executed a request for a key of the range, so
// that it leads to the process that holds the lease, or has a higher fence.
struct RequestConnection {};
using GrantConnection = std::variant<LeaseConnection, RequestConnection>;

// Grants an endpoint a lease on a range, or renews it. The call is not sent if
// there is no such connection.
struct GrantCall {
  std::uint64_t id = 0;
  LeaseHolder to;
  KeyRange range;
  std::uint64_t fence = 0;
  Milliseconds lease_time{0};
  std::string handover;  // from the previous holder's release, if any
  GrantConnection connection;
};
// Makes an endpoint give up a range. fence: that of the next holder's lease.
// Needs a new connection, on which no earlier response can arrive.
struct ReleaseCall {
  std::uint64_t id = 0;
  LeaseHolder from;
  KeyRange range;
  std::uint64_t fence = 0;
};
// Sends the table to these gateways; OnAdopted takes their responses.
struct PublishTable {
  LeaseTable table;
  std::vector<GatewayInstance> recipients;
};
// Reads the log again at once, because the known table may be out of date.
struct RereadLog {};
// Tells these gateways the era of the store. OnEraAcknowledged takes their
// responses.
struct AnnounceEra {
  std::uint64_t era = 0;
  std::vector<GatewayInstance> recipients;
};

using LeaseAction =
    std::variant<AppendTable, OpenConnection, GrantCall, ReleaseCall,
                 PublishTable, RereadLog, AnnounceEra>;

enum class CallOutcome {
  kDone,
  kRefused,        // the endpoint has seen a higher fence
  kOtherEndpoint,  // another endpoint serves at the address and refused
  kNotSent,        // no byte was sent
  kUnanswered,     // may have been executed, or may still be
};

// Returns the name of an outcome, for logs and metrics.
std::string_view CallOutcomeName(CallOutcome outcome);

// Result of a grant or release.
struct CallResult {
  CallOutcome outcome = CallOutcome::kUnanswered;
  std::string handover;  // data for the next holder, from a release
  bool leaving = false;  // the endpoint that was called is leaving
};

// kConflict: the log did not end at expected_end. kUnknown: the response was
// lost, so the record may have been appended. kNotDone: nothing was appended.
enum class AppendOutcome { kDone, kConflict, kUnknown, kNotDone };

// An event for the log.
struct LeaseEvent {
  std::string name;
  std::string detail;
};

// One gateway, the leader, changes the table. Each change is a record that is
// appended only if the log has not changed since the last read, and is carried
// out only after that append. The store elects the leader by group membership,
// which is only a hint: the conditional append decides which change wins.
//
// The leader opens a connection to the new holder, confirms its view, and then
// sends the first grant on it: until then no other gateway has used a higher
// fence, and no later process receives the grant. The lease is renewed on the
// same connection. If the connection is lost, the leader assigns the range a
// higher fence.
//
// To move a range, the leader releases it at the previous holder with the new
// fence. If the release stays unanswered, the leader waits until every lease
// that any gateway could have granted has expired. Other gateways send renewals
// only
// - if they are renewers of the table and cannot reach the store, and
// - until kMaxViewAge after the read that confirmed their view.
// So the leader waits for kMaxViewAge if a renewer has not adopted the new
// table, plus the lease time and the time that a call can be in transit.
//
// Performs no I/O: takes events and returns actions. Not thread-safe.
class LeaseKeeper {
 public:
  // Lease time that is sent to endpoints.
  static constexpr Milliseconds kLeaseTime{4'000};
  // A gateway may renew leases for this long after sending the read of the
  // store that last confirmed its view.
  static constexpr Milliseconds kMaxViewAge{16'000};
  // Grants time out, and their connections are reset, after this time.
  static constexpr Milliseconds kCallTimeout{400};
  // An endpoint responds to a release once its running requests on the keys
  // have finished, which takes up to 1 s according to the users' sheets.
  static constexpr Milliseconds kReleaseTimeout{1'200};

  // Rules that keep each key with at most one holder. Tests disable one at a
  // time to show that their checks detect it.
  struct Guards {
    bool wait_for_old_leases = true;
    bool limit_view_age = true;
    bool conditional_append = true;
    bool bind_lease_to_connection = true;
    // Of the eras of the store:
    bool ignore_earlier_eras = true;
    bool act_in_current_era_only = true;
    bool wait_for_earlier_eras = true;
  };

  // started: when this process started.
  LeaseKeeper(ServiceId service, GatewayInstance self, BootTime started);
  LeaseKeeper(ServiceId service, GatewayInstance self, BootTime started,
              Guards guards);

  // Adopts a table, read from the store or sent by another gateway, if it is
  // newer than the current one.
  void OnTable(LeaseTable table, BootTime now);
  // Reports that another writer replaced the record of the table, or deleted
  // it, with a record that would have this version. The leader appends the
  // table again, because a gateway that starts later finds no other one.
  void OnRecordLost(std::uint64_t version);
  // Reports that the log ended at this position and that all records before it
  // were applied. as_of: when the read was sent. One of an earlier era has no
  // effect. Precondition: OnEra was called for its era.
  void OnLogEnd(std::uint64_t end, BootTime as_of);
  // Reports the era of the store; one that is not later than the known one has
  // no effect. From then on this gateway sends no grants and releases for a
  // table of an earlier era.
  void OnEra(std::uint64_t era, BootTime now);
  // Reports that a gateway sends no more calls for tables of an era before this
  // one. since_renewal: the SinceRenewal of that gateway.
  void OnEraAcknowledged(const GatewayInstance& gateway, std::uint64_t era,
                         Milliseconds since_renewal, BootTime now);
  // Reports whether this gateway reaches the store.
  void OnStoreReachability(bool reachable, BootTime now);
  // Reports whether this gateway is the elected leader.
  void OnElection(bool elected) { elected_ = elected; }
  // Starts no new moves, because the process is about to stop.
  void Stop() { stopping_ = true; }
  // Sets the gateways that may become renewers.
  void OnGateways(std::vector<GatewayInstance> gateways);
  // Sets the endpoints that may hold keys.
  void OnEndpoints(std::vector<EligibleEndpoint> endpoints, BootTime now);
  // Sets which endpoint, of any service, serves at each address.
  void OnAddresses(std::map<std::string, AddressHolder> holders) {
    addresses_ = std::move(holders);
  }
  // Reports the outcome of the last AppendTable.
  void OnAppendResult(AppendOutcome outcome, BootTime now);
  // Reports the result of an OpenConnection. connection: its number; 0 if it
  // failed.
  void OnConnection(std::uint64_t id, std::uint64_t connection, BootTime now);
  // Reports the result of a grant or release.
  void OnCallResult(std::uint64_t call, CallResult result, BootTime now);
  // Reports that a gateway has adopted a table of at least this version.
  // since_renewal: the SinceRenewal of that gateway.
  void OnAdopted(const GatewayInstance& gateway, std::uint64_t version,
                 Milliseconds since_renewal, BootTime now);

  // Returns the actions that are due at this time, for the caller to carry out.
  std::vector<LeaseAction> Tick(BootTime now);

  // Returns the time since this gateway last sent a grant, or since its process
  // started if it never did, for OnAdopted of the leader.
  Milliseconds SinceRenewal(BootTime now) const;

  const LeaseTable& table() const { return table_; }
  // Position at which the log ended at the last confirmation, and its time.
  std::uint64_t log_end() const { return log_end_; }
  BootTime confirmed_at() const { return confirmed_at_; }
  // Whether the table is of the latest era and names this process as leader.
  bool is_leader() const;
  // Latest known era of the store; 0: it states none.
  std::uint64_t era() const { return era_; }
  KeyLoad& load() { return load_; }
  // Returns and clears the events since the last call.
  std::vector<LeaseEvent> TakeEvents();

 private:
  // Progress of one range under one fence.
  struct Progress {
    std::uint64_t call = 0;  // id of the pending call; 0: none
    bool releasing = false;  // the pending call is a release
    BootTime next_call;
    bool released = false;
    bool release_failed = false;   // a release failed or timed out
    bool sent = false;             // the endpoint may have accepted this fence
    bool granted = false;          // the endpoint accepted this fence
    bool refused = false;          // the endpoint has seen a higher fence
    std::uint64_t opening = 0;     // id of the pending OpenConnection; 0: none
    std::uint64_t connection = 0;  // of the LeaseConnection; 0: none
    BootTime connected_at;
    BootTime next_opening;
    int failures = 0;  // failed calls since the last response
    std::string handover;
  };
  // The last table that a gateway is known to have adopted.
  struct Adoption {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    BootTime last_renewal;  // latest possible time
  };
  using RangeKey = std::pair<std::uint64_t, ShardKey>;  // fence, first key

  Progress& ProgressOf(const RangeLease& lease);
  void KeepProgressOfParts(const LeaseTable& next);
  bool MayRenew(BootTime now) const;
  void RenewLeases(BootTime now, Milliseconds interval,
                   std::vector<LeaseAction>& actions);
  void MoveRanges(BootTime now, std::vector<LeaseAction>& actions);
  void MoveRange(const RangeLease& lease, BootTime now,
                 std::vector<LeaseAction>& actions);
  void Open(const RangeLease& lease, Progress& progress, BootTime now,
            std::vector<LeaseAction>& actions);
  void SendGrant(const RangeLease& lease, Progress& progress,
                 GrantConnection connection, BootTime now,
                 std::vector<LeaseAction>& actions);
  void OnGrantResult(const RangeLease& lease, Progress& progress,
                     const GrantConnection& connection, CallOutcome outcome);
  bool NeedsHigherFence(const RangeLease& lease) const;
  bool PreviousLeaseEnded(const RangeLease& lease, const Progress& progress,
                          BootTime now) const;
  bool IsSuperseded(const LeaseHolder& holder) const;
  bool HasEnded(const LeaseHolder& holder) const;
  BootTime PreviousLeaseEnd(const RangeLease& lease) const;
  BootTime OwnGrantsEnd(const EndpointRef& endpoint) const;
  void RecordEnd(const LeaseHolder& holder, BootTime now);
  void RecordFailure(const EndpointRef& endpoint, BootTime now);
  // Returns whether the last call to the endpoint failed.
  bool CallsFail(const EndpointRef& endpoint) const;
  void RecordLeaseEnd(const EndpointRef& endpoint, BootTime end);
  std::vector<EligibleEndpoint> UsableEndpoints(BootTime now);
  void PublishIfNeeded(BootTime now, std::vector<LeaseAction>& actions);
  bool ActsOnTable() const;
  std::vector<GatewayInstance> PossibleGranters() const;
  BootTime EarlierErasEnd() const;
  bool EarlierErasEnded(BootTime now) const;
  void AnnounceEraIfNeeded(BootTime now, std::vector<LeaseAction>& actions);
  bool Append(LeaseTable next, BootTime now, std::vector<LeaseAction>& actions);
  bool TakeOver(BootTime now, std::vector<LeaseAction>& actions);
  bool RestoreRecord(BootTime now, std::vector<LeaseAction>& actions);
  bool AddMissingRenewers(BootTime now, std::vector<LeaseAction>& actions);
  bool RaiseFences(BootTime now, std::vector<LeaseAction>& actions);
  bool ConfirmGrants(BootTime now, std::vector<LeaseAction>& actions);
  bool PlanChanges(BootTime now, std::vector<LeaseAction>& actions);
  void AddRenewers(LeaseTable& table) const;
  void AddEvent(std::string name, std::string detail);
  void AddCallEvents(const RangeLease& lease, const Progress& progress,
                     CallOutcome outcome);

  const ServiceId service_;
  const GatewayInstance self_;
  const BootTime started_;
  const Guards guards_;
  LeaseTable table_;
  BootTime table_adopted_at_;
  // By fence in the table: when the first table with it was adopted.
  std::map<std::uint64_t, BootTime> fence_adopted_at_;
  bool record_lost_ = false;
  std::uint64_t log_end_ = 0;
  bool log_end_known_ = false;
  BootTime confirmed_at_;
  bool store_reachable_ = true;
  BootTime store_changed_at_;
  bool elected_ = false;
  bool stopping_ = false;
  std::optional<LeaseTable> appending_;
  std::vector<GatewayInstance> gateways_;
  std::vector<EligibleEndpoint> endpoints_;
  BootTime endpoints_changed_at_;
  std::map<std::string, AddressHolder> addresses_;
  BootTime next_plan_;
  BootTime next_publish_;
  BootTime next_renewer_update_;
  BootTime next_fence_raise_;
  std::map<RangeKey, Progress> progress_;
  struct Call {
    RangeLease lease;
    BootTime lease_end;  // for a grant: latest end of the lease it may start
    GrantConnection connection;
  };
  std::map<std::uint64_t, Call> calls_;
  std::map<std::uint64_t, RangeLease> openings_;
  std::uint64_t last_call_ = 0;
  // By endpoint: latest time at which a lease from a completed call may run.
  std::map<EndpointRef, BootTime> latest_lease_ends_;
  struct Failures {
    int count = 0;
    BootTime since;
    BootTime until;  // treated as unreachable until then
  };
  std::map<EndpointRef, Failures> failures_;
  // Holders at whose address another endpoint responded, since this gateway is
  // the leader. They get no grants.
  std::vector<LeaseHolder> ended_;
  bool many_unreachable_ = false;
  std::map<RouterId, Adoption> adoptions_;
  BootTime last_renewal_;
  std::uint64_t era_ = 0;
  BootTime era_known_at_;
  BootTime next_era_announcement_;
  // What other gateways said about the era; only those of era_ count.
  struct EraAcknowledgement {
    std::uint64_t incarnation = 0;
    std::uint64_t era = 0;
    BootTime last_renewal;  // latest possible time
  };
  std::map<RouterId, EraAcknowledgement> era_acknowledgements_;
  KeyLoad load_;
  std::vector<LeaseEvent> events_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_LEASE_KEEPER_H_
