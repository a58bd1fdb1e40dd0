// End-to-end tests of a store that comes back from an older copy of itself.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

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

struct JoinResponse {
  const char* era;  // empty: the store states none
  int generation;
};

struct GenerationCase {
  const char* name;
  std::vector<JoinResponse> responses;  // to the first joins
  bool reads_new_era;                   // a read shows era 2 after them
  int expected;                         // generation of the next join
};

std::ostream& operator<<(std::ostream& out, const GenerationCase& c) {
  return out << c.name;
}

const GenerationCase kGenerations[] = {
    {"no eras", {{"", 5}, {"", 6}}, false, 6},
    {"one era", {{"1", 5}, {"1", 6}}, false, 6},
    {"a restored store", {{"1", 9}, {"2", 3}}, false, 3},
    {"a late response of the earlier era", {{"2", 3}, {"1", 9}}, false, 3},
    {"a read shows the restore first", {{"1", 9}}, true, 0},
};

// Guards against a join that names a generation of an earlier era: the store
// takes a later generation than its own for the member's consent to give up
// the partition that makes it the leader.
BOOST_DATA_TEST_CASE(a_generation_of_an_earlier_era_is_not_sent,
                     boost::unit_test::data::make(kGenerations), c) {
  boost::asio::io_context loop{1};
  std::vector<int> sent;
  const auto headers = [](const std::string& era) {
    return era.empty() ? HttpHeaders{} : HttpHeaders{{"Store-Era", era}};
  };
  HttpServer server(
      loop, HttpServerOptions{},
      [&](const HttpRequest& request, const HttpServer::Respond& respond) {
        if (request.target != "/log-join") {
          return respond({200, headers("2"), std::string(16, '\0')});
        }
        sent.push_back(json::parse(request.body)["generation"].get<int>());
        const auto& response =
            c.responses[std::min(sent.size(), c.responses.size()) - 1];
        respond(
            {200, headers(response.era),
             json{{"generation", response.generation}, {"parts", json::array()}}
                 .dump()});
      });
  const auto port = server.Listen("127.0.0.1:0").value();
  StoreClient client(loop, "127.0.0.1:" + std::to_string(port),
                     Milliseconds(1'000));
  const auto join = [&] {
    return Await<gateway::ElectionResult>(loop, [&](auto done) {
      client.JoinLeaderElection("g", Milliseconds(1'000), done);
    });
  };
  for (std::size_t i = 0; i < c.responses.size(); ++i) {
    BOOST_REQUIRE(join().reached);
  }
  if (c.reads_new_era) {
    Await<gateway::ReadResult>(loop, [&](auto done) {
      client.ReadFrom(gateway::Log::kLeases, 0, Milliseconds(0), done);
    });
  }
  join();
  BOOST_TEST(sent.back() == c.expected);
}

}  // namespace
}  // namespace balsamhall::platform
