// Tests of the pause between two reads of a log.
#include "gateway/store_follower.h"

#include <boost/test/unit_test.hpp>

#include "UsersPlatform/gateway_fixture.h"

namespace balsamhall::platform {
namespace {

// Calls to the store are priced, and a fleet of hundreds makes many: a gateway
// that follows another one reads the list of gateways less often.
BOOST_AUTO_TEST_CASE(a_longer_interval_holds_from_the_next_read_on) {
  boost::asio::io_context loop{1};
  UsersStore store(loop);
  const std::string address = store.Listen();
  StoreClient client(loop, address, Milliseconds(1'000));
  int pages = 0;
  gateway::StoreFollower follower(
      loop, client,
      {gateway::Log::kGateways, Milliseconds(0), Milliseconds(50)},
      [&](const gateway::LogPage&, gateway::BootTime) { ++pages; },
      [](const std::string&) {});
  follower.Resume();
  RunFor(loop, Milliseconds(1'000));
  BOOST_TEST(pages >= 5);
  follower.set_interval(Milliseconds(60'000));
  RunFor(loop, Milliseconds(200));  // the pause that has begun
  const int before = pages;
  RunFor(loop, Milliseconds(1'000));
  BOOST_TEST(pages == before);
  follower.ReadNow();
  RunFor(loop, Milliseconds(200));
  BOOST_TEST(pages == before + 1);
}

}  // namespace
}  // namespace balsamhall::platform
