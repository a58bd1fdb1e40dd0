// A gateway whose reader, the next gateway of its data centre and the one of
// another data centre are stand-ins, and the changes that it has to have in
// force in time.
#ifndef BALSAMHALL_TESTS_USERSSTALE_FROZEN_FIXTURE_H_
#define BALSAMHALL_TESTS_USERSSTALE_FROZEN_FIXTURE_H_

#include <optional>
#include <ostream>
#include <string>
#include <utility>

#include "StandIn/http_reply.h"
#include "UsersFleet/fleet_fixture.h"
#include "UsersStale/peer_stand_in.h"

namespace balsamhall::platform {

inline constexpr const char* kGatewaysTopic = "keyed.balsamhall-routers";
// Later than the start of any process of a test.
inline constexpr std::uint64_t kLaterProcess = 1ULL << 50U;
// The users' limits: an accepted configuration is in force, and a draining
// endpoint gets no new request, after this time.
inline constexpr Milliseconds kBound{2'500};

enum class Change { kConfiguration, kDraining, kRemoval };

inline std::ostream& operator<<(std::ostream& out, Change change) {
  switch (change) {
    case Change::kConfiguration:
      return out << "configuration";
    case Change::kDraining:
      return out << "draining";
    case Change::kRemoval:
      break;
  }
  return out << "removal";
}

// How long ago the store has shown that the state of a gateway is complete.
enum class StateAge { kNew, kOld };
inline constexpr Milliseconds kNewState{300};
inline constexpr Milliseconds kOldState{900};

inline std::ostream& operator<<(std::ostream& out, StateAge age) {
  return out << (age == StateAge::kNew ? "new state" : "old state");
}

inline void Make(Change change, GatewayFixture& fixture) {
  switch (change) {
    case Change::kConfiguration:
      return fixture.PublishNewRoute();
    case Change::kDraining:
      return fixture.Drain(fixture.plain1);
    case Change::kRemoval:
      return fixture.store.Put("keyed.servers", fixture.plain1.id(), "");
  }
}

// Registers a process that is later than the one that the store has under the
// id.
inline void Register(GatewayFixture& fixture, const std::string& id,
                     const std::string& address,
                     const std::string& data_centre) {
  fixture.store.Put(kGatewaysTopic, id,
                    gateway::SerializeGatewayInstance(
                        {id, kLaterProcess, address, data_centre}));
}

struct FrozenFixture : FleetFixture {
  FrozenFixture() {
    Register(*this, "gateway-2", reader.Listen(), "b");
    Register(*this, "gateway-3", next.Listen(), "b");
    Register(*this, "gateway-1", elsewhere.Listen(), "a");
    next.set_followed("gateway-2");
    next.set_mode(PeerMode::kFollows);
    observed.emplace(*this, "gateway-4", "b");
    BOOST_REQUIRE(observed->process.Start());
    front.emplace(loop, observed->settings.front_address, HttpClientOptions{});
    BOOST_REQUIRE(
        RunUntil([this] { return StateOf(*observed).reader == "gateway-2"; }));
    BOOST_REQUIRE(RunUntil([this] { return Status("/read/x") == 200U; }));
  }

  // Waits until the gateway has sent a long poll to its reader, the answer to
  // which is the first that can be kept from it.
  bool AwaitLongPoll(StateAge age) {
    int polls = reader.long_polls();
    return RunUntil([&] {
      if (reader.long_polls() == std::exchange(polls, reader.long_polls())) {
        return false;
      }
      return age == StateAge::kNew ? reader.state_age() < kNewState
                                   : reader.state_age() > kOldState;
    });
  }

  unsigned Status(const std::string& target) {
    const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
      front->Send(Request(target, "r" + std::to_string(++last)),
                  Milliseconds(1'000), done);
    });
    return outcome.response ? outcome.response->status : 0;
  }

  bool Applied(Change change) {
    if (change == Change::kConfiguration) return Status("/new/x") == 200U;
    const int before = plain1.total_runs();
    for (int i = 0; i < 6; ++i) {
      if (Status("/read/x") != 200U) return false;
    }
    return plain1.total_runs() == before;
  }

  PeerStandIn reader{loop, peer_address};
  PeerStandIn next{loop, peer_address};
  PeerStandIn elsewhere{loop, peer_address};
  std::optional<Other> observed;
  std::optional<HttpClient> front;
  int last = 0;
};

}  // namespace balsamhall::platform

#endif  // BALSAMHALL_TESTS_USERSSTALE_FROZEN_FIXTURE_H_
