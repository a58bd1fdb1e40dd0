// Gateways that share endpoints, in simulated time, to replay load patterns
// against Scheduler and against simple policies.
#ifndef BALSAMHALL_TESTS_GATEWAY_LOAD_REPLAY_H_
#define BALSAMHALL_TESTS_GATEWAY_LOAD_REPLAY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

// What decides in the replay.
enum class Policy {
  kScheduler,
  // Two random endpoints, the one with fewer own requests in flight; nothing
  // waits and nothing is rejected.
  kPowerOfTwoChoices,
};

struct WorkKind {
  std::string name;
  int rank = 1;
  bool idempotent = true;
  double requests_per_second = 0;  // of the whole fleet
  double service_ms = 0;
  Milliseconds target{0};
  Milliseconds deadline{0};
  std::size_t bytes = 2'000;
  // Flood: the rate is multiplied between these times.
  double flood_factor = 1;
  Milliseconds flood_from{0};
  Milliseconds flood_to{0};
};

// Some endpoints take this multiple of the time between these times.
struct Slowdown {
  std::size_t endpoints = 0;
  double factor = 1;
  Milliseconds from{0};
  Milliseconds to{0};
};

struct LoadPattern {
  std::string name;
  std::vector<WorkKind> kinds;
  std::size_t data_centres = 3;
  std::size_t gateways_per_centre = 3;
  std::size_t endpoints_per_centre = 3;
  unsigned slots = 2;
  unsigned endpoint_queue = 8;
  Slowdown slowdown;
  // Share of the callers in the first data centre.
  double first_centre_share = 0;  // 0: all alike
  Milliseconds duration{20'000};
};

struct KindResult {
  int requests = 0;
  int in_target = 0;
  int late = 0;
  int rejected = 0;
  int unanswered = 0;                 // no answer before the deadline
  int served_remotely = 0;            // served in another data centre
  double total_rejected_wait_ms = 0;  // sum of what rejected callers waited

  double ShareInTarget() const {
    return requests == 0 ? 1 : static_cast<double>(in_target) / requests;
  }
  double ShareServed() const {
    return requests == 0 ? 1 : static_cast<double>(in_target + late) / requests;
  }
  // Value with a late answer at 0.3. A caller that was held until its deadline
  // for nothing is worse off than one that was rejected at once.
  double MeanValue() const {
    return requests == 0 ? 1 : (in_target + 0.3 * late - unanswered) / requests;
  }
};

struct ReplayResult {
  std::map<std::string, KindResult> kinds;
  int longest_endpoint_queue = 0;
  int queue_overflows = 0;  // requests that found an endpoint's queue full
};

ReplayResult Replay(const LoadPattern& pattern, Policy policy,
                    std::uint32_t seed);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_TESTS_GATEWAY_LOAD_REPLAY_H_
