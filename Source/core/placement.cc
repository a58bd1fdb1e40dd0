#include "core/placement.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "core/rendezvous.h"

namespace balsamhall {
namespace {

// Lower values are preferred. kOtherRegion applies only to the backup; a
// primary in another region is kLast. kNear: in the data centre of the endpoint
// (for a primary) or of the primary (for a backup).
enum class Preference : std::uint8_t { kBest, kOtherRegion, kNear, kLast };

struct Choice {
  const RouterLocation* location = nullptr;
  Preference preference = Preference::kBest;
};

// Work requests travel from the primary to the endpoint, and the link between
// regions is narrow, so a primary in another region is the last resort.
Preference PrimaryPreference(const schema::EndpointConfig& endpoint,
                             const RouterLocation& location) {
  if (location.region != endpoint.region()) return Preference::kLast;
  if (location.data_centre == endpoint.data_centre()) return Preference::kNear;
  return Preference::kBest;
}

// Sharing the primary's data centre is better than sharing the endpoint's:
// after a joint loss of both routers the log allows recovery, but after a joint
// loss of endpoint and backup recovery requires proof that they are gone.
Preference BackupPreference(const schema::EndpointConfig& endpoint,
                            const std::string& primary_data_centre,
                            const RouterLocation& location) {
  if (location.data_centre == endpoint.data_centre()) return Preference::kLast;
  if (location.data_centre == primary_data_centre) return Preference::kNear;
  if (location.region != endpoint.region()) return Preference::kOtherRegion;
  return Preference::kBest;
}

template <typename PreferenceOf>
Choice ChooseBest(const schema::EndpointConfig& endpoint,
                  const std::vector<RouterLocation>& routers,
                  const RouterId& excluded, PreferenceOf preference_of) {
  Choice best;
  std::uint64_t best_score = 0;
  for (const RouterLocation& location : routers) {
    if (location.router.id == excluded) continue;
    const Preference preference = preference_of(location);
    const std::uint64_t score =
        RendezvousScore(endpoint.name(), location.router.id);
    if (best.location == nullptr ||
        std::tie(preference, best_score, best.location->router) <
            std::tie(best.preference, score, location.router)) {
      best = {&location, preference};
      best_score = score;
    }
  }
  return best;
}

Choice ChooseBackupLocation(const schema::EndpointConfig& endpoint,
                            const RouterRef& primary,
                            const std::vector<RouterLocation>& routers) {
  const auto location = std::ranges::find(
      routers, primary.id,
      [](const RouterLocation& candidate) { return candidate.router.id; });
  const std::string data_centre =
      location == routers.end() ? std::string() : location->data_centre;
  return ChooseBest(endpoint, routers, primary.id,
                    [&](const RouterLocation& candidate) {
                      return BackupPreference(endpoint, data_centre, candidate);
                    });
}

}  // namespace

RolePlacement ChoosePrimaryAndBackup(
    const schema::EndpointConfig& endpoint,
    const std::vector<RouterLocation>& routers) {
  RolePlacement placement;
  const Choice primary = ChooseBest(
      endpoint, routers, RouterId(), [&](const RouterLocation& location) {
        return PrimaryPreference(endpoint, location);
      });
  if (primary.location == nullptr) {
    placement.degraded = true;
    return placement;
  }
  placement.primary = primary.location->router;
  const Choice backup =
      ChooseBackupLocation(endpoint, primary.location->router, routers);
  if (backup.location != nullptr) placement.backup = backup.location->router;
  placement.degraded = primary.preference != Preference::kBest ||
                       backup.location == nullptr ||
                       backup.preference >= Preference::kNear;
  return placement;
}

std::optional<RouterRef> ChooseBackup(
    const schema::EndpointConfig& endpoint, const RouterRef& primary,
    const std::vector<RouterLocation>& routers) {
  const Choice backup = ChooseBackupLocation(endpoint, primary, routers);
  if (backup.location == nullptr) return std::nullopt;
  return backup.location->router;
}

}  // namespace balsamhall
