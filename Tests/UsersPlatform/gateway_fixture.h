// A gateway between callers, endpoints and the store, over sockets and with the
// platform's formats.
#ifndef BALSAMHALL_TESTS_USERSPLATFORM_GATEWAY_FIXTURE_H_
#define BALSAMHALL_TESTS_USERSPLATFORM_GATEWAY_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "StandIn/await.h"
#include "StandIn/users_endpoint.h"
#include "StandIn/users_store.h"
#include "gateway/gateway.h"
#include "http_dialect.h"
#include "net/http_client.h"
#include "operator_config.h"
#include "registry_entry.h"
#include "store_client.h"

namespace balsamhall::platform {

using nlohmann::json;
using stand_in::EndpointFault;
using stand_in::StoreFault;
using stand_in::UsersEndpoint;
using stand_in::UsersStore;

inline json Route(const std::string& prefix, const std::string& type,
                  const std::string& service,
                  const std::string& timeout = "400ms") {
  return {{"host", "host.example"},    {"path_prefix", prefix},
          {"route_type", type},        {"timeout", timeout},
          {"target_latency", "200ms"}, {"priority", 1},
          {"service", service},        {"max_attempts", 2}};
}

inline json Config(const std::string& version) {
  const json plain{{"health_path", "/health"}, {"max_connections", 100}};
  json keyed = plain;
  keyed["sharded"] = true;
  return {{"version", version},
          {"routes",
           {{"read", Route("/read/", "safe", "plain")},
            {"write", Route("/write/", "unsafe", "plain")},
            {"slow_read", Route("/slow/read/", "safe", "plain", "9000ms")},
            {"slow_write", Route("/slow/write/", "unsafe", "plain", "9000ms")},
            {"keyed", Route("/keyed/", "safe", "keyed")}}},
          {"services", {{"plain", plain}, {"keyed", keyed}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 1 << 20},
            {"header_timeout", "3000ms"},
            {"idle_timeout", "15000ms"}}}};
}

// Loopback addresses that stay reserved for as long as this object exists: a
// bound socket that doesn't listen keeps the system from choosing its port
// again, but lets a server with SO_REUSEADDR listen on it.
class ReservedAddresses {
 public:
  explicit ReservedAddresses(boost::asio::io_context& loop) : loop_(loop) {}

  std::string Next() {
    using boost::asio::ip::tcp;
    tcp::socket& socket = sockets_.emplace_back(loop_, tcp::v4());
    socket.set_option(tcp::socket::reuse_address(true));
    socket.bind({boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
  }

 private:
  boost::asio::io_context& loop_;
  std::vector<boost::asio::ip::tcp::socket> sockets_;
};

inline gateway::GatewaySettings Settings(ReservedAddresses& addresses,
                                         const std::string& id,
                                         const std::string& store) {
  gateway::GatewaySettings settings;
  settings.id = id;
  settings.data_centre = "a";
  settings.region_of["a"] = "region";
  settings.front_address = addresses.Next();
  settings.ready_address = addresses.Next();
  settings.peer_address = addresses.Next();
  settings.metrics_address = addresses.Next();
  settings.store_address = store;
  settings.retry_slack = 100;
  settings.stop_grace = Milliseconds(4'000);
  return settings;
}

struct GatewayFixture {
  // more_entries: further ones of the registry, by endpoint id. adjust: changes
  // the settings of the gateway.
  explicit GatewayFixture(
      const std::map<std::string, std::string>& more_entries = {},
      const std::function<void(gateway::GatewaySettings&)>& adjust = {}) {
    store_address = store.Listen();
    auto settings = Settings(addresses, "gateway-1", store_address);
    if (adjust) adjust(settings);
    front_address = settings.front_address;
    peer_address = settings.peer_address;
    metrics_address = settings.metrics_address;
    store.Put("keyed.op", "config", Config("00000001").dump());
    for (UsersEndpoint* endpoint : {&plain1, &plain2}) {
      endpoint->Listen();
      store.Put("keyed.servers", endpoint->id(),
                endpoint->Entry("plain", "ready"));
    }
    keyed.Listen();
    store.Put("keyed.servers", keyed.id(), keyed.Entry("keyed", "ready"));
    for (const auto& [id, entry] : more_entries) {
      store.Put("keyed.servers", id, entry);
    }
    store_client = std::make_unique<StoreClient>(loop, settings.store_address,
                                                 Milliseconds(1'000));
    under_test = std::make_unique<gateway::Gateway>(
        loop, settings, *store_client, dialect,
        gateway::RecordParsers{kConfigKey, OperatorConfigParser(),
                               ParseRegistryEntry, EvacuatedDataCentre});
    BOOST_REQUIRE(under_test->Start());
    front = std::make_unique<HttpClient>(loop, settings.front_address,
                                         HttpClientOptions{});
    ready = std::make_unique<HttpClient>(loop, settings.ready_address,
                                         HttpClientOptions{});
    BOOST_REQUIRE(RunUntil([this] { return Ready(); }));
  }

  template <typename Condition>
  bool RunUntil(Condition condition, Milliseconds limit = Milliseconds(6'000)) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      RunFor(loop, Milliseconds(20));
    }
    return true;
  }

  bool Ready() { return Ready(*ready); }
  bool Ready(HttpClient& client) {
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      client.Send({"GET", "/readiness", {}, "", 0}, Milliseconds(500), done);
    });
    return outcome.response && outcome.response->status == 200;
  }

  static HttpRequest Request(const std::string& target, const std::string& id) {
    return {target.find("/write/") != std::string::npos ? "POST" : "GET",
            target,
            {{"Host", "host.example"},
             {"X-Balsamhall-Request-Id", id},
             {"X-Balsamhall-Deadline-Ms", "1000"},
             {"X-Balsamhall-Shard-Key", "77"}},
            "",
            0};
  }

  HttpResponse Send(const HttpRequest& request) {
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      front->Send(request, Milliseconds(2'000), done);
    });
    BOOST_REQUIRE_MESSAGE(outcome.response, outcome.error.detail);
    return *outcome.response;
  }

  // Publishes a configuration that has the route /new/ as well.
  void PublishNewRoute() {
    json config = Config("0000000a");
    config["routes"]["new"] = Route("/new/", "safe", "plain");
    store.Put("keyed.op", "config", config.dump());
  }
  // Lists an endpoint of the service "plain" as draining.
  void Drain(const UsersEndpoint& endpoint) {
    store.Put("keyed.servers", endpoint.id(),
              endpoint.Entry("plain", "draining"));
  }

  int Runs(const std::string& id) const {
    int runs = 0;
    for (const UsersEndpoint* endpoint : {&plain1, &plain2, &keyed}) {
      const auto found = endpoint->runs().find(id);
      if (found != endpoint->runs().end()) runs += found->second;
    }
    return runs;
  }

  boost::asio::io_context loop{1};
  ReservedAddresses addresses{loop};
  UsersStore store{loop};
  std::string store_address;
  std::string front_address;  // of the gateway under test
  std::string peer_address;   // of the gateway under test
  std::string metrics_address;
  UsersEndpoint plain1{loop, "i-1", false};
  UsersEndpoint plain2{loop, "i-2", false};
  UsersEndpoint keyed{loop, "i-3", true};
  HttpDialect dialect;
  std::unique_ptr<StoreClient> store_client;
  std::unique_ptr<gateway::Gateway> under_test;
  std::unique_ptr<HttpClient> front;
  std::unique_ptr<HttpClient> ready;
};

}  // namespace balsamhall::platform

#endif  // BALSAMHALL_TESTS_USERSPLATFORM_GATEWAY_FIXTURE_H_
