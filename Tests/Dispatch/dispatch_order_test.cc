#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>

#include "Dispatch/dispatcher_fixture.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;
using Tickets = std::vector<Ticket>;
using Results = std::map<Ticket, ResultCode>;

constexpr auto kUrgent = schema::RANK_URGENT;
constexpr auto kNormal = schema::RANK_NORMAL;
constexpr auto kBackground = schema::RANK_BACKGROUND;

struct OrderCase {
  std::string guards_against;
  std::uint32_t slots;
  std::function<void(DispatcherFixture&)> steps;
  Tickets started;
  Results results;  // of rejected requests and repeats
  bool cold = false;
};

std::ostream& operator<<(std::ostream& out, const OrderCase& order) {
  return out << order.guards_against;
}

Ticket SubmitWith(DispatcherFixture& fixture, schema::Rank rank,
                  const std::function<void(DispatchRequest&)>& change) {
  auto request = fixture.MakeRequest(rank);
  change(request);
  return fixture.Submit(request);
}

void MakeLongRunning(DispatchRequest& request) { request.long_running = true; }

// Completes one request after 100 ms, so that the dispatcher measures this
// service time.
void LearnServiceTime(DispatcherFixture& fixture) {
  const Ticket ticket = fixture.Submit(kNormal);
  fixture.AdvanceTime(Milliseconds{100});
  fixture.Finish(ticket);
}

const OrderCase kOrderCases[] = {
    {"more work at the endpoint than slots",
     2,
     [](auto& f) {
       for (int i = 0; i < 4; ++i) f.Submit(kNormal);
     },
     {1, 2},
     {}},
    {"an urgent request behind background work",
     1,
     [](auto& f) {
       for (const auto rank : {kNormal, kBackground, kNormal, kUrgent}) {
         f.Submit(rank);
       }
       for (const Ticket ticket : {1, 4, 3}) f.Finish(ticket);
     },
     {1, 4, 3, 2},
     {}},
    {"a flood of urgent work that starves background work",
     1,
     [](auto& f) {
       LearnServiceTime(f);
       for (int i = 0; i < 4; ++i) f.Submit(kUrgent);
       f.Submit(kBackground);
       f.AdvanceTime(Milliseconds{20});
       f.Finish(2);
     },
     {1, 2, 6},
     {}},
    {"long work that takes all slots",
     2,
     [](auto& f) {
       SubmitWith(f, kBackground, MakeLongRunning);
       SubmitWith(f, kBackground, MakeLongRunning);
       f.Submit(kUrgent);
     },
     {1, 3},
     {}},
    {"a one-slot endpoint that never runs long work",
     1,
     [](auto& f) { SubmitWith(f, kBackground, MakeLongRunning); },
     {1},
     {}},
    {"a cancelled request that is sent",
     1,
     [](auto& f) {
       f.Submit(kNormal);
       f.Submit(kNormal);
       f.RecordActions(f.dispatcher.Cancel(2, f.steady));
       f.Finish(1);
     },
     {1},
     {{2, ResultCode::kNotRunCancelled}}},
    {"a repeat that runs after its queued request was cancelled",
     1,
     [](auto& f) {
       f.Submit(kNormal);
       f.Submit(kNormal);
       SubmitWith(f, kNormal, [](auto& r) { r.request_id = "request-2"; });
       f.RecordActions(f.dispatcher.Cancel(2, f.steady));
       f.Finish(1);
     },
     {1},
     {{2, ResultCode::kNotRunCancelled}, {3, ResultCode::kNotRunCancelled}}},
    {"a cancelled repeat reported as not run while its request runs",
     1,
     [](auto& f) {
       f.Submit(kNormal);
       SubmitWith(f, kNormal, [](auto& r) { r.request_id = "request-1"; });
       f.RecordActions(f.dispatcher.Cancel(2, f.steady));
     },
     {1},
     {{2, ResultCode::kUnknownTimeout}}},
    {"a queued request that is sent after its deadline",
     1,
     [](auto& f) {
       f.Submit(kNormal);
       f.Submit(kNormal);
       f.AdvanceTime(Milliseconds{1001});
       f.Finish(1);
     },
     {1},
     {{2, ResultCode::kNotRunDeadline}}},
    {"short work rejected because another slot runs long work",
     2,
     [](auto& f) {
       LearnServiceTime(f);
       const auto make_archive_request = [](DispatchRequest& request) {
         request.kind = 1;
         request.long_running = true;
         request.deadline += Milliseconds{60'000};
       };
       SubmitWith(f, kBackground, make_archive_request);
       f.AdvanceTime(Milliseconds{10'000});
       f.Finish(2);
       SubmitWith(f, kBackground, make_archive_request);
       f.Submit(kNormal);
       f.Submit(kNormal);
       f.Finish(4);
     },
     {1, 2, 3, 4, 5},
     {}},
    {"an idle endpoint that gets no work because of a wrong estimate",
     1,
     [](auto& f) {
       f.Submit(kNormal);
       f.AdvanceTime(Milliseconds{5000});
       f.Finish(1);
       f.Submit(kNormal);
     },
     {1, 2},
     {}},
    {"a background flood that fills the queue for urgent work",
     1,
     [](auto& f) {
       for (int i = 0; i < 21; ++i) f.Submit(kBackground);
       f.Submit(kBackground);
       f.Submit(kUrgent);
       f.Finish(1);
     },
     {1, 23},
     {{22, ResultCode::kNotRunQueueFull}, {21, ResultCode::kNotRunShed}}},
    {"an urgent flood that takes the queue space of other ranks",
     1,
     [](auto& f) {
       for (int i = 0; i < 19; ++i) f.Submit(kUrgent);
       f.Submit(kNormal);
       f.Submit(kNormal);
       f.Submit(kBackground);
     },
     {1},
     {{19, ResultCode::kNotRunQueueFull}}},
    {"work on a partition that has moved away",
     1,
     [](auto& f) {
       f.Submit(kNormal);
       f.Submit(kNormal);
       f.RecordActions(
           f.dispatcher.SetPartitions({{8, Fence{5, 0}}}, f.steady, f.wall));
       f.Finish(1);
       f.Submit(kNormal);
     },
     {1},
     {{2, ResultCode::kNotRunMoved}, {3, ResultCode::kNotRunMoved}}},
    {"queued work of an earlier epoch that may have run elsewhere",
     1,
     [](auto& f) {
       f.Submit(kNormal);
       f.Submit(kNormal);
       f.RecordActions(
           f.dispatcher.SetPartitions({{7, Fence{5, 2}}}, f.steady, f.wall));
       f.Finish(1);
     },
     {1},
     {{2, ResultCode::kNotRunMoved}}},
    {"work that starts after the dispatcher was stopped",
     1,
     [](auto& f) {
       f.Submit(kNormal);
       f.Submit(kNormal);
       f.RecordActions(
           f.dispatcher.Stop(ResultCode::kNotRunDraining, f.steady));
       f.Finish(1);
       f.Submit(kNormal);
     },
     {1},
     {{2, ResultCode::kNotRunDraining}, {3, ResultCode::kNotRunDraining}}},
    {"a cold endpoint that gets all its slots at once",
     4,
     [](auto& f) {  // the fixture is 5 s into the slow start of 10 s
       for (int i = 0; i < 4; ++i) f.Submit(kNormal);
     },
     {1, 2},
     {},
     true},
    {"a slow start that never ends",
     4,
     [](auto& f) {
       f.AdvanceTime(Milliseconds{5000});
       for (int i = 0; i < 4; ++i) f.Submit(kNormal);
     },
     {1, 2, 3, 4},
     {},
     true},
};

// Guards against the failure that each case names.
BOOST_DATA_TEST_CASE(OrderOfDispatch, data::make(kOrderCases), order) {
  DispatcherOptions options;
  options.slots = order.slots;
  options.max_queued = 20;
  DispatcherFixture fixture(options, order.cold);
  order.steps(fixture);
  BOOST_TEST(fixture.started == order.started,
             boost::test_tools::per_element());
  BOOST_CHECK(fixture.results == order.results);
  BOOST_CHECK_LE(fixture.dispatcher.running(), order.slots);
}

// Guards against queued work that cannot meet its deadline, and against the
// rejection of work that can: 10 requests of 100 ms fit into 1 s.
BOOST_AUTO_TEST_CASE(AdmissionFollowsMeasuredServiceTime) {
  DispatcherFixture fixture(DispatcherOptions{});
  for (int i = 0; i < 40; ++i) LearnServiceTime(fixture);
  const Ticket first = fixture.next_ticket;
  for (int i = 0; i < 14; ++i) fixture.Submit(kNormal);
  const auto admitted = fixture.next_ticket - first - fixture.results.size();
  BOOST_CHECK_GE(admitted, 9U);
  BOOST_CHECK_LE(admitted, 10U);
  for (std::size_t i = 0; i < admitted; ++i) {
    fixture.AdvanceTime(Milliseconds{100});
    fixture.Finish(fixture.started.back());
  }
  BOOST_CHECK_EQUAL(fixture.started.back(), first + admitted - 1);
  BOOST_CHECK(fixture.cancelled.empty() || admitted == 10);
}

// Guards against overdue work that keeps its slot for ever or is cancelled more
// than once.
BOOST_AUTO_TEST_CASE(OverdueWorkIsCancelledOnce) {
  DispatcherFixture fixture(DispatcherOptions{});
  fixture.Submit(kNormal);
  const auto until = fixture.dispatcher.RunningUntil();
  BOOST_CHECK(until.at(7) == fixture.steady + Milliseconds{1000});
  fixture.AdvanceTime(Milliseconds{1000});
  fixture.AdvanceTime(Milliseconds{1000});
  BOOST_TEST(fixture.cancelled == Tickets{1}, boost::test_tools::per_element());
}

}  // namespace
}  // namespace balsamhall
