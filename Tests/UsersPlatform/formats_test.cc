// Tests of the parsers of the platform's formats, with tables of invalid input.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "Config/text_case.h"
#include "http_dialect.h"
#include "json_fields.h"
#include "operator_config.h"
#include "registry_entry.h"
#include "settings.h"
#include "store_client.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;

const char* const kSettings =
    R"({"node": "front-1", "zone": "a", "ip": "10.0.0.1",
  "zones": {"a": "north", "b": "south"},
  "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
  "internal_ports": [7620, 7635], "heartbeat": "870ms",
  "platform": {"address": "10.0.0.9:9", "ttl_min": "1000ms"},
  "bounds": {"grace": "6s", "retry_budget_ratio": 0.2, "budget_window": "10s",
             "retry_budget_slack": 58, "hold_max": "10000ms"},
  "limits": {"cpu_share": 0.1, "memory_mb": 96}, "new": 1})";

BOOST_AUTO_TEST_CASE(settings_are_read) {
  const auto settings = ParseSettings(kSettings);
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings.value().id == "front-1");
  BOOST_TEST(settings.value().peer_address == "10.0.0.1:7620");
  BOOST_TEST(settings.value().memory_bytes == 96'000'000U);
  const auto without =
      ParseSettings(Replaced(kSettings, "memory_mb", "memory"));
  BOOST_REQUIRE(without);
  BOOST_TEST(without.value().memory_bytes ==
             gateway::GatewaySettings().memory_bytes);
  BOOST_TEST((settings.value().stop_grace == Milliseconds(6'000)));
  using gateway::Distance;
  BOOST_TEST((settings.value().DistanceTo("a") == Distance::kSameDataCentre));
  BOOST_TEST((settings.value().DistanceTo("b") == Distance::kOtherRegion));
}

const InvalidTextCase kSettingsErrors[] = {
    {"no node", "\"node\"", "\"nod\"", ResultCode::kSettingsInvalid, "",
     "node"},
    {"time without unit", "870ms", "870", ResultCode::kSettingsInvalid, "",
     "heartbeat"},
    {"ratio as text", "0.2", "\"0.2\"", ResultCode::kSettingsInvalid, "",
     "retry_budget_ratio"},
    {"ports missing", "[7620, 7635]", "[]", ResultCode::kSettingsInvalid, "",
     "internal_ports"},
    {"no memory", "\"memory_mb\": 96", "\"memory_mb\": 0",
     ResultCode::kSettingsInvalid, "", "memory_mb"},
    {"cut short", "\"new\": 1}", "\"new\"", ResultCode::kSettingsInvalid, "",
     "parse"},
};

BOOST_DATA_TEST_CASE(settings_errors, data::make(kSettingsErrors), fault) {
  const auto settings =
      ParseSettings(Replaced(kSettings, fault.from, fault.to));
  BOOST_REQUIRE(!settings);
  BOOST_TEST(settings.error().code == fault.code);
  BOOST_TEST(Detail(settings).find(fault.reason) != std::string::npos);
}

const char* const kEntry = R"({"address":"10.0.0.2:80","born":1700000000000,
  "info":{"service":"s","version":"v1","zone":"a","slots":2},
  "status":{"state":"ready","sequence":4,"warmup_left":"1500ms"}})";

BOOST_AUTO_TEST_CASE(registry_entry_is_read) {
  const auto entry = ParseRegistryEntry("i-1", kEntry);
  BOOST_REQUIRE(entry);
  BOOST_TEST(entry.value().ref.incarnation == 1700000000000);
  BOOST_TEST((entry.value().warm_up_left == Milliseconds(1'500)));
}

const InvalidTextCase kEntryErrors[] = {
    {"unknown state", "\"ready\"", "\"lost\"", ResultCode::kLogRecordMalformed,
     "", "state"},
    {"address without port", "10.0.0.2:80", "10.0.0.2",
     ResultCode::kLogRecordMalformed, "", "address"},
    {"address of another type", "\"10.0.0.2:80\"", "80",
     ResultCode::kLogRecordMalformed, "", "address"},
    {"start as a fraction", "1700000000000", "1.5",
     ResultCode::kLogRecordMalformed, "", "born"},
    {"no slots", "\"slots\":2", "\"slots\":0", ResultCode::kLogRecordMalformed,
     "", "slots"},
    {"no service", "\"service\"", "\"servise\"",
     ResultCode::kLogRecordMalformed, "", "service"},
    {"not JSON", "{\"address\"", "\x01\x02", ResultCode::kLogRecordMalformed,
     "", "parse"},
};

BOOST_DATA_TEST_CASE(registry_entry_errors, data::make(kEntryErrors), fault) {
  const auto entry =
      ParseRegistryEntry("i-1", Replaced(kEntry, fault.from, fault.to));
  BOOST_REQUIRE(!entry);
  BOOST_TEST(Detail(entry).find(fault.reason) != std::string::npos);
}

const char* const kConfig = R"({"version":"0000000c","routes":{"r":{
  "host":"h.example","path_prefix":"/p/","route_type":"safe",
  "timeout":"1000ms","target_latency":"300ms","priority":1,
  "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],
  "max_attempts":2}},
  "services":{"s":{"health_path":"/h","max_connections":110,"sharded":true},
              "t":{"health_path":"/h","max_connections":110}},
  "limits":{"max_header_bytes":1,"max_body_bytes":1,"header_timeout":"3s",
            "idle_timeout":"15s"}})";

BOOST_AUTO_TEST_CASE(configuration_is_read) {
  const auto config = ParseOperatorConfig(kConfig);
  BOOST_REQUIRE_MESSAGE(config, Detail(config));
  BOOST_TEST(config.value().version == 12U);
  BOOST_TEST(config.value().routes[0].services.size() == 2U);
  BOOST_TEST(config.value().services.at("s").sharded_by_key);
}

const InvalidTextCase kConfigErrors[] = {
    {"unknown service", "\"service\":\"t\"", "\"service\":\"u\"",
     ResultCode::kConfigInvalid, "", "unknown service"},
    {"type of route of another JSON type", "\"safe\"", "7",
     ResultCode::kConfigInvalid, "", "route_type"},
    {"negative warm-up rate", "\"sharded\":true", "\"warmup_per_s\":-1",
     ResultCode::kConfigInvalid, "", "warmup_per_s"},
    {"no time-out", "\"timeout\"", "\"time\"", ResultCode::kConfigInvalid, "",
     "timeout"},
    {"no attempts", "\"max_attempts\":2", "\"max_attempts\":0",
     ResultCode::kConfigInvalid, "", "max_attempts"},
    {"no weight", "\"weight\":90", "\"w\":90", ResultCode::kConfigInvalid, "",
     "weight"},
    {"version not hexadecimal", "0000000c", "0000000x",
     ResultCode::kConfigInvalid, "", "version"},
    {"cut short", "\"idle_timeout\":\"15s\"}}", "", ResultCode::kConfigSyntax,
     "", "parse"},
};

BOOST_DATA_TEST_CASE(configuration_errors, data::make(kConfigErrors), fault) {
  const auto config =
      ParseOperatorConfig(Replaced(kConfig, fault.from, fault.to));
  BOOST_REQUIRE(!config);
  BOOST_TEST(config.error().code == fault.code);
  BOOST_TEST(Detail(config).find(fault.reason) != std::string::npos);
}

struct NewerConfigCase {
  const char* name;
  const char* from;
  const char* to;
  bool idempotent;
  bool route_usable;
  bool service_usable;
};

std::ostream& operator<<(std::ostream& out, const NewerConfigCase& c) {
  return out << c.name;
}

const NewerConfigCase kNewerConfigs[] = {
    {"type download", "\"safe\"", "\"download\"", true, true, true},
    {"type unsafe", "\"safe\"", "\"unsafe\"", false, true, true},
    {"unknown type", "\"safe\"", "\"quick\"", false, true, true},
    {"unknown field of a route", "\"max_attempts\":2",
     "\"max_attempts\":2,\"mirror\":[1]", true, true, true},
    {"regions", "\"max_attempts\":2",
     "\"max_attempts\":2,\"allowed_regions\":[\"east\"]", true, true, true},
    {"regions of an unknown form", "\"max_attempts\":2",
     "\"max_attempts\":2,\"allowed_regions\":{\"not\":\"east\"}", true, false,
     true},
    {"regions that are no names", "\"max_attempts\":2",
     "\"max_attempts\":2,\"allowed_regions\":[7]", true, false, true},
    {"known protocol", "\"sharded\":true", "\"protocol\":\"h1\",\"tls\":false",
     true, true, true},
    {"unknown protocol", "\"sharded\":true", "\"protocol\":\"h2\"", true, true,
     false},
    {"TLS", "\"sharded\":true", "\"tls\":true", true, true, false},
};

// Guards against one entry of a newer form that keeps a whole version from
// coming into force. What it asks for is never ignored: an unknown type is not
// repeated, and what cannot be followed is not served.
BOOST_DATA_TEST_CASE(a_newer_entry_does_not_hold_back_a_version,
                     data::make(kNewerConfigs), newer) {
  const auto config =
      ParseOperatorConfig(Replaced(kConfig, newer.from, newer.to));
  BOOST_REQUIRE_MESSAGE(config, Detail(config));
  const gateway::Route& route = config.value().routes[0];
  BOOST_TEST(route.idempotent == newer.idempotent);
  BOOST_TEST(route.unusable.empty() == newer.route_usable);
  BOOST_TEST(config.value().services.at("s").unusable.empty() ==
             newer.service_usable);
}

BOOST_AUTO_TEST_CASE(regions_and_warm_up_are_read) {
  std::string text = Replaced(kConfig, "\"max_attempts\":2",
                              "\"max_attempts\":2,\"allowed_regions\":[\"e\"]");
  text = Replaced(text, "\"sharded\":true",
                  "\"warmup\":\"3s\",\"warmup_per_s\":4.2");
  const auto config = ParseOperatorConfig(text);
  BOOST_REQUIRE_MESSAGE(config, Detail(config));
  BOOST_TEST(
      config.value().routes[0].allowed_regions == std::vector<std::string>{"e"},
      boost::test_tools::per_element());
  const gateway::ServiceSpec& service = config.value().services.at("s");
  BOOST_TEST((service.warm_up == Milliseconds(3'000)));
  BOOST_TEST(service.warm_up_per_second == 4.2);
}

struct DurationCase {
  const char* text;
  int milliseconds;  // -1: not a duration
};

std::ostream& operator<<(std::ostream& out, const DurationCase& c) {
  return out << c.text;
}

const DurationCase kDurations[] = {
    {"1500ms", 1500}, {"2.5s", 2500}, {"0ms", 0},  {"5", -1},
    {"ms", -1},       {"-1s", -1},    {"1 s", -1}, {"1m", -1},
    {"nans", -1},     {"1e99s", -1},  {"", -1},
};

BOOST_DATA_TEST_CASE(durations, data::make(kDurations), duration) {
  const auto parsed = ParseDuration(duration.text);
  BOOST_TEST((parsed ? parsed->count() : -1) == duration.milliseconds);
}

std::string Page(const std::string& records) {
  return std::string("\0\0\0\0\0\0\0\7", 8) + std::string(8, '\0') + records;
}

BOOST_AUTO_TEST_CASE(log_pages_are_read) {
  const auto page = DecodeLogRead(
      Page(std::string("\0\0\0\3\1kv", 7) + std::string("\0\0\0\2\1k", 6)), 5);
  BOOST_REQUIRE(page);
  BOOST_TEST(page.value().log_end == 7U);
  BOOST_TEST(page.value().next == 7U);
  BOOST_REQUIRE(page.value().records.size() == 2U);
  BOOST_TEST(*page.value().records[0].value == "v");
  BOOST_TEST(page.value().records[1].offset == 6U);
  BOOST_TEST(!page.value().records[1].value);
}

const std::string kTruncatedPages[] = {"", std::string(15, '\0'),
                                       Page(std::string("\0\0\0", 3)),
                                       Page(std::string("\0\0\0\5\1kv", 7))};

BOOST_DATA_TEST_CASE(truncated_log_pages, data::make(kTruncatedPages), page) {
  BOOST_TEST(!DecodeLogRead(page, 0));
}

BOOST_AUTO_TEST_CASE(error_responses_have_retry_after) {
  const HttpDialect dialect;
  const auto response =
      dialect.MakeErrorResponse(503, {"id", "", {}, {}}, Milliseconds(1'040),
                                ResultCode::kNotRunQueueFull);
  BOOST_TEST(FindHeader(response.headers, "Retry-After") == "1.040");
  BOOST_TEST(FindHeader(response.headers, "X-Balsamhall-Request-Id") == "id");
}

const gateway::LeaseHolder kHolder{{"i-1", 5}, "10.0.0.1:1"};

// A grant without the endpoint's id was taken by its successor.
BOOST_AUTO_TEST_CASE(lease_calls_name_their_endpoint) {
  const HttpDialect dialect;
  const auto expects = [](const HttpRequest& request) {
    return FindHeader(request.headers, "X-Balsamhall-Expect-Instance");
  };
  gateway::GrantCall grant;
  grant.to = kHolder;
  BOOST_TEST(expects(dialect.ToGrant(grant)) == "i-1");
  gateway::ReleaseCall release;
  release.from = kHolder;
  BOOST_TEST(expects(dialect.ToRelease(release)) == "i-1");
}

struct CallResponseCase {
  const char* name;
  HttpResponse response;
  gateway::CallOutcome outcome;
};

std::ostream& operator<<(std::ostream& out, const CallResponseCase& c) {
  return out << c.name;
}

const CallResponseCase kCallResponses[] = {
    {"done", {200, {}, ""}, gateway::CallOutcome::kDone},
    {"a higher fence", {409, {}, ""}, gateway::CallOutcome::kRefused},
    {"another endpoint",
     {421, {{"X-Balsamhall-Instance-Id", "i-2"}}, ""},
     gateway::CallOutcome::kOtherEndpoint},
    {"a refusal by the endpoint itself",
     {421, {{"X-Balsamhall-Instance-Id", "i-1"}}, ""},
     gateway::CallOutcome::kUnanswered},
    {"a refusal that names no endpoint",
     {421, {{"X-Balsamhall-Not-Executed", "1"}}, ""},
     gateway::CallOutcome::kUnanswered},
    {"an error", {500, {}, ""}, gateway::CallOutcome::kUnanswered},
};

// Only another endpoint's name proves that the holder has ended.
BOOST_DATA_TEST_CASE(responses_to_lease_calls, data::make(kCallResponses),
                     call) {
  const auto result = HttpDialect().ReadCallResult(kHolder.ref, call.response);
  BOOST_TEST((result.outcome == call.outcome));
}

}  // namespace
}  // namespace balsamhall::platform
