// End-to-end tests of a store that comes back from an older copy of itself.
#include <boost/test/unit_test.hpp>
#include <string>

#include "UsersPlatform/gateway_fixture.h"

namespace balsamhall::platform {
namespace {

// The users' limit for a configuration to be in force.
constexpr Milliseconds kBound{2'500};
// Leases of the earlier era end 4.6 s after the last renewal; the rest is for
// the election and the first grant.
constexpr Milliseconds kLeaseBound{9'000};

struct RestoreFixture : GatewayFixture {
  RestoreFixture() {
    store.set_era(4);
    // The gateway learns that there are eras now.
    BOOST_REQUIRE(RunUntil([this] { return Metric("store_era 4"); }));
    BOOST_REQUIRE(RunUntil([this] { return KeyedWorks(); }, kLeaseBound));
  }

  bool Metric(const std::string& line) {
    HttpClient client(loop, metrics_address, HttpClientOptions{});
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      client.Send({"GET", "/metrics", {}, "", 0}, Milliseconds(500), done);
    });
    return outcome.response &&
           outcome.response->body.find(line) != std::string::npos;
  }
  bool KeyedWorks() {
    const std::string id = "k" + std::to_string(++requests_);
    return Send(Request("/keyed/x", id)).status == 200;
  }

 private:
  int requests_ = 0;
};

// Guards against a configuration or a drain that the restored copy undoes, and
// against records in the place of lost ones that are not read.
BOOST_FIXTURE_TEST_CASE(a_restore_undoes_no_configuration_and_no_drain,
                        RestoreFixture) {
  store.TakeCopy();
  PublishNewRoute();
  Drain(plain1);
  RunFor(loop, kBound);
  BOOST_REQUIRE(Send(Request("/new/x", "id-1")).status == 200U);
  const int runs = plain1.total_runs();
  store.RestoreCopy();
  BOOST_REQUIRE(RunUntil([this] { return Metric("store_era 5"); }));
  RunFor(loop, kBound);
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(Send(Request("/new/x", "d" + std::to_string(i))).status == 200U);
  }
  BOOST_TEST(plain1.total_runs() == runs);
  // At the offset of a lost record.
  json config = Config("0000000b");
  config["routes"]["later"] = Route("/later/", "safe", "plain");
  store.Put("keyed.op", "config", config.dump());
  RunFor(loop, kBound);
  BOOST_TEST(Send(Request("/later/x", "id-2")).status == 200U);
}

// Guards against keys that stay without a holder, and a list of gateways that
// lacks this one, once the records of gateways are lost.
BOOST_FIXTURE_TEST_CASE(keys_are_served_again_after_their_table_is_lost,
                        RestoreFixture) {
  store.TakeCopy();
  // An older copy, without the records of this gateway.
  store.DropFromCopy("keyed.balsamhall-leases");
  store.DropFromCopy("keyed.balsamhall-routers");
  store.RestoreCopy();
  BOOST_REQUIRE(RunUntil([this] { return Metric("store_era 5"); }));
  BOOST_TEST(RunUntil(
      [this] {
        return store.size("keyed.balsamhall-leases") >= 2 &&
               store.size("keyed.balsamhall-routers") >= 1;
      },
      kLeaseBound));
  BOOST_TEST(RunUntil([this] { return KeyedWorks(); }, kLeaseBound));
}

}  // namespace
}  // namespace balsamhall::platform
