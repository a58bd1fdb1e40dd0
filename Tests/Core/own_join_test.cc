#include <boost/test/unit_test.hpp>

#include "core/ownership_controller.h"

namespace balsamhall {
namespace {

// Guards against a router that never takes a role: it learned of its own join
// from a peer while the log was unreachable, and the join record, read later,
// did not change the state.
BOOST_AUTO_TEST_CASE(OwnJoinIsLearnedFromAPeer) {
  schema::RouterJoined self;
  self.set_id("r1");
  OwnershipController controller(self, {}, 1);
  SteadyTime now{Milliseconds(1'000'000)};
  controller.Handle(TimerTick{}, now);
  controller.Handle(LogReadFinished{true, 1, 1, Milliseconds(90'000)}, now);
  std::optional<schema::LogRecord> join;
  for (int i = 0; i < 5 && !join; ++i) {
    now += Milliseconds(100);
    for (const auto& action : controller.Handle(TimerTick{}, now)) {
      const auto* append = std::get_if<AppendLogRecord>(&action);
      if (append != nullptr) join = append->record;
    }
  }
  BOOST_REQUIRE(join && join->has_router_joined());

  controller.Handle(LogReadFinished{}, now);
  schema::PeerMessage message;
  message.mutable_sender()->set_id("r2");
  auto* joined = message.mutable_state_reply()->mutable_fleet()->add_routers();
  joined->set_incarnation(7);
  *joined->mutable_join() = join->router_joined();
  controller.Handle(PeerMessageReceived{message}, now);
  BOOST_CHECK_EQUAL(controller.self().incarnation, 7U);
  controller.Handle(
      LogRecordRead{7, controller.writer_id(), 1, Milliseconds(0), *join}, now);
  BOOST_CHECK_EQUAL(controller.self().incarnation, 7U);
}

}  // namespace
}  // namespace balsamhall
