#include "config/sheet.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Config/text_case.h"
#include "config/text_file.h"
#include "core/config_rules.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(Sheet)

constexpr const char* kValid =
    "# exported on Monday\n"
    "customer,name\n"
    "customer,\"Test, Ltd.\"\n"
    "\n"
    "service,Name,divided by key,partitions\n"
    "service,lookup,yes,64\n"
    "endpoint,service,name,data centre,region,address,slots,connections,"
    "checks fences,vm\n"
    "endpoint,lookup,lookup-1,d1,r1,127.0.0.1:7001,2,100,yes,vm-1\n"
    "endpoint,lookup,lookup-2,d2,r1,127.0.0.1:7002,2,100,no\n"
    "kind,service,name,rank,target ms,deadline ms,idempotent,long running\n"
    "kind,lookup,read,normal,100,1000,yes,no\n"
    "policy,name,value\n"
    "policy,floor normal,10%\n"
    "policy,retry ratio,0.05\n"
    "policy,link kbit per s,20000\n";

constexpr auto kSheet = ResultCode::kSheetInvalid;
constexpr auto kRule = ResultCode::kConfigInvalid;

// Guards against an invalid sheet that is misread instead of rejected. The
// location is "row:column"; column 0 is the whole row, row 0 the whole sheet.
const InvalidTextCase kInvalidSheets[] = {
    {"unknown section", "kind,lookup", "kinds,lookup", kSheet, "11:1",
     "not a section"},
    {"semicolons", "customer,name", "customer;name", kSheet, "2:1",
     "export the sheet with \",\""},
    {"unknown column", "target ms", "target", kSheet, "10:5",
     "not a column of section kind"},
    {"missing column", ",partitions", "", kSheet, "5:0",
     "lacks column \"partitions\""},
    {"column twice", "target ms", "deadline ms", kSheet, "10:6",
     "appears twice"},
    {"value beside the columns", "lookup,yes,64", "lookup,yes,64,65", kSheet,
     "6:5", "no column name"},
    {"missing value", "read,normal,100", "read,normal,", kSheet, "11:5",
     "target_ms is missing"},
    {"row too short", "127.0.0.1:7002,2,100,no", "127.0.0.1:7002,2", kSheet,
     "9:8", "connections is missing"},
    {"number with separator", "yes,64", "yes,\"1,024\"", kSheet, "6:4",
     "not a whole number"},
    {"negative number", "7001,2,", "7001,-2,", kSheet, "8:7",
     "not a whole number"},
    {"number too large", "7001,2,", "7001,4294967296,", kSheet, "8:7",
     "not a whole number"},
    {"flag", "lookup,yes", "lookup,maybe", kSheet, "6:3", "neither yes nor no"},
    {"rank", "read,normal", "read,first", kSheet, "11:4", "not urgent"},
    {"unknown service of an endpoint", "endpoint,lookup,lookup-1",
     "endpoint,look-up,lookup-1", kSheet, "8:2", "not the name of a service"},
    {"unknown service of a kind", "kind,lookup", "kind,lookups", kSheet, "11:2",
     "not the name of a service"},
    {"unknown policy", "floor normal", "floor urgent", kSheet, "13:2",
     "not a policy"},
    {"policy twice", "retry ratio", "floor normal", kSheet, "14:2",
     "already set in row 13"},
    {"policy no number", "10%", "ten", kSheet, "13:3", "not a number"},
    {"decimal comma", "0.05", "\"0,05\"", kSheet, "14:3", "not a number"},
    {"two customers", "\nservice,Name", "\ncustomer,Other\nservice,Name",
     kSheet, "5:0", "one customer"},
    {"no customer", "customer,\"Test, Ltd.\"\n", "", kSheet, "0:0",
     "customer is missing"},
    {"quote not doubled", "\"Test, Ltd.\"", "\"Test\" Ltd.", kSheet, "3:2",
     "quote"},
    {"quote not closed", "\"Test, Ltd.\"", "\"Test", kSheet, "3:2",
     "not closed"},
    {"line break in a cell", "\"Test, Ltd.\"", "\"Test,\nLtd.\"", kSheet, "3:2",
     "line break"},
    {"not UTF-8", "Test, Ltd.", "\xD3\xF4\xDC\xF3\xE9\xEC\xEF", kSheet, "3:2",
     "not UTF-8"},
    {"rule: duplicate endpoint", "lookup-2", "lookup-1", kRule, "9:3",
     "already used"},
    {"rule: address", "127.0.0.1:7002", "localhost", kRule, "9:6",
     "literal ip:port"},
    {"rule: partitions", "yes,64", "yes,65", kRule, "6:4", "power of two"},
    {"rule: share", "10%", "110%", kRule, "13:3", "share from 0 to 1"},
    {"rule: target above the deadline", "100,1000", "2000,1000", kRule, "11:5",
     "exceeds the deadline"},
    {"rule: service without a kind",
     "kind,lookup,read,normal,100,1000,yes,no\n", "", kRule, "6:0",
     "at least one kind"},
};

BOOST_DATA_TEST_CASE(ErrorNamesItsCell, data::make(kInvalidSheets), test) {
  const auto result = ParseSheet(Replaced(kValid, test.from, test.to));
  const auto text = DescribeSheetErrors(result.errors);
  const bool found =
      std::ranges::any_of(result.errors, [&](const SheetError& reported) {
        return fmt::format("{}:{}", reported.row, reported.column) ==
                   test.location &&
               reported.reason.find(test.reason) != std::string::npos &&
               reported.code == test.code;
      });
  BOOST_TEST(found, text);
}

// Guards against cascading errors: many reports of one mistake hide others.
BOOST_DATA_TEST_CASE(OneMistakeGivesFewErrors, data::make(kInvalidSheets),
                     test) {
  const auto result = ParseSheet(Replaced(kValid, test.from, test.to));
  BOOST_TEST(result.errors.size() <= 2U, DescribeSheetErrors(result.errors));
}

// Guards against a lost or misread cell of a valid sheet.
BOOST_AUTO_TEST_CASE(ValidSheetIsRead) {
  const auto [config, errors] = ParseSheet(kValid);
  BOOST_REQUIRE_MESSAGE(errors.empty(), DescribeSheetErrors(errors));
  BOOST_TEST(config.customer() == "Test, Ltd.");
  BOOST_REQUIRE_EQUAL(config.services_size(), 1);
  const auto& service = config.services(0);
  BOOST_TEST(service.keyed());
  BOOST_TEST(service.partitions() == 64U);
  BOOST_REQUIRE_EQUAL(service.endpoints_size(), 2);
  BOOST_TEST(service.endpoints(0).vm() == "vm-1");
  BOOST_TEST(service.endpoints(0).checks_fences());
  BOOST_TEST(service.endpoints(1).address() == "127.0.0.1:7002");
  BOOST_TEST(!service.endpoints(1).checks_fences());
  BOOST_TEST(service.kinds(0).rank() == schema::RANK_NORMAL);
  BOOST_TEST(service.kinds(0).deadline_ms() == 1000U);
  BOOST_TEST(config.policy().floor_normal() == 0.1);
  BOOST_TEST(config.policy().retry_ratio() == 0.05);
  BOOST_TEST(config.policy().link_kbit_per_s() == 20'000U);
  BOOST_TEST(config.policy().link_share_urgent() ==
             DefaultPolicy().link_share_urgent());
}

// Guards against exports of other programs that are read differently: with a
// byte order mark, CRLF, trailing separators and no line end at the end of the
// file.
BOOST_AUTO_TEST_CASE(ExportFormsGiveTheSameConfiguration) {
  std::string windows = "\xEF\xBB\xBF";
  for (const char c : std::string(kValid)) {
    if (c == '\n') windows += ",,\r";
    windows += c;
  }
  windows.resize(windows.size() - 2);
  const auto expected = ParseSheet(kValid);
  const auto actual = ParseSheet(windows);
  BOOST_TEST(actual.errors.empty(), DescribeSheetErrors(actual.errors));
  BOOST_TEST(ConfigToJson(actual.config, true) ==
             ConfigToJson(expected.config, true));
}

// Guards against a syntax error that hides the errors after it.
BOOST_AUTO_TEST_CASE(AllErrorsAreReportedAtOnce) {
  std::string text = Replaced(kValid, "\"Test, Ltd.\"", "\"Test\" Ltd.");
  text = Replaced(text, "7001,2,", "7001,x,");
  text = Replaced(text, "lookup,yes", "lookup,maybe");
  text = Replaced(text, "127.0.0.1:7002", "nowhere");
  const auto result = ParseSheet(text);
  const auto has = [&](std::size_t row, std::size_t column) {
    return std::ranges::any_of(result.errors, [&](const SheetError& error) {
      return error.row == row && error.column == column;
    });
  };
  BOOST_TEST(has(3, 2));
  BOOST_TEST(has(6, 3));
  BOOST_TEST(has(8, 7));
  BOOST_TEST(has(9, 6));
}

// Guards against a crash or an endless loop on text that is not a sheet.
BOOST_AUTO_TEST_CASE(MalformedTextGivesErrors) {
  const std::string many_quotes(100'000, '"');
  for (const std::string& text :
       {std::string(), std::string("\n\n\n"), std::string("{\"a\": 1}"),
        std::string(1000, ','), many_quotes, std::string(5000, '\0'),
        std::string("a\"b\n") + std::string(5000, '\n')}) {
    BOOST_TEST(!ParseSheet(text).errors.empty());
  }
}

// Guards against example sheets that violate the rules, and against a JSON
// example that was not regenerated after a change of its sheet.
BOOST_DATA_TEST_CASE(ExamplesAreValidAndConverted,
                     data::make({"association", "stasimo"}), name) {
  const auto sheet = ReadTextFile(fmt::format("Examples/{}.csv", name));
  BOOST_REQUIRE(sheet);
  const auto result = ParseSheet(sheet.value());
  BOOST_TEST(result.errors.empty(), DescribeSheetErrors(result.errors));
  const auto json = ReadTextFile(fmt::format("Examples/{}.json", name));
  BOOST_REQUIRE(json);
  BOOST_TEST(ConfigToJson(result.config, true) == json.value());
  BOOST_TEST(ParseConfig(json.value()).has_value());
}

struct Deployment {
  const char* service;
  int endpoints;
  unsigned slots;
};

std::ostream& operator<<(std::ostream& stream, const Deployment& deployment) {
  return stream << deployment.service;
}

// Guards against examples whose sizes differ from those of the deployments in
// section 1.5 of docs/design.md.
const Deployment kDeployments[] = {
    {"lookup", 12, 2},  {"transfer", 8, 2},      {"disposal", 8, 2},
    {"archive", 9, 2},  {"inventory", 9, 3},     {"field-operations", 8, 3},
    {"bookings", 8, 3}, {"photo-archive", 8, 3},
};

BOOST_DATA_TEST_CASE(ExamplesHaveTheDeployedSizes, data::make(kDeployments),
                     deployment) {
  int found = 0;
  for (const char* name : {"association", "stasimo"}) {
    const auto text = ReadTextFile(fmt::format("Examples/{}.csv", name));
    BOOST_REQUIRE(text);
    const auto sheet = ParseSheet(text.value());
    for (const auto& service : sheet.config.services()) {
      if (service.name() != deployment.service) continue;
      ++found;
      BOOST_TEST(service.endpoints_size() == deployment.endpoints);
      for (const auto& endpoint : service.endpoints()) {
        BOOST_TEST(endpoint.slots() == deployment.slots);
        BOOST_TEST(endpoint.connections() == 100U);
      }
    }
  }
  BOOST_TEST(found == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
