// What endpoints say about themselves in their responses: that they are leaving
// and that they want no requests for a time.
#ifndef BALSAMHALL_GATEWAY_ENDPOINT_NOTICES_H_
#define BALSAMHALL_GATEWAY_ENDPOINT_NOTICES_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "core/types.h"
#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

using WallTime = std::chrono::sys_time<Milliseconds>;

// Load patterns: endpoints are replaced one after the other while the registry
// is out of date, and full endpoints ask their callers to stay away.
//
// A notice counts for the process that gave it, whatever the registry or
// another gateway says. Its address and id do not name that process: the next
// one may have both. So a notice counts for each incarnation of the id that
// started before the notice, and ends with the first one that started later.
// Incarnations are start times (see EndpointRef), which are compared with this
// VM's time of day: if that is ahead, a new process may be taken for the one
// before.
//
// Not thread-safe.
class EndpointNotices {
 public:
  // Longest time for which an endpoint can ask for no requests.
  static constexpr Milliseconds kMaxPause{std::chrono::minutes(10)};

  // drain: how long an endpoint that is leaving still takes requests.
  explicit EndpointNotices(Milliseconds drain) : drain_(drain) {}

  void set_drain(Milliseconds drain) { drain_ = drain; }

  // Records that a response of the endpoint says that it is leaving. Returns
  // true if that was not known.
  bool OnLeaving(const EndpointRef& endpoint, SteadyTime now, WallTime wall);

  // Records that the endpoint rejected a request and wants none for the time. A
  // shorter time does not end an earlier pause; one that is not positive is
  // ignored, and one above kMaxPause counts as kMaxPause.
  void OnPauseRequested(const EndpointRef& endpoint, Milliseconds pause,
                        SteadyTime now, WallTime wall);

  // Returns whether the endpoint has said that it is leaving. It gets no new
  // requests and no keys.
  bool Leaving(const EndpointRef& endpoint) const;

  // Returns whether the endpoint may still get requests for keys that it holds,
  // which no other endpoint can run until they have moved: always true unless
  // it is leaving.
  bool ServesHeldKeys(const EndpointRef& endpoint, SteadyTime now) const;

  // Returns the time for which the endpoint wants no requests; zero if it takes
  // them.
  Milliseconds PauseLeft(const EndpointRef& endpoint, SteadyTime now) const;

  // Removes pauses that are over. Leaving endpoints are kept, because the
  // registry may still list them; the oldest of very many are dropped.
  void Clean(SteadyTime now);

  std::size_t size() const { return notices_.size(); }

 private:
  struct Notice {
    // The latest incarnation for which the notice counts.
    std::int64_t last_incarnation = 0;
    bool leaving = false;
    SteadyTime leaving_since;
    SteadyTime paused_until;
  };

  Notice& NoticeOf(const EndpointRef& endpoint, WallTime wall);
  const Notice* Find(const EndpointRef& endpoint) const;

  Milliseconds drain_;
  std::map<EndpointId, Notice> notices_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_ENDPOINT_NOTICES_H_
