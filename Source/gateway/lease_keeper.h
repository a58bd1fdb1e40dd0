// Decides who holds which keys of one service, and keeps the leases alive.
#ifndef BALSAMHALL_GATEWAY_LEASE_KEEPER_H_
#define BALSAMHALL_GATEWAY_LEASE_KEEPER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/types.h"
#include "gateway/boot_clock.h"
#include "gateway/endpoint_registry.h"
#include "gateway/lease_table.h"
#include "gateway/range_planner.h"

namespace balsamhall::gateway {

// Append the table if the log still ends at this offset.
struct AppendTable {
  LeaseTable table;
  std::optional<std::uint64_t> expected_end;
};
struct GrantCall {
  std::uint64_t id = 0;
  LeaseHolder to;
  KeyRange range;
  std::uint64_t fence = 0;
  Milliseconds lease_time{0};
  std::string handover;
};
struct ReleaseCall {
  std::uint64_t id = 0;
  LeaseHolder from;
  KeyRange range;
  std::uint64_t fence = 0;
};
// Make these routers adopt the table; tell the answers by OnAdopted.
struct PublishTable {
  LeaseTable table;
  std::vector<GatewayInstance> recipients;
};
// The view may be old: read the log again at once.
struct RereadLog {};

using LeaseAction =
    std::variant<AppendTable, GrantCall, ReleaseCall, PublishTable, RereadLog>;

enum class CallOutcome {
  kDone,
  kRefused,     // a higher fence was seen
  kNotSent,     // no byte left this router
  kUnanswered,  // may have been carried out, or may be later
};

enum class AppendOutcome { kDone, kConflict, kUnknown, kNotDone };

struct LeaseEvent {
  std::string name;
  std::string detail;
};

// One router, the mover, changes the table: each change is a record that is
// appended on the condition that the log has not changed, and is carried out
// only afterwards. The mover is chosen by group membership in the store, which
// is only a hint; the condition decides.
//
// A move releases the keys at the old holder with the new fence. If that stays
// unanswered, the mover waits until no lease that anybody could have sent can
// run any more. Others send renewals only
// - if they are renewers of the table and cannot reach the store, and
// - until kMaxViewAge after the read that confirmed their view,
// so the wait is that time for each renewer that did not adopt the new table,
// plus the lease and the time a call can be under way.
//
// No input or output: events in, actions out. Not thread-safe.
class LeaseKeeper {
 public:
  // Lease time, as sent to endpoints.
  static constexpr Milliseconds kLeaseTime{4'000};
  // A view confirmed by the store allows renewals for this long.
  static constexpr Milliseconds kMaxViewAge{16'000};
  // Grants are given up, and their connections reset, after this time.
  static constexpr Milliseconds kCallTimeout{400};
  // An endpoint answers a release when its running work on the keys has ended:
  // up to a second on the users' sheets.
  static constexpr Milliseconds kReleaseTimeout{1'200};

  // What keeps a key with one holder. Tests remove one at a time to show that
  // their checks notice.
  struct Guards {
    bool wait_for_old_leases = true;
    bool limit_view_age = true;
    bool conditional_append = true;
  };

  // started: when this process began.
  LeaseKeeper(ServiceId service, GatewayInstance self, BootTime started);
  LeaseKeeper(ServiceId service, GatewayInstance self, BootTime started,
              Guards guards);

  // Takes a table if it is newer. Tables come from the store or from a mover.
  void OnTable(LeaseTable table, BootTime now);
  // The log ended at this offset, and all records before it were applied.
  // as_of: when the read was sent.
  void OnLogEnd(std::uint64_t end, BootTime as_of);
  // Whether this router reaches the store.
  void OnStoreReachability(bool reachable, BootTime now);
  // Whether group membership names this router as mover.
  void OnElection(bool elected) { elected_ = elected; }
  // The process is about to stop: no new moves.
  void Stop() { stopping_ = true; }
  void OnGateways(std::vector<GatewayInstance> gateways);
  // The endpoints that may hold keys.
  void OnEndpoints(std::vector<EligibleEndpoint> endpoints, BootTime now);
  // Which endpoint, of any service, answers at each address.
  void OnAddresses(std::map<std::string, AddressHolder> holders) {
    addresses_ = std::move(holders);
  }
  void OnAppendResult(AppendOutcome outcome, BootTime now);
  void OnCallResult(std::uint64_t call, CallOutcome outcome,
                    std::string handover, BootTime now);
  // A router has adopted a table of at least this version. since_renewal: as
  // its SinceRenewal told.
  void OnAdopted(const GatewayInstance& gateway, std::uint64_t version,
                 Milliseconds since_renewal, BootTime now);

  std::vector<LeaseAction> Tick(BootTime now);

  // Time since this router last sent a grant, or since its process began if it
  // never did, for OnAdopted of the mover.
  Milliseconds SinceRenewal(BootTime now) const;

  const LeaseTable& table() const { return table_; }
  // Where the log ended at the last confirmation, and when that was.
  std::uint64_t log_end() const { return log_end_; }
  BootTime confirmed_at() const { return confirmed_at_; }
  bool is_leader() const;
  KeyLoad& load() { return load_; }
  // Returns and clears what happened since the last call.
  std::vector<LeaseEvent> TakeEvents();

 private:
  // Progress of one range under one fence.
  struct Progress {
    std::uint64_t call = 0;  // outstanding; 0: none
    bool releasing = false;  // what the call is
    BootTime next_call;
    bool released = false;
    bool release_failed = false;  // a release stayed without an answer
    bool granted = false;         // now known to the endpoint under this fence
    bool refused = false;         // a higher fence was seen
    std::string handover;
  };
  struct Adoption {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    BootTime last_renewal;  // latest possible
  };
  using RangeKey = std::pair<std::uint64_t, ShardKey>;  // fence, first key

  Progress& ProgressOf(const RangeLease& lease);
  bool MayRenew(BootTime now) const;
  void RenewLeases(BootTime now, Milliseconds interval,
                   std::vector<LeaseAction>& actions);
  void MoveRanges(BootTime now, std::vector<LeaseAction>& actions);
  void MoveRange(const RangeLease& lease, BootTime now,
                 std::vector<LeaseAction>& actions);
  void SendGrant(const RangeLease& lease, Progress& progress, BootTime now,
                 std::vector<LeaseAction>& actions);
  bool PreviousLeaseEnded(const RangeLease& lease, const Progress& progress,
                          BootTime now) const;
  bool IsSuperseded(const LeaseHolder& holder) const;
  bool HasEnded(const LeaseHolder& holder) const;
  BootTime PreviousLeaseEnd(const LeaseHolder& previous) const;
  BootTime OwnGrantsEnd(const EndpointRef& endpoint) const;
  void RecordFailure(const EndpointRef& endpoint, BootTime now);
  void RecordLeaseEnd(const EndpointRef& endpoint, BootTime end);
  std::vector<EligibleEndpoint> UsableEndpoints(BootTime now);
  void PublishIfNeeded(BootTime now, std::vector<LeaseAction>& actions);
  bool Append(LeaseTable next, BootTime now, std::vector<LeaseAction>& actions);
  bool TakeOver(BootTime now, std::vector<LeaseAction>& actions);
  bool AddMissingRenewers(BootTime now, std::vector<LeaseAction>& actions);
  bool ConfirmGrants(BootTime now, std::vector<LeaseAction>& actions);
  bool PlanChanges(BootTime now, std::vector<LeaseAction>& actions);
  void AddRenewers(LeaseTable& table) const;
  void AddEvent(std::string name, std::string detail);

  const ServiceId service_;
  const GatewayInstance self_;
  const BootTime started_;
  const Guards guards_;
  LeaseTable table_;
  BootTime table_adopted_at_;
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
  std::map<RangeKey, Progress> progress_;
  struct Call {
    RangeLease lease;
    BootTime lease_end;  // of a grant: latest end of the lease it may begin
  };
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t last_call_ = 0;
  // Latest time at which a lease of an ended call may run, by endpoint.
  std::map<EndpointRef, BootTime> latest_lease_ends_;
  struct Failures {
    int count = 0;
    BootTime since;
    BootTime until;  // not planned for until then
  };
  std::map<EndpointRef, Failures> failures_;
  bool many_unreachable_ = false;
  std::map<RouterId, Adoption> adoptions_;
  BootTime last_renewal_;
  KeyLoad load_;
  std::vector<LeaseEvent> events_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_LEASE_KEEPER_H_
