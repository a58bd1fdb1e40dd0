// Records and states that gateways read from the store and from each other,
// with odd values and with random changes.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <ostream>

#include "StandIn/mutation.h"
#include "gateway.pb.h"
#include "gateway/lease_keeper.h"
#include "gateway/lease_table.h"
#include "gateway/peer_state.h"
#include "gateway/rejected_records.h"

namespace balsamhall::gateway {
namespace {

namespace data = boost::unit_test::data;
using stand_in::Nested;

BOOST_AUTO_TEST_CASE(rejected_record_is_logged_once) {
  RejectedRecords rejected;
  BOOST_TEST(rejected.Add(Log::kEndpointRegistry, "a"));
  BOOST_TEST(!rejected.Add(Log::kEndpointRegistry, "a"));
  BOOST_TEST(rejected.Add(Log::kLeases, "a"));
  rejected.Remove(Log::kEndpointRegistry, "a");
  BOOST_TEST(rejected.Add(Log::kEndpointRegistry, "a"));
}

// Each text of an error was remembered without end.
BOOST_AUTO_TEST_CASE(rejected_records_are_bounded) {
  RejectedRecords rejected;
  std::size_t logged = 0;
  for (std::size_t i = 0; i < 2 * RejectedRecords::kMaxRecords; ++i) {
    if (rejected.Add(Log::kEndpointRegistry, std::to_string(i))) ++logged;
  }
  BOOST_TEST(logged == RejectedRecords::kMaxRecords);
  BOOST_TEST(rejected.size() == RejectedRecords::kMaxRecords);
}

}  // namespace
}  // namespace balsamhall::gateway
