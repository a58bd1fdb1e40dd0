#include "config/settings_loader.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "Config/text_case.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(SettingsLoader)

constexpr const char* kValid = R"({
  "id": "router-1", "data_centre": "d1", "region": "r1",
  "caller_address": "127.0.0.1:8001", "peer_address": "127.0.0.1:8002",
  "forward_address": "127.0.0.1:8003", "control_address": "127.0.0.1:8004",
  "log_address": "127.0.0.1:9001", "vm_list_address": "127.0.0.1:9002",
  "traffic_threads": 2, "operator_key": "secret-value",
  "operator_key_env": "BALSAMHALL_TEST_KEY", "log_level": "info",
  "max_caller_connections": 100, "max_header_bytes": 8192,
  "max_body_bytes": 1048576, "memory_limit_mib": 256,
  "trace_capacity_spans": 1000
})";

constexpr auto kInvalid = ResultCode::kSettingsInvalid;

// Guards against a router that starts with settings that make it unreachable or
// set unsafe limits.
const InvalidTextCase kInvalidSettings[] = {
    {"no JSON", "{", "", kInvalid, "", ""},
    {"unknown field", "\"traffic_threads\"", "\"trafic_threads\"", kInvalid,
     "trafic_threads", "Cannot find field"},
    {"no id", "\"id\": \"router-1\",", "", kInvalid, "id", "not a name"},
    {"id with blank", "router-1", "router 1", kInvalid, "id", "not a name"},
    {"no data centre", "\"data_centre\": \"d1\",", "", kInvalid, "data_centre",
     "not a name"},
    {"no region", "\"region\": \"r1\",", "", kInvalid, "region", "not a name"},
    {"caller host name", "127.0.0.1:8001", "here:8001", kInvalid,
     "caller_address", "literal ip:port"},
    {"peer port 0", "127.0.0.1:8002", "127.0.0.1:0", kInvalid, "peer_address",
     "literal ip:port"},
    {"forward without port", "127.0.0.1:8003", "127.0.0.1", kInvalid,
     "forward_address", "literal ip:port"},
    {"control missing", "\"control_address\": \"127.0.0.1:8004\",", "",
     kInvalid, "control_address", "literal ip:port"},
    {"log missing", "\"log_address\": \"127.0.0.1:9001\",", "", kInvalid,
     "log_address", "literal ip:port"},
    {"list missing", ", \"vm_list_address\": \"127.0.0.1:9002\"", "", kInvalid,
     "vm_list_address", "literal ip:port"},
    {"same address twice", "127.0.0.1:8004", "127.0.0.1:8001", kInvalid,
     "control_address", "already used by caller_address"},
    {"threads too many", "\"traffic_threads\": 2", "\"traffic_threads\": 1000",
     kInvalid, "traffic_threads", "1000"},
    {"header bound too small", "\"max_header_bytes\": 8192",
     "\"max_header_bytes\": 10", kInvalid, "max_header_bytes", "10"},
    {"body bound too large", "\"max_body_bytes\": 1048576",
     "\"max_body_bytes\": 4000000000", kInvalid, "max_body_bytes",
     "4000000000"},
    {"memory bound too small", "\"memory_limit_mib\": 256",
     "\"memory_limit_mib\": 1", kInvalid, "memory_limit_mib", "1"},
    {"unknown log level", "\"info\"", "\"loud\"", kInvalid, "log_level",
     "loud"},
    {"no operator key", "\"operator_key\": \"secret-value\",", "", kInvalid,
     "operator_key", "BALSAMHALL_TEST_KEY"},
};

BOOST_DATA_TEST_CASE(ErrorNamesTheInvalidSetting, data::make(kInvalidSettings),
                     test) {
  const auto result = ParseSettings(Replaced(kValid, test.from, test.to));
  BOOST_REQUIRE(!result);
  const auto& detail = result.error().detail;
  BOOST_TEST(result.error().code == test.code);
  BOOST_TEST(detail.find(test.location) != std::string::npos, detail);
  BOOST_TEST(detail.find(test.reason) != std::string::npos, detail);
}

// Guards against an operator key that appears in a log line or on a terminal
// through the error text.
BOOST_DATA_TEST_CASE(ErrorsNeverShowTheOperatorKey,
                     data::make(kInvalidSettings), test) {
  const auto result = ParseSettings(Replaced(kValid, test.from, test.to));
  BOOST_REQUIRE(!result);
  BOOST_TEST(result.error().detail.find("secret-value") == std::string::npos);
}

// Guards against limits of 0 if the file omits them.
BOOST_AUTO_TEST_CASE(MissingLimitsTakeDefaults) {
  std::string text = Replaced(kValid, "\"max_header_bytes\": 8192,", "");
  text = Replaced(text, "\"log_level\": \"info\",", "");
  text = Replaced(text, "\"traffic_threads\": 2,", "");
  const auto result = ParseSettings(text);
  BOOST_REQUIRE_MESSAGE(result, Detail(result));
  BOOST_TEST(result.value().max_header_bytes() == 8192U);
  BOOST_TEST(result.value().log_level() == "info");
  BOOST_TEST(result.value().traffic_threads() >= 1U);
}

// Guards against an operator key that has to be stored in the settings file: it
// may come from the environment variable that operator_key_env names.
BOOST_AUTO_TEST_CASE(OperatorKeyComesFromTheEnvironment) {
  ::setenv("BALSAMHALL_TEST_KEY", "from-environment", 1);
  const auto result = ParseSettings(
      Replaced(kValid, "\"operator_key\": \"secret-value\",", ""));
  ::unsetenv("BALSAMHALL_TEST_KEY");
  BOOST_REQUIRE_MESSAGE(result, Detail(result));
  BOOST_TEST(result.value().operator_key() == "from-environment");
}

// Guards against a crash or a router with empty settings if the path is wrong.
BOOST_AUTO_TEST_CASE(MissingFileIsReported) {
  for (const char* path : {"does-not-exist.json", "/", ""}) {
    const auto result = LoadSettings(path);
    BOOST_REQUIRE(!result);
    BOOST_TEST(result.error().code == ResultCode::kOperatorFileMissing);
  }
}

// Guards against an example file that a router no longer accepts.
BOOST_AUTO_TEST_CASE(ExampleIsValid) {
  ::setenv("BALSAMHALL_OPERATOR_KEY", "key", 1);
  const auto result = LoadSettings("Examples/router.json");
  ::unsetenv("BALSAMHALL_OPERATOR_KEY");
  BOOST_REQUIRE_MESSAGE(result, Detail(result));
  BOOST_TEST(result.value().operator_key() == "key");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
