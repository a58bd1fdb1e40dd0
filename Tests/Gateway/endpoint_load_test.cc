// Table-driven tests of the load and health estimates of endpoints.
#include "gateway/endpoint_load.h"

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

EndpointInfo Endpoint(const std::string& id) {
  EndpointInfo info;
  info.ref = {id, 1};
  info.slots = 2;
  info.data_centre = "a";
  return info;
}

struct EjectionCase {
  const char* name;
  EndpointFailure failure;
  int failures;
  Ms elapsed;
  bool ejected;
  bool replaced;
};

std::ostream& operator<<(std::ostream& out, const EjectionCase& c) {
  return out << c.name;
}

const EjectionCase kEjections[] = {
    {"one bad response", EndpointFailure::kBadResponse, 1, Ms(0), false, false},
    {"one timeout", EndpointFailure::kTimeout, 1, Ms(0), false, false},
    {"two timeouts", EndpointFailure::kTimeout, 2, Ms(0), true, false},
    {"unreachable", EndpointFailure::kUnreachable, 1, Ms(100), true, false},
    {"unreachable, after the ejection", EndpointFailure::kUnreachable, 1,
     Ms(300), false, false},
    {"replaced", EndpointFailure::kReplaced, 1, Ms(0), true, true},
    {"replaced, while its entry may remain", EndpointFailure::kReplaced, 1,
     Ms(3'500), true, true},
    {"replaced, but registered for longer", EndpointFailure::kReplaced, 1,
     Ms(6'000), false, false},
};

BOOST_DATA_TEST_CASE(suspicion, data::make(kEjections), ejection) {
  EndpointLoad load(Endpoint("e"), kStart);
  for (int i = 0; i < ejection.failures; ++i) {
    const auto job = static_cast<std::uint64_t>(i);
    load.OnSent(job, kStart, 100);
    load.OnFailure(job, ejection.failure, kStart);
  }
  const SteadyTime now = kStart + ejection.elapsed;
  BOOST_TEST(load.Ejected(now) == ejection.ejected);
  BOOST_TEST(load.Replaced(now) == ejection.replaced);
}

constexpr int kEndpoints = 8;
constexpr int kReplacedEndpoints = 5;

// Load pattern: most endpoints end and other endpoints take over their
// addresses, while their registry entries remain for three heartbeats.
BOOST_AUTO_TEST_CASE(replaced_endpoints_are_tried_once) {
  GatewaySettings settings;
  settings.data_centre = "a";
  settings.region_of["a"] = "region";
  const EndpointNotices notices(Ms(2'500));
  Scheduler scheduler(settings, notices, 1);
  std::vector<EndpointInfo> infos;
  infos.reserve(kEndpoints);
  for (int i = 0; i < kEndpoints; ++i) {
    infos.push_back(Endpoint("e" + std::to_string(i)));
  }
  scheduler.SetEndpoints(infos, kStart);
  int misdirected = 0;
  for (int i = 0; i < 200; ++i) {
    const SteadyTime now = kStart + Ms(15) * i;
    Job job;
    job.id = static_cast<std::uint64_t>(i) + 1;
    job.kind = "kind";
    job.arrival = job.not_before = now;
    job.target_latency = Ms(300);
    job.target = now + Ms(300);
    job.deadline = now + Ms(2'000);
    for (;;) {
      const auto decisions = scheduler.Submit(job, now);
      BOOST_REQUIRE(decisions.placements.size() == 1U);
      const EndpointRef ref = decisions.placements[0].endpoint.ref;
      if (ref.id >= "e" + std::to_string(kReplacedEndpoints)) {
        scheduler.OnResponse(job.id, ref, "kind", Ms(10), 100,
                             ReportedLoad{0, 0, 2}, now);
        break;
      }
      ++misdirected;
      scheduler.OnFailure(job.id, ref, EndpointFailure::kReplaced, now);
      job.tried.push_back(ref);
    }
  }
  BOOST_TEST(misdirected <= kReplacedEndpoints);
}

}  // namespace
}  // namespace balsamhall::gateway
