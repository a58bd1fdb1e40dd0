// Configurations of thousands of routes on the way from the store to all
// gateways, whose links are narrow.
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <deque>
#include <string>
#include <thread>

#include "Soak/loopback_proxy.h"
#include "UsersPlatform/fleet_fixture.h"

namespace balsamhall::platform {
namespace {

using soak::LinkFault;
using soak::LoopbackProxy;

constexpr const char* kConfigTopic = "keyed.op";
constexpr const char* kGatewaysTopic = "keyed.balsamhall-routers";
// An accepted configuration has to be in force everywhere within this time.
constexpr Milliseconds kConfigBound{2'500};
// Longer than the pause of a store's waiting read, so that each direct reader
// would have read.
constexpr Milliseconds kSettled{3'000};
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

// Guards against followers that all read the store as soon as their reader is
// gone, over one link.
BOOST_FIXTURE_TEST_CASE(followers_of_a_lost_reader_follow_the_next_one,
                        LargeConfigFixture) {
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
  under_test.reset();
  store.Put(kConfigTopic, "config", LargeConfig("00000002", 1));
  for (Other& follower : followers) {
    BOOST_TEST(
        RunUntil([&] { return Serves(follower, "added0"); }, kConfigBound));
  }
  RunFor(loop, kSettled);
  // To the next reader, and to the read that the lost one had sent.
  BOOST_TEST(store.deliveries(kConfigTopic) - before <= 2U);
}

}  // namespace
}  // namespace balsamhall::platform
