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

// Guards against a running process that counts as gone: the VM list lags and
// drops the VM only after the next process of the VM has joined.
BOOST_AUTO_TEST_CASE(LateDropDoesNotAffectALaterIncarnation) {
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

// Guards against a process that never counts as gone although the list dropped
// its VM.
BOOST_AUTO_TEST_CASE(ProcessIsGoneWhenItsListedVmIsDropped) {
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
  std::uint64_t incarnation;  // expected afterwards; the first join was at 10
};

std::ostream& operator<<(std::ostream& out, const SecondJoinCase& test) {
  return out << test.name;
}

const SecondJoinCase kSecondJoins[] = {
    {"a later process", 10, 2, 28},
    {"a late append of an earlier process", 3, 3, 10},
    {"a late append of a process that knew no earlier one", 0, 4, 10},
    {"the same process again", 3, 1, 10},
};

// Guards against a delayed append of a dead process that is taken for the join
// of a later process: the running process would count as gone, and its
// endpoints would be reset.
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
