#include "core/partitioner.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

// Guards against a hash that leaves partitions without keys: a service would
// then use fewer endpoints than it has.
BOOST_DATA_TEST_CASE(EveryPartitionReceivesItsShare,
                     data::make({1U, 64U, 1024U}), partitions) {
  std::vector<int> count(partitions);
  const int keys = static_cast<int>(partitions) * 100;
  for (int i = 0; i < keys; ++i) {
    const PartitionId partition =
        PartitionOf("asset-" + std::to_string(i), partitions);
    BOOST_REQUIRE_LT(partition, partitions);
    ++count[partition];
  }
  const auto [low, high] = std::ranges::minmax(count);
  BOOST_CHECK_GT(low, 50);
  BOOST_CHECK_LT(high, 160);
}

// Guards against a changed hash function, which would move every key when a
// fleet is upgraded.
BOOST_AUTO_TEST_CASE(PartitionOfAKeyIsStable) {
  BOOST_CHECK_EQUAL(Digest(""), "ef46db3751d8e999");
  BOOST_CHECK_EQUAL(PartitionOf("", 1024), 0x199U);
}

}  // namespace
}  // namespace balsamhall
