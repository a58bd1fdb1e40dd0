#include "gateway/endpoint_notices.h"

#include <algorithm>
#include <functional>

namespace balsamhall::gateway {
namespace {

// A leaving endpoint gets no more requests for its keys this long before the
// end of the time in which it takes them: a request may wait in a queue or at a
// lost packet.
constexpr Milliseconds kDrainMargin{500};
// Bounds memory; endpoints of several rolling restarts of a large fleet.
constexpr std::size_t kMaxNotices = 10'000;

}  // namespace

EndpointNotices::Notice& EndpointNotices::NoticeOf(const EndpointRef& endpoint,
                                                   WallTime wall) {
  Notice& notice = notices_[endpoint.id];
  // A later process has given none of the earlier notices.
  if (endpoint.incarnation > notice.last_incarnation) notice = {};
  // The response may come from a later process than the registry has shown, but
  // not from one that starts after it.
  notice.last_incarnation =
      std::max({notice.last_incarnation, endpoint.incarnation,
                static_cast<std::int64_t>(wall.time_since_epoch().count())});
  return notice;
}

const EndpointNotices::Notice* EndpointNotices::Find(
    const EndpointRef& endpoint) const {
  const auto found = notices_.find(endpoint.id);
  if (found == notices_.end() ||
      endpoint.incarnation > found->second.last_incarnation) {
    return nullptr;
  }
  return &found->second;
}

bool EndpointNotices::OnLeaving(const EndpointRef& endpoint, SteadyTime now,
                                WallTime wall) {
  Notice& notice = NoticeOf(endpoint, wall);
  if (notice.leaving) return false;
  notice.leaving = true;
  notice.leaving_since = now;
  return true;
}

void EndpointNotices::OnPauseRequested(const EndpointRef& endpoint,
                                       Milliseconds pause, SteadyTime now,
                                       WallTime wall) {
  if (pause <= Milliseconds(0)) return;
  Notice& notice = NoticeOf(endpoint, wall);
  notice.paused_until =
      std::max(notice.paused_until, now + std::min(pause, kMaxPause));
}

bool EndpointNotices::Leaving(const EndpointRef& endpoint) const {
  const Notice* const notice = Find(endpoint);
  return notice != nullptr && notice->leaving;
}

bool EndpointNotices::ServesHeldKeys(const EndpointRef& endpoint,
                                     SteadyTime now) const {
  const Notice* const notice = Find(endpoint);
  return notice == nullptr || !notice->leaving ||
         now + kDrainMargin < notice->leaving_since + drain_;
}

Milliseconds EndpointNotices::PauseLeft(const EndpointRef& endpoint,
                                        SteadyTime now) const {
  const Notice* const notice = Find(endpoint);
  if (notice == nullptr || notice->paused_until <= now) return Milliseconds(0);
  return std::chrono::ceil<Milliseconds>(notice->paused_until - now);
}

void EndpointNotices::Clean(SteadyTime now) {
  std::erase_if(notices_, [now](const auto& entry) {
    const Notice& notice = entry.second;
    return !notice.leaving && notice.paused_until <= now;
  });
  while (notices_.size() > kMaxNotices) {
    notices_.erase(std::ranges::min_element(
        notices_, std::less{},
        [](const auto& entry) { return entry.second.leaving_since; }));
  }
}

}  // namespace balsamhall::gateway
