// How requests to one service wait, are turned away and are placed.
#ifndef BALSAMHALL_GATEWAY_SCHEDULER_H_
#define BALSAMHALL_GATEWAY_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "gateway/endpoint_load.h"
#include "gateway/fleet_view.h"
#include "gateway/lease_table.h"

namespace balsamhall::gateway {

struct Job {
  std::uint64_t id = 0;
  std::string kind;  // requests of one kind take a similar time
  int rank = 0;
  bool idempotent = false;
  SteadyTime arrival;
  Milliseconds target_latency{0};  // counted from the caller's first attempt
  SteadyTime target;    // an answer after it is late; may lie in the past
  SteadyTime deadline;  // an answer after it is of no use
  SteadyTime not_before;
  std::optional<ShardKey> key;
  std::size_t bytes = 0;  // of the request
  std::vector<EndpointRef> tried;
  bool waits = false;  // was let in before
};

enum class RejectReason {
  kNoEndpoint,       // none is registered, or none is left to try
  kNoLease,          // nobody holds the key for now
  kEndpointFailing,  // the key's endpoint does not answer
  kOverload,         // the wait would outlast what the request can bear
  kTooLate,          // no endpoint can answer in the time left
};

std::string_view RejectReasonName(RejectReason reason);

struct Placement {
  std::uint64_t job = 0;
  EndpointInfo endpoint;
  // What decided, for the log.
  double outstanding = 0;
  Milliseconds expected{0};
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

// Load patterns, and what answers them:
// - One kind floods: the queue is ordered by rank, then by target, and a place
//   in an endpoint's own queue is left to more urgent work. Where much of the
//   work is urgent, one endpoint in three keeps a slot free for it: long work
//   of lower ranks is not interrupted.
// - Lasting overload: a queue that outlasts the target makes all answers late.
//   A request whose expected answer misses its target is turned away when it
//   arrives, with a time to come back that is taken from the excess. One that
//   was let in is kept as long as it can meet its deadline.
// - Callers that come back: they are late already, so they take what room is
//   left after those who can be served in time.
// - Load in one data centre: each way has a price by its bytes, and a request
//   goes to another data centre only if that gains more than the price.
// - Slow, failing or silent endpoints: see EndpointLoad. At most half of the
//   endpoints are excluded at a time.
//
// All times are of one monotonic clock. Not thread-safe.
class Scheduler {
 public:
  Scheduler(const GatewaySettings& settings, std::uint32_t seed)
      : settings_(settings), random_(seed) {}

  // Replaces the endpoints that may get requests.
  void SetEndpoints(const std::vector<EndpointInfo>& endpoints, SteadyTime now);

  // Makes the service one that is divided by key. The table must outlive the
  // scheduler or the next call; nullptr: nobody holds any key yet.
  void SetLeases(const LeaseTable* leases, SteadyTime now);

  // Places, queues or rejects a new or repeated job. The result also holds
  // decisions on jobs that waited.
  Decisions Submit(Job job, SteadyTime now);
  // Decides again on the jobs that wait.
  Decisions Advance(SteadyTime now);
  // Drops a waiting job. No effect if it does not wait.
  void Remove(std::uint64_t job);

  // Ends of placements. Each placement needs exactly one.
  void OnAnswer(std::uint64_t job, const EndpointRef& endpoint,
                const std::string& kind, Milliseconds elapsed,
                std::size_t bytes, std::optional<ReportedLoad> load,
                SteadyTime now);
  void OnShed(std::uint64_t job, const EndpointRef& endpoint,
              std::optional<ReportedLoad> load, SteadyTime now);
  void OnFailure(std::uint64_t job, const EndpointRef& endpoint,
                 EndpointFailure failure, SteadyTime now);
  void OnCancelled(std::uint64_t job, const EndpointRef& endpoint);

  // Returns true if another endpoint than the given one could answer the job,
  // which is with that one, in time.
  bool HasAlternative(const Job& job, const EndpointRef& endpoint,
                      SteadyTime now);

  // Usual time of a kind on an endpoint of usual speed, without way and wait.
  Milliseconds ServiceTime(const std::string& kind) const;
  // Learned capacity of each endpoint: slots over slowness.
  std::map<EndpointRef, double> Capacities(SteadyTime now) const;
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t endpoints() const { return loads_.size(); }

 private:
  struct KindStats {
    double service_ms = 0;  // 0: not seen yet
    double answer_bytes = 0;
  };
  struct Option {
    EndpointLoad* endpoint = nullptr;
    double utility = 0;
    bool has_room = false;  // the job may be sent now
    double outstanding = 0;
    double expected_ms = 0;  // from now to the answer at the caller
  };
  struct Plan;

  Decisions Decide(SteadyTime now);
  void DecideJob(Job& job, Plan& plan);
  std::optional<RejectReason> KeyUnavailable(const Job& job, SteadyTime now,
                                             Milliseconds& wait) const;
  // room_only: the soonest among the endpoints that could take the job now.
  Option Best(const Job& job, Plan& plan, bool room_only = false);
  void Reserve(Plan& plan);
  Option Evaluate(const Job& job, EndpointLoad& endpoint, Plan& plan) const;
  bool MayUse(const Job& job, const EndpointLoad& endpoint,
              const Plan& plan) const;
  Milliseconds RetryAfter(const Job& job, Milliseconds wait, SteadyTime now);
  EndpointLoad* FindLoad(const EndpointRef& endpoint);

  const GatewaySettings& settings_;
  std::map<EndpointRef, std::unique_ptr<EndpointLoad>> loads_;
  // Endpoints that left while requests were with them.
  std::map<EndpointRef, std::unique_ptr<EndpointLoad>> leaving_;
  std::vector<Job> waiting_;
  std::unordered_map<std::string, KindStats> kinds_;
  std::minstd_rand random_;
  double urgent_share_ = 0;  // of the recent requests
  bool urgent_mode_ = false;
  double urgent_wait_ms_ = 0;  // what urgent work may wait
  bool divided_ = false;
  const LeaseTable* leases_ = nullptr;
  SteadyTime leases_since_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_SCHEDULER_H_
