// Random changes to what other programs write: no reader ends the process, and
// what is good beside the changed part stays.
#include <google/protobuf/stubs/strutil.h>

#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Config/text_case.h"
#include "StandIn/mutation.h"
#include "UsersPlatform/gateway_fixture.h"
#include "core/config_rules.h"
#include "settings.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;
using stand_in::Mutation;
using stand_in::OddSeeds;

constexpr int kSeeds = 20;
constexpr int kSeedsOverSockets = 1;
constexpr int kChangesPerSeed = 100;

const char* const kEntry = R"({"address":"10.0.0.2:80","born":1700000000000,
  "info":{"service":"s","version":"v1","zone":"a","slots":2},
  "status":{"state":"ready","sequence":4,"warmup_left":"1500ms"}})";

BOOST_DATA_TEST_CASE(random_registry_entries,
                     data::xrange(OddSeeds(kSeeds).first,
                                  OddSeeds(kSeeds).second),
                     seed) {
  Mutation mutate(seed);
  for (int i = 0; i < kChangesPerSeed; ++i) {
    const auto entry =
        ParseRegistryEntry(i % 2 == 0 ? "i-1" : mutate("i-1"), mutate(kEntry));
    if (!entry) continue;
    const gateway::EndpointInfo& endpoint = entry.value();
    BOOST_TEST(IsAddress(endpoint.address));
    BOOST_TEST(endpoint.ref.incarnation >= 0);
    BOOST_TEST(endpoint.slots >= 1U);
    BOOST_TEST(endpoint.slots <= 100'000U);
    BOOST_TEST(endpoint.warm_up_left.count() >= 0);
    HttpRequest request{"GET", "/", {}, "", 0};
    const auto sent =
        HttpDialect().ToBackend(request, endpoint.ref, Milliseconds(1));
    BOOST_TEST(FindHeader(sent.headers, "X-Balsamhall-Expect-Instance") ==
               endpoint.ref.id);
  }
}

BOOST_DATA_TEST_CASE(random_configurations,
                     data::xrange(OddSeeds(kSeeds).first,
                                  OddSeeds(kSeeds).second),
                     seed) {
  Mutation mutate(seed);
  const std::string good = Config("0000000c").dump();
  for (int i = 0; i < kChangesPerSeed; ++i) {
    const auto config = ParseOperatorConfig(mutate(good));
    if (!config) continue;
    for (const gateway::Route& route : config.value().routes) {
      BOOST_TEST(!route.services.empty());
      BOOST_TEST(route.max_attempts >= 1U);
      BOOST_TEST(route.timeout.count() >= 0);
    }
  }
}

BOOST_DATA_TEST_CASE(random_settings,
                     data::xrange(OddSeeds(kSeeds).first,
                                  OddSeeds(kSeeds).second),
                     seed) {
  Mutation mutate(seed);
  const std::string good = R"({"node":"f","zone":"a","ip":"10.0.0.1",
      "zones":{"a":"n"},"listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
      "internal_ports":[7620,7635],"heartbeat":"870ms",
      "platform":{"address":"10.0.0.9:9","ttl_min":"1000ms"},
      "bounds":{"grace":"6s","retry_budget_ratio":0.2,"budget_window":"10s",
                "retry_budget_slack":58}})";
  for (int i = 0; i < kChangesPerSeed; ++i) {
    const auto settings = ParseSettings(mutate(good));
    BOOST_TEST((settings || !settings.error().detail.empty()));
  }
}

// Headers that the dialect reads from callers and endpoints.
BOOST_DATA_TEST_CASE(random_headers,
                     data::xrange(OddSeeds(kSeeds).first,
                                  OddSeeds(kSeeds).second),
                     seed) {
  Mutation mutate(seed);
  const HttpDialect dialect;
  for (int i = 0; i < kChangesPerSeed; ++i) {
    const HttpRequest request{"GET",
                              "/",
                              {{"X-Balsamhall-Request-Id", mutate("9c41d07b")},
                               {"X-Balsamhall-Deadline-Ms", mutate("1000")},
                               {"X-Balsamhall-Shard-Key", mutate("4096")},
                               {"Connection", mutate("keep-alive, X-Hop")}},
                              "",
                              0};
    const auto caller = dialect.ReadCallerRequest(request);
    if (caller.deadline) BOOST_TEST(caller.deadline->count() >= 0);
    const HttpResponse response{
        mutate("1").size() % 2 == 0 ? 200U : 421U,
        {{"X-Balsamhall-Request-Id", mutate("9c41d07b")},
         {"X-Balsamhall-Server-Load", mutate("3,0,8")},
         {"X-Balsamhall-Handover", mutate("5c0e7a21d94b36f8")},
         {"Connection", mutate("close, X-Hop")}},
        ""};
    const auto read = dialect.ReadBackendResponse(response);
    if (read.load) {
      BOOST_TEST(read.load->running <= 100'000U);
      BOOST_TEST(read.load->waiting <= 100'000U);
      BOOST_TEST(read.load->slots <= 100'000U);
    }
    dialect.RequestNamedBy(request, response);
    dialect.ToCaller(response);
    gateway::GrantCall grant;
    grant.handover = dialect.ReadCallResult({"i-1", 1}, response).handover;
    BOOST_REQUIRE_NO_THROW(dialect.ToGrant(grant));
  }
}

std::string Base64(const std::string& text) {
  std::string encoded;
  google::protobuf::Base64Escape(text, &encoded);
  return encoded;
}

// One record among good ones of a page; and whole pages.
BOOST_DATA_TEST_CASE(random_pages_of_a_log,
                     data::xrange(OddSeeds(kSeeds).first,
                                  OddSeeds(kSeeds).second),
                     seed) {
  Mutation mutate(seed);
  const auto record = [](const std::string& content) {
    std::string length;
    for (unsigned shift = 32; shift > 0; shift -= 8) {
      length.push_back(static_cast<char>(content.size() >> (shift - 8)));
    }
    return length + content;
  };
  const std::string head(16, '\0');
  for (int i = 0; i < kChangesPerSeed; ++i) {
    const auto page = DecodeLogRead(
        head + record("\1a1") + record(mutate("\1kvalue")) + record("\1z2"), 4);
    BOOST_REQUIRE(page);
    BOOST_TEST(page.value().records.front().key == "a");
    BOOST_TEST(page.value().records.back().key == "z");
    BOOST_TEST(page.value().next == 7U);
    const auto changed =
        DecodeLogRead(mutate(head + record("\1a1") + record("\1z2")), 4);
    if (changed) BOOST_TEST(changed.value().next >= 4U);
  }
}

BOOST_DATA_TEST_CASE(random_pages_of_newest_records,
                     data::xrange(OddSeeds(kSeedsOverSockets).first,
                                  OddSeeds(kSeedsOverSockets).second),
                     seed) {
  Mutation mutate(seed);
  const auto item = [](const std::string& key, const std::string& value) {
    return json{{"key", key}, {"value", Base64(value)}, {"offset", 1}};
  };
  const json good{
      {"items", {item("a", "1"), item("b", "2")}}, {"more", false}, {"end", 9}};
  std::string body;
  boost::asio::io_context loop{1};
  HttpServer server(
      loop, HttpServerOptions{},
      [&](const HttpRequest&, const HttpServer::Respond& respond) {
        respond({200, {}, body});
      });
  const auto port = server.Listen("127.0.0.1:0").value();
  StoreClient client(loop, "127.0.0.1:" + std::to_string(port),
                     Milliseconds(1'000));
  const auto read = [&] {
    return Await<gateway::ReadResult>(loop, [&](auto done) {
      client.ReadNewest(gateway::Log::kEndpointRegistry, done);
    });
  };
  for (int i = 0; i < kChangesPerSeed; ++i) {
    body = mutate(good.dump());
    read();
    // A change that leaves the page JSON keeps the items beside it.
    const std::string odd = mutate(item("k", "v").dump());
    // The library takes a NUL byte for the end of the text.
    if (!json::accept(odd) || odd.find('\0') != std::string::npos) continue;
    body = R"({"more":false,"end":9,"items":[)" + item("a", "1").dump() + "," +
           odd + "," + item("z", "2").dump() + "]}";
    const auto result = read();
    BOOST_REQUIRE_MESSAGE(result.page, result.detail);
    BOOST_TEST(result.page->records.front().key == "a");
    BOOST_TEST(result.page->records.back().key == "z");
  }
}

// The whole path: changed records beside those of good endpoints and gateways.
BOOST_DATA_TEST_CASE_F(GatewayFixture, random_records_beside_good_ones,
                       data::xrange(OddSeeds(kSeedsOverSockets).first,
                                    OddSeeds(kSeedsOverSockets).second),
                       seed) {
  Mutation mutate(seed);
  gateway::LeaseTable table;
  table.leader = {"gateway-9", 1, "127.0.0.1:9", "a"};
  table.ranges = {{{0, 65'535}, {{"i-9", 1}, "127.0.0.1:9"}, 1, true, {}, {}}};
  const std::string entry =
      Replaced(plain1.Entry("other", "ready"), plain1.address(), "127.0.0.1:9");
  for (int i = 0; i < kChangesPerSeed; ++i) {
    const std::string key = "odd-" + std::to_string(i);
    store.Put("keyed.servers", key, mutate(entry));
    store.Put("keyed.balsamhall-leases", key,
              mutate(gateway::SerializeLeaseTable(table)));
    store.Put("keyed.balsamhall-routers", key,
              mutate(gateway::SerializeGatewayInstance(table.leader)));
  }
  // All logs are read at least once a second.
  RunFor(loop, Milliseconds(1'000));
  BOOST_TEST(Ready());
  BOOST_TEST(Send(Request("/read/x", "id-1")).status == 200U);
  BOOST_TEST(RunUntil(
      [this] { return Send(Request("/keyed/x", "id-2")).status == 200; }));
}

}  // namespace
}  // namespace balsamhall::platform
