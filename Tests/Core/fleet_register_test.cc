#include "core/fleet_register.h"

#include <boost/test/unit_test.hpp>

namespace balsamhall {
namespace {

schema::RouterJoined Join(const std::string& id) {
  schema::RouterJoined join;
  join.set_id(id);
  return join;
}

// Guards against a false proof of loss: the list still misses a VM whose new
// process has already joined, and a reader sees the drop of the old one late.
BOOST_AUTO_TEST_CASE(LateDropDoesNotProveTheLossOfALaterProcess) {
  FleetRegister fleet;
  fleet.OnRouterJoined(10, Join("r1"));
  fleet.OnVmList({{"r1", false, true}});
  fleet.OnRouterJoined(28, Join("r1"));
  fleet.OnVmList({});
  BOOST_CHECK(fleet.IsGone({"r1", 10}));
  BOOST_CHECK(!fleet.IsGone({"r1", 28}));
  fleet.OnVmList({{"r1", false, true}});
  BOOST_CHECK(!fleet.IsGone({"r1", 28}));
  fleet.OnVmList({});
  BOOST_CHECK(fleet.IsGone({"r1", 28}));
}

// Guards against a process that is never proved lost although the list dropped
// its VM.
BOOST_AUTO_TEST_CASE(DropAfterListingProvesTheLoss) {
  FleetRegister fleet;
  fleet.OnRouterJoined(10, Join("r1"));
  fleet.OnVmList({{"r1", false, true}});
  BOOST_CHECK(!fleet.IsGone({"r1", 10}));
  fleet.OnVmList({});
  BOOST_CHECK(fleet.IsGone({"r1", 10}));
}

}  // namespace
}  // namespace balsamhall
