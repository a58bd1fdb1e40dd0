// Tests of the watch on long turns of the event loop.
#include "gateway/loop_watch.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace balsamhall::gateway {
namespace {

namespace data = boost::unit_test::data;

struct TurnCase {
  const char* name;
  Milliseconds late;
  Milliseconds step;
  bool busy;
};

std::ostream& operator<<(std::ostream& out, const TurnCase& turn) {
  return out << turn.name;
}

const TurnCase kTurns[] = {
    {"in time", Milliseconds(1), Milliseconds(1), false},
    {"below the threshold", Milliseconds(99), Milliseconds(99), false},
    {"late without a step", Milliseconds(100), Milliseconds(0), true},
    {"step that began before the timer was due", Milliseconds(60),
     Milliseconds(150), true},
};

// Guards against a loop that is held for long without a trace.
BOOST_DATA_TEST_CASE(long_turns_of_the_loop_are_counted, data::make(kTurns),
                     turn) {
  Metrics metrics;
  LoopWatch watch(metrics);
  watch.OnStep("config", turn.step);
  watch.OnStep("tick", Milliseconds(0));
  const SteadyTime due{std::chrono::seconds(5)};
  watch.OnTimer(due, due + turn.late);
  // The step counts for one run of the timer only.
  watch.OnTimer(due, due);
  const std::string text = metrics.PrometheusText();
  BOOST_TEST((text.find("loop_busy_total 1") != std::string::npos) ==
             turn.busy);
  const auto longest = std::max(turn.late, turn.step).count();
  BOOST_TEST(text.find("loop_longest_turn_ms " + std::to_string(longest)) !=
                 std::string::npos,
             text);
}

}  // namespace
}  // namespace balsamhall::gateway
