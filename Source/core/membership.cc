#include "core/membership.h"

namespace balsamhall {

void Membership::OnHeartbeat(const schema::Heartbeat& heartbeat,
                             SteadyTime now) {
  const auto found = heard_.find(heartbeat.sender().id());
  if (found != heard_.end()) {
    const schema::Heartbeat& known = found->second.heartbeat;
    const std::uint64_t known_incarnation = known.sender().incarnation();
    const std::uint64_t incarnation = heartbeat.sender().incarnation();
    if (incarnation < known_incarnation) return;
    if (incarnation == known_incarnation &&
        heartbeat.sequence() <= known.sequence()) {
      return;
    }
  }
  heard_[heartbeat.sender().id()] = Heard{heartbeat, now};
}

Milliseconds Membership::SilenceOf(const RouterRef& router,
                                   SteadyTime now) const {
  const auto found = heard_.find(router.id);
  if (found == heard_.end() ||
      found->second.heartbeat.sender().incarnation() != router.incarnation) {
    return Milliseconds::max();
  }
  return std::chrono::duration_cast<Milliseconds>(now - found->second.at);
}

const Membership::Heard* Membership::Find(const RouterId& router) const {
  const auto found = heard_.find(router);
  return found == heard_.end() ? nullptr : &found->second;
}

}  // namespace balsamhall
