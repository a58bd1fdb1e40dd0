// Pages of the store with items that can't be read. The good items beside them
// are delivered.
#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "StandIn/await.h"
#include "StandIn/http_reply.h"
#include "StandIn/mutation.h"
#include "net/http_server.h"
#include "net/percent_encoding.h"
#include "store_client.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;
using gateway::Log;
using gateway::ReadResult;

// Base64 of "v".
const char* const kValue = "dg==";

std::string Item(const std::string& key, int offset) {
  return R"({"key":")" + key + R"(","value":")" + kValue + R"(","offset":)" +
         std::to_string(offset) + "}";
}

std::string Page(const std::string& items, bool more = false) {
  return R"({"items":[)" + items + R"(],"more":)" + (more ? "true" : "false") +
         R"(,"end":9})";
}

struct PageFixture {
  // Returns the result of a read of the newest records. page: body of the
  // response to a read after this key.
  ReadResult ReadNewest(std::function<std::string(const std::string&)> page) {
    HttpServer server(
        loop, HttpServerOptions{},
        [&](const HttpRequest& request, const HttpServer::Respond& respond) {
          targets.push_back(request.target);
          // A read that never ends is no result either.
          if (targets.size() > kMaxReads) return respond({503, {}, ""});
          const auto after = stand_in::Target(request.target).Text("after");
          respond({200, {}, page(PercentDecode(after).value_or(after))});
        });
    const auto port = server.Listen("127.0.0.1:0").value();
    StoreClient client(loop, "127.0.0.1:" + std::to_string(port),
                       Milliseconds(1'000));
    return Await<ReadResult>(loop, [&](auto done) {
      client.ReadNewest(Log::kEndpointRegistry, done);
    });
  }

  static std::string Keys(const ReadResult& result) {
    std::string keys;
    for (const auto& record : result.page->records) keys += record.key + " ";
    return keys;
  }

  static constexpr std::size_t kMaxReads = 20;
  boost::asio::io_context loop{1};
  std::vector<std::string> targets;
};

struct OddItem {
  std::string name;
  std::string text;
};

std::ostream& operator<<(std::ostream& out, const OddItem& item) {
  return out << item.name;
}

const std::vector<OddItem> kOddItems = {
    {"nested arrays", stand_in::Nested(300'000)},
    {"nested value",
     R"({"key":"b","offset":1,"value":)" + stand_in::Nested(300'000) + "}"},
    {"value that is not base64", R"({"key":"b","value":"*","offset":1})"},
    {"value of another type", R"({"key":"b","value":1,"offset":1})"},
    {"no value", R"({"key":"b","offset":1})"},
    {"no key", R"({"value":"dg==","offset":1})"},
    {"key of another type", R"({"key":[1],"value":"dg==","offset":1})"},
    {"no offset", R"({"key":"b","value":"dg=="})"},
    {"negative offset", R"({"key":"b","value":"dg==","offset":-1})"},
    {"offset too large for int64",
     R"({"key":"b","value":"dg==","offset":18446744073709551615})"},
    {"offset too large for any integer",
     R"({"key":"b","value":"dg==","offset":99999999999999999999999})"},
    {"offset as a fraction", R"({"key":"b","value":"dg==","offset":1.5})"},
    {"null", "null"},
    {"text", "\"b\""},
};

// One such item failed the whole page, and nobody followed the list any more.
BOOST_DATA_TEST_CASE_F(PageFixture, odd_item_does_not_fail_its_page,
                       data::make(kOddItems), odd) {
  const auto result = ReadNewest([&](const std::string&) {
    return Page(Item("a", 0) + "," + odd.text + "," + Item("z", 2));
  });
  BOOST_REQUIRE_MESSAGE(result.page, result.detail);
  BOOST_TEST(Keys(result) == "a z ");
  BOOST_TEST(result.page->next == 9U);
  BOOST_REQUIRE(result.page->rejected.size() == 1U);
  BOOST_TEST(!result.page->rejected[0].detail.empty());
}

BOOST_FIXTURE_TEST_CASE(odd_item_does_not_end_the_reading, PageFixture) {
  const auto result = ReadNewest([](const std::string& after) {
    if (after.empty()) {
      return Page(Item("a", 0) + "," + Item("b", 1) + ",{}", true);
    }
    return Page(after == "b" ? Item("c", 2) : Item("x", 3));
  });
  BOOST_REQUIRE_MESSAGE(result.page, result.detail);
  BOOST_TEST(Keys(result) == "a b c ");
  BOOST_TEST(result.page->is_snapshot);
}

const std::string kKeysToEscape[] = {"a&b=c", "a b", "a%41",
                                     "a#b",   "a+b", "\xc3\xa9"};

// The next page was requested after another key, the first one came again, and
// the read never ended.
BOOST_DATA_TEST_CASE_F(PageFixture, reading_continues_after_any_key,
                       data::make(kKeysToEscape), key) {
  const auto result = ReadNewest([&](const std::string& after) {
    return after == key ? Page(Item("z", 2))
                        : Page(Item("a", 0) + "," + Item(key, 1), true);
  });
  BOOST_REQUIRE_MESSAGE(result.page, result.detail);
  BOOST_TEST(Keys(result) == "a " + key + " z ");
  BOOST_TEST(targets.size() == 2U);
}

const std::string kPagesWithoutEnd[] = {Page(Item("a", 0), true),
                                        Page("", true), Page("{}", true)};

BOOST_DATA_TEST_CASE_F(PageFixture, pages_that_do_not_advance_are_no_result,
                       data::make(kPagesWithoutEnd), page) {
  const auto result = ReadNewest([&](const std::string&) { return page; });
  BOOST_TEST(!result.page);
  BOOST_TEST(targets.size() <= 2U);
}

// The platform does not say how it writes a key that is not UTF-8 in JSON.
BOOST_FIXTURE_TEST_CASE(key_that_is_not_utf8_does_not_fail_its_page,
                        PageFixture) {
  const auto result = ReadNewest([](const std::string& after) {
    if (!after.empty()) return Page(Item("z", 3));
    return Page(Item("a", 0) + "," + Item("b", 1) + "," + Item("\xff\xfe", 2),
                true);
  });
  BOOST_REQUIRE_MESSAGE(result.page, result.detail);
  BOOST_REQUIRE(result.page->records.size() == 4U);
  BOOST_TEST(result.page->records[0].key == "a");
  BOOST_TEST(result.page->records[3].key == "z");
  BOOST_TEST(targets.back().ends_with("after=b"));
}

const std::string kOddPages[] = {
    "",
    "null",
    "[]",
    "7",
    "\xff\xfe",
    stand_in::Nested(300'000),
    std::string(300'000, '['),
    R"({"items":7,"more":false,"end":9})",
    R"({"items":[],"more":false,"end":-1})",
    R"({"items":[],"more":false,"end":18446744073709551615})",
    R"({"items":[],"more":false,"end":1e999})",
    R"({"items":[],"more":false})",
    R"({"items":[],"end":9})"};

BOOST_DATA_TEST_CASE_F(PageFixture, odd_page_is_a_failed_read,
                       data::make(kOddPages), page) {
  const auto result = ReadNewest([&](const std::string&) { return page; });
  BOOST_TEST(!result.page);
  BOOST_TEST(!result.detail.empty());
}

std::string LogRecord(const std::string& key, const std::string& value) {
  const std::string content =
      std::string(1, static_cast<char>(key.size())) + key + value;
  std::string length;
  for (unsigned shift = 32; shift > 0; shift -= 8) {
    length.push_back(static_cast<char>(content.size() >> (shift - 8)));
  }
  return length + content;
}

const std::string kOddLogRecords[] = {
    std::string("\0\0\0\0", 4), std::string("\0\0\0\1\xff", 5),
    LogRecord("\xff\xfe", "v"), LogRecord(std::string(255, 'k'), "v"),
    LogRecord("odd", stand_in::Nested(300'000))};

BOOST_DATA_TEST_CASE(odd_record_of_a_log_takes_its_offset_only,
                     data::make(kOddLogRecords), odd) {
  const auto page =
      DecodeLogRead(std::string(15, '\0') + "\x03" + LogRecord("a", "1") + odd +
                        LogRecord("z", "2"),
                    5);
  BOOST_REQUIRE(page);
  BOOST_TEST(page.value().next == 8U);
  BOOST_TEST(page.value().records.front().key == "a");
  BOOST_TEST(page.value().records.back().key == "z");
  BOOST_TEST(page.value().records.back().offset == 7U);
}

}  // namespace
}  // namespace balsamhall::platform
