#include "core/membership.h"

namespace balsamhall {

void Membership::OnHeartbeat(const schema::Heartbeat& heartbeat,
                             SteadyTime now) {
  const auto found = last_heartbeats_.find(heartbeat.sender().id());
  if (found != last_heartbeats_.end()) {
    const schema::Heartbeat& known = found->second.heartbeat;
    const std::uint64_t known_incarnation = known.sender().incarnation();
    const std::uint64_t incarnation = heartbeat.sender().incarnation();
    if (incarnation < known_incarnation) return;
    if (incarnation == known_incarnation &&
        heartbeat.sequence() <= known.sequence()) {
      return;
    }
  }
  last_heartbeats_[heartbeat.sender().id()] = LastHeartbeat{heartbeat, now};
}

Milliseconds Membership::TimeSinceHeartbeat(const RouterRef& router,
                                            SteadyTime now) const {
  const auto found = last_heartbeats_.find(router.id);
  if (found == last_heartbeats_.end() ||
      found->second.heartbeat.sender().incarnation() != router.incarnation) {
    return Milliseconds::max();
  }
  return std::chrono::duration_cast<Milliseconds>(now -
                                                  found->second.received_at);
}

const Membership::LastHeartbeat* Membership::Find(
    const RouterId& router) const {
  const auto found = last_heartbeats_.find(router);
  return found == last_heartbeats_.end() ? nullptr : &found->second;
}

}  // namespace balsamhall
