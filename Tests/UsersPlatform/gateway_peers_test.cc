// Gateways of one fleet beside each other: what one of them learns from the
// process at another one's address.
#include <boost/test/unit_test.hpp>
#include <optional>

#include "UsersPlatform/gateway_fixture.h"
#include "gateway/lease_keeper.h"
#include "gateway/peer_state.h"

namespace balsamhall::platform {
namespace {

using gateway::PeerState;

constexpr const char* kLeasesTopic = "keyed.balsamhall-leases";

struct FleetFixture : GatewayFixture {
  // A gateway beside the one under test.
  struct Other {
    Other(FleetFixture& fixture, const std::string& id)
        : settings(Settings(fixture.addresses, id, fixture.store_address)),
          store(fixture.loop, fixture.store_address, Milliseconds(1'000)),
          process(fixture.loop, settings, store, fixture.dialect,
                  {kConfigKey, ParseOperatorConfig, ParseRegistryEntry}),
          peer(fixture.loop, settings.peer_address, HttpClientOptions{}) {}

    gateway::GatewaySettings settings;
    StoreClient store;
    gateway::Gateway process;
    HttpClient peer;
  };

  std::optional<HttpResponse> Ask(Other& other, const HttpRequest& request) {
    return Await<HttpClient::Outcome>(loop,
                                      [&](auto done) {
                                        other.peer.Send(
                                            request, Milliseconds(500), done);
                                      })
        .response;
  }

  // What the gateway tells others about the store.
  PeerState StateOf(Other& other) {
    const auto response = Ask(other, {"GET", "/state/0/0/0", {}, "", 0});
    if (!response) return {};
    auto state = gateway::ParsePeerState(response->body);
    BOOST_REQUIRE(state);
    return std::move(state.value());
  }
};

// Guards against a gateway that goes on renewing an old lease table because a
// restarted one at its reader's address confirmed it without having read any.
BOOST_FIXTURE_TEST_CASE(a_reader_confirms_no_leases_that_it_has_not_read,
                        FleetFixture) {
  BOOST_REQUIRE(RunUntil([this] { return keyed.Holds(77); }));
  store.set_silent_topics({"keyed.op", kLeasesTopic});
  Other reader(*this, "gateway-0");
  BOOST_REQUIRE(reader.process.Start());
  PeerState state;
  BOOST_REQUIRE(RunUntil([&] {
    state = StateOf(reader);
    return state.store_reachable;
  }));
  BOOST_TEST(state.tables.empty());
  BOOST_TEST(state.leases_age.count() >
             gateway::LeaseKeeper::kMaxViewAge.count());
}

}  // namespace
}  // namespace balsamhall::platform
