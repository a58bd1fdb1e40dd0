#include "core/assignment_planner.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <ranges>

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

schema::ServiceConfig Service(std::uint32_t partitions, int endpoints) {
  schema::ServiceConfig service;
  service.set_name("lookup");
  service.set_partitions(partitions);
  for (int i = 0; i < endpoints; ++i) {
    service.add_endpoints()->set_name("lookup-" + std::to_string(i));
  }
  return service;
}

// Guards against an initial assignment that overloads an endpoint (target:
// max / mean <= 1.15) or leaves a partition without an owner.
BOOST_DATA_TEST_CASE(InitialAssignmentIsBounded,
                     data::make({1U, 64U, 256U, 1024U}) *
                         data::make({1, 8, 9, 12}),
                     partitions, endpoints) {
  const auto owners = PlanInitialAssignment(Service(partitions, endpoints));
  BOOST_REQUIRE_EQUAL(owners.size(), partitions);
  std::vector<std::uint32_t> owned(static_cast<std::size_t>(endpoints));
  for (const std::uint32_t owner : owners) ++owned.at(owner);
  const auto count = static_cast<std::uint32_t>(endpoints);
  BOOST_CHECK_LE(std::ranges::max(owned), (partitions + count - 1) / count + 1);
}

// Guards against two routers that append different initial assignments for one
// configuration.
BOOST_AUTO_TEST_CASE(InitialAssignmentIsDeterministic) {
  BOOST_CHECK(PlanInitialAssignment(Service(256, 9)) ==
              PlanInitialAssignment(Service(256, 9)));
  BOOST_CHECK(PlanInitialAssignment(Service(256, 0)).empty());
}

struct TargetCase {
  const char* name;
  std::map<PartitionId, double> partition_load;
  std::vector<EndpointLoad> endpoints;
  std::map<PartitionId, EndpointId> expected;
};

std::ostream& operator<<(std::ostream& out, const TargetCase& test) {
  return out << test.name;
}

const std::vector<TargetCase> kTargetCases = {
    {"no endpoint", {{1, 1.0}}, {}, {}},
    {"no endpoint accepts", {{1, 1.0}}, {{"a", 0, 0, false}}, {}},
    {"no partition", {}, {{"a", 0, 0, true}}, {}},
    {"only accepting endpoints",
     {{1, 5.0}},
     {{"a", 0, 0, false}, {"b", 90, 9, true}},
     {{1, "b"}}},
    {"lowest load",
     {{1, 5.0}},
     {{"a", 9, 1, true}, {"b", 8, 7, true}},
     {{1, "b"}}},
    {"heaviest first",
     {{1, 1.0}, {2, 4.0}, {3, 3.0}},
     {{"a", 0, 0, true}, {"b", 0, 0, true}},
     {{2, "a"}, {3, "b"}, {1, "b"}}},
    {"count breaks a tie of loads",
     {{1, 1.0}},
     {{"a", 3, 4, true}, {"b", 3, 2, true}},
     {{1, "b"}}},
    {"partitions without load go by count",
     {{1, 0.0}, {2, 0.0}, {3, 0.0}},
     {{"a", 0, 2, true}, {"b", 9, 0, true}},
     {{1, "b"}, {2, "b"}, {3, "a"}}},
};

// Guards against an eviction that moves partitions to a heavily loaded or
// non-accepting endpoint, or all of them to one endpoint.
BOOST_DATA_TEST_CASE(TargetsBalanceTheLoad, data::make(kTargetCases), test) {
  const auto targets = ChooseTargets(test.partition_load, test.endpoints);
  BOOST_CHECK(targets == test.expected);
}

// Guards against the loss of an endpoint that leaves the remaining ones above
// the imbalance target.
BOOST_AUTO_TEST_CASE(LossOfAnEndpointStaysWithinTheImbalanceTarget) {
  std::map<PartitionId, double> partition_load;
  for (PartitionId i = 0; i < 85; ++i) partition_load[i] = 1.0 / (i + 1);
  std::vector<EndpointLoad> endpoints;
  endpoints.reserve(11);
  for (int i = 0; i < 11; ++i) {
    endpoints.push_back({"e" + std::to_string(i), 5.0 + 0.02 * i, 85, true});
  }
  double total = 0;
  std::map<EndpointId, double> load;
  for (const EndpointLoad& entry : endpoints) {
    load[entry.endpoint] = entry.load;
    total += entry.load;
  }
  for (const auto& [partition, target] :
       ChooseTargets(partition_load, endpoints)) {
    load[target] += partition_load[partition];
    total += partition_load[partition];
  }
  const double most = std::ranges::max(load | std::views::values);
  BOOST_CHECK_LE(most, 1.15 * total / 11);
}

}  // namespace
}  // namespace balsamhall
