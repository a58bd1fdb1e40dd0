// End-to-end tests of changes that follow at once on the end of an outage of
// the store.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "UsersPlatform/gateway_fixture.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;

constexpr const char* kConfigTopic = "keyed.op";
constexpr const char* kRegistryTopic = "keyed.servers";
// The users' limits: an accepted configuration is in force, and a draining
// endpoint gets no new request, after this time.
constexpr Milliseconds kBound{2'500};
// Longer than the outage that the users have seen.
constexpr Milliseconds kOutage{9'000};

struct OutageCase {
  const char* name;
  const char* topic;
  // How many reads of the topic the outage swallows. The last of them is sent
  // just before its end.
  std::size_t reads;
};

std::ostream& operator<<(std::ostream& out, const OutageCase& c) {
  return out << c.name;
}

const OutageCase kOutages[] = {
    {"configuration, one read is lost", kConfigTopic, 1},
    {"configuration, two reads are lost", kConfigTopic, 2},
    {"configuration, three reads are lost", kConfigTopic, 3},
    {"registry, one read is lost", kRegistryTopic, 1},
    {"registry, two reads are lost", kRegistryTopic, 2},
};

// Guards against a read that was sent while the store was away, is never
// answered, and keeps the gateway from what changes after the store's return.
BOOST_DATA_TEST_CASE_F(GatewayFixture, a_change_after_an_outage_arrives_in_time,
                       data::make(kOutages), outage) {
  const std::size_t before = store.reads(outage.topic);
  BOOST_REQUIRE(
      RunUntil([&] { return store.reads(outage.topic) > before; }, kOutage));
  store.set_fault(StoreFault::kSilent);
  const std::size_t start = store.reads(outage.topic);
  BOOST_REQUIRE(RunUntil(
      [&] { return store.reads(outage.topic) >= start + outage.reads; },
      kOutage));
  store.set_fault(StoreFault::kNone);
  const bool drains = outage.topic == kRegistryTopic;
  if (drains) {
    Drain(plain1);
  } else {
    PublishNewRoute();
  }
  RunFor(loop, kBound);
  if (!drains) {
    BOOST_TEST(Send(Request("/new/x", "id")).status == 200U);
    return;
  }
  const int runs = plain1.total_runs();
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(Send(Request("/read/x", "d" + std::to_string(i))).status ==
               200U);
  }
  BOOST_TEST(plain1.total_runs() == runs);
}

}  // namespace
}  // namespace balsamhall::platform
