#include "router/log_follower.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace balsamhall {
namespace {

// A log whose client rejects pages above a size.
class PageLimitedLog : public LogService {
 public:
  void Append(const std::string&, std::uint64_t, const std::string&,
              AppendCallback) override {}
  void Read(std::uint64_t from, std::size_t max_entries, Milliseconds,
            ReadCallback done) override {
    pages.push_back(max_entries);
    if (max_entries > limit) {
      done(Error{ResultCode::kLogUnavailable, "page too large"});
      return;
    }
    LogPage page;
    page.first_offset = 3;
    page.next_offset = 1000;
    page.entries.resize(1);
    page.entries.front().offset = from;
    done(page);
  }

  std::size_t limit = 10;
  std::vector<std::size_t> pages;
};

// Guards against a router that never starts because a full page of large
// configurations exceeds the size limit of its HTTP client.
BOOST_AUTO_TEST_CASE(PagesShrinkUntilTheyAreAccepted) {
  PageLimitedLog log;
  std::vector<OwnershipEvent> events;
  LogFollower follower(
      log, [&](const OwnershipEvent& event) { events.push_back(event); });
  for (int i = 0; i < 8; ++i) follower.Read(5);
  const auto* record =
      std::get_if<LogRecordRead>(&events.at(events.size() - 2));
  BOOST_REQUIRE(record != nullptr);
  BOOST_CHECK_EQUAL(record->offset, 5U);
  BOOST_CHECK_EQUAL(record->first_offset, 3U);
  BOOST_CHECK_LE(log.pages.back(), log.limit);
}

}  // namespace
}  // namespace balsamhall
