#include "core/rendezvous.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

std::vector<std::string> Nodes(int count) {
  std::vector<std::string> nodes;
  nodes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) nodes.push_back("vm-" + std::to_string(i));
  return nodes;
}

// Guards against a changed hash: during an upgrade, routers of two versions
// would choose different primaries and backups.
BOOST_AUTO_TEST_CASE(ScoreIsStable) {
  BOOST_CHECK_EQUAL(RendezvousScore("lookup/0", "a"), 0xace1f19f5b8b773dULL);
}

// Guards against an order that depends on how the caller lists the nodes.
BOOST_AUTO_TEST_CASE(OrderIsIndependentOfTheInputOrder) {
  std::vector<std::string> nodes = Nodes(9);
  const auto expected = RendezvousOrder("key", nodes);
  std::ranges::reverse(nodes);
  BOOST_TEST(RendezvousOrder("key", nodes) == expected,
             boost::test_tools::per_element());
}

// Guards against an uneven distribution, and against moves of keys whose first
// node is still present.
BOOST_DATA_TEST_CASE(LossOfANodeMovesOnlyItsKeys, data::make({2, 9, 40}),
                     count) {
  std::map<std::string, int> share;
  const std::vector<std::string> all = Nodes(count);
  const std::vector<std::string> fewer(all.begin() + 1, all.end());
  const int keys = 200 * count;
  for (int i = 0; i < keys; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const auto before = RendezvousOrder(key, all);
    ++share[before.front()];
    const auto after = RendezvousOrder(key, fewer);
    const std::string& expected =
        before[0] == all.front() ? before[1] : before[0];
    BOOST_REQUIRE_EQUAL(after.front(), expected);
  }
  for (const auto& [node, owned] : share) {
    BOOST_TEST_CONTEXT(node) {
      BOOST_CHECK_GT(owned, 130);
      BOOST_CHECK_LT(owned, 270);
    }
  }
}

BOOST_AUTO_TEST_CASE(NoNodesGiveAnEmptyOrder) {
  BOOST_CHECK(RendezvousOrder("key", {}).empty());
}

}  // namespace
}  // namespace balsamhall
