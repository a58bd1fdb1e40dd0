#include "core/config_rules.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Config/text_case.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(ConfigRules)

constexpr const char* kValid = R"({
  "customer": "Test",
  "services": [
    {"name": "lookup", "keyed": true, "partitions": 64,
     "endpoints": [
       {"name": "lookup-1", "data_centre": "d1", "region": "r1",
        "address": "127.0.0.1:7001", "slots": 2, "connections": 100,
        "checks_fences": true},
       {"name": "lookup-2", "data_centre": "d2", "region": "r1",
        "address": "[::1]:7002", "slots": 2, "connections": 100}],
     "kinds": [
       {"name": "read", "rank": "RANK_NORMAL", "target_ms": 100,
        "deadline_ms": 1000, "idempotent": true},
       {"name": "scan", "rank": "RANK_BACKGROUND", "target_ms": 500,
        "deadline_ms": 500, "idempotent": true}]},
    {"name": "transfer", "partitions": 1,
     "endpoints": [
       {"name": "transfer-1", "data_centre": "d1", "region": "r1",
        "address": "127.0.0.1:7003", "slots": 1, "connections": 1}],
     "kinds": [
       {"name": "read", "target_ms": 1, "deadline_ms": 1}]}],
  "policy": {"floor_normal": 0.4, "floor_background": 0.1,
    "retry_ratio": 0.1, "churn_per_minute": 0.02, "move_threshold": 1.1,
    "churn_weight": 1, "service_weight": 1, "link_kbit_per_s": 30000,
    "link_share_urgent": 0.6, "link_share_normal": 0.3,
    "link_share_background": 0.1}
})";

constexpr auto kInvalid = ResultCode::kConfigInvalid;
constexpr auto kSyntax = ResultCode::kConfigSyntax;

// Guards against a configuration that some reader of the log would reject or
// that routes requests wrongly: each case violates one rule and names its
// field.
const InvalidTextCase kInvalidConfigs[] = {
    {"no JSON", "{", "", kSyntax, "", ""},
    {"unknown field", "\"customer\"", "\"costumer\"", kSyntax, "costumer",
     "Cannot find field"},
    {"text for a number", "\"slots\": 2", "\"slots\": \"two\"", kSyntax,
     "slots", "two"},
    {"negative number", "\"slots\": 2", "\"slots\": -2", kSyntax, "slots",
     "-2"},
    {"number too large", "\"slots\": 2", "\"slots\": 4294967296", kSyntax,
     "slots", "4294967296"},
    {"list for an object", "\"policy\": {\"floor_normal\": 0.4,",
     "\"policy\": [{\"floor_normal\": 0.4,", kSyntax, "", ""},
    {"unknown rank name", "RANK_NORMAL", "RANK_FIRST", kSyntax, "rank",
     "RANK_FIRST"},
    {"unknown rank number", "\"RANK_NORMAL\"", "7", kInvalid,
     "services[0].kinds[0].rank", "7"},
    {"duplicate service", "\"transfer\",", "\"lookup\",", kInvalid,
     "services[1].name", "already used by services[0].name"},
    {"missing service name", "\"name\": \"lookup\", ", "", kInvalid,
     "services[0].name", "missing"},
    {"service name with slash", "\"lookup\"", "\"look/up\"", kInvalid,
     "services[0].name", "not a name"},
    {"service name with blank", "\"lookup\"", "\"look up\"", kInvalid,
     "services[0].name", "not a name"},
    {"service name with escape", "\"lookup\"", "\"look%20up\"", kInvalid,
     "services[0].name", "not a name"},
    {"service name of a parent folder", "\"lookup\"", "\"..\"", kInvalid,
     "services[0].name", "not a name"},
    {"partitions 0", "\"partitions\": 64", "\"partitions\": 0", kInvalid,
     "services[0].partitions", "power of two"},
    {"partitions 63", "\"partitions\": 64", "\"partitions\": 63", kInvalid,
     "services[0].partitions", "power of two"},
    {"partitions above the bound", "\"partitions\": 64",
     "\"partitions\": 2097152", kInvalid, "services[0].partitions",
     "power of two"},
    {"duplicate endpoint in a service", "\"lookup-2\"", "\"lookup-1\"",
     kInvalid, "services[0].endpoints[1].name", "already used"},
    {"duplicate endpoint over services", "\"transfer-1\"", "\"lookup-1\"",
     kInvalid, "services[1].endpoints[0].name", "already used"},
    {"duplicate address", "127.0.0.1:7003", "127.0.0.1:7001", kInvalid,
     "services[1].endpoints[0].address", "already used"},
    {"address with a host name", "127.0.0.1:7001", "localhost:7001", kInvalid,
     "services[0].endpoints[0].address", "literal ip:port"},
    {"address without a port", "127.0.0.1:7001", "127.0.0.1", kInvalid,
     "services[0].endpoints[0].address", "literal ip:port"},
    {"address with port 0", "127.0.0.1:7001", "127.0.0.1:0", kInvalid,
     "services[0].endpoints[0].address", "literal ip:port"},
    {"address with port 65536", "127.0.0.1:7001", "127.0.0.1:65536", kInvalid,
     "services[0].endpoints[0].address", "literal ip:port"},
    {"IPv6 address without brackets", "[::1]:7002", "::1:7002", kInvalid,
     "services[0].endpoints[1].address", "literal ip:port"},
    {"no data centre", "\"data_centre\": \"d1\", ", "", kInvalid,
     "services[0].endpoints[0].data_centre", "missing"},
    {"no region", "\"region\": \"r1\",", "", kInvalid,
     "services[0].endpoints[0].region", "missing"},
    {"no slots", "\"slots\": 2", "\"slots\": 0", kInvalid,
     "services[0].endpoints[0].slots", "at least 1"},
    {"no connections", "\"connections\": 100", "\"connections\": 0", kInvalid,
     "services[0].endpoints[0].connections", "at least 1"},
    {"duplicate kind", "\"scan\"", "\"read\"", kInvalid,
     "services[0].kinds[1].name", "already used"},
    {"no deadline", "\"deadline_ms\": 1000", "\"deadline_ms\": 0", kInvalid,
     "services[0].kinds[0].deadline_ms", "at least 1"},
    {"no target", "\"target_ms\": 100,", "", kInvalid,
     "services[0].kinds[0].target_ms", "at least 1"},
    {"target above the deadline", "\"target_ms\": 500", "\"target_ms\": 501",
     kInvalid, "services[0].kinds[1].target_ms", "exceeds the deadline"},
    {"floor below 0", "\"floor_background\": 0.1", "\"floor_background\": -0.1",
     kInvalid, "policy.floor_background", "share from 0 to 1"},
    {"floor not a number", "\"floor_background\": 0.1",
     "\"floor_background\": \"NaN\"", kInvalid, "policy.floor_background",
     "share from 0 to 1"},
    {"floors above a half", "\"floor_background\": 0.1",
     "\"floor_background\": 0.11", kInvalid, "policy.floor_normal", "0.51"},
    {"retry ratio above 1", "\"retry_ratio\": 0.1", "\"retry_ratio\": 10",
     kInvalid, "policy.retry_ratio", "share from 0 to 1"},
    {"churn above 1", "\"churn_per_minute\": 0.02", "\"churn_per_minute\": 2",
     kInvalid, "policy.churn_per_minute", "share from 0 to 1"},
    {"threshold below 1", "\"move_threshold\": 1.1", "\"move_threshold\": 0.9",
     kInvalid, "policy.move_threshold", "1 or more"},
    {"weight below 0", "\"churn_weight\": 1", "\"churn_weight\": -1", kInvalid,
     "policy.churn_weight", "0 or more"},
    {"weight infinite", "\"service_weight\": 1",
     "\"service_weight\": \"Infinity\"", kInvalid, "policy.service_weight",
     "0 or more"},
    {"no link rate", "\"link_kbit_per_s\": 30000", "\"link_kbit_per_s\": 0",
     kInvalid, "policy.link_kbit_per_s", "at least 1"},
    {"link shares above 1", "\"link_share_normal\": 0.3",
     "\"link_share_normal\": 0.31", kInvalid, "policy.link_share_urgent",
     "exceeds 1"},
};

BOOST_DATA_TEST_CASE(ErrorNamesTheViolatedRule, data::make(kInvalidConfigs),
                     test) {
  const auto result = ParseConfig(Replaced(kValid, test.from, test.to));
  BOOST_REQUIRE(!result);
  BOOST_TEST(result.error().code == test.code);
  BOOST_TEST_INFO(result.error().detail);
  BOOST_TEST(result.error().detail.find(test.location) != std::string::npos);
  BOOST_TEST_INFO(result.error().detail);
  BOOST_TEST(result.error().detail.find(test.reason) != std::string::npos);
}

// Guards against rules so strict that a correct configuration is rejected: the
// values at the limits are accepted.
BOOST_AUTO_TEST_CASE(ValidConfigurationIsAccepted) {
  const auto result = ParseConfig(kValid);
  BOOST_REQUIRE_MESSAGE(result, Detail(result));
  BOOST_TEST(result.value().services_size() == 2);
  BOOST_TEST(result.value().services(0).kinds(0).name() == "read");
}

// Guards against an operator who has to correct one error per attempt while
// another operator publishes: all errors are reported at once, in the order of
// the text.
BOOST_AUTO_TEST_CASE(AllErrorsAreReportedAtOnce) {
  std::string text = Replaced(kValid, "\"slots\": 2", "\"slots\": 0");
  text = Replaced(text, "\"partitions\": 64", "\"partitions\": 5");
  text = Replaced(text, "\"retry_ratio\": 0.1", "\"retry_ratio\": 7");
  const auto result = ParseConfig(text);
  BOOST_REQUIRE(!result);
  const auto& detail = result.error().detail;
  const auto first = detail.find("services[0].partitions: ");
  const auto second = detail.find("services[0].endpoints[0].slots: ");
  const auto third = detail.find("policy.retry_ratio: ");
  BOOST_REQUIRE(third != std::string::npos);
  BOOST_TEST(first < second);
  BOOST_TEST(second < third);
}

// Guards against a configuration without services, such as an incomplete
// export: it would leave every key without an owner.
BOOST_AUTO_TEST_CASE(EmptyConfigurationIsRefused) {
  for (const char* text : {"", "{}", "[]", "null", "{\"services\": []}"}) {
    BOOST_TEST(!ParseConfig(text).has_value(), text);
  }
}

// Guards against zero floors and a zero link rate if a configuration omits the
// policy.
BOOST_AUTO_TEST_CASE(MissingPolicyTakesDefaults) {
  auto config = ParseConfig(kValid).value();
  config.clear_policy();
  BOOST_TEST(CheckConfig(config).empty());
  *config.mutable_policy() = DefaultPolicy();
  BOOST_TEST(CheckConfig(config).empty());
}

struct ChangeCase {
  const char* name;
  const char* from;
  const char* to;
  const char* path;  // empty: the change is allowed
};

std::ostream& operator<<(std::ostream& stream, const ChangeCase& change) {
  return stream << change.name;
}

// Guards against a valid configuration that must not replace the one in force:
// a new number of partitions would give keys two owners during the change.
const ChangeCase kChanges[] = {
    {"nothing", "", "", ""},
    {"other partitions", "\"partitions\": 64", "\"partitions\": 128",
     "services[0].partitions"},
    {"other service of an endpoint", "\"lookup\"", "\"search\"",
     "services[0].endpoints[0].name"},
    {"fences no longer checked", "\"checks_fences\": true",
     "\"checks_fences\": false", "services[0].endpoints[0].checks_fences"},
    {"new endpoint", "\"lookup-2\"", "\"lookup-3\"", ""},
    {"other address", "127.0.0.1:7001", "127.0.0.1:7009", ""},
    {"other policy", "\"retry_ratio\": 0.1", "\"retry_ratio\": 0.2", ""},
};

BOOST_DATA_TEST_CASE(ForbiddenChangeIsNamed, data::make(kChanges), change) {
  const auto old_config = ParseConfig(kValid).value();
  const auto new_config = ParseConfig(Replaced(kValid, change.from, change.to));
  BOOST_REQUIRE(new_config);
  const auto errors = CheckConfigChange(old_config, new_config.value());
  if (*change.path == '\0') {
    BOOST_TEST(errors.empty(), DescribeConfigErrors(errors));
  } else {
    BOOST_REQUIRE(!errors.empty());
    BOOST_TEST(errors.front().path == change.path);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
