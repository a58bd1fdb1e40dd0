// Choice of an endpoint for idempotent work that is not owned by partition.
#ifndef BALSAMHALL_DISPATCH_LOAD_BALANCER_H_
#define BALSAMHALL_DISPATCH_LOAD_BALANCER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "core/types.h"
#include "dispatch/ramp.h"

namespace balsamhall {

struct BalancerOptions {
  Milliseconds slow_start_time{10'000};
  // Failures in a row after which an endpoint is ejected.
  std::uint32_t eject_after = 5;
  Milliseconds base_ejection_time{5000};  // doubles with each ejection in a row
  Milliseconds max_ejection_time{60'000};
  Milliseconds report_lifetime{2000};
};

// What the routing state says about an endpoint.
struct BalancedEndpoint {
  EndpointId id;
  std::uint32_t slots = 1;
  bool accepting = false;  // false: draining, leaving or without an owner
  bool remote = false;     // in the other region
  bool cold = false;
  SteadyTime serving_since;
};

enum class BalancerOutcome {
  kResponded,  // the latency counts
  kRejected,   // shed or stale: neither a failure nor a latency
  kDraining,   // refused because the endpoint drains
  kFailed,     // time-out, lost connection or bad answer
};

// Two random choices, compared by requests in flight x latency. Requests in
// flight are what this router sent, which cannot lag or lie; the reported load
// changes the comparison by at most a factor of two. Not thread-safe.
class LoadBalancer {
 public:
  LoadBalancer(const BalancerOptions& options, std::uint64_t seed);

  // Replaces the list; the state of endpoints that stay is kept.
  void SetEndpoints(const std::vector<BalancedEndpoint>& endpoints,
                    SteadyTime now);

  // Takes a reported load: 0 idle, 1 all slots busy. Other values are clamped.
  void OnLoadReport(const EndpointId& id, double load, SteadyTime now);

  // Returns an endpoint in this region, else in the other one; nullopt if there
  // is none. avoid holds endpoints that this request has already tried.
  std::optional<EndpointId> Pick(const std::set<EndpointId>& already_tried,
                                 SteadyTime now);

  // Each sent request is followed by exactly one OnFinished.
  void OnSent(const EndpointId& id);
  void OnFinished(const EndpointId& id, BalancerOutcome outcome,
                  Microseconds latency, SteadyTime now);

  bool ejected(const EndpointId& id, SteadyTime now) const;
  std::size_t ejected_count(SteadyTime now) const;

 private:
  struct State {
    BalancedEndpoint config;
    SlowStart slow_start;
    bool reported_draining = false;
    std::uint32_t in_flight = 0;
    double latency = 0;  // microseconds; 0: not measured
    SteadyTime latency_measured_at;
    double reported_load = 0;
    SteadyTime reported_at;
    std::uint32_t failures = 0;   // in a row
    std::uint32_t ejections = 0;  // in a row
    SteadyTime ejected_until;
  };

  void Eject(State& state, SteadyTime now);
  double Score(const State& state, SteadyTime now) const;
  double Latency(const State& state, SteadyTime now) const;
  const State* PickAmong(const std::vector<const State*>& candidates,
                         SteadyTime now);

  BalancerOptions options_;
  std::mt19937_64 random_engine_;
  std::map<EndpointId, State> endpoints_;
  double mean_latency_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_LOAD_BALANCER_H_
