#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>

#include "Dispatch/dispatcher_fixture.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

struct RepeatCase {
  std::string guards_against;
  // Executed between the first request and its repeat.
  std::function<void(DispatcherFixture&, Ticket)> between;
  // Changes the repeat, which starts as a copy of the first request.
  std::function<void(DispatchRequest&)> change;
  std::size_t starts = 1;  // of first request and repeat together
  // Expected result of the repeat; unset: none yet.
  std::optional<ResultCode> response;
};

std::ostream& operator<<(std::ostream& out, const RepeatCase& repeat) {
  return out << repeat.guards_against;
}

void LeaveUnchanged(DispatchRequest&) {}

const RepeatCase kRepeatCases[] = {
    {"a second run of a request that is still running",
     [](DispatcherFixture&, Ticket) {}, LeaveUnchanged, 1, std::nullopt},
    {"a second run of a finished request",
     [](DispatcherFixture& fixture, Ticket first) { fixture.Finish(first); },
     LeaveUnchanged, 1, ResultCode::kOk},
    {"a second run after an unknown outcome",
     [](DispatcherFixture& fixture, Ticket first) {
       fixture.Finish(first, ResultCode::kUnknownTimeout);
     },
     LeaveUnchanged, 1, ResultCode::kUnknownTimeout},
    {"a lost request: the endpoint reported that it did not run",
     [](DispatcherFixture& fixture, Ticket first) {
       fixture.Finish(first, ResultCode::kNotRunShed);
     },
     LeaveUnchanged, 2, std::nullopt},
    {"a second run after the window of the memory",
     [](DispatcherFixture& fixture, Ticket first) {
       fixture.Finish(first);
       fixture.AdvanceTime(Milliseconds{603'000});
     },
     LeaveUnchanged, 1, ResultCode::kUnknownRepeatOutsideWindow},
    {"a second run when the bounded memory is full",
     [](DispatcherFixture& fixture, Ticket first) {
       fixture.Finish(first);
       for (int i = 0; i < 4; ++i) {
         fixture.AdvanceTime(Milliseconds{1});
         fixture.Finish(fixture.Submit(schema::RANK_NORMAL));
       }
       fixture.started.erase(fixture.started.begin() + 1,
                             fixture.started.end());
     },
     LeaveUnchanged, 1, ResultCode::kUnknownRepeatOutsideWindow},
    {"a second run after the partition was moved away and back",
     [](DispatcherFixture& fixture, Ticket) {
       fixture.Finish(fixture.started[0], ResultCode::kNotRunStaleFence);
       fixture.RecordActions(
           fixture.dispatcher.SetPartitions({}, fixture.steady, fixture.wall));
       fixture.RecordActions(fixture.dispatcher.SetPartitions(
           {{7, Fence{5, 2}}}, fixture.steady, fixture.wall));
     },
     LeaveUnchanged, 1, ResultCode::kUnknownRepeatBeforeMemory},
    {"a wall clock that steps back and makes an old request look new",
     [](DispatcherFixture& fixture, Ticket first) {
       fixture.Finish(first);
       fixture.AdvanceTime(Milliseconds{603'000});
       fixture.wall -= Milliseconds{603'000};
     },
     LeaveUnchanged, 1, ResultCode::kUnknownRepeatOutsideWindow},
    {"the stored response to other content under the same id",
     [](DispatcherFixture& fixture, Ticket first) { fixture.Finish(first); },
     [](DispatchRequest& repeat) { repeat.content_digest = 99; }, 1,
     ResultCode::kNotRunBadRequest},
};

// Guards against a non-idempotent request, such as a disposal or booking, that
// is executed twice.
BOOST_DATA_TEST_CASE(RepeatOfANonIdempotentRequest, data::make(kRepeatCases),
                     repeat) {
  DispatcherOptions options;
  options.slots = 2;
  options.max_stored_responses = 2;
  DispatcherFixture fixture(options);
  auto request = fixture.MakeRequest(schema::RANK_NORMAL);
  const Ticket first = fixture.Submit(request);
  BOOST_REQUIRE_EQUAL(fixture.started.size(), 1U);
  repeat.between(fixture, first);
  request.ticket = fixture.next_ticket++;
  request.deadline = fixture.steady + Milliseconds{1000};
  repeat.change(request);
  fixture.Submit(request);
  BOOST_CHECK_EQUAL(fixture.started.size(), repeat.starts);
  BOOST_CHECK_EQUAL(fixture.results.contains(request.ticket),
                    repeat.response.has_value());
  if (repeat.response) {
    BOOST_CHECK(fixture.results[request.ticket] == *repeat.response);
  } else if (repeat.starts == 1) {
    fixture.Finish(first);
    BOOST_CHECK(fixture.results[request.ticket] == ResultCode::kOk);
  }
}

struct NewMemoryCase {
  std::string name;
  bool first_attempt;
  bool started;
};

std::ostream& operator<<(std::ostream& out, const NewMemoryCase& test) {
  return out << test.name;
}

const NewMemoryCase kNewMemoryCases[] = {
    {"first attempt", true, true},
    {"possibly a repeat", false, false},
};

// Guards against a failover after which every new request gets an "unknown"
// result until the clock skew has passed, and against the execution of a repeat
// whose first attempt the old primary may have executed.
BOOST_DATA_TEST_CASE(NewMemoryRunsOnlyFirstAttempts,
                     data::make(kNewMemoryCases), test) {
  DispatcherFixture fixture(DispatcherOptions{});
  fixture.RecordActions(fixture.dispatcher.SetPartitions(
      {{7, Fence{5, 1}}}, fixture.steady, fixture.wall));
  fixture.AdvanceTime(Milliseconds{100});
  auto request = fixture.MakeRequest(schema::RANK_URGENT);
  request.first_attempt = test.first_attempt;
  const Ticket ticket = fixture.Submit(request);
  BOOST_CHECK_EQUAL(fixture.started.size(), test.started ? 1U : 0U);
  if (test.started) return;
  BOOST_CHECK(fixture.results[ticket] ==
              ResultCode::kUnknownRepeatBeforeMemory);
}

}  // namespace
}  // namespace balsamhall
