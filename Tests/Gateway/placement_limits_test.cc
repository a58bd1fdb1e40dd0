// Which endpoints get requests, given the regions of their routes and the data
// centres that the operator has evacuated.
#include "gateway/placement_limits.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>

#include "gateway/scheduler.h"

namespace balsamhall::gateway {
namespace {

namespace data = boost::unit_test::data;
using Ms = Milliseconds;
using Names = std::vector<std::string>;
using NameSet = std::set<std::string>;
using Changes = std::vector<Evacuations::Change>;

const SteadyTime kStart{std::chrono::hours(1)};
const BootTime kBoot{std::chrono::hours(2)};

// An endpoint in each of the data centres n1, n2, s1 and x, which has no
// region.
struct SchedulerFixture {
  SchedulerFixture() {
    std::vector<EndpointInfo> endpoints;
    settings.region_of = {{"n1", "north"}, {"n2", "north"}, {"s1", "south"}};
    for (const std::string name : {"n1", "n2", "s1", "x"}) {
      endpoints.push_back(
          {{name, 1}, "service", "10.0.0.1:1", name, 4, false, {}});
    }
    scheduler.SetEndpoints(endpoints, kStart);
  }

  void Evacuate(const Names& data_centres, Ms keys_left = Ms(0)) {
    std::map<std::string, SteadyTime> until;
    for (const auto& name : data_centres) until[name] = kStart + keys_left;
    scheduler.SetEvacuated(until);
  }

  Decisions Submit(const Names& regions, std::optional<ShardKey> key = {},
                   std::vector<EndpointRef> tried = {}) {
    Job job;
    job.id = ++last_id;
    job.idempotent = true;
    job.arrival = job.not_before = kStart;
    job.target_latency = Ms(400);
    job.target = kStart + Ms(400);
    job.deadline = kStart + Ms(6'000);
    job.allowed_regions = regions;
    job.key = key;
    job.tried = std::move(tried);
    job.admitted = !key;  // waits once the endpoints are full
    return scheduler.Submit(std::move(job), kStart);
  }

  GatewaySettings settings;
  EndpointNotices notices{Ms(2'500)};
  Scheduler scheduler{settings, notices, 1};
  std::uint64_t last_id = 0;
};

struct PlaceCase {
  Names regions;
  Names evacuated;
  NameSet to;                        // until they are full
  const char* rejected = "";         // reason, if nothing is placed
  std::optional<ShardKey> key = {};  // its owner is in n1
  Ms keys_left{0};                   // time of evacuated owners
};

std::ostream& operator<<(std::ostream& out, const PlaceCase& c) {
  return out << (c.key ? "keyed, " : "") << c.regions.size() << " regions, "
             << c.evacuated.size() << " evacuated, " << c.rejected;
}

const PlaceCase kPlaces[] = {
    {{}, {}, {"n1", "n2", "s1", "x"}},
    {{"north"}, {}, {"n1", "n2"}},
    {{"west", "south"}, {}, {"s1"}},
    {{"west"}, {}, {}, "outside_regions"},
    {{""}, {}, {}, "outside_regions"},
    {{}, {"n1", "s1"}, {"n2", "x"}},
    {{"north"}, {"n1"}, {"n2"}},
    {{"south"}, {"s1"}, {}, "evacuated"},
    {{}, {"n1", "n2", "s1", "x"}, {}, "evacuated"},
    {{"north"}, {}, {"n1"}, "", 7},
    {{"south"}, {}, {}, "outside_regions", 7},
    {{"south"}, {"n1"}, {}, "outside_regions", 7, Ms(500)},
    {{"south"}, {"s1"}, {}, "evacuated", 7},
    {{}, {"n1"}, {"n1"}, "", 7, Ms(500)},
    {{}, {"n1"}, {}, "no_lease", 7},
    {{}, {"n1", "n2", "s1", "x"}, {}, "evacuated", 7, Ms(500)},
};

// 13,527 requests were served outside of their regions (a trial on G). Those
// that no endpoint may get were queued in vain.
BOOST_DATA_TEST_CASE_F(SchedulerFixture, requests_stay_within_their_limits,
                       data::make(kPlaces), c) {
  LeaseTable table;
  table.ranges = {{{0, 65535}, {{"n1", 1}, "10.0.0.1:1"}, 1, true, {}, Ms(0)}};
  if (c.key) scheduler.SetLeases(&table, kStart);
  Evacuate(c.evacuated, c.keys_left);
  NameSet to;
  for (int i = 0; i < 100; ++i) {
    const auto decisions = Submit(c.regions, c.key);
    for (const auto& placement : decisions.placements) {
      to.insert(placement.endpoint.data_centre);
    }
    if (to.empty()) {
      BOOST_REQUIRE(decisions.rejections.size() == 1U);
      BOOST_TEST(RejectReasonName(decisions.rejections[0].reason) ==
                 c.rejected);
      BOOST_TEST((decisions.rejections[0].retry_after > Ms(0)));
    }
  }
  BOOST_TEST(to == c.to, boost::test_tools::per_element());
  // Queued requests follow a change at once.
  const std::size_t waiting = scheduler.waiting();
  Evacuate({"n1", "n2", "s1", "x"});
  const auto decisions = scheduler.Advance(kStart);
  BOOST_TEST(decisions.placements.empty());
  BOOST_TEST(decisions.rejections.size() == waiting);
}

// A retry excludes the endpoint that failed, and used to go anywhere else.
BOOST_FIXTURE_TEST_CASE(retries_stay_within_their_limits, SchedulerFixture) {
  Job job;
  job.deadline = kStart + Ms(6'000);
  job.allowed_regions = {"north"};
  BOOST_TEST(scheduler.HasAlternative(job, {"n1", 1}, kStart));
  Evacuate({"n2"});
  BOOST_TEST(!scheduler.HasAlternative(job, {"n1", 1}, kStart));
  BOOST_TEST(Submit({"north"}, {}, {{"n1", 1}}).rejections.size() == 1U);
}

// Half of a service rejects everything: if that is all of a region, none of the
// region's requests would be tried.
BOOST_FIXTURE_TEST_CASE(ejections_of_a_whole_region_are_ignored,
                        SchedulerFixture) {
  for (int i = 0; i < 20; ++i) {
    for (const auto& placement : Submit({"south"}).placements) {
      scheduler.OnFailure(placement.job, placement.endpoint.ref,
                          EndpointFailure::kUnreachable, kStart);
    }
  }
  BOOST_TEST(Submit({"south"}).placements.size() == 1U);
}

struct LogCase {
  std::vector<Evacuations::Record> records;
  std::uint64_t next;
  bool is_snapshot;
  NameSet evacuated;  // after {"s1"} as of offset 5
};

std::ostream& operator<<(std::ostream& out, const LogCase& c) {
  return out << c.records.size() << " records up to " << c.next
             << (c.is_snapshot ? ", newest ones" : "");
}

const LogCase kLogs[] = {
    {{}, 6, false, {"s1"}},
    {{{"n1", true, 5}}, 6, false, {"n1", "s1"}},
    {{{"s1", false, 5}}, 6, false, {}},
    {{{"s1", false, 5}, {"s1", true, 6}}, 7, false, {"s1"}},
    {{{"n1", true, 5}, {"n1", false, 6}}, 7, false, {"s1"}},
    {{{"n1", true, 4}}, 5, false, {"s1"}},  // was already read
    {{{"n1", true, 2}}, 9, true, {"n1"}},
    {{}, 9, true, {}},
    {{}, 4, true, {"s1"}},  // a late answer
};

BOOST_DATA_TEST_CASE(evacuations_follow_the_log, data::make(kLogs), c) {
  Evacuations evacuations;
  BOOST_TEST(!evacuations.known());
  BOOST_TEST(
      (evacuations.OnPeerSet({{"s1"}, 5}, kBoot) == Changes{{"s1", true}}));
  evacuations.OnPage(c.records, c.next, c.is_snapshot, kBoot);
  BOOST_TEST(evacuations.known()->data_centres == c.evacuated,
             boost::test_tools::per_element());
  // Another gateway that knows less of the log, and one that knows more.
  BOOST_TEST(evacuations.OnPeerSet({{"z"}, 3}, kBoot).empty());
  evacuations.OnPeerSet({{}, 20}, kBoot);
  BOOST_TEST(evacuations.size() == 0U);
}

// A gateway that learns late would otherwise count the time from then on.
BOOST_AUTO_TEST_CASE(held_keys_are_served_until_the_time_is_over) {
  for (const auto& [age, left] : {std::pair(Ms(0), Ms(4'500)),
                                  {Ms(1'800), Ms(2'700)},
                                  {Ms(20'000), Ms(-15'500)}}) {
    Evacuations evacuations;
    // Evacuated before this gateway started.
    evacuations.OnPeerSet({{"n1"}, 5}, kBoot - age);
    // The end of the log is not on this page.
    evacuations.OnPage({}, 6, false, std::nullopt);
    evacuations.OnPeerSet({{"n1", "s1"}, 7}, kBoot);
    const auto until = KeysUntil(evacuations, Ms(5'000), kBoot, kStart);
    BOOST_TEST((until.at("n1") == kStart));
    BOOST_TEST((until.at("s1") == kStart + left));
  }
}

struct RestoreCase {
  const char* name;
  std::vector<Evacuations::Record> records;  // of the restored log
  bool by_peer;                              // learned from another gateway
  NameSet evacuated;
};

std::ostream& operator<<(std::ostream& out, const RestoreCase& c) {
  return out << c.name;
}

const RestoreCase kRestores[] = {
    {"not written again yet", {}, false, {"s1"}},
    {"not written again yet, by a gateway", {}, true, {"s1"}},
    {"written again", {{"s1", true, 3}}, false, {"s1"}},
    {"taken back since", {{"s1", false, 3}}, false, {}},
    {"another one", {{"n1", true, 3}}, false, {"n1", "s1"}},
};

// The copy that the store was restored from is older than the evacuation.
BOOST_DATA_TEST_CASE(an_evacuation_is_not_undone_by_a_restore,
                     data::make(kRestores), c) {
  Evacuations evacuations;
  evacuations.OnPeerSet({{"s1"}, 5}, kBoot);
  evacuations.OnStoreRestored(kBoot);
  if (c.by_peer) {
    evacuations.OnPeerSet({{}, 20}, kBoot);
  } else {
    evacuations.OnPage(c.records, 20, true, kBoot);
  }
  BOOST_TEST(evacuations.known()->data_centres == c.evacuated,
             boost::test_tools::per_element());
  const BootTime end = kBoot + Evacuations::kRestoreHold;
  BOOST_TEST(evacuations.EndHold(end - Ms(1)).empty());
  const bool unconfirmed =
      c.records.empty() || c.records[0].data_centre != "s1";
  BOOST_TEST(evacuations.EndHold(end).size() == (unconfirmed ? 1U : 0U));
}

// The empty list allows every region, so it must not stand for none.
BOOST_AUTO_TEST_CASE(regions_of_two_configurations) {
  BOOST_TEST((CommonRegions({}, {"n"}) == Names{"n"}));
  BOOST_TEST((CommonRegions({"n", "s"}, {"s", "w"}) == Names{"s"}));
  BOOST_TEST((CommonRegions({"n"}, {"s"}) == NoRegions()));
}

}  // namespace
}  // namespace balsamhall::gateway
