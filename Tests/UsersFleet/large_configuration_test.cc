// Configurations of thousands of routes on the way from the store to all
// gateways, whose links are narrow.
#include <boost/asio/post.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <ostream>
#include <string>
#include <thread>

#include "Soak/loopback_proxy.h"
#include "UsersFleet/fleet_fixture.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;
using soak::LinkFault;
using soak::LoopbackProxy;

constexpr const char* kConfigTopic = "keyed.op";
constexpr const char* kGatewaysTopic = "keyed.balsamhall-routers";
// An accepted configuration has to be in force everywhere within this time.
constexpr Milliseconds kConfigBound{2'500};
// Longer than the pause of a store's waiting read, so that each direct reader
// would have read.
constexpr Milliseconds kSettled{3'000};
// Two attempts to reach the next reader.
constexpr Milliseconds kTakeover{500};
constexpr int kManyRoutes = 4'300;
constexpr int kFollowers = 6;
// Longer than the watch on the loop takes to notice for certain.
constexpr Milliseconds kLongTurn{300};

// A configuration with the fixture's routes and as many others.
std::string LargeConfig(const std::string& version, int routes) {
  json config = Config(version);
  for (int i = 0; i < routes; ++i) {
    const std::string name = "added" + std::to_string(i * 7919 % 100'003);
    config["routes"][name] = Route("/" + name + "/", "safe", "plain");
  }
  return config.dump();
}

struct LargeConfigFixture : FleetFixture {
  // Whether the gateway knows a route that was added.
  bool Serves(Other& gateway, const std::string& route) {
    HttpClient caller(loop, gateway.settings.front_address,
                      HttpClientOptions{});
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      caller.Send(Request("/" + route + "/x", "r" + std::to_string(++last_)),
                  Milliseconds(1'000), done);
    });
    return outcome.response && outcome.response->status != 404U &&
           outcome.response->status != 503U;
  }

  int last_ = 0;
};

// Guards against followers that give up a configuration which takes longer than
// a call on their link, and then all read it from the store.
BOOST_FIXTURE_TEST_CASE(
    a_large_configuration_reaches_a_follower_on_a_narrow_link,
    LargeConfigFixture) {
  // The reader's data centre is another one, so that it does not follow itself.
  LoopbackProxy link(loop, peer_address);
  link.Set(LinkFault::kNarrow);
  store.Put(
      kGatewaysTopic, "gateway-0",
      gateway::SerializeGatewayInstance({"gateway-0", 1, link.address(), "b"}));
  Other follower(*this, "gateway-2", "b");
  BOOST_REQUIRE(follower.process.Start());
  BOOST_REQUIRE(RunUntil([&] { return Serves(follower, "read"); }));
  RunFor(loop, kSettled);
  const std::size_t before = store.deliveries(kConfigTopic);
  store.Put(kConfigTopic, "config", LargeConfig("00000002", kManyRoutes));
  BOOST_TEST(
      RunUntil([&] { return Serves(follower, "added7919"); }, kConfigBound));
  RunFor(loop, kSettled);
  // The reader alone has read it from the store.
  BOOST_TEST(store.deliveries(kConfigTopic) - before == 1U);
}

// Guards against a VM with a narrow link that reads the store for VMs with wide
// ones.
BOOST_FIXTURE_TEST_CASE(the_gateway_with_the_widest_link_reads_the_store,
                        LargeConfigFixture) {
  Other narrow(*this, "gateway-2", "b", 10);
  Other wide(*this, "gateway-3", "b", 200);
  for (Other* gateway : {&narrow, &wide}) {
    BOOST_REQUIRE(gateway->process.Start());
    BOOST_REQUIRE(RunUntil([&] { return Serves(*gateway, "read"); }));
  }
  BOOST_TEST(RunUntil([&] {
    return StateOf(wide).store_reachable && !StateOf(narrow).store_reachable;
  }));
}

// Guards against configurations sent to gateways that cannot use them, because
// they came from a third one.
BOOST_FIXTURE_TEST_CASE(a_follower_sends_no_configurations,
                        LargeConfigFixture) {
  Other follower(*this, "gateway-2");
  BOOST_REQUIRE(follower.process.Start());
  BOOST_REQUIRE(RunUntil([&] { return Serves(follower, "read"); }));
  const auto state = StateOf(follower);
  BOOST_TEST(!state.store_reachable);
  BOOST_TEST(state.config.empty());
  BOOST_TEST(!state.config_patch);
  BOOST_TEST(state.reader == "gateway-1");
}

// Guards against a reader that is followed although it cannot read the
// configuration, because its other calls to the store succeed.
BOOST_FIXTURE_TEST_CASE(a_reader_of_an_unreadable_log_is_left,
                        LargeConfigFixture) {
  Other reader(*this, "gateway-2", "b");
  BOOST_REQUIRE(reader.process.Start());
  BOOST_REQUIRE(RunUntil([&] { return StateOf(reader).store_reachable; }));
  store.set_silent_topics({kConfigTopic});
  BOOST_TEST(RunUntil([&] { return !StateOf(reader).store_reachable; },
                      Milliseconds(9'000)));
}

// Guards against versions that hold the loop although a later one of the same
// page replaces them at once, and against one that reverts a newer one. Only a
// version that was in force is kept as a base of patches.
BOOST_FIXTURE_TEST_CASE(only_the_newest_version_of_a_page_is_applied,
                        LargeConfigFixture) {
  for (const char* text : {"00000003", "00000005", "00000004"}) {
    store.Put(kConfigTopic, "config", LargeConfig(text, 1));
  }
  store.Put(kConfigTopic, "config", "{");
  HttpClient peer(loop, peer_address, HttpClientOptions{});
  const auto state_for = [&](int version) {
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      peer.Send({"GET",
                 "/state/" + std::to_string(version) + "/0/0",
                 {{"Balsamhall-Accept-Patch", "1"}},
                 "",
                 0},
                Milliseconds(500), done);
    });
    BOOST_REQUIRE(outcome.response);
    auto state = gateway::ParsePeerState(outcome.response->body);
    BOOST_REQUIRE(state);
    return std::move(state.value());
  };
  const auto has_patch_for = [&](int version) {
    const auto patch = state_for(version).config_patch;
    return patch && patch->base_version == static_cast<std::uint64_t>(version);
  };
  RunFor(loop, kSettled);
  BOOST_TEST(has_patch_for(1));
  BOOST_TEST(!has_patch_for(3));
  BOOST_TEST(!has_patch_for(4));
  BOOST_TEST(!state_for(5).config_patch.has_value());
}

// Guards against a loop that is held for long without a trace.
BOOST_FIXTURE_TEST_CASE(a_turn_that_holds_the_loop_is_counted,
                        LargeConfigFixture) {
  boost::asio::post(loop, [] { std::this_thread::sleep_for(kLongTurn); });
  HttpClient caller(loop, metrics_address, HttpClientOptions{});
  const auto counted = [&] {
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      caller.Send({"GET", "/metrics", {}, "", 0}, Milliseconds(1'000), done);
    });
    return outcome.response &&
           outcome.response->body.find("loop_busy_total") != std::string::npos;
  };
  BOOST_TEST(RunUntil(counted, Milliseconds(1'000)));
}

struct LossCase {
  const char* name;
  bool planned;
};
std::ostream& operator<<(std::ostream& out, const LossCase& input) {
  return out << input.name;
}
const LossCase kLosses[] = {
    {"the reader ends without notice", false},
    {"the reader stops", true},
};

// Guards against followers that all read the store as soon as their reader is
// gone, over one link.
BOOST_DATA_TEST_CASE_F(LargeConfigFixture,
                       followers_of_a_lost_reader_follow_the_next_one,
                       data::make(kLosses), loss) {
  std::deque<Other> followers;
  for (int i = 0; i < kFollowers; ++i) {
    followers.emplace_back(*this, "gateway-" + std::to_string(i + 2));
    BOOST_REQUIRE(followers.back().process.Start());
  }
  for (Other& follower : followers) {
    BOOST_REQUIRE(RunUntil([&] { return Serves(follower, "read"); }));
  }
  RunFor(loop, kSettled);
  const std::size_t before = store.deliveries(kConfigTopic);
  if (loss.planned) {
    under_test->Stop([] {});
  } else {
    under_test.reset();
  }
  // The first of them takes over, and the others learn from it.
  RunFor(loop, kTakeover);
  store.Put(kConfigTopic, "config", LargeConfig("00000002", 1));
  for (Other& follower : followers) {
    BOOST_TEST(RunUntil([&] { return Serves(follower, "added0"); }, kTakeover));
  }
  RunFor(loop, kSettled);
  // To the next reader, and to the read that the lost one had sent.
  BOOST_TEST(store.deliveries(kConfigTopic) - before <= 2U);
}

}  // namespace
}  // namespace balsamhall::platform
