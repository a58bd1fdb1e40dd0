// Gateways in touch with the store beside one that comes back from a cut, or a
// fleet that comes back from an outage, while endpoints leave without reporting
// that they drain.
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

constexpr const char* kEndpointsTopic = "keyed.servers";
struct ReturnCase {
  const char* name;
  soak::LinkFault fault;   // of the link to the store
  bool hears_from_others;  // during the cut
  bool known_before;       // otherwise the endpoint is added during the cut
  Milliseconds length;
  Milliseconds leaves_after;  // the start of the cut
};

std::ostream& operator<<(std::ostream& out, const ReturnCase& c) {
  return out << c.name;
}

// The follower tries the gateway again 5 s after it has noticed the cut: in the
// 2.2 s in which the gateway may delay removals.
const ReturnCase kReturns[] = {
    {"silent, hears from nobody", soak::LinkFault::kSilent, false, true,
     Milliseconds(5'500), Milliseconds(3'500)},
    {"resets, hears from nobody", soak::LinkFault::kReset, false, true,
     Milliseconds(4'500), Milliseconds(2'500)},
    {"silent, hears from others", soak::LinkFault::kSilent, true, true,
     Milliseconds(5'500), Milliseconds(3'500)},
    {"resets, hears from others", soak::LinkFault::kReset, true, true,
     Milliseconds(4'500), Milliseconds(2'500)},
    {"silent, added meanwhile", soak::LinkFault::kSilent, true, false,
     Milliseconds(5'500), Milliseconds(3'500)},
    {"resets, added meanwhile", soak::LinkFault::kReset, true, false,
     Milliseconds(4'500), Milliseconds(2'500)},
};

// The reader of a data centre behind a link to the store, and a gateway that
// follows it.
struct ReturnFixture : FleetFixture {
  // hears_from_others: the other gateways answer the reader. with_next: there
  // is a gateway that takes over from the reader before the follower does.
  void Start(bool hears_from_others, bool with_next = false) {
    if (!hears_from_others) {
      for (PeerStandIn* other : {&silent1, &silent3}) {
        other->set_mode(PeerMode::kFrozen);
      }
      Register(*this, "gateway-1", silent1.Listen(), "a");
      Register(*this, "gateway-3", silent3.Listen(), "b");
    }
    BOOST_REQUIRE(reader.process.Start());
    BOOST_REQUIRE(RunUntil([&] { return StateOf(reader).store_reachable; }));
    if (with_next) BOOST_REQUIRE(next.process.Start());
    // The reader does not read the list of gateways again soon after this.
    RunFor(loop, Milliseconds(2'600));
    BOOST_REQUIRE(follower.process.Start());
    BOOST_REQUIRE(Follows());
    BOOST_REQUIRE(RunUntil([&] { return Status() == 200U; }));
  }

  bool Follows() {
    return RunUntil([&] { return StateOf(follower).reader == "gateway-2"; });
  }

  // Of a request to the follower.
  unsigned Status() {
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      caller.Send(Request("/read/x", "r" + std::to_string(++last)),
                  Milliseconds(1'000), done);
    });
    return outcome.response ? outcome.response->status : 0;
  }

  soak::LoopbackProxy link{loop, store_address};
  Other reader{*this, "gateway-2", "b", 0, link.address()};
  Other next{*this, "gateway-25", "b"};
  Other follower{*this, "gateway-3", "b"};
  PeerStandIn silent1{loop, peer_address};
  PeerStandIn silent3{loop, peer_address};
  HttpClient caller{loop, follower.settings.front_address, HttpClientOptions{}};
  int last = 0;
};

// Guards against a gateway that, back from a cut, lists an endpoint again that
// the others know to have left: from its own delay of removals, or by reading
// the entries of the time once more.
BOOST_DATA_TEST_CASE_F(ReturnFixture,
                       a_gateway_back_from_a_cut_brings_back_no_endpoint,
                       data::make(kReturns), cut) {
  Start(cut.hears_from_others);
  UsersEndpoint added(loop, "i-9", false);
  added.Listen();
  UsersEndpoint& leaving = cut.known_before ? plain1 : added;
  const auto start = std::chrono::steady_clock::now();
  link.Set(cut.fault);
  RunFor(loop, Milliseconds(700));
  store.Put(kEndpointsTopic, leaving.id(), leaving.Entry("plain", "ready"));
  stand_in::RunAfter(loop, cut.length - Milliseconds(700),
                     [&] { link.Set(soak::LinkFault::kNone); });
  const auto run_until = [&](Milliseconds time) {
    while (std::chrono::steady_clock::now() < start + time) {
      BOOST_TEST(Status() == 200U);
      RunFor(loop, Milliseconds(20));
    }
  };
  run_until(cut.leaves_after);
  BOOST_REQUIRE(leaving.total_runs() > 0);
  store.Put(kEndpointsTopic, leaving.id(), "");
  run_until(cut.leaves_after + kBound);
  const int before = leaving.total_runs();
  // Longer than a removal is delayed after the cut.
  run_until(cut.length + Milliseconds(4'000));
  BOOST_TEST(leaving.total_runs() == before);
  BOOST_TEST(Follows());
}

// Guards against a gateway that, back from a cut, uses an endpoint that it
// knows to have left, because it reads the entries of the time of the cut once
// more, page by page.
BOOST_FIXTURE_TEST_CASE(old_pages_bring_back_no_endpoint, FleetFixture) {
  soak::LoopbackProxy link(loop, store.ListenForSome());
  Other returning(*this, "gateway-2", "b", 0, link.address());
  BOOST_REQUIRE(returning.process.Start());
  BOOST_REQUIRE(RunUntil([&] { return StateOf(returning).store_reachable; }));
  HttpClient caller(loop, returning.settings.front_address,
                    HttpClientOptions{});
  UsersEndpoint added(loop, "i-9", false);
  added.Listen();
  int last = 0;
  // Returns how many of ten requests the endpoint has run.
  const auto runs = [&] {
    const int before = added.total_runs();
    for (int i = 0; i < 10; ++i) {
      Await<HttpClient::Outcome>(loop, [&](auto done) {
        caller.Send(Request("/read/x", "r" + std::to_string(++last)),
                    Milliseconds(1'000), done);
      });
    }
    return added.total_runs() - before;
  };
  link.Set(soak::LinkFault::kReset);
  RunFor(loop, Milliseconds(700));
  store.Put(kEndpointsTopic, added.id(), added.Entry("plain", "ready"));
  BOOST_REQUIRE(RunUntil([&] { return runs() > 0; }));
  for (int i = 0; i < 4; ++i) {
    store.Put(kEndpointsTopic, plain2.id(), plain2.Entry("plain", "ready"));
  }
  store.Put(kEndpointsTopic, added.id(), "");
  BOOST_REQUIRE(RunUntil([&] { return runs() == 0; }));
  store.set_pages_for_some(1, Milliseconds(200));
  link.Set(soak::LinkFault::kNone);
  const auto end = std::chrono::steady_clock::now() + Milliseconds(4'000);
  while (std::chrono::steady_clock::now() < end) {
    BOOST_TEST(runs() == 0);
    RunFor(loop, Milliseconds(20));
  }
  BOOST_TEST(StateOf(returning).store_reachable);
}

// Guards against a gateway that starts beside one that is back from a cut, and
// takes endpoints from it that have left.
BOOST_FIXTURE_TEST_CASE(a_gateway_that_starts_takes_no_endpoint_that_has_left,
                        ReturnFixture) {
  Start(false);
  link.Set(soak::LinkFault::kReset);
  RunFor(loop, Milliseconds(2'500));
  store.Put(kEndpointsTopic, plain1.id(), "");
  RunFor(loop, Milliseconds(2'000));
  link.Set(soak::LinkFault::kNone);
  BOOST_REQUIRE(RunUntil([&] { return StateOf(reader).store_reachable; }));
  Other starting(*this, "gateway-4", "b");
  BOOST_REQUIRE(starting.process.Start());
  BOOST_REQUIRE(
      RunUntil([&] { return StateOf(starting).reader == "gateway-2"; }));
  const int before = plain1.total_runs();
  HttpClient front_of_it(loop, starting.settings.front_address,
                         HttpClientOptions{});
  int answered = 0;
  for (int i = 0; i < 20; ++i) {
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      front_of_it.Send(Request("/read/x", "s" + std::to_string(i)),
                       Milliseconds(1'000), done);
    });
    if (outcome.response && outcome.response->status == 200) ++answered;
  }
  BOOST_TEST(answered == 20);
  BOOST_TEST(plain1.total_runs() == before);
}

// Guards against a gateway that believes an old state because it is said to be
// new: of one that has stood still, or of the next reader.
BOOST_DATA_TEST_CASE_F(FrozenFixture, an_old_state_brings_back_nothing,
                       data::make({Change::kConfiguration, Change::kDraining,
                                   Change::kRemoval}),
                       change) {
  HttpClient peer(loop, peer_address, HttpClientOptions{});
  const auto old = Await<HttpClient::Outcome>(loop, [&](auto done) {
    peer.Send({"GET", "/state/0/0/0", {}, "", 0}, Milliseconds(500), done);
  });
  BOOST_REQUIRE(old.response);
  auto state = gateway::ParsePeerState(old.response->body);
  BOOST_REQUIRE(state);
  for (PeerStandIn* other : {&reader, &next, &elsewhere}) {
    other->set_old_state(state.value());
  }
  Make(change, *this);
  BOOST_REQUIRE(RunUntil([&] { return Applied(change); }));
  const auto leases_end = StateOf(*observed).leases_end;
  for (PeerStandIn* other : {&reader, &next, &elsewhere}) {
    other->set_mode(PeerMode::kOld);
  }
  const auto end = std::chrono::steady_clock::now() + Milliseconds(2'500);
  while (std::chrono::steady_clock::now() < end) {
    BOOST_TEST(Applied(change));
    RunFor(loop, Milliseconds(100));
  }
  BOOST_TEST(StateOf(*observed).leases_end >= leases_end);
}

struct OutageCase {
  const char* name;
  StoreFault fault;
  Milliseconds length;
};

std::ostream& operator<<(std::ostream& out, const OutageCase& c) {
  return out << c.name;
}

const OutageCase kOutages[] = {
    {"silent, long", StoreFault::kSilent, Milliseconds(4'500)},
    {"busy, long", StoreFault::kBusy, Milliseconds(4'500)},
    {"silent, short", StoreFault::kSilent, Milliseconds(2'300)},
    {"busy, short", StoreFault::kBusy, Milliseconds(1'500)},
};

// Guards against followers that lose the endpoints whose entries lapsed while
// the store was away, because their reader lists what the store shows.
BOOST_DATA_TEST_CASE_F(ReturnFixture, lapsed_endpoints_stay_in_use_at_followers,
                       data::make(kOutages) * data::make({false, true}), outage,
                       with_next) {
  Start(true, with_next);
  store.set_fault(outage.fault);
  RunFor(loop, outage.length);
  for (const UsersEndpoint* endpoint : {&plain1, &plain2}) {
    store.Put(kEndpointsTopic, endpoint->id(), "");
  }
  store.set_fault(StoreFault::kNone);
  BOOST_REQUIRE(RunUntil([&] { return StateOf(reader).store_reachable; }));
  const auto end = std::chrono::steady_clock::now() + Milliseconds(1'000);
  while (std::chrono::steady_clock::now() < end) {
    BOOST_TEST(Status() == 200U);
    RunFor(loop, Milliseconds(20));
  }
  // An entry that does not return is removed.
  store.Put(kEndpointsTopic, plain2.id(), plain2.Entry("plain", "ready"));
  RunFor(loop, Milliseconds(3'000));
  const int before = plain1.total_runs();
  for (int i = 0; i < 20; ++i) BOOST_TEST(Status() == 200U);
  BOOST_TEST(plain1.total_runs() == before);
}

}  // namespace
}  // namespace balsamhall::platform
