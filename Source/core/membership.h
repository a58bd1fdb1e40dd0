// Which other routers were heard lately.
#ifndef BALSAMHALL_CORE_MEMBERSHIP_H_
#define BALSAMHALL_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>

#include "core/types.h"

namespace balsamhall {

// Hearing nothing proves nothing: silence starts failover and eviction, which
// need a second party's consent. Not thread-safe.
class Membership {
 public:
  struct LastHeartbeat {
    schema::Heartbeat heartbeat;
    SteadyTime received_at;
  };

  // Ignores heartbeats that are older than the known one of the router.
  void OnHeartbeat(const schema::Heartbeat& heartbeat, SteadyTime now);

  // Time since the last heartbeat of exactly this process; the maximum if
  // there was none.
  Milliseconds TimeSinceHeartbeat(const RouterRef& router,
                                  SteadyTime now) const;

  // Null if nothing was heard of the router.
  const LastHeartbeat* Find(const RouterId& router) const;

  const std::map<RouterId, LastHeartbeat>& last_heartbeats() const {
    return last_heartbeats_;
  }

 private:
  std::map<RouterId, LastHeartbeat> last_heartbeats_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_MEMBERSHIP_H_
