// Chooses an endpoint for an idempotent request without a partition.
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
  // Consecutive failures after which an endpoint is ejected.
  std::uint32_t eject_after = 5;
  // Doubles with each consecutive ejection.
  Milliseconds base_ejection_time{5000};
  Milliseconds max_ejection_time{60'000};
  Milliseconds report_lifetime{2000};
};

// An endpoint as described by the routing snapshot.
struct BalancedEndpoint {
  EndpointId id;
  std::uint32_t slots = 1;
  bool accepting = false;  // false: draining, leaving or without an owner
  bool remote = false;     // in the other region
  bool cold = false;
  SteadyTime serving_since;
};

enum class BalancerOutcome {
  kResponded,  // the latency is recorded
  kRejected,   // shed or stale: neither a failure nor a latency sample
  kDraining,   // rejected because the endpoint is draining
  kFailed,     // timeout, lost connection or bad response
};

// Power of two choices: of two random endpoints, picks the one with the lower
// product of requests in flight and latency. The requests in flight are those
// that this router sent, so that they are never stale or wrong; the load that
// an endpoint reports changes the product by at most a factor of two. Endpoints
// that fail repeatedly are ejected for a time, at most a third of them at once.
// Not thread-safe.
class LoadBalancer {
 public:
  LoadBalancer(const BalancerOptions& options, std::uint64_t seed);

  // Replaces the list of endpoints. Keeps the state of endpoints that are in
  // both lists.
  void SetEndpoints(const std::vector<BalancedEndpoint>& endpoints,
                    SteadyTime now);

  // Records the load that an endpoint reports, from 0 (idle) to 1 (all slots
  // busy). Clamps other values and ignores NaN.
  void OnLoadReport(const EndpointId& id, double load, SteadyTime now);

  // Returns an endpoint in this region, else one in the other region, else
  // nullopt. Skips the endpoints that the request has already tried.
  std::optional<EndpointId> Pick(const std::set<EndpointId>& already_tried,
                                 SteadyTime now);

  // Call OnSent() when a request is sent, and OnFinished() exactly once when it
  // ends.
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
    std::uint32_t failures = 0;   // consecutive
    std::uint32_t ejections = 0;  // consecutive
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
