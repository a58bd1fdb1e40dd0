// Chooses the primary and backup routers of endpoints.
#ifndef BALSAMHALL_CORE_PLACEMENT_H_
#define BALSAMHALL_CORE_PLACEMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// A live router and its location.
struct RouterLocation {
  RouterRef router;
  std::string data_centre;
  std::string region;
};

// The routers chosen for the roles of one endpoint.
struct RolePlacement {
  std::optional<RouterRef> primary;
  std::optional<RouterRef> backup;
  // True if the loss of one data centre could remove two of endpoint, primary
  // and backup, if a role is vacant, or if the primary is in another region.
  bool degraded = false;
};

// Chooses primary and backup among the routers. In order of preference, the
// primary is in another data centre of the endpoint's region, in the endpoint's
// data centre, or in another region. The backup is the one that ChooseBackup
// returns. The result doesn't depend on the order of routers. Thread-safe.
RolePlacement ChoosePrimaryAndBackup(
    const schema::EndpointConfig& endpoint,
    const std::vector<RouterLocation>& routers);

// Chooses a backup on another VM than the primary. In order of preference, it
// is in a third data centre of the endpoint's region, in a third data centre of
// another region, in the primary's data centre, or in the endpoint's. Returns
// nullopt if there is no router besides the primary. Thread-safe.
std::optional<RouterRef> ChooseBackup(
    const schema::EndpointConfig& endpoint, const RouterRef& primary,
    const std::vector<RouterLocation>& routers);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_PLACEMENT_H_
