#include "router/retry_rule.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <span>
#include <vector>

#include "router/caller_request.h"
#include "router/control_rpc.h"
#include "router/load_meter.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

std::vector<int> AllCodes() {
  std::vector<int> codes;
  for (const ResultCodeInfo& info : ResultCodeTable()) {
    codes.push_back(static_cast<int>(info.code));
  }
  return codes;
}

// Guards against a second execution: a non-idempotent request is retried only
// after a code that proves that it was not executed.
BOOST_DATA_TEST_CASE(OnlyProvedNotRunIsRepeated, data::make(AllCodes()),
                     number) {
  const auto code = static_cast<ResultCode>(number);
  if (!IsNotRun(code)) {
    BOOST_CHECK(RetryRuleOf(code, false) == RetryRule::kNone);
  }
  if (code == ResultCode::kOk) {
    BOOST_CHECK(RetryRuleOf(code, true) == RetryRule::kNone);
  }
}

// Guards against an HTTP status that does not match the result class.
BOOST_DATA_TEST_CASE(EveryCodeHasAStatus, data::make(AllCodes()), number) {
  const unsigned status = HttpStatusOf(static_cast<ResultCode>(number));
  BOOST_CHECK(number == 0 ? status == 200 : status >= 400);
}

struct PathCase {
  std::string target;
  std::string key;  // empty: the path is rejected
};

std::ostream& operator<<(std::ostream& out, const PathCase& path) {
  return out << path.target;
}

// Guards against keys that are truncated, or decoded differently by two
// routers.
BOOST_DATA_TEST_CASE(PathsAreParsed,
                     data::make(std::vector<PathCase>{
                         {"/v1/s/k/a", "a"},
                         {"/v1/s/k/a/b", "a/b"},
                         {"/v1/s/k/a%2Fb", "a/b"},
                         {"/v1/s/k/a%20b?x=1", "a b"},
                         {"/v1/s/k/", ""},
                         {"/v1/s/k", ""},
                         {"/v1/s", ""},
                         {"/v2/s/k/a", ""},
                         {"/v1/s/k/%", ""},
                         {"/v1/s/k/%4", ""},
                         {"/v1/s/k/%zz", ""},
                         {"", ""},
                     }),
                     path) {
  const auto parsed = ParseCallerPath(path.target);
  BOOST_REQUIRE_EQUAL(parsed.has_value(), !path.key.empty());
  if (!parsed) return;
  BOOST_CHECK_EQUAL(parsed.value().key, path.key);
  BOOST_CHECK_EQUAL(parsed.value().service, "s");
  BOOST_CHECK_EQUAL(parsed.value().kind, "k");
}

struct KeyCase {
  const char* given;
  const char* expected;
  bool equal;
};

std::ostream& operator<<(std::ostream& out, const KeyCase& keys) {
  return out << keys.given << " for " << keys.expected;
}

// Guards against accepting a prefix or repetition of the key, or an empty key.
BOOST_DATA_TEST_CASE(OperatorKeysAreCompared,
                     data::make(std::vector<KeyCase>{{"abc", "abc", true},
                                                     {"abd", "abc", false},
                                                     {"ab", "abc", false},
                                                     {"abcabc", "abc", false},
                                                     {"", "abc", false},
                                                     {"", "", false},
                                                     {"a", "", false}}),
                     keys) {
  BOOST_CHECK_EQUAL(OperatorKeysEqual(keys.given, keys.expected), keys.equal);
}

// Guards against load that never decays or is missing from its partition.
BOOST_AUTO_TEST_CASE(LoadDecays) {
  LoadMeter meter(Milliseconds(30'000));
  SteadyTime now{Milliseconds(1'000'000)};
  for (int i = 0; i < 600; ++i) {
    now += Milliseconds(500);
    meter.Add(7, Microseconds(250'000), now);
    meter.Add(std::nullopt, Microseconds(125'000), now);
    meter.Read(now);
  }
  // Partition 7 uses half a slot and other work a quarter. The load is decayed
  // in steps of 500 ms, which causes an error of at most 1%.
  const auto busy = meter.Read(now);
  BOOST_CHECK_CLOSE(busy.by_partition.at(7), 0.5, 2.0);
  BOOST_CHECK_CLOSE(busy.total, 0.75, 2.0);
  const auto idle = meter.Read(now + Milliseconds(90'000));
  BOOST_CHECK_LT(idle.total, 0.75 * 0.06);
}

}  // namespace
}  // namespace balsamhall
