#include "dispatch/load_balancer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

struct Fixture {
  Fixture() : balancer(BalancerOptions{}, 1) {
    for (int i = 0; i < 6; ++i) {
      list.push_back({std::string(1, static_cast<char>('a' + i)), 2, true,
                      false, false, now});
    }
    Update();
  }

  void Update() { balancer.SetEndpoints(list, now); }

  // Sends a request to the endpoint that ends at once with the outcome.
  void Send(const EndpointId& id, BalancerOutcome outcome, int millis = 5) {
    balancer.OnSent(id);
    balancer.OnFinished(id, outcome, Milliseconds{millis}, now);
  }
  // Sends as many failing requests as eject an endpoint.
  void FailRepeatedly(const EndpointId& id) {
    for (int i = 0; i < 5; ++i) Send(id, BalancerOutcome::kFailed, 0);
  }

  // Returns the share of 1000 requests that go to the endpoint. The requests
  // stay in flight unless `complete` is set.
  double ShareOf(const EndpointId& id, bool complete = true) {
    int picked = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto pick = balancer.Pick({}, now);
      if (!pick) continue;
      if (*pick == id) ++picked;
      balancer.OnSent(*pick);
      if (complete) {
        balancer.OnFinished(*pick, BalancerOutcome::kRejected, Milliseconds{0},
                            now);
      }
    }
    return picked / 1000.0;
  }

  SteadyTime now{std::chrono::hours{1}};
  std::vector<BalancedEndpoint> list;
  LoadBalancer balancer;
};

struct ShareCase {
  std::string guards_against;
  std::function<void(Fixture&)> steps;
  double low;  // bounds of the share of endpoint a; an even share is 1/6
  double high;
  bool complete = true;
};

std::ostream& operator<<(std::ostream& out, const ShareCase& share) {
  return out << share.guards_against;
}

void ReportAll(Fixture& f, double a, double others) {
  for (const auto& endpoint : f.list) {
    f.balancer.OnLoadReport(endpoint.id, endpoint.id == "a" ? a : others,
                            f.now);
  }
}

const ShareCase kShareCases[] = {
    {"an uneven choice among equal endpoints", [](Fixture&) {}, 0.12, 0.21,
     false},
    {"new work for a draining endpoint",
     [](Fixture& f) { f.Send("a", BalancerOutcome::kDraining); }, 0, 0},
    {"new work for an endpoint that no longer accepts work",
     [](Fixture& f) {
       f.list[0].accepting = false;
       f.Update();
     },
     0, 0},
    {"an endpoint that stays excluded after it accepts work again",
     [](Fixture& f) {
       f.Send("a", BalancerOutcome::kDraining);
       f.list[0].accepting = false;
       f.Update();
       f.list[0].accepting = true;
       f.Update();
     },
     0.1, 0.35},
    {"new work for an endpoint that fails",
     [](Fixture& f) { f.FailRepeatedly("a"); }, 0, 0},
    {"an endpoint that attracts requests by failing fast",
     [](Fixture& f) {
       for (const auto& endpoint : f.list) {
         f.Send(endpoint.id, BalancerOutcome::kResponded);
       }
       for (int i = 0; i < 4; ++i) f.Send("a", BalancerOutcome::kFailed, 0);
     },
     0, 0.21, false},
    {"an ejection that never ends, and a full share right after one",
     [](Fixture& f) {
       f.FailRepeatedly("a");
       f.now += Milliseconds{6000};
     },
     0.005, 0.08, false},
    {"a rejection that counts as a failure",
     [](Fixture& f) {
       for (int i = 0; i < 20; ++i) f.Send("a", BalancerOutcome::kRejected, 0);
     },
     0.12, 0.21, false},
    {"a false load report that attracts all requests",
     [](Fixture& f) { ReportAll(f, -100, 1); }, 0.2, 0.4, false},
    {"a false load report that keeps all requests away",
     [](Fixture& f) { ReportAll(f, 1e9, 0); }, 0.06, 0.14, false},
    {"an outdated load report that affects the choice",
     [](Fixture& f) {
       ReportAll(f, 1, 0);
       f.now += Milliseconds{3000};
     },
     0.12, 0.21, false},
    {"traffic over the billed link despite local endpoints",
     [](Fixture& f) {
       f.list[0].remote = true;
       f.Update();
     },
     0, 0},
    {"a service without local endpoints that is not served",
     [](Fixture& f) {
       for (auto& endpoint : f.list) endpoint.accepting = false;
       f.list[0].remote = f.list[0].accepting = true;
       f.Update();
     },
     1, 1},
    {"a slow endpoint that keeps its share",
     [](Fixture& f) {
       for (const auto& endpoint : f.list) {
         const int millis = endpoint.id == "a" ? 50 : 5;
         f.Send(endpoint.id, BalancerOutcome::kResponded, millis);
       }
     },
     0, 0.08, false},
};

// Guards against the failure that each case names.
BOOST_DATA_TEST_CASE(ShareOfAnEndpoint, data::make(kShareCases), share) {
  Fixture fixture;
  share.steps(fixture);
  const double measured = fixture.ShareOf("a", share.complete);
  BOOST_CHECK_GE(measured, share.low);
  BOOST_CHECK_LE(measured, share.high);
}

// Guards against ejections that leave too few endpoints: a network failure
// looks like the failure of all endpoints.
BOOST_DATA_TEST_CASE(EjectionIsBounded, data::make({1U, 2U, 3U, 5U, 6U}),
                     endpoints) {
  Fixture fixture;
  fixture.list.resize(endpoints);
  fixture.Update();
  for (const auto& endpoint : fixture.list) fixture.FailRepeatedly(endpoint.id);
  BOOST_CHECK_EQUAL(fixture.balancer.ejected_count(fixture.now), endpoints / 3);
  BOOST_CHECK(fixture.balancer.Pick({}, fixture.now).has_value());
  fixture.list.resize(1);
  fixture.Update();
  BOOST_CHECK_EQUAL(fixture.balancer.ejected_count(fixture.now), 0U);
}

}  // namespace
}  // namespace balsamhall
