// A gateway in touch with the store while others of its data centre stand
// still, or cannot reach the store themselves.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "Soak/loopback_proxy.h"
#include "UsersStale/frozen_fixture.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;

constexpr const char* kConfigTopic = "keyed.op";

struct FrozenCase {
  const char* name;
  bool next_frozen;  // the next gateway of the data centre stands still too
  // If it does not: when it notices that its reader stands still.
  Milliseconds takes_over_after{0};
  bool other_data_centre_frozen;
  bool reads_itself;  // whether the gateway has to read the store
};

std::ostream& operator<<(std::ostream& out, const FrozenCase& c) {
  return out << c.name;
}

const FrozenCase kFrozen[] = {
    {"the reader", false, Milliseconds(1'300), false, false},
    {"the reader, noticed late by the next gateway", false, Milliseconds(1'650),
     false, false},
    {"the reader and the other data centre, noticed late", false,
     Milliseconds(1'650), true, false},
    {"the reader and the next gateway", true, Milliseconds(0), false, false},
    {"all others", true, Milliseconds(0), true, true},
};

// Guards against a gateway that waits for one gateway after the other, each
// within its time-out, until a change is long overdue.
BOOST_DATA_TEST_CASE_F(FrozenFixture,
                       a_change_arrives_beside_gateways_that_stand_still,
                       data::make(kFrozen) *
                           data::make({Change::kConfiguration,
                                       Change::kDraining}) *
                           data::make({StateAge::kNew, StateAge::kOld}),
                       frozen, change, age) {
  BOOST_REQUIRE(AwaitLongPoll(age));
  reader.set_mode(PeerMode::kFrozen);
  if (frozen.next_frozen) {
    next.set_mode(PeerMode::kFrozen);
  } else {
    stand_in::RunAfter(loop, frozen.takes_over_after,
                       [this] { next.set_mode(PeerMode::kReads); });
  }
  if (frozen.other_data_centre_frozen) {
    elsewhere.set_mode(PeerMode::kFrozen);
  }
  const std::size_t before = store.deliveries(kConfigTopic);
  Make(change, *this);
  RunFor(loop, kBound);
  BOOST_TEST(Applied(change));
  if (change == Change::kConfiguration) {
    // An old state cannot wait until the next gateway notices.
    const bool reads_itself =
        frozen.reads_itself ||
        (age == StateAge::kOld && frozen.other_data_centre_frozen);
    // One of them is to the gateway behind the stand-ins.
    BOOST_TEST(store.deliveries(kConfigTopic) - before ==
               (reads_itself ? 2U : 1U));
  }
}

// Guards against a gateway that takes the word of one that has lost the store
// for a store that is away, although all others stand still.
BOOST_DATA_TEST_CASE_F(
    FrozenFixture, a_change_arrives_beside_a_gateway_that_alone_lost_the_store,
    data::make({Change::kConfiguration, Change::kDraining, Change::kRemoval}) *
        data::make({StateAge::kNew, StateAge::kOld}),
    change, age) {
  BOOST_REQUIRE(AwaitLongPoll(age));
  reader.set_mode(PeerMode::kFrozen);
  next.set_mode(PeerMode::kFrozen);
  elsewhere.set_mode(PeerMode::kNoStore);
  Make(change, *this);
  RunFor(loop, kBound);
  BOOST_TEST(Applied(change));
}

// Guards against a gateway that takes the loss of its reader, after which the
// next one does not take over, for an outage of the store, and therefore delays
// removals when it reads the store itself.
BOOST_DATA_TEST_CASE_F(FrozenFixture,
                       a_change_arrives_after_the_loss_of_the_reader,
                       data::make({Change::kConfiguration, Change::kDraining,
                                   Change::kRemoval}) *
                           data::make({StateAge::kNew, StateAge::kOld}),
                       change, age) {
  BOOST_REQUIRE(AwaitLongPoll(age));
  reader.set_mode(PeerMode::kRejects);
  elsewhere.set_mode(PeerMode::kFrozen);
  Make(change, *this);
  RunFor(loop, kBound);
  BOOST_TEST(Applied(change));
}

// Guards against followers of a gateway that still answers them but hears
// nothing from the store.
BOOST_DATA_TEST_CASE_F(FleetFixture,
                       a_change_arrives_beside_a_reader_without_the_store,
                       data::make({Change::kConfiguration, Change::kDraining,
                                   Change::kRemoval}),
                       change) {
  soak::LoopbackProxy link(loop, store_address);
  Other reader(*this, "gateway-2", "b", 0, link.address());
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
  link.Set(soak::LinkFault::kSilent);
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

// Guards against a gateway that counts the store as lost again after its
// return, and is left by its followers, because calls from before the return
// time out.
BOOST_FIXTURE_TEST_CASE(a_regained_store_is_not_lost_by_earlier_calls,
                        FleetFixture) {
  Other reader(*this, "gateway-2", "b");
  BOOST_REQUIRE(reader.process.Start());
  const auto reads = [&] { return StateOf(reader).store_reachable; };
  // So that the outage ends at different times of the reads under way.
  for (const Milliseconds more : {Milliseconds(600), Milliseconds(1'100),
                                  Milliseconds(1'600), Milliseconds(2'100)}) {
    BOOST_REQUIRE(RunUntil(reads));
    store.set_fault(StoreFault::kSilent);
    BOOST_REQUIRE(RunUntil([&] { return !reads(); }));
    RunFor(loop, more);
    store.set_fault(StoreFault::kNone);
    BOOST_REQUIRE(RunUntil(reads));
    BOOST_TEST(!RunUntil([&] { return !reads(); }, kBound));
  }
}

}  // namespace
}  // namespace balsamhall::platform
