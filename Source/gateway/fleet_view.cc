#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

Distance GatewaySettings::DistanceTo(const std::string& other) const {
  if (other == data_centre) return Distance::kSameDataCentre;
  const auto own = region_of.find(data_centre);
  const auto theirs = region_of.find(other);
  const bool same = own != region_of.end() && theirs != region_of.end() &&
                    own->second == theirs->second;
  return same ? Distance::kSameRegion : Distance::kOtherRegion;
}

}  // namespace balsamhall::gateway
