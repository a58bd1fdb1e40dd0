// Limits the requests that a cold endpoint gets from all gateways together.
#ifndef BALSAMHALL_GATEWAY_COLD_START_H_
#define BALSAMHALL_GATEWAY_COLD_START_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/types.h"

namespace balsamhall::gateway {

// Returns how many requests all gateways with the same list of gateways may
// send to a cold endpoint in any one second, if it tolerates this many. Half of
// the bound, rounded down, so that two lists at once, or requests that were
// delayed on the way, stay within it; at least 1 for a bound of 1 or more.
unsigned ColdStartBudget(double bound);

// A gateway as the list has it.
struct GatewayPlace {
  RouterId id;
  std::string data_centre;

  auto operator<=>(const GatewayPlace&) const = default;
};

// The gateways that may send to a cold endpoint, each with the same number of
// requests a second: the first ones in an order by rendezvous hashing, those of
// the endpoint's own data centre before all others.
//
// A gateway uses only a list that it has read within kMaxListAge, and its share
// only once it has been among the designated ones for kSettleTime, which is
// longer: until then, others may still use lists without the change. Lists that
// grow therefore designate at most `budget` requests together, however many
// differ, as in a fleet that starts or is extended. See
// docs/design/cold-start.md for other changes.
//
// Not thread-safe.
class ColdStartGateways {
 public:
  static constexpr Milliseconds kMaxListAge{20'000};
  // Above kMaxListAge by more than clocks differ in rate.
  static constexpr Milliseconds kSettleTime{21'000};

  explicit ColdStartGateways(RouterId self) : self_(std::move(self)) {}

  // Sets the complete list as of a time at which the store had it. now: not
  // before as_of.
  void SetList(std::vector<GatewayPlace> gateways, SteadyTime as_of,
               SteadyTime now);

  // Returns how many requests this gateway may send to a cold endpoint in any
  // one second, if all gateways together may send `budget`; 0: it is not among
  // the designated ones, or does not know.
  unsigned Share(const EndpointId& endpoint, const std::string& data_centre,
                 unsigned budget, SteadyTime now) const;

 private:
  struct List {
    std::vector<GatewayPlace> gateways;  // sorted
    // When the next list replaced it; max() for the newest list.
    SteadyTime replaced_at = SteadyTime::max();
    // This gateway's position for an endpoint, computed on demand.
    struct Position {
      std::string data_centre;  // of the endpoint
      std::size_t value = 0;
    };
    mutable std::unordered_map<EndpointId, Position> positions;
  };
  // Returns the number of gateways before this one, or that of all if the list
  // does not contain it.
  std::size_t PositionIn(const List& list, const EndpointId& endpoint,
                         const std::string& data_centre) const;

  RouterId self_;
  std::vector<List> lists_;  // in the order of reading
  SteadyTime as_of_;         // of the newest one
};

// Time after the end of a warm-up over which gateways return to preferring the
// endpoint: without reports of its load, or with early low ones, all of them
// would take it for the best one.
inline constexpr Milliseconds kRampTime{5'000};

// Returns whether a job may prefer an endpoint that has been warm for this
// time, by hashing: one job in `endpoints` at first, all at the end of
// kRampTime, with a share that grows by the same factor in equal times.
bool InRampShare(const EndpointId& endpoint, std::uint64_t job,
                 std::size_t endpoints, SteadyTime::duration warm_for);

// Requests of this gateway to the endpoints of one service, and whether it may
// send another one to a cold endpoint. Without a limit, nothing is recorded.
//
// Load patterns and failures:
// - A data centre that returns cold: each endpoint has its own designated
//   gateways, so every gateway has some endpoints that it may use.
// - A request that is delayed on its way, or whose gateway paused: it counts
//   until it has an outcome, and for a second more if that is late.
// - An endpoint that restarts under its id: requests count by id.
//
// Not thread-safe.
class ColdStart {
 public:
  // Time for which a request counts. The part beyond a second covers the
  // differences in delay between requests of a gateway.
  static constexpr Milliseconds kWindow{1'100};

  // budget: see ColdStartBudget; 0: no limit. The gateways must outlive this
  // object or the next call; nullptr: no limit.
  void SetLimit(const ColdStartGateways* gateways, unsigned budget) {
    gateways_ = gateways;
    budget_ = budget;
    if (!limited()) sends_.clear();
  }
  bool limited() const { return gateways_ != nullptr && budget_ > 0; }

  // Returns how many requests this gateway may send to a cold endpoint in any
  // one second; 0 without a limit.
  unsigned Share(const EndpointId& endpoint, const std::string& data_centre,
                 SteadyTime now) const {
    return limited() ? gateways_->Share(endpoint, data_centre, budget_, now)
                     : 0;
  }

  // Returns how long a request to a cold endpoint has to wait if `ahead` other
  // ones wait before it; 0: it may be sent now. nullopt: this gateway may not
  // send to the endpoint.
  std::optional<Milliseconds> Wait(const EndpointId& endpoint,
                                   const std::string& data_centre,
                                   std::size_t ahead, SteadyTime now);

  // Records a request to any endpoint, cold or warm: it may turn out to have
  // been cold. Exactly one of the other two is called for each.
  void OnSent(const EndpointId& endpoint, std::uint64_t job, SteadyTime now);
  void OnOutcome(const EndpointId& endpoint, std::uint64_t job, SteadyTime now);
  void OnCancelled(const EndpointId& endpoint, std::uint64_t job);

 private:
  struct Send {
    std::uint64_t job = 0;
    SteadyTime counts_until;
    bool in_flight = true;
    bool cancelled = false;  // at a time that the next call determines
  };
  static void End(Send& send, SteadyTime now);
  static void RemoveExpired(std::vector<Send>& sends, SteadyTime now);

  const ColdStartGateways* gateways_ = nullptr;
  unsigned budget_ = 0;
  std::unordered_map<EndpointId, std::vector<Send>> sends_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_COLD_START_H_
