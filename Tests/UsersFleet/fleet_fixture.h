// Several gateways on one loop, in front of the same endpoints and store.
#ifndef BALSAMHALL_TESTS_USERSFLEET_FLEET_FIXTURE_H_
#define BALSAMHALL_TESTS_USERSFLEET_FLEET_FIXTURE_H_

#include <optional>
#include <string>
#include <utility>

#include "UsersPlatform/gateway_fixture.h"
#include "gateway/peer_state.h"

namespace balsamhall::platform {

struct FleetFixture : GatewayFixture {
  // A gateway beside the one under test.
  struct Other {
    // store_address: empty for that of the fixture.
    Other(FleetFixture& fixture, const std::string& id,
          const std::string& data_centre = "a", unsigned link_mbps = 0,
          const std::string& store_address = "")
        : settings(SettingsIn(fixture, id, data_centre, link_mbps)),
          store(fixture.loop,
                store_address.empty() ? fixture.store_address : store_address,
                Milliseconds(1'000)),
          process(fixture.loop, settings, store, fixture.dialect,
                  {kConfigKey, OperatorConfigParser(), ParseRegistryEntry,
                   EvacuatedDataCentre}),
          peer(fixture.loop, settings.peer_address, HttpClientOptions{}) {}

    static gateway::GatewaySettings SettingsIn(FleetFixture& fixture,
                                               const std::string& id,
                                               const std::string& data_centre,
                                               unsigned link_mbps) {
      auto settings = Settings(fixture.addresses, id, fixture.store_address);
      settings.data_centre = data_centre;
      settings.link_mbps = link_mbps;
      settings.region_of[data_centre] = "region";
      return settings;
    }

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
  gateway::PeerState StateOf(Other& other) {
    const auto response = Ask(other, {"GET", "/state/0/0/0", {}, "", 0});
    if (!response) return {};
    auto state = gateway::ParsePeerState(response->body);
    BOOST_REQUIRE(state);
    return std::move(state.value());
  }

  // The record under which a gateway is registered.
  std::optional<gateway::GatewayInstance> Registered(const std::string& id) {
    const auto result = Await<gateway::ReadResult>(loop, [&](auto done) {
      store_client->ReadNewest(gateway::Log::kGateways, done);
    });
    if (!result.page) return std::nullopt;
    for (const auto& record : result.page->records) {
      if (record.key != id) continue;
      auto instance = gateway::ParseGatewayInstance(id, *record.value);
      BOOST_REQUIRE(instance);
      return instance.value();
    }
    return std::nullopt;
  }
};

}  // namespace balsamhall::platform

#endif  // BALSAMHALL_TESTS_USERSFLEET_FLEET_FIXTURE_H_
