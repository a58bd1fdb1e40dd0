// A gateway in touch with the store beside others that answer it, but have not
// heard from the store themselves.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "UsersStale/frozen_fixture.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;

struct StaleCase {
  const char* name;
  PeerMode reader;
  PeerMode next;
  PeerMode elsewhere;
};

std::ostream& operator<<(std::ostream& out, const StaleCase& c) {
  return out << c.name;
}

const StaleCase kStaleSources[] = {
    {"the reader has just gone on", PeerMode::kStale, PeerMode::kFrozen,
     PeerMode::kFrozen},
    {"one elsewhere has just turned to the store", PeerMode::kFrozen,
     PeerMode::kFrozen, PeerMode::kStale},
    {"all others", PeerMode::kStale, PeerMode::kStale, PeerMode::kStale},
};

// Guards against a gateway that takes its state for the newest because another
// one answers it, to which the store has said nothing since.
BOOST_DATA_TEST_CASE_F(FrozenFixture,
                       an_answer_confirms_only_what_the_store_said,
                       data::make(kStaleSources) *
                           data::make({Change::kConfiguration,
                                       Change::kDraining}) *
                           data::make({StateAge::kNew, StateAge::kOld}),
                       stale, change, age) {
  BOOST_REQUIRE(AwaitLongPoll(age));
  reader.set_mode(stale.reader);
  next.set_mode(stale.next);
  elsewhere.set_mode(stale.elsewhere);
  Make(change, *this);
  RunFor(loop, kBound);
  BOOST_TEST(Applied(change));
}

// Guards against a reader, and its followers, for which responses of the store
// to reads of other logs hide that one log is not answered.
BOOST_DATA_TEST_CASE_F(FleetFixture,
                       a_change_arrives_beside_a_reader_without_one_log,
                       data::make({Change::kConfiguration, Change::kDraining,
                                   Change::kRemoval}),
                       change) {
  PeerStandIn elsewhere(loop, peer_address);
  elsewhere.set_mode(PeerMode::kFrozen);
  Register(*this, "gateway-1", elsewhere.Listen(), "a");
  Other reader(*this, "gateway-2", "b", 0, store.ListenForSome());
  BOOST_REQUIRE(reader.process.Start());
  BOOST_REQUIRE(RunUntil([&] { return StateOf(reader).store_reachable; }));
  Other follower(*this, "gateway-3", "b");
  BOOST_REQUIRE(follower.process.Start());
  BOOST_REQUIRE(
      RunUntil([&] { return StateOf(follower).reader == "gateway-2"; }));
  HttpClient caller(loop, follower.settings.front_address, HttpClientOptions{});
  const auto status = [&](const std::string& target) {
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      caller.Send(Request(target, "r"), Milliseconds(1'000), done);
    });
    return outcome.response ? outcome.response->status : 0;
  };
  BOOST_REQUIRE(RunUntil([&] { return status("/read/x") == 200U; }));
  store.set_silent_topics_for_some(
      {change == Change::kConfiguration ? "keyed.op" : "keyed.servers"});
  Make(change, *this);
  RunFor(loop, kBound);
  if (change == Change::kConfiguration) {
    BOOST_TEST(status("/new/x") == 200U);
    return;
  }
  const int before = plain1.total_runs();
  for (int i = 0; i < 6; ++i) BOOST_TEST(status("/read/x") == 200U);
  BOOST_TEST(plain1.total_runs() == before);
}

}  // namespace
}  // namespace balsamhall::platform
