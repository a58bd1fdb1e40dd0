// Gateways of one fleet beside each other: what one of them learns from the
// process at another one's address.
#include <boost/test/unit_test.hpp>
#include <optional>

#include "UsersPlatform/gateway_fixture.h"
#include "gateway/lease_keeper.h"
#include "gateway/peer_state.h"

namespace balsamhall::platform {
namespace {

using gateway::LeaseTable;
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

// Guards against an old table of one service that counts as confirmed because a
// newer table of another service is known.
BOOST_FIXTURE_TEST_CASE(tables_of_all_services_reach_a_follower, FleetFixture) {
  BOOST_REQUIRE(RunUntil([this] { return keyed.Holds(77); }));
  Other follower(*this, "gateway-2");
  BOOST_REQUIRE(follower.process.Start());
  const auto table_of =
      [&](const ServiceId& service) -> std::optional<LeaseTable> {
    for (LeaseTable& table : StateOf(follower).tables) {
      if (table.service == service) return std::move(table);
    }
    return std::nullopt;
  };
  std::optional<LeaseTable> published;
  BOOST_REQUIRE(RunUntil([&] {
    published = table_of("keyed");
    return published.has_value();
  }));
  // Published by a leader, whose record is later than the next one below.
  const auto response = Ask(follower, {"POST",
                                       "/table/keyed/1000",
                                       {},
                                       gateway::SerializeLeaseTable(*published),
                                       0});
  BOOST_REQUIRE(response);
  BOOST_REQUIRE(response->status == 200U);
  store.Put(kLeasesTopic, "other", gateway::SerializeLeaseTable(*published));
  BOOST_TEST(RunUntil([&] { return table_of("other").has_value(); }));
}

}  // namespace
}  // namespace balsamhall::platform
