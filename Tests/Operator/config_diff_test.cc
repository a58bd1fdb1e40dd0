#include "operator/config_diff.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Operator/fake_routers.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(ConfigDiff)

struct DiffCase {
  const char* name;
  void (*change)(schema::RoutingConfig&);
  const char* sentence;
};

std::ostream& operator<<(std::ostream& stream, const DiffCase& diff) {
  return stream << diff.name;
}

// Guards against a change that the operator is not told of.
const DiffCase kDiffs[] = {
    {"customer",
     [](schema::RoutingConfig& config) { config.set_customer("Other"); },
     "Configuration changes customer from Test to Other."},
    {"service added",
     [](schema::RoutingConfig& config) {
       *config.add_services() = config.services(0);
       config.mutable_services(1)->set_name("new");
     },
     "Service new (2 endpoints, 64 partitions) is added."},
    {"keyed",
     [](schema::RoutingConfig& config) {
       config.mutable_services(0)->set_keyed(false);
     },
     "Service lookup changes divided by key from yes to no."},
    {"endpoint removed",
     [](schema::RoutingConfig& config) {
       config.mutable_services(0)->mutable_endpoints()->RemoveLast();
     },
     "Endpoint lookup-2 of lookup (127.0.0.1:7002, d1, 2 slots) is removed."},
    {"slots",
     [](schema::RoutingConfig& config) {
       config.mutable_services(0)->mutable_endpoints(1)->set_slots(5);
     },
     "Endpoint lookup-2 of lookup changes slots from 2 to 5."},
    {"rank",
     [](schema::RoutingConfig& config) {
       config.mutable_services(0)->mutable_kinds(0)->set_rank(
           schema::RANK_URGENT);
     },
     "Kind read of lookup changes rank from normal to urgent."},
    {"policy",
     [](schema::RoutingConfig& config) {
       config.mutable_policy()->set_floor_normal(0.2);
     },
     "Policy changes floor normal from 0.1 to 0.2."},
};

BOOST_DATA_TEST_CASE(EveryChangeHasASentence, data::make(kDiffs), diff) {
  const auto from = SmallConfig(2);
  auto to = from;
  diff.change(to);
  const auto lines = DescribeDifferences(from, to);
  BOOST_REQUIRE_EQUAL(lines.size(), 1U);
  BOOST_TEST(lines.front() == diff.sentence);
  BOOST_TEST(DescribeDifferences(to, to).empty());
}

// Guards against differences reported because of another order of rows.
BOOST_AUTO_TEST_CASE(OrderIsNoDifference) {
  const auto from = SmallConfig(3);
  auto to = from;
  to.mutable_services(0)->mutable_endpoints()->SwapElements(0, 2);
  BOOST_TEST(DescribeDifferences(from, to).empty());
  BOOST_TEST(EstimateMoves(from, to, {}).empty());
}

std::uint32_t Total(const ServiceMove& move,
                    std::uint32_t EndpointMove::*count) {
  std::uint32_t total = 0;
  for (const auto& endpoint : move.endpoints) total += endpoint.*count;
  return total;
}

// Guards against an estimate that loses partitions or moves more than needed:
// from n to m endpoints, the least is the share of the added or removed ones.
BOOST_DATA_TEST_CASE(EstimateMovesTheLeast,
                     data::make({1, 2, 4, 8}) * data::make({1, 2, 4, 8}),
                     before, after) {
  const auto moves = EstimateMoves(SmallConfig(before), SmallConfig(after), {});
  if (before == after) {
    BOOST_TEST(moves.empty());
    return;
  }
  BOOST_REQUIRE_EQUAL(moves.size(), 1U);
  const auto& move = moves.front();
  BOOST_TEST(Total(move, &EndpointMove::before) == 64U);
  BOOST_TEST(Total(move, &EndpointMove::after) == 64U);
  const int larger = std::max(before, after);
  const int smaller = std::min(before, after);
  BOOST_TEST(move.moved == static_cast<unsigned>(64 - 64 * smaller / larger));
}

// Guards against an estimate from an even distribution where the owners are
// known.
BOOST_AUTO_TEST_CASE(EstimateStartsFromTheOwners) {
  const auto moves =
      EstimateMoves(SmallConfig(3), SmallConfig(2),
                    {{"lookup-1", 30}, {"lookup-2", 24}, {"lookup-3", 10}});
  BOOST_REQUIRE_EQUAL(moves.size(), 1U);
  BOOST_TEST(moves.front().moved == 10U);
  const auto text = DescribeMoves(moves);
  BOOST_TEST(text.find("at least 10 of 64 partitions (15.6%) move") !=
                 std::string::npos,
             text);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
