// Chooses the routers that are party to the view of an endpoint.
#ifndef BALSAMHALL_CORE_PLACEMENT_H_
#define BALSAMHALL_CORE_PLACEMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// A live router and where it runs.
struct RouterLocation {
  RouterRef router;
  std::string data_centre;
  std::string region;
};

struct RolePlacement {
  std::optional<RouterRef> primary;
  std::optional<RouterRef> backup;
  // True if the loss of one data centre could remove two of the three parties,
  // if a party is missing, or if the primary is in another region.
  bool degraded = false;
};

// Chooses primary and backup among the routers. The primary is in the
// endpoint's region and another data centre, else in the endpoint's data
// centre, else in another region. The backup follows ChooseBackup. Independent
// of the order of routers. Thread-safe.
RolePlacement ChoosePrimaryAndBackup(
    const schema::EndpointConfig& endpoint,
    const std::vector<RouterLocation>& routers);

// Chooses a backup on another VM than the primary: in a third data centre of
// the endpoint's region, else in a third one of another region, else in the
// data centre of the primary, else in that of the endpoint. Returns nullopt if
// there is no router besides the primary. Thread-safe.
std::optional<RouterRef> ChooseBackup(
    const schema::EndpointConfig& endpoint, const RouterRef& primary,
    const std::vector<RouterLocation>& routers);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_PLACEMENT_H_
