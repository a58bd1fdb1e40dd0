// Last heartbeats of the other routers.
#ifndef BALSAMHALL_CORE_MEMBERSHIP_H_
#define BALSAMHALL_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>

#include "core/types.h"

namespace balsamhall {

// Unreliable failure detector: missing heartbeats do not prove that a router
// has failed. They start failover and eviction, which need the consent of a
// second party. Not thread-safe.
class Membership {
 public:
  struct LastHeartbeat {
    schema::Heartbeat heartbeat;
    SteadyTime received_at;
  };

  // Stores a heartbeat. Ignores it if it is not newer than the stored one of
  // the router, by incarnation and sequence.
  void OnHeartbeat(const schema::Heartbeat& heartbeat, SteadyTime now);

  // Returns the time since the last heartbeat of this incarnation; the maximum
  // if there was none or a later incarnation has sent one.
  Milliseconds TimeSinceHeartbeat(const RouterRef& router,
                                  SteadyTime now) const;

  // Returns null if no heartbeat of the router was received.
  const LastHeartbeat* Find(const RouterId& router) const;

  const std::map<RouterId, LastHeartbeat>& last_heartbeats() const {
    return last_heartbeats_;
  }

 private:
  std::map<RouterId, LastHeartbeat> last_heartbeats_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_MEMBERSHIP_H_
