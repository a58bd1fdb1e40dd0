// Table-driven tests of what is concluded from durations and rejections.
#include "gateway/load_estimate.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "gateway/scheduler.h"

namespace balsamhall::gateway {
namespace {

namespace data = boost::unit_test::data;
using Ms = Milliseconds;

const SteadyTime kStart{std::chrono::hours(1)};

struct ReadingCase {
  const char* name;
  unsigned percent;
  Ms age;
  double expected;
};

std::ostream& operator<<(std::ostream& out, const ReadingCase& c) {
  return out << c.name;
}

// The mean of all endpoints is 2.
const ReadingCase kReadings[] = {
    {"new", 300, Ms(0), 3},
    {"half of its value left", 300, Ms(200), 2.5},
    {"old", 300, Ms(400), 2},
    {"very old", 300, Ms(60'000), 2},
    {"fast machine", 100, Ms(0), 1},
    {"damaged", 4'000'000'000, Ms(0), 10},
};

// Guards against requests for machines that were slow some seconds ago, or
// against none for them.
BOOST_DATA_TEST_CASE(a_reading_of_a_duration_loses_its_value,
                     data::make(kReadings), reading) {
  MeanDuration mean;
  mean.Add(100);
  mean.Add(300);
  MachineDuration duration;
  BOOST_TEST(duration.Expected(mean, kStart) == 2);
  duration.Report(reading.percent, kStart);
  BOOST_TEST(duration.Expected(mean, kStart + reading.age) == reading.expected);
}

struct RejectionCase {
  const char* name;
  int rejections;
  ReportedLoad load;
  bool lacks_lease;
  Ms elapsed;
  bool closed;
};

std::ostream& operator<<(std::ostream& out, const RejectionCase& c) {
  return out << c.name;
}

const ReportedLoad kIdle{0, 0, 2, 100};
const ReportedLoad kFull{2, 8, 2, 100};

const RejectionCase kRejections[] = {
    {"one, with free slots", 1, kIdle, false, Ms(0), true},
    {"one, with free slots, when a trial is due", 1, kIdle, false, Ms(300),
     false},
    {"three, the next trial is later", 3, kIdle, false, Ms(300), true},
    {"one of a full endpoint", 1, kFull, false, Ms(0), false},
    {"three of a full endpoint", 3, kFull, false, Ms(0), true},
    {"of keys without a lease", 5, kIdle, true, Ms(0), false},
    {"without a duration", 5, {0, 0, 2, {}}, false, Ms(0), false},
};

// Guards against attempts wasted on endpoints that reject everything, and
// against endpoints given up after rejections that have another cause.
BOOST_DATA_TEST_CASE(an_endpoint_that_rejects_everything_gets_only_trials,
                     data::make(kRejections), rejection) {
  EndpointInfo info;
  info.ref = {"e", 1};
  info.slots = 2;
  EndpointLoad load(info, kStart);
  for (int i = 0; i < rejection.rejections; ++i) {
    const auto job = static_cast<std::uint64_t>(i);
    load.OnSent(job, kStart, 100);
    load.OnShed(job, kStart, rejection.load, rejection.lacks_lease);
  }
  const SteadyTime now = kStart + rejection.elapsed;
  BOOST_TEST(load.rejections().Closed(0, now) == rejection.closed);
  BOOST_TEST(load.rejections().ClosedForKeys(0, now) ==
             (rejection.closed && rejection.rejections >= 3));
  const SteadyTime later = kStart + Ms(3'000);
  BOOST_TEST(!load.rejections().Closed(0, later));
  load.OnSent(100, later, 100);
  load.OnResponse(100, later, 1, kIdle);
  BOOST_TEST(!load.rejections().Closed(1, later));
}

// Guards against a service of few endpoints that serves nothing after each of
// them rejected a request.
BOOST_AUTO_TEST_CASE(rejections_of_all_endpoints_close_none) {
  GatewaySettings settings;
  settings.data_centre = "a";
  const EndpointNotices notices(Ms(2'500));
  Scheduler scheduler(settings, notices, 1);
  EndpointInfo info;
  info.ref = {"e", 1};
  info.slots = 2;
  info.data_centre = "a";
  scheduler.SetEndpoints({info}, kStart);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    Job job;
    job.id = id;
    job.kind = "kind";
    job.arrival = job.not_before = kStart;
    job.target_latency = Ms(300);
    job.target = kStart + Ms(300);
    job.deadline = kStart + Ms(2'000);
    BOOST_TEST(scheduler.Submit(job, kStart).placements.size() == 1U);
    scheduler.OnShed(id, info.ref, kIdle, kStart);
  }
}

// Guards against work for endpoints that look slow because they ended work
// while their machines were slow.
BOOST_AUTO_TEST_CASE(a_slow_moment_does_not_make_an_endpoint_slow) {
  EndpointInfo info;
  info.ref = {"e", 1};
  EndpointLoad load(info, kStart);
  for (std::uint64_t job = 0; job < 3; ++job) {
    load.OnSent(job, kStart, 100);
    load.OnResponse(job, kStart, job == 2 ? 3 : 1, ReportedLoad{0, 0, 1, 300});
  }
  BOOST_TEST(load.Slowdown(kStart) < 1.1);
}

}  // namespace
}  // namespace balsamhall::gateway
