// Table-driven tests of what endpoints say about themselves in responses, and
// of what the scheduler makes of it. Guards against requests that reach an
// endpoint after it has said that it leaves, or wants none, because the
// registry, another list or a later process at the same address is taken for
// what it said.
#include "gateway/endpoint_notices.h"

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
constexpr Ms kDrain{2'500};
// Incarnations are start times of the time of day.
constexpr std::int64_t kBorn = 1'700'000'000'000;
constexpr WallTime kWall{Ms(kBorn + 60'000)};

struct ProcessCase {
  const char* name;
  std::int64_t noticed;  // incarnation that the registry shows at the notice
  std::int64_t asked;    // incarnation that it shows later
  bool counts;
};

std::ostream& operator<<(std::ostream& out, const ProcessCase& c) {
  return out << c.name;
}

const ProcessCase kProcesses[] = {
    {"the same process", kBorn, kBorn, true},
    {"an older list shows the process before", kBorn, kBorn - 5'000, true},
    {"the registry was late: the process had started before the notice", kBorn,
     kBorn + 30'000, true},
    {"a process that started after the notice", kBorn, kBorn + 65'000, false},
    {"only the id was known", 0, kBorn, true},
    {"only the id was known, a later process", 0, kBorn + 65'000, false},
};

BOOST_DATA_TEST_CASE(a_notice_counts_for_the_process_that_gave_it,
                     data::make(kProcesses), process) {
  const EndpointRef noticed{"e", process.noticed};
  const EndpointRef asked{"e", process.asked};
  EndpointNotices notices(kDrain);
  BOOST_TEST(notices.OnLeaving(noticed, kStart, kWall));
  BOOST_TEST(!notices.OnLeaving(noticed, kStart, kWall));
  notices.OnPauseRequested(noticed, Ms(4'000), kStart, kWall);
  const auto later = kStart + kDrain;
  BOOST_TEST(notices.Leaving(asked) == process.counts);
  BOOST_TEST(notices.ServesHeldKeys(asked, later) == !process.counts);
  BOOST_TEST((notices.PauseLeft(asked, later) > Ms(0)) == process.counts);
  BOOST_TEST(!notices.Leaving({"other", process.asked}));
}

BOOST_AUTO_TEST_CASE(a_later_process_has_no_notice_of_the_one_before) {
  const EndpointRef later{"e", kBorn + 65'000};
  EndpointNotices notices(kDrain);
  notices.OnLeaving({"e", kBorn}, kStart, kWall);
  notices.OnPauseRequested(later, Ms(100), kStart, kWall + Ms(10'000));
  BOOST_TEST(!notices.Leaving(later));
  BOOST_TEST((notices.PauseLeft(later, kStart) == Ms(100)));
}

struct PauseCase {
  const char* name;
  Ms first;
  Ms second_after;
  Ms second;
  Ms left_after;  // time of the question
  Ms left;
};

std::ostream& operator<<(std::ostream& out, const PauseCase& c) {
  return out << c.name;
}

const PauseCase kPauses[] = {
    {"one pause", Ms(2'000), Ms(0), Ms(0), Ms(500), Ms(1'500)},
    {"one pause, over", Ms(2'000), Ms(0), Ms(0), Ms(2'000), Ms(0)},
    {"a longer one extends it", Ms(1'000), Ms(500), Ms(2'000), Ms(600),
     Ms(1'900)},
    {"a shorter one does not end it", Ms(2'000), Ms(500), Ms(100), Ms(700),
     Ms(1'300)},
    {"a negative one has no effect", Ms(-5), Ms(0), Ms(0), Ms(0), Ms(0)},
    {"a negative one does not end another", Ms(1'000), Ms(0), Ms(-500), Ms(0),
     Ms(1'000)},
    {"an absurd one is bounded", Ms(std::chrono::hours(900'000)), Ms(0), Ms(0),
     Ms(0), EndpointNotices::kMaxPause},
};

BOOST_DATA_TEST_CASE(pauses, data::make(kPauses), pause) {
  const EndpointRef endpoint{"e", kBorn};
  EndpointNotices notices(kDrain);
  notices.OnPauseRequested(endpoint, pause.first, kStart, kWall);
  notices.OnPauseRequested(endpoint, pause.second, kStart + pause.second_after,
                           kWall);
  notices.Clean(kStart + pause.left_after);
  BOOST_TEST(
      (notices.PauseLeft(endpoint, kStart + pause.left_after) == pause.left));
}

BOOST_AUTO_TEST_CASE(leaving_endpoints_are_remembered_within_a_bound) {
  EndpointNotices notices(kDrain);
  for (int i = 0; i < 12'000; ++i) {
    notices.OnLeaving({"e" + std::to_string(i), kBorn}, kStart + Ms(i), kWall);
  }
  notices.Clean(kStart + std::chrono::hours(24));
  BOOST_TEST(notices.size() == 10'000U);
  BOOST_TEST(notices.Leaving({"e11999", kBorn}));
  BOOST_TEST(!notices.Leaving({"e0", kBorn}));
}

// What the two endpoints of a service have said, and what happens to a job.
struct DecisionCase {
  const char* name;
  bool leaving[2];
  Ms pause[2];
  const char* placed;  // endpoint id; empty: rejected at once
  RejectReason reason = RejectReason::kNoEndpoint;
  Ms min_retry_after{0};
};

std::ostream& operator<<(std::ostream& out, const DecisionCase& c) {
  return out << c.name;
}

const DecisionCase kDecisions[] = {
    {"one leaves", {true, false}, {Ms(0), Ms(0)}, "e2"},
    {"one pauses", {false, false}, {Ms(0), Ms(1'000)}, "e1"},
    {"both pause",
     {false, false},
     {Ms(1'500), Ms(1'000)},
     "",
     RejectReason::kEndpointsPaused,
     Ms(1'000)},
    {"one leaves, one pauses",
     {true, false},
     {Ms(0), Ms(1'000)},
     "",
     RejectReason::kEndpointsPaused,
     Ms(1'000)},
    {"both leave",
     {true, true},
     {Ms(0), Ms(500)},
     "",
     RejectReason::kNoEndpoint,
     Ms(0)},
};

EndpointInfo Endpoint(const std::string& id) {
  EndpointInfo info;
  info.ref = {id, kBorn};
  info.address = id + ":1";
  info.slots = 2;
  info.data_centre = "a";
  return info;
}

Job MakeJob(std::uint64_t id, SteadyTime now) {
  Job job;
  job.id = id;
  job.kind = "kind";
  job.arrival = now;
  job.target_latency = Ms(1'000);
  job.target = now + Ms(1'000);
  job.deadline = now + Ms(9'000);
  job.not_before = now;
  return job;
}

GatewaySettings Settings() {
  GatewaySettings settings;
  settings.data_centre = "a";
  settings.region_of["a"] = "region";
  return settings;
}

BOOST_DATA_TEST_CASE(scheduler_follows_notices, data::make(kDecisions),
                     decision) {
  const GatewaySettings settings = Settings();
  EndpointNotices notices(kDrain);
  Scheduler scheduler(settings, notices, 1);
  scheduler.SetEndpoints({Endpoint("e1"), Endpoint("e2")}, kStart);
  for (int i = 0; i < 2; ++i) {
    const EndpointRef ref{"e" + std::to_string(i + 1), kBorn};
    if (decision.leaving[i]) notices.OnLeaving(ref, kStart, kWall);
    notices.OnPauseRequested(ref, decision.pause[i], kStart, kWall);
  }
  // An older list of endpoints changes nothing.
  scheduler.SetEndpoints({Endpoint("e1"), Endpoint("e2")}, kStart);
  const Decisions decisions = scheduler.Submit(MakeJob(1, kStart), kStart);
  if (decision.placed[0] != '\0') {
    BOOST_REQUIRE(decisions.placements.size() == 1U);
    BOOST_TEST(decisions.placements[0].endpoint.ref.id == decision.placed);
    return;
  }
  BOOST_REQUIRE(decisions.rejections.size() == 1U);
  BOOST_TEST((decisions.rejections[0].reason == decision.reason));
  BOOST_TEST((decisions.rejections[0].retry_after >= decision.min_retry_after));
  // Callers honour at most a third of their time.
  BOOST_TEST((decisions.rejections[0].retry_after <= Ms(3'000)));
}

BOOST_AUTO_TEST_CASE(waiting_jobs_are_rejected_once_all_endpoints_pause) {
  const GatewaySettings settings = Settings();
  EndpointNotices notices(kDrain);
  Scheduler scheduler(settings, notices, 1);
  scheduler.SetEndpoints({Endpoint("e1")}, kStart);
  std::size_t placed = 0;
  std::uint64_t id = 0;
  while (scheduler.waiting() == 0 && id < 50) {
    Job job = MakeJob(++id, kStart);
    job.admitted = true;
    placed += scheduler.Submit(std::move(job), kStart).placements.size();
  }
  BOOST_REQUIRE(placed + 1 == id);
  BOOST_REQUIRE(scheduler.waiting() == 1U);
  notices.OnPauseRequested({"e1", kBorn}, Ms(2'000), kStart, kWall);
  const Decisions decisions = scheduler.Advance(kStart + Ms(8));
  BOOST_REQUIRE(decisions.rejections.size() == 1U);
  BOOST_TEST(
      (decisions.rejections[0].reason == RejectReason::kEndpointsPaused));
  BOOST_TEST(decisions.placements.empty());
}

struct OwnerCase {
  const char* name;
  Ms since_leaving;  // negative: not leaving
  Ms pause;
  bool placed;
  RejectReason reason = RejectReason::kNoLease;
};

std::ostream& operator<<(std::ostream& out, const OwnerCase& c) {
  return out << c.name;
}

const OwnerCase kOwners[] = {
    {"an owner that said nothing", Ms(-1), Ms(0), true},
    {"a leaving owner, until its keys have moved", Ms(500), Ms(0), true},
    {"a leaving owner that has served its time", kDrain, Ms(0), false},
    {"an owner that wants no requests", Ms(-1), Ms(3'000), false,
     RejectReason::kEndpointsPaused},
};

BOOST_DATA_TEST_CASE(requests_for_keys_follow_the_notices_of_their_owner,
                     data::make(kOwners), owner) {
  const GatewaySettings settings = Settings();
  EndpointNotices notices(kDrain);
  Scheduler scheduler(settings, notices, 1);
  const EndpointInfo info = Endpoint("e1");
  LeaseTable table;
  table.version = 1;
  table.ranges = {{{0, 65535}, {info.ref, info.address}, 1, true, {}, Ms(0)}};
  scheduler.SetEndpoints({info}, kStart);
  scheduler.SetLeases(&table, kStart);
  auto now = kStart;
  if (owner.since_leaving >= Ms(0)) {
    notices.OnLeaving(info.ref, kStart, kWall);
    now += owner.since_leaving;
  }
  notices.OnPauseRequested(info.ref, owner.pause, now, kWall);
  Job job = MakeJob(1, now);
  job.key = 77;
  // Too short a target to wait for the keys to move.
  job.target_latency = Ms(400);
  job.target = now + Ms(400);
  const Decisions decisions = scheduler.Submit(job, now);
  BOOST_TEST(decisions.placements.size() == (owner.placed ? 1U : 0U));
  if (owner.placed) return;
  BOOST_REQUIRE(decisions.rejections.size() == 1U);
  BOOST_TEST((decisions.rejections[0].reason == owner.reason));
  BOOST_TEST((decisions.rejections[0].retry_after > Ms(0)));
}

}  // namespace
}  // namespace balsamhall::gateway
