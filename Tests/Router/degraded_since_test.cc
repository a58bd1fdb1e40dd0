#include "router/degraded_since.h"

#include <boost/test/unit_test.hpp>

namespace balsamhall {
namespace {

BOOST_AUTO_TEST_SUITE(DegradedSinceSuite)

schema::RouterStatus StatusWith(std::initializer_list<const char*> items) {
  schema::RouterStatus status;
  for (const char* item : items) status.add_degraded()->set_what(item);
  return status;
}

// Guards against a start time that is reset at every observation, and against
// an old start time for a condition that ended in between.
BOOST_AUTO_TEST_CASE(StartIsThatOfTheLastUnbrokenState) {
  DegradedSince tracker;
  const auto observe = [&](std::initializer_list<const char*> items, int at) {
    auto status = StatusWith(items);
    tracker.Observe(status, WallTime(Milliseconds(at)));
    return status.degraded_size() == 0 ? 0 : status.degraded(0).since_ms();
  };
  BOOST_TEST(observe({"log"}, 1000) == 1000);
  BOOST_TEST(observe({"log", "endpoint"}, 2000) == 1000);
  BOOST_TEST(observe({"endpoint"}, 3000) == 2000);
  BOOST_TEST(observe({}, 4000) == 0);
  BOOST_TEST(observe({"endpoint"}, 5000) == 5000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
