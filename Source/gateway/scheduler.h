// Admission, queueing and endpoint selection for the requests to one service.
#ifndef BALSAMHALL_GATEWAY_SCHEDULER_H_
#define BALSAMHALL_GATEWAY_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/types.h"
#include "gateway/cold_start.h"
#include "gateway/endpoint_load.h"
#include "gateway/endpoint_notices.h"
#include "gateway/endpoint_speeds.h"
#include "gateway/fleet_view.h"
#include "gateway/lease_table.h"
#include "gateway/load_estimate.h"
#include "gateway/placement_limits.h"

namespace balsamhall::gateway {

// A request to be scheduled.
struct Job {
  std::uint64_t id = 0;
  std::string kind;  // requests of one kind have similar service times
  int rank = 0;      // 0 is the most urgent
  bool idempotent = false;
  SteadyTime arrival;
  Milliseconds target_latency{0};  // counted from the caller's first attempt
  SteadyTime target;      // a later response is late; may lie in the past
  SteadyTime deadline;    // a later response is useless
  SteadyTime not_before;  // earliest time to send the request
  std::optional<ShardKey> key;
  std::size_t request_bytes = 0;
  std::vector<EndpointRef> tried;  // endpoints to exclude
  // Regions whose endpoints may get the job; empty: all regions.
  std::vector<std::string> allowed_regions;
  bool admitted = false;  // has passed admission control
};

enum class RejectReason {
  kNoEndpoint,       // none is registered, or none is left to try
  kOutsideRegions,   // none in the regions that the request may reach
  kEvacuated,        // all in these regions are in evacuated data centres
  kNoLease,          // no endpoint currently holds a lease for the key
  kEndpointFailing,  // the endpoint that holds the key is ejected
  kEndpointsPaused,  // all that are left asked for no requests for a time
  kEndpointCold,     // more requests than a cold endpoint may get
  kOverload,         // latency budget exceeded, or the queue is full
  kTooLate,          // no endpoint can respond before the deadline
};

// Returns the name that logs use.
std::string_view RejectReasonName(RejectReason reason);

// The endpoint that a job is sent to.
struct Placement {
  std::uint64_t job = 0;
  EndpointInfo endpoint;
  // Inputs of the decision, for the log.
  double outstanding = 0;  // requests at the endpoint, of all gateways
  Milliseconds expected_latency{0};
};

struct Rejection {
  std::uint64_t job = 0;
  RejectReason reason = RejectReason::kOverload;
  Milliseconds retry_after{0};
  Milliseconds expected_wait{0};
};

struct Decisions {
  std::vector<Placement> placements;
  std::vector<Rejection> rejections;
};

// Inputs of the decisions, for metrics.
struct LoadInputs {
  bool durations_reported = false;
  double mean_duration = 1;  // relative to the usual one
  double rejected_share = 0;
  std::size_t rejecting_endpoints = 0;
};

// Load patterns and how the scheduler handles them:
// - Flood of one kind: the queue is ordered by rank, then by target, and the
//   last positions in an endpoint's own queue are left to more urgent work.
//   Where a large share of the requests is urgent, one endpoint in three
//   reserves a slot for urgent requests, because running work of lower ranks
//   is not preempted.
// - Sustained overload: once queueing takes longer than the target, every
//   response is late. A request that is expected to miss its target is
//   therefore rejected on arrival, with a Retry-After derived from the excess.
//   An admitted request is kept as long as it can meet its deadline.
// - Many gateways that see each endpoint less than once in several seconds:
//   what they know is old or nothing, so many endpoints look alike, and all
//   gateways would send their requests to the same one. The choice among equals
//   is random. See EndpointLoad for the estimate.
// - Retrying callers: they are already late, so they get the headroom that the
//   requests that can still meet their target leave.
// - Load concentrated in one data centre: a transfer between data centres has a
//   cost by its bytes, and a request leaves its data centre only if that gains
//   more than the transfer costs.
// - Machines that become several times slower for moments, and endpoints that
//   reject everything without running it: see load_estimate.h. Both take effect
//   where endpoints report a duration.
// - Large responses in overload: the link between regions is narrow, billed and
//   shared with urgent requests. Where endpoints report a duration, a free slot
//   in another region does not attract a request whose transfer reaches the cap
//   of the cost, as long as the own region has endpoints for it.
// - Endpoints that are leaving, or that asked for no requests for a time, get
//   none (EndpointNotices). If all endpoints asked, requests are rejected at
//   once with the time that is left, instead of being queued for them.
// - Slow, failing or unresponsive endpoints: see EndpointLoad. At most half of
//   the endpoints are ejected at a time: while more would be, ejections are
//   ignored. This does not apply to services that are sharded by key, nor to
//   endpoints known to be replaced.
//
// - Cold endpoints get no more requests than ColdStart allows. Others are
//   preferred meanwhile. A request for a key of a cold endpoint waits only if
//   this gateway can send it within its latency budget.
//
// All times are of one monotonic clock. Not thread-safe.
class Scheduler {
 public:
  // Parts of the policy that tests disable to replay the policy without them.
  struct Options {
    bool pool_loads = true;
    bool choose_equals_at_random = true;
    // What is done where endpoints report a duration.
    bool use_durations = true;
  };

  // The settings and the notices must outlive the scheduler. seed: for the
  // jitter of Retry-After and the choice among equal endpoints.
  Scheduler(const GatewaySettings& settings, const EndpointNotices& notices,
            std::uint32_t seed)
      : Scheduler(settings, notices, seed, Options{}) {}
  Scheduler(const GatewaySettings& settings, const EndpointNotices& notices,
            std::uint32_t seed, Options options)
      : settings_(settings),
        notices_(notices),
        options_(options),
        random_(seed) {}

  // Replaces the endpoints that may receive requests. Load estimates
  // are kept for endpoints that stay, or that return while requests are in
  // flight.
  void SetEndpoints(const std::vector<EndpointInfo>& endpoints, SteadyTime now);

  // Marks the service as sharded by key and sets its lease table. The table
  // must stay valid until the next call or for the scheduler's lifetime.
  // nullptr: no lease is known yet.
  void SetLeases(const LeaseTable* leases, SteadyTime now);

  // Replaces the evacuated data centres; see PlacementLimits::SetEvacuated.
  // Takes effect on waiting jobs at the next Advance.
  void SetEvacuated(std::map<std::string, SteadyTime> keys_until) {
    limits_.SetEvacuated(std::move(keys_until));
  }

  // Replaces the allowed regions of waiting jobs, by job.
  void SetAllowedRegions(
      const std::unordered_map<std::uint64_t, std::vector<std::string>>&
          regions);

  // Limits the requests to cold endpoints; see ColdStart::SetLimit. The
  // gateways must outlive the scheduler or the next call.
  void SetColdLimit(const ColdStartGateways* gateways, unsigned budget) {
    cold_start_.SetLimit(gateways, budget);
  }
  // Returns the endpoints that are cold and to which requests are limited.
  std::set<EndpointRef> ColdEndpoints(SteadyTime now) const;
  // Returns how many requests this gateway may send to the endpoint in any one
  // second while it is cold; 0 without a limit.
  unsigned ColdShare(const EndpointRef& endpoint, SteadyTime now) const;

  // Places, queues or rejects a new or retried job. The result also contains
  // decisions on waiting jobs.
  Decisions Submit(Job job, SteadyTime now);
  // Schedules the waiting jobs again.
  Decisions Advance(SteadyTime now);
  // Removes a job from the queue. No effect if it is not waiting.
  void Remove(std::uint64_t job);

  // Outcomes of placements: exactly one of these is called for each placement.
  void OnResponse(std::uint64_t job, const EndpointRef& endpoint,
                  const std::string& kind, Milliseconds elapsed,
                  std::size_t response_bytes, std::optional<ReportedLoad> load,
                  SteadyTime now);
  // lacks_lease: the endpoint would run requests for other keys. Returns true
  // if the endpoint counts from now on as rejecting everything.
  bool OnShed(std::uint64_t job, const EndpointRef& endpoint,
              std::optional<ReportedLoad> load, SteadyTime now,
              bool lacks_lease = false);
  void OnFailure(std::uint64_t job, const EndpointRef& endpoint,
                 EndpointFailure failure, SteadyTime now);
  void OnCancelled(std::uint64_t job, const EndpointRef& endpoint);

  // Returns true if an endpoint other than the given one, where the job is in
  // flight, has headroom and could respond well before the deadline. Always
  // false for a service that is sharded by key.
  bool HasAlternative(const Job& job, const EndpointRef& endpoint,
                      SteadyTime now);

  // Mean service time of a kind on an endpoint of typical speed, without
  // network and queueing time; 0 if not known.
  Milliseconds ServiceTime(const std::string& kind) const;
  // Returns and clears the observed speeds of endpoints since the last call.
  SpeedReport TakeSpeeds() { return std::exchange(speeds_, {}); }
  // Estimated capacity of each endpoint: slots divided by slowdown.
  std::map<EndpointRef, double> Capacities(SteadyTime now) const;
  // What the scheduler has concluded from durations and rejections.
  LoadInputs Inputs(SteadyTime now) const;
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t endpoints() const { return loads_.size(); }

 private:
  struct KindStats {
    double service_ms = 0;  // 0: no sample yet
    double response_bytes = 0;
  };
  // An endpoint as evaluated for a job.
  struct Candidate {
    EndpointLoad* endpoint = nullptr;
    double utility = 0;
    bool has_headroom = false;  // can take the job now
    // Large response from another region: worth its transfer only if there is
    // no endpoint in the own one.
    bool costly_transfer = false;
    double outstanding = 0;
    double expected_latency_ms = 0;  // from now to the response at the caller
  };
  struct Pass;

  Decisions ScheduleWaitingJobs(SteadyTime now);
  // Returns the reason if no endpoint may ever get the job, or if the key's
  // owner is in a region that it must not reach.
  std::optional<RejectReason> OutsideLimits(const Job& job) const;
  // Returns whether so many of the endpoints that the job may use are ejected
  // that ejections are ignored.
  bool IgnoresEjections(const Job& job, Pass& pass) const;
  void ScheduleJob(Job& job, Pass& pass);
  std::optional<RejectReason> KeyUnavailable(const Job& job, SteadyTime now,
                                             Milliseconds& wait) const;
  // Returns the candidate with the greatest utility or, if headroom_only, the
  // one with the least expected latency among those with headroom; equals are
  // chosen at random. The endpoint is nullptr if there is none.
  Candidate BestCandidate(const Job& job, Pass& pass,
                          bool headroom_only = false,
                          bool allow_costly_transfer = true);
  void UpdateUrgentMode();
  // Selects the endpoints that reserve a slot for urgent work, and those whose
  // loads are pooled.
  void GroupEndpoints();
  void PoolLoads(const std::string& data_centre, bool reserved,
                 std::span<EndpointLoad* const> endpoints);
  Candidate Evaluate(const Job& job, EndpointLoad& endpoint, Pass& pass) const;
  bool IsEligible(const Job& job, const EndpointLoad& endpoint,
                  Pass& pass) const;
  // Returns how long a request to the endpoint has to wait because it is cold,
  // if `ahead` others wait before it; nullopt: it may not be sent there.
  std::optional<Milliseconds> ColdWait(const EndpointLoad& endpoint, int ahead,
                                       SteadyTime now) const;
  // Returns true if the job prefers others to an endpoint that has just become
  // warm.
  bool RampsUp(const Job& job, const EndpointLoad& endpoint,
               SteadyTime now) const;
  // Rejects a job for which there is no candidate.
  Rejection RejectionWithoutCandidate(const Job& job, const Pass& pass);
  Milliseconds RetryAfter(const Job& job, Milliseconds wait, SteadyTime now);
  // Notes whether durations are reported, or removes one that is not used.
  void FilterDuration(std::optional<ReportedLoad>& load);
  EndpointLoad* FindLoad(const EndpointRef& endpoint);

  const GatewaySettings& settings_;
  const EndpointNotices& notices_;
  PlacementLimits limits_{settings_};
  const Options options_;
  mutable ColdStart cold_start_;  // forgets what has expired when asked
  // By data centre, and whether the endpoints reserve a slot for urgent work.
  std::map<std::pair<std::string, bool>, PooledLoad> pooled_loads_;
  std::map<EndpointRef, std::unique_ptr<EndpointLoad>> loads_;
  // Removed endpoints that still have requests in flight.
  std::map<EndpointRef, std::unique_ptr<EndpointLoad>> removed_loads_;
  std::vector<Job> waiting_;
  std::unordered_map<std::string, KindStats> kind_stats_;
  std::minstd_rand random_;
  SpeedReport speeds_;
  RejectionRate rejection_rate_;
  MeanDuration mean_duration_;
  // Endpoints report durations, so what depends on them is in force.
  bool durations_reported_ = false;
  double urgent_share_ = 0;  // of recent requests
  std::unordered_set<const EndpointLoad*> reserved_endpoints_;
  bool urgent_mode_ = false;       // slots are reserved for urgent work
  double max_urgent_wait_ms_ = 0;  // greatest wait allowed for urgent work
  bool sharded_ = false;
  const LeaseTable* leases_ = nullptr;
  SteadyTime leases_set_at_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_SCHEDULER_H_
