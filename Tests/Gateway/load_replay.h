// Discrete-event simulation of gateways that share endpoints. Replays load
// patterns against Scheduler and against a simple policy.
#ifndef BALSAMHALL_TESTS_GATEWAY_LOAD_REPLAY_H_
#define BALSAMHALL_TESTS_GATEWAY_LOAD_REPLAY_H_

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

// Policy that selects endpoints in a replay.
enum class Policy {
  kScheduler,
  // The scheduler without what it does about old reports of endpoint load.
  kTrustOldReports,
  // The scheduler without what it does where endpoints report durations.
  kIgnoreDurations,
  // Of two random endpoints, the one with fewer of the gateway's own requests
  // in flight. Nothing is queued or rejected at the gateway.
  kPowerOfTwoChoices,
};

struct WorkKind {
  std::string name;
  int rank = 1;
  bool idempotent = true;
  double requests_per_second = 0;  // in the whole fleet
  double service_ms = 0;           // mean
  Milliseconds target{0};
  Milliseconds deadline{0};
  std::size_t bytes = 2'000;  // of a response
  // Flood: the request rate is multiplied between these times.
  double flood_factor = 1;
  Milliseconds flood_from{0};
  Milliseconds flood_to{0};
};

// The service times of the first endpoints are multiplied between these times.
struct Slowdown {
  std::size_t endpoints = 0;
  double factor = 1;
  Milliseconds from{0};
  Milliseconds to{0};
};

// The service times of a random share of the endpoints, chosen again in each
// period, are multiplied.
struct SlowMachines {
  double share = 0;
  double factor = 1;
  Milliseconds period{400};
};

// Every second endpoint rejects all requests between these times.
struct Rejecting {
  Milliseconds from{0};
  Milliseconds to{0};
};

struct LoadPattern {
  std::string name;
  std::vector<WorkKind> kinds;
  std::size_t data_centres = 3;
  std::size_t regions = 0;  // 0: each data centre is a region
  // Speeds of the endpoints of a data centre, in turn.
  std::vector<double> speeds{1};
  std::size_t gateways_per_centre = 3;
  std::size_t endpoints_per_centre = 3;
  // Of the first data centres, which have one more than the others.
  std::size_t additional_gateways = 0;
  std::size_t additional_endpoints = 0;
  unsigned slots = 2;
  unsigned endpoint_queue = 8;
  Slowdown slowdown;
  SlowMachines slow_machines;
  Rejecting rejecting;
  bool report_durations = false;
  // Endpoints respond to requests that find their queue full.
  bool reject_when_full = false;
  double region_link_mbps = 0;  // each way between regions; 0: not limited
  // Share of the requests that enter in the first data centre; the others are
  // spread over all gateways.
  double first_centre_share = 0;
  Milliseconds duration{20'000};

  friend std::ostream& operator<<(std::ostream& out,
                                  const LoadPattern& pattern) {
    return out << pattern.name;
  }
};

struct KindResult {
  int requests = 0;
  int in_target = 0;
  int late = 0;
  int rejected = 0;
  int unanswered = 0;                 // no response before the deadline
  int served_remotely = 0;            // in another data centre
  double total_rejected_wait_ms = 0;  // of rejected callers

  double ShareInTarget() const {
    return requests == 0 ? 1 : static_cast<double>(in_target) / requests;
  }
  double ShareServed() const {
    return requests == 0 ? 1 : static_cast<double>(in_target + late) / requests;
  }
  // Mean value of a request: 1 in time, 0.3 late, -1 unanswered. A caller that
  // waits in vain until its deadline is worse off than one that is rejected.
  double MeanValue() const {
    return requests == 0 ? 1 : (in_target + 0.3 * late - unanswered) / requests;
  }
};

struct ReplayResult {
  std::map<std::string, KindResult> kinds;
  // Requests that arrived at the busiest endpoint, divided by its share of
  // the fleet's capacity.
  double imbalance = 0;
  int longest_endpoint_queue = 0;
  int queue_overflows = 0;  // requests that found an endpoint's queue full
  int rejected_sends = 0;   // requests that an endpoint rejected
  // Share of the endpoints' time in which one had requests waiting while
  // another of them had a free slot.
  double full_beside_free = 0;
  std::size_t bytes_between_regions = 0;
};

// Simulates the pattern; the same seed gives the same result.
ReplayResult Replay(const LoadPattern& pattern, Policy policy,
                    std::uint32_t seed);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_TESTS_GATEWAY_LOAD_REPLAY_H_
