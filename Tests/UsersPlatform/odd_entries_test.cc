// Entries that another writer left in the store and that describe no endpoint,
// configuration or record of a gateway. The good ones beside them hold.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <ostream>

#include "Config/text_case.h"
#include "StandIn/mutation.h"
#include "UsersPlatform/gateway_fixture.h"
#include "settings.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;
using stand_in::Nested;

constexpr std::size_t kDeep = 300'000;

const char* const kEntry = R"({"address":"10.0.0.2:80","born":1700000000000,
  "info":{"service":"s","version":"v1","zone":"a","slots":2},
  "status":{"state":"ready","sequence":4,"warmup_left":"1500ms"}})";

struct OddValue {
  std::string name;
  std::string from;  // part of the good entry
  std::string to;
};

std::ostream& operator<<(std::ostream& out, const OddValue& value) {
  return out << value.name;
}

const std::vector<OddValue> kOddEntries = {
    {"nested arrays as entry", kEntry, Nested(kDeep)},
    {"nested arrays that do not end", kEntry, std::string(kDeep, '[')},
    {"nested address", "\"10.0.0.2:80\"", Nested(kDeep)},
    {"nested slots", "\"slots\":2", "\"slots\":" + Nested(kDeep)},
    {"nested status", "{\"state\":", "[" + Nested(kDeep) + "],\"s\":{\"x\":"},
    {"port 0", "10.0.0.2:80", "10.0.0.2:0"},
    {"port 99999", "10.0.0.2:80", "10.0.0.2:99999"},
    {"port of many digits", "10.0.0.2:80", "10.0.0.2:" + std::string(999, '8')},
    {"host that is no ip", "10.0.0.2:80", "10.0.0.256:80"},
    {"no host", "10.0.0.2:80", ":80"},
    {"slots too large for unsigned", "\"slots\":2", "\"slots\":4294967298"},
    {"slots too large for int64", "\"slots\":2",
     "\"slots\":9223372036854775809"},
    {"slots too large for any integer", "\"slots\":2",
     "\"slots\":99999999999999999999999999"},
    {"slots too large for double", "\"slots\":2", "\"slots\":1e999"},
    {"start too large for int64", "1700000000000", "18446744073709551615"},
    {"start too large for double", "1700000000000", "1e999"},
    {"start before 1970", "1700000000000", "-1"},
    {"start after the year 9999", "1700000000000", "9223372036854775807"},
    {"sequence too large", "\"sequence\":4", "\"sequence\":1e999"},
    {"warm-up too large", "1500ms", "1e99s"},
    {"no info", "\"info\"", "\"inf\""},
    {"info of another type",
     "{\"service\":\"s\",\"version\":\"v1\",\"zone\":\"a\",\"slots\":2}", "7"},
    {"null", kEntry, "null"},
    {"not UTF-8", "\"s\"", "\"\xff\xfe\""},
    {"bytes that are not JSON", kEntry, std::string("\0\1\2\3", 4)},
    {"empty", kEntry, ""},
};

BOOST_DATA_TEST_CASE(odd_entries_name_no_endpoint, data::make(kOddEntries),
                     odd) {
  const auto entry =
      ParseRegistryEntry("i-1", Replaced(kEntry, odd.from, odd.to));
  BOOST_REQUIRE(!entry);
  BOOST_TEST(entry.error().code == ResultCode::kLogRecordMalformed);
}

BOOST_AUTO_TEST_CASE(nested_value_that_is_not_read_does_not_matter) {
  const auto entry = ParseRegistryEntry(
      "i-1", Replaced(kEntry, "{\"address\"",
                      "{\"x\":" + Nested(kDeep) + ",\"x\":" + Nested(kDeep) +
                          ",\"address\""));
  BOOST_TEST(entry.has_value());
}

const std::string kOddIds[] = {"", "a\r\nb", "a b", "\xff\xfe",
                               std::string("a\0b", 3)};

// The header that names the expected endpoint is left out or wrong for such an
// id, so any endpoint at the address would run the request.
BOOST_DATA_TEST_CASE(entry_under_an_id_that_cannot_be_sent_is_rejected,
                     data::make(kOddIds), id) {
  BOOST_TEST(!ParseRegistryEntry(id, kEntry));
}

const std::vector<OddValue> kOddConfigs = {
    {"nested arrays", "{\"version\"", Nested(kDeep) + "{\"version\""},
    {"nested routes", "\"limits\"",
     "\"routes\":" + Nested(kDeep) + ",\"limits\""},
    {"nested services", "\"limits\"",
     "\"services\":" + Nested(kDeep) + ",\"limits\""},
    {"weight too large for int64", "\"weight\":90",
     "\"weight\":18446744073709551615"},
    {"weight too large for double", "\"weight\":90", "\"weight\":1e999"},
    {"priority too large for int", "\"priority\":1", "\"priority\":4294967297"},
    {"nested split", "[{\"service\":\"s\",\"weight\":90}", "[" + Nested(kDeep)},
    {"split that is no list",
     "[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}]",
     "7"},
    {"sharded that is nested", "\"sharded\":true",
     "\"sharded\":" + Nested(kDeep)},
    {"version too large", "0000000c", "10000000000000000"},
    {"not UTF-8", "h.example", "\xff.example"},
};

const char* const kConfig = R"({"version":"0000000c","routes":{"r":{
  "host":"h.example","path_prefix":"/p/","route_type":"safe",
  "timeout":"1000ms","target_latency":"300ms","priority":1,
  "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],
  "max_attempts":2}},
  "services":{"s":{"health_path":"/h","max_connections":110,"sharded":true},
              "t":{"health_path":"/h","max_connections":110}},
  "limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout":"3s",
            "idle_timeout":"15s"}})";

BOOST_DATA_TEST_CASE(odd_configurations_are_rejected, data::make(kOddConfigs),
                     odd) {
  BOOST_TEST(!ParseOperatorConfig(Replaced(kConfig, odd.from, odd.to)));
}

const std::string kOddLoads[] = {"4294967295,1,4294967295",
                                 "1,1,4294967295",
                                 "4294967295,4294967295,2",
                                 "1,1,4294967296",
                                 "-1,0,2",
                                 "1,1",
                                 "1,1,2,3",
                                 "1,1,2,10001",
                                 "1,1,2,",
                                 "1,1,2,100,7",
                                 "",
                                 ",,",
                                 "\xff"};

// One such response made an endpoint look idle with four thousand million
// slots.
BOOST_DATA_TEST_CASE(odd_load_of_an_endpoint_is_ignored, data::make(kOddLoads),
                     load) {
  const HttpDialect dialect;
  const auto response = dialect.ReadBackendResponse(
      {200, {{"X-Balsamhall-Server-Load", load}}, ""});
  BOOST_TEST(!response.load);
}

struct LoadCase {
  std::string header;
  std::optional<unsigned> duration_percent;
};

std::ostream& operator<<(std::ostream& out, const LoadCase& c) {
  return out << c.header;
}

const LoadCase kLoads[] = {
    {"3,1,6", std::nullopt}, {"3,1,6,100", 100U}, {"3,1,6,300", 300U}};

// Guards against a fourth figure that hides the load of all endpoints.
BOOST_DATA_TEST_CASE(load_of_an_endpoint_is_read, data::make(kLoads), load) {
  const HttpDialect dialect;
  const auto response = dialect.ReadBackendResponse(
      {200, {{"X-Balsamhall-Server-Load", load.header}}, ""});
  BOOST_REQUIRE(response.load);
  BOOST_TEST(response.load->running == 3U);
  BOOST_TEST(response.load->waiting == 1U);
  BOOST_TEST(response.load->slots == 6U);
  BOOST_TEST((response.load->duration_percent == load.duration_percent));
}

const std::string kOddHandovers[] = {"\xff\xfe", "a\x80"};

// The grant with the handover was written as JSON, which fails for such bytes;
// the exception ended the process.
BOOST_DATA_TEST_CASE(handover_that_is_not_utf8_does_not_end_the_process,
                     data::make(kOddHandovers), handover) {
  const HttpDialect dialect;
  const auto result = dialect.ReadCallResult(
      {"i-1", 1}, {200, {{"X-Balsamhall-Handover", handover}}, ""});
  BOOST_TEST((result.outcome == gateway::CallOutcome::kDone));
  gateway::GrantCall grant;
  grant.handover = result.handover;
  std::string body;
  BOOST_REQUIRE_NO_THROW(body = dialect.ToGrant(grant).body);
  BOOST_TEST(!json::parse(body).contains("handover"));
}

const std::string kOddPorts[] = {"0",       "70000", "4294974916",
                                 "-1",      "1.5",   "18446744073709551615",
                                 "\"7620\""};

BOOST_DATA_TEST_CASE(odd_port_in_the_settings_is_rejected,
                     data::make(kOddPorts), port) {
  const std::string settings = R"({"node":"f","zone":"a","ip":"10.0.0.1",
      "zones":{"a":"n"},"listen":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
      "internal_ports":[PORT,7635],"heartbeat":"870ms",
      "platform":{"address":"10.0.0.9:9","ttl_min":"1000ms"},
      "bounds":{"grace":"6s","retry_budget_ratio":0.2,"budget_window":"10s",
                "retry_budget_slack":58}})";
  BOOST_REQUIRE(ParseSettings(Replaced(settings, "PORT", "7620")));
  BOOST_TEST(!ParseSettings(Replaced(settings, "PORT", port)));
}

struct OddEntriesFixture : GatewayFixture {
  // Leaves every odd entry under an id of its own.
  void PutOddEntries() {
    int number = 0;
    for (const OddValue& odd : kOddEntries) {
      std::string text = Replaced(kEntry, odd.from, odd.to);
      if (text.find("\"service\":\"s\"") != std::string::npos) {
        text = Replaced(text, "\"service\":\"s\"", "\"service\":\"plain\"");
      }
      store.Put("keyed.servers", "odd-" + std::to_string(number++), text);
    }
    for (const std::string& id : kOddIds) {
      store.Put("keyed.servers", id, plain1.Entry("plain", "ready"));
    }
  }

  void CheckThatTheListIsFollowed() {
    for (int i = 0; i < 20; ++i) {
      BOOST_TEST(Send(Request("/read/x", "a" + std::to_string(i))).status ==
                 200U);
    }
    store.Put("keyed.servers", plain1.id(), plain1.Entry("plain", "draining"));
    RunFor(loop, Milliseconds(2'000));
    const int before = plain1.total_runs();
    for (int i = 0; i < 10; ++i) {
      BOOST_TEST(Send(Request("/read/x", "b" + std::to_string(i))).status ==
                 200U);
    }
    BOOST_TEST(plain1.total_runs() == before);
  }
};

BOOST_FIXTURE_TEST_CASE(gateway_follows_the_list_past_odd_entries,
                        OddEntriesFixture) {
  PutOddEntries();
  RunFor(loop, Milliseconds(1'200));
  CheckThatTheListIsFollowed();
}

BOOST_FIXTURE_TEST_CASE(entry_that_turns_odd_names_no_endpoint,
                        OddEntriesFixture) {
  store.Put("keyed.servers", plain1.id(), Nested(kDeep));
  RunFor(loop, Milliseconds(2'000));
  const int before = plain1.total_runs();
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(Send(Request("/read/x", "c" + std::to_string(i))).status ==
               200U);
  }
  BOOST_TEST(plain1.total_runs() == before);
  store.Put("keyed.servers", plain1.id(), plain1.Entry("plain", "ready"));
  store.Put("keyed.servers", plain2.id(), "{}");
  RunFor(loop, Milliseconds(2'000));
  BOOST_TEST(Send(Request("/read/x", "d")).status == 200U);
  BOOST_TEST(plain1.total_runs() == before + 1);
}

// The bytes parse as a table without ranges; it replaced the table in force.
BOOST_FIXTURE_TEST_CASE(odd_lease_table_does_not_replace_the_one_in_force,
                        GatewayFixture) {
  BOOST_REQUIRE(RunUntil(
      [this] { return Send(Request("/keyed/x", "id-1")).status == 200; }));
  for (const std::string& table :
       {std::string("\x78\x01"), std::string("\xff\xff"), Nested(kDeep)}) {
    store.Put("keyed.balsamhall-leases", "keyed", table);
    for (int i = 0; i < 20; ++i) {
      BOOST_TEST(Send(Request("/keyed/x", "id-2")).status == 200U);
      RunFor(loop, Milliseconds(20));
    }
  }
  RunFor(loop, gateway::LeaseKeeper::kLeaseTime + Milliseconds(500));
  BOOST_TEST(Send(Request("/keyed/x", "id-3")).status == 200U);
}

// A gateway that started later found no table and granted the keys anew.
BOOST_FIXTURE_TEST_CASE(leader_restores_an_overwritten_lease_table,
                        GatewayFixture) {
  BOOST_REQUIRE(RunUntil(
      [this] { return Send(Request("/keyed/x", "id-1")).status == 200; }));
  const auto readable = [this] {
    const auto result = Await<gateway::ReadResult>(loop, [&](auto done) {
      store_client->ReadNewest(gateway::Log::kLeases, done);
    });
    return result.page && result.page->records.size() == 1 &&
           gateway::ParseLeaseTable(*result.page->records[0].value).has_value();
  };
  for (const std::string& odd : {std::string("\xff\xff"), std::string()}) {
    store.Put("keyed.balsamhall-leases", "keyed", odd);
    BOOST_TEST(!readable());
    BOOST_TEST(RunUntil(readable, Milliseconds(2'000)));
    BOOST_TEST(Send(Request("/keyed/x", "id-2")).status == 200U);
  }
}

BOOST_FIXTURE_TEST_CASE(odd_records_of_gateways_do_not_matter, GatewayFixture) {
  const std::string odd[] = {
      "\xff\xff",
      Nested(kDeep),
      "\x78\x01",
      gateway::SerializeGatewayInstance({"a", 1, "127.0.0.1:99999", "a"}),
      gateway::SerializeGatewayInstance({"b", 1, "", "a"}),
      gateway::SerializeGatewayInstance(
          {"c", std::numeric_limits<std::uint64_t>::max(), "x", "a"})};
  int number = 0;
  for (const std::string& record : odd) {
    store.Put("keyed.balsamhall-routers", "odd-" + std::to_string(number++),
              record);
  }
  const auto settings = Settings(addresses, "gateway-2", store_address);
  StoreClient client(loop, settings.store_address, Milliseconds(1'000));
  gateway::Gateway second(
      loop, settings, client, dialect,
      {kConfigKey, ParseOperatorConfig, ParseRegistryEntry});
  BOOST_REQUIRE(second.Start());
  HttpClient second_ready(loop, settings.ready_address, HttpClientOptions{});
  BOOST_TEST(
      RunUntil([&] { return Ready(second_ready); }, Milliseconds(2'000)));
}

BOOST_FIXTURE_TEST_CASE(configuration_in_force_outlasts_odd_ones,
                        GatewayFixture) {
  for (const std::string& odd :
       {Nested(kDeep), std::string("{\"version\":1e999}"),
        std::string("\xff\xfe"), std::string("null")}) {
    store.Put("keyed.op", "config", odd);
  }
  RunFor(loop, Milliseconds(300));
  BOOST_TEST(Send(Request("/read/x", "id-1")).status == 200U);
  json config = Config("0000000a");
  config["routes"]["new"] = Route("/new/", "safe", "plain");
  store.Put("keyed.op", "config", config.dump());
  BOOST_TEST(
      RunUntil([this] { return Send(Request("/new/x", "id-2")).status == 200; },
               Milliseconds(2'500)));
}

}  // namespace
}  // namespace balsamhall::platform
