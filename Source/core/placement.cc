#include "core/placement.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "core/rendezvous.h"

namespace balsamhall {
namespace {

// Lower values are preferred.
enum class Preference : std::uint8_t { kBest, kOtherRegion, kNear, kNearest };

struct Choice {
  const RouterPlace* place = nullptr;
  Preference preference = Preference::kBest;
};

// A work request crosses the way from primary to endpoint, so a primary in
// another region is the last resort: the link between regions is narrow.
Preference PrimaryPreference(const schema::EndpointConfig& endpoint,
                             const RouterPlace& place) {
  if (place.region != endpoint.region()) return Preference::kNearest;
  if (place.data_centre == endpoint.data_centre()) return Preference::kNear;
  return Preference::kBest;
}

// Sharing the primary's data centre is better than sharing the endpoint's: a
// joint loss of the routers is resolved by the log, that of endpoint and
// backup only by proof.
Preference BackupPreference(const schema::EndpointConfig& endpoint,
                            const std::string& primary_data_centre,
                            const RouterPlace& place) {
  if (place.data_centre == endpoint.data_centre()) return Preference::kNearest;
  if (place.data_centre == primary_data_centre) return Preference::kNear;
  if (place.region != endpoint.region()) return Preference::kOtherRegion;
  return Preference::kBest;
}

template <typename PreferenceOf>
Choice ChooseBest(const schema::EndpointConfig& endpoint,
                  const std::vector<RouterPlace>& routers,
                  const RouterId& excluded, PreferenceOf preference_of) {
  Choice best;
  std::uint64_t best_score = 0;
  for (const RouterPlace& place : routers) {
    if (place.router.id == excluded) continue;
    const Preference preference = preference_of(place);
    const std::uint64_t score =
        RendezvousScore(endpoint.name(), place.router.id);
    if (best.place == nullptr ||
        std::tie(preference, best_score, best.place->router) <
            std::tie(best.preference, score, place.router)) {
      best = {&place, preference};
      best_score = score;
    }
  }
  return best;
}

Choice ChooseBackupPlace(const schema::EndpointConfig& endpoint,
                         const RouterRef& primary,
                         const std::vector<RouterPlace>& routers) {
  const auto place = std::ranges::find(
      routers, primary.id,
      [](const RouterPlace& candidate) { return candidate.router.id; });
  const std::string data_centre =
      place == routers.end() ? std::string() : place->data_centre;
  return ChooseBest(endpoint, routers, primary.id,
                    [&](const RouterPlace& candidate) {
                      return BackupPreference(endpoint, data_centre, candidate);
                    });
}

}  // namespace

Parties ChooseParties(const schema::EndpointConfig& endpoint,
                      const std::vector<RouterPlace>& routers) {
  Parties parties;
  const Choice primary =
      ChooseBest(endpoint, routers, RouterId(), [&](const RouterPlace& place) {
        return PrimaryPreference(endpoint, place);
      });
  if (primary.place == nullptr) {
    parties.degraded = true;
    return parties;
  }
  parties.primary = primary.place->router;
  const Choice backup =
      ChooseBackupPlace(endpoint, primary.place->router, routers);
  if (backup.place != nullptr) parties.backup = backup.place->router;
  parties.degraded = primary.preference != Preference::kBest ||
                     backup.place == nullptr ||
                     backup.preference >= Preference::kNear;
  return parties;
}

std::optional<RouterRef> ChooseBackup(const schema::EndpointConfig& endpoint,
                                      const RouterRef& primary,
                                      const std::vector<RouterPlace>& routers) {
  const Choice backup = ChooseBackupPlace(endpoint, primary, routers);
  if (backup.place == nullptr) return std::nullopt;
  return backup.place->router;
}

}  // namespace balsamhall
