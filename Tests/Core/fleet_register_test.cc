#include "core/fleet_register.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace balsamhall {
namespace {

schema::RouterJoined Join(const std::string& id, std::uint64_t replaces = 0,
                          std::uint64_t nonce = 0) {
  schema::RouterJoined join;
  join.set_id(id);
  join.set_replaces(replaces);
  join.set_nonce(nonce);
  return join;
}

// Guards against a false proof of loss: the list still misses a VM whose new
// process has already joined, and a reader sees the drop of the old one late.
BOOST_AUTO_TEST_CASE(LateDropDoesNotProveTheLossOfALaterProcess) {
  FleetRegister fleet;
  fleet.OnRouterJoined(10, Join("r1"));
  fleet.OnVmList({{"r1", false, true}});
  fleet.OnRouterJoined(28, Join("r1", 10));
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

struct SecondJoinCase {
  const char* name;
  std::uint64_t replaces;
  std::uint64_t nonce;
  std::uint64_t incarnation;  // afterwards; the first join was at 10
};

std::ostream& operator<<(std::ostream& out, const SecondJoinCase& test) {
  return out << test.name;
}

const SecondJoinCase kSecondJoins[] = {
    {"a later process", 10, 2, 28},
    {"a late append of an earlier process", 3, 3, 10},
    {"a late append of a process that knew none", 0, 4, 10},
    {"the same process again", 3, 1, 10},
};

// Guards against a late append of a dead process that passes for a later one:
// the running process would be taken for gone and its endpoints reset.
BOOST_DATA_TEST_CASE(JoinNamesTheIncarnationThatItReplaces,
                     boost::unit_test::data::make(kSecondJoins), test) {
  FleetRegister fleet;
  fleet.OnRouterJoined(10, Join("r1", 3, 1));
  fleet.OnRouterJoined(28, Join("r1", test.replaces, test.nonce));
  BOOST_CHECK_EQUAL(fleet.routers().at("r1").incarnation, test.incarnation);
  BOOST_CHECK_EQUAL(fleet.IsGone({"r1", 10}), test.incarnation != 10);
}

}  // namespace
}  // namespace balsamhall
