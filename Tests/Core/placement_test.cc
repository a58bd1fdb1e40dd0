#include "core/placement.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

// A router is named "<data centre>-<number>"; the first letter of the data
// centre is its region.
RouterLocation Location(const std::string& id) {
  const std::string data_centre = id.substr(0, id.find('-'));
  return {{id, 7}, data_centre, data_centre.substr(0, 1)};
}

std::vector<RouterLocation> Locations(const std::vector<std::string>& ids) {
  std::vector<RouterLocation> locations;
  std::ranges::transform(ids, std::back_inserter(locations), Location);
  return locations;
}

schema::EndpointConfig Endpoint(const std::string& name,
                                const std::string& data_centre) {
  schema::EndpointConfig endpoint;
  endpoint.set_name(name);
  endpoint.set_data_centre(data_centre);
  endpoint.set_region(data_centre.substr(0, 1));
  return endpoint;
}

std::string DataCentreOf(const std::optional<RouterRef>& router) {
  return router ? Location(router->id).data_centre : std::string("none");
}

struct PlacementCase {
  const char* name;
  std::vector<std::string> routers;
  const char* primary;  // data centre
  const char* backup;
  bool degraded;
};

std::ostream& operator<<(std::ostream& out, const PlacementCase& test) {
  return out << test.name;
}

// The endpoint is in data centre a1 of region a.
const std::vector<PlacementCase> kCases = {
    {"three data centres in the region",
     {"a1-1", "a2-1", "a3-1", "b1-1"},
     "a2",
     "a3",
     false},
    {"two data centres: backup in the other region",
     {"a1-1", "a2-1", "a2-2", "b1-1"},
     "a2",
     "b1",
     false},
    {"no other region: backup in the data centre of the primary",
     {"a1-1", "a2-1", "a2-2"},
     "a2",
     "a2",
     true},
    {"backup in the data centre of the endpoint",
     {"a1-1", "a2-1"},
     "a2",
     "a1",
     true},
    {"primary in the data centre of the endpoint",
     {"a1-1", "b1-1"},
     "a1",
     "b1",
     true},
    {"primary in the other region", {"b1-1", "b1-2"}, "b1", "b1", true},
    {"one router", {"a2-1"}, "a2", "none", true},
    {"no router", {}, "none", "none", true},
};

// Guards against two of endpoint, primary and backup in one data centre while a
// better router is live, and against a placement that is not reported as
// degraded.
BOOST_DATA_TEST_CASE(RolesFollowThePlacementRule, data::make(kCases), test) {
  const schema::EndpointConfig endpoint = Endpoint("endpoint-0", "a1");
  std::vector<RouterLocation> routers = Locations(test.routers);
  const RolePlacement placement = ChoosePrimaryAndBackup(endpoint, routers);
  BOOST_CHECK_EQUAL(DataCentreOf(placement.primary), test.primary);
  BOOST_CHECK_EQUAL(DataCentreOf(placement.backup), test.backup);
  BOOST_CHECK_EQUAL(placement.degraded, test.degraded);
  if (placement.primary) {
    BOOST_CHECK(ChooseBackup(endpoint, *placement.primary, routers) ==
                placement.backup);
  }
  std::ranges::reverse(routers);
  const RolePlacement reversed = ChoosePrimaryAndBackup(endpoint, routers);
  BOOST_CHECK(reversed.primary == placement.primary);
  BOOST_CHECK(reversed.backup == placement.backup);
}

// Guards against a backup that is a restarted process on the primary's VM.
BOOST_AUTO_TEST_CASE(BackupIsAnotherVmThanThePrimary) {
  const schema::EndpointConfig endpoint = Endpoint("endpoint-0", "a1");
  const RouterRef old_process{"a2-1", 3};
  BOOST_CHECK(!ChooseBackup(endpoint, old_process, Locations({"a2-1"})));
}

// Guards against roles that are concentrated on a few routers.
BOOST_AUTO_TEST_CASE(RolesSpreadOverTheRouters) {
  const auto routers =
      Locations({"a1-1", "a2-1", "a2-2", "b1-1", "b1-2", "b2-1", "b2-2"});
  std::map<RouterId, int> primaries;
  std::map<RouterId, int> backups;
  for (int i = 0; i < 400; ++i) {
    const RolePlacement placement = ChoosePrimaryAndBackup(
        Endpoint("endpoint-" + std::to_string(i), "a1"), routers);
    ++primaries[placement.primary->id];
    ++backups[placement.backup->id];
  }
  BOOST_CHECK_EQUAL(primaries.size(), 2U);
  BOOST_CHECK_EQUAL(backups.size(), 4U);
  for (const auto& [id, count] : primaries) BOOST_CHECK_GT(count, 150);
  for (const auto& [id, count] : backups) BOOST_CHECK_GT(count, 65);
}

}  // namespace
}  // namespace balsamhall
