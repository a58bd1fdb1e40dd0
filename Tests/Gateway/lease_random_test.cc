// Random faults in a simulated fleet: each key has at most one holder at any
// time, changes hands with rising fences, and has a holder again after the
// faults.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <ostream>

#include "Gateway/lease_simulation.h"

namespace balsamhall::gateway {
namespace {

namespace data = boost::unit_test::data;

// Set BALSAMHALL_LEASE_SEEDS=FIRST:COUNT for a longer manual run.
std::pair<int, int> Seeds() {
  const char* const text = std::getenv("BALSAMHALL_LEASE_SEEDS");
  int first = 1;
  int count = 24;
  if (text != nullptr) std::sscanf(text, "%d:%d", &first, &count);
  return {first, first + count};
}

BOOST_DATA_TEST_CASE(one_holder_under_random_faults,
                     data::xrange(Seeds().first, Seeds().second), seed) {
  const auto result = RunLeaseSimulation(seed, {});
  BOOST_TEST(!result.fence_violation.has_value(),
             result.fence_violation.value_or(""));
  BOOST_TEST(!result.violation.has_value(), result.violation.value_or(""));
  BOOST_TEST(!result.unserved.has_value(), result.unserved.value_or(""));
  BOOST_TEST(result.moves > 0);
}

BOOST_DATA_TEST_CASE(no_process_takes_the_lease_of_its_predecessor,
                     data::xrange(Seeds().first, Seeds().second), seed) {
  const auto result = RunLeaseSimulation(seed, {}, {.hidden_restarts = true});
  BOOST_TEST(!result.fence_violation.has_value(),
             result.fence_violation.value_or(""));
  BOOST_TEST(!result.violation.has_value(), result.violation.value_or(""));
  BOOST_TEST(!result.unserved.has_value(), result.unserved.value_or(""));
  BOOST_TEST(result.moves > 0);
}

// Guards against a lease, a fence or a table of an earlier era of the store
// that counts in a later one.
BOOST_DATA_TEST_CASE(one_holder_when_the_store_comes_back_from_a_copy,
                     data::xrange(Seeds().first, Seeds().second), seed) {
  const auto result = RunLeaseSimulation(seed, {}, {.restores = true});
  BOOST_TEST(!result.fence_violation.has_value(),
             result.fence_violation.value_or(""));
  BOOST_TEST(!result.violation.has_value(), result.violation.value_or(""));
  BOOST_TEST(!result.unserved.has_value(), result.unserved.value_or(""));
  BOOST_TEST_MESSAGE("restores " << result.restores << " unserved steps "
                                 << result.unserved_steps);
}

struct GuardCase {
  const char* name;
  LeaseKeeper::Guards guards;
  SimulationOptions options = {};
};

std::ostream& operator<<(std::ostream& out, const GuardCase& guard) {
  return out << guard.name;
}

const GuardCase kGuards[] = {
    {"no wait for old leases", {.wait_for_old_leases = false}},
    {"append without condition", {.conditional_append = false}},
    {"no wait for leases of earlier eras",
     {.wait_for_earlier_eras = false},
     {.restores = true}},
    {"calls for tables of earlier eras",
     {.act_in_current_era_only = false},
     {.restores = true}},
};

BOOST_DATA_TEST_CASE(simulation_detects_a_removed_guard, data::make(kGuards),
                     guard) {
  int violations = 0;
  for (std::uint32_t seed = 1; seed <= 200 && violations == 0; ++seed) {
    if (RunLeaseSimulation(seed, guard.guards, guard.options).violation) {
      ++violations;
    }
  }
  BOOST_TEST(violations > 0);
}

struct PredecessorCase {
  const char* name;
  LeaseKeeper::Guards guards;
  SimulationOptions options;
};

std::ostream& operator<<(std::ostream& out, const PredecessorCase& c) {
  return out << c.name;
}

const PredecessorCase kPredecessorCases[] = {
    {"renewal on any connection",
     {.bind_lease_to_connection = false},
     {.hidden_restarts = true}},
    {"renewal on any connection, by calls that name no endpoint",
     {.bind_lease_to_connection = false},
     {.calls_name_endpoint = false, .hidden_restarts = true}},
};

BOOST_DATA_TEST_CASE(simulation_detects_leases_taken_from_a_predecessor,
                     data::make(kPredecessorCases), predecessor) {
  bool violation = false;
  for (std::uint32_t seed = 1; seed <= 200 && !violation; ++seed) {
    const auto result =
        RunLeaseSimulation(seed, predecessor.guards, predecessor.options);
    violation = result.fence_violation || result.violation;
  }
  BOOST_TEST(violation);
}

}  // namespace
}  // namespace balsamhall::gateway
