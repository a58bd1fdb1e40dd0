// End-to-end tests of the regions of routes and of evacuations, over sockets.
#include <boost/test/unit_test.hpp>
#include <string>

#include "UsersPlatform/gateway_fixture.h"

namespace balsamhall::platform {
namespace {

constexpr Milliseconds kEvacuate{5'000};

void Adjust(gateway::GatewaySettings& settings) {
  settings.evacuate = kEvacuate;
  settings.region_of = {{"a", "north"}, {"b", "south"}};
}

// The endpoints of GatewayFixture are in the data centre a; one more of each
// service can be added in b. Beside the gateway under test, another one follows
// it.
struct LimitsFixture : GatewayFixture {
  LimitsFixture() : GatewayFixture({}, Adjust) {
    BOOST_REQUIRE(RunUntil([this] { return Status("/keyed/x") == 200; }));
    Adjust(settings);
    follower = std::make_unique<gateway::Gateway>(
        loop, settings, follower_store, dialect,
        gateway::RecordParsers{kConfigKey, OperatorConfigParser(),
                               ParseRegistryEntry, EvacuatedDataCentre});
    BOOST_REQUIRE(follower->Start());
    HttpClient client(loop, settings.ready_address, HttpClientOptions{});
    BOOST_REQUIRE(RunUntil([&] { return Ready(client); }));
    Add(far, "plain");
  }

  void Add(UsersEndpoint& endpoint, const std::string& service) {
    endpoint.Listen();
    json entry = json::parse(endpoint.Entry(service, "ready"));
    entry["info"]["zone"] = "b";
    store.Put("keyed.servers", endpoint.id(), entry.dump());
  }

  void Evacuate(const std::string& data_centre, bool begin = true) {
    store.Put("keyed.op", "evacuate/" + data_centre, begin ? "{}" : "");
  }

  // Restricts reads and keyed requests to the region.
  void Restrict(const std::string& version, const std::string& region) {
    json config = Config(version);
    for (const char* route : {"read", "keyed"}) {
      config["routes"][route]["allowed_regions"] = {region};
    }
    store.Put("keyed.op", "config", config.dump());
  }

  // Returns the status, or 0 for a rejection without a Retry-After.
  unsigned Status(const std::string& target, bool of_follower = false) {
    if (of_follower) std::swap(front, follower_front);
    const auto response =
        Send(Request(target, "id-" + std::to_string(++last_id)));
    if (of_follower) std::swap(front, follower_front);
    return response.status == 503 &&
                   FindHeader(response.headers, "Retry-After").empty()
               ? 0
               : response.status;
  }

  int NearRuns() const { return plain1.total_runs() + plain2.total_runs(); }

  // Returns whether both gateways answer reads with the status, after this many
  // runs in the data centres a and b.
  bool BothAnswer(unsigned status, int near, int far_runs) {
    near += NearRuns();
    far_runs += far.total_runs();
    for (int i = 0; i < 5; ++i) {
      if (Status("/read/x") != status) return false;
      if (Status("/read/x", true) != status) return false;
    }
    return NearRuns() == near && far.total_runs() == far_runs;
  }
  bool Near() { return BothAnswer(200, 10, 0); }
  bool Far() { return BothAnswer(200, 0, 10); }
  bool None() { return BothAnswer(503, 0, 0); }

  UsersEndpoint far{loop, "i-4", false};
  UsersEndpoint far_keyed{loop, "i-5", true};
  int last_id = 0;
  gateway::GatewaySettings settings =
      Settings(addresses, "gateway-2", store_address);
  StoreClient follower_store{loop, store_address, Milliseconds(1'000)};
  std::unique_ptr<gateway::Gateway> follower;
  std::unique_ptr<HttpClient> follower_front = std::make_unique<HttpClient>(
      loop, settings.front_address, HttpClientOptions{});
};

BOOST_FIXTURE_TEST_CASE(requests_stay_within_their_regions, LimitsFixture) {
  Restrict("00000002", "south");
  BOOST_REQUIRE(RunUntil([this] { return Far(); }));
  const int runs = NearRuns() + keyed.total_runs();
  // Retries.
  far.set_fault(EndpointFault::kShed);
  BOOST_TEST(Status("/read/x") == 503U);
  far.set_fault(EndpointFault::kError);
  BOOST_TEST(Status("/read/x") >= 500U);
  // Its owner is in the other region.
  BOOST_TEST(Status("/keyed/x") == 503U);
  Restrict("00000003", "west");
  BOOST_TEST(RunUntil([this] { return None(); }));
  BOOST_TEST(NearRuns() + keyed.total_runs() == runs);
}

// A queued request would otherwise keep the regions of its arrival.
BOOST_FIXTURE_TEST_CASE(queued_request_follows_a_narrower_configuration,
                        LimitsFixture) {
  json config = Config("00000002");
  config["routes"]["keyed"]["target_latency"] = "5000ms";
  config["routes"]["keyed"]["timeout"] = "5000ms";
  store.Put("keyed.op", "config", config.dump());
  store.Put("keyed.servers", keyed.id(), keyed.Entry("keyed", "draining"));
  RunFor(loop, Milliseconds(2'500));
  HttpRequest request = Request("/keyed/x", "id-queued");
  request.headers[2].second = "5000";
  unsigned status = 0;
  front->Send(request, Milliseconds(6'000), [&](HttpClient::Outcome outcome) {
    status = outcome.response ? outcome.response->status : 1;
  });
  RunFor(loop, Milliseconds(500));
  BOOST_REQUIRE(status == 0U);
  Restrict("00000003", "west");
  BOOST_TEST(RunUntil([&] { return status == 503; }, Milliseconds(2'500)));
}

// Also with two data centres at once, and while the store is away.
BOOST_FIXTURE_TEST_CASE(evacuations_begin_and_end_at_all_gateways,
                        LimitsFixture) {
  BOOST_REQUIRE(RunUntil([this] { return Near(); }));
  Evacuate("a");
  BOOST_TEST(RunUntil([this] { return Far(); }, kEvacuate));
  Evacuate("b");
  BOOST_TEST(RunUntil([this] { return None(); }, kEvacuate));
  Evacuate("b", false);
  BOOST_TEST(RunUntil([this] { return Far(); }));
  store.set_fault(StoreFault::kBusy);
  // A read that already waits at the store would still be answered.
  RunFor(loop, Milliseconds(2'500));
  Evacuate("a", false);
  RunFor(loop, Milliseconds(1'000));
  BOOST_TEST(Far());
  store.set_fault(StoreFault::kNone);
  BOOST_TEST(RunUntil([this] { return Near(); }));
}

BOOST_FIXTURE_TEST_CASE(keys_move_out_of_an_evacuated_data_centre,
                        LimitsFixture) {
  Add(far_keyed, "keyed");
  RunFor(loop, Milliseconds(2'000));
  Evacuate("a");
  const auto moved = [this] {
    return Status("/keyed/x") == 200 && far_keyed.total_runs() > 0;
  };
  BOOST_TEST(RunUntil(moved, kEvacuate));
  const int owner = keyed.total_runs();
  BOOST_TEST(Status("/keyed/x") == 200U);
  BOOST_TEST(Status("/keyed/x", true) == 200U);
  BOOST_TEST(keyed.total_runs() == owner);
}

}  // namespace
}  // namespace balsamhall::platform
