// End-to-end tests of the statuses that promise to a caller that its request
// did not run and never will: 408, 421, 429 and 503.
#include <algorithm>
#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "UsersPlatform/gateway_fixture.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;

constexpr std::array<unsigned, 4> kPromises{408, 421, 429, 503};

bool IsPromise(const HttpResponse& response) {
  return std::ranges::find(kPromises, response.status) != kPromises.end();
}

struct RouteTypeCase {
  const char* name;
  const char* target;
};

std::ostream& operator<<(std::ostream& out, const RouteTypeCase& c) {
  return out << c.name;
}

const RouteTypeCase kRouteTypes[] = {
    {"safe", "/read/x"},
    {"unsafe", "/write/x"},
    {"safe with a key", "/keyed/x"},
    {"unsafe with a key", "/sharded/write/x"},
};

struct PromiseFixture : GatewayFixture {
  PromiseFixture() {
    json config = Config("0000000a");
    config["routes"]["keyed_write"] =
        Route("/sharded/write/", "unsafe", "keyed");
    store.Put("keyed.op", "config", config.dump());
    BOOST_REQUIRE(RunUntil([this] {
      return Send(Request("/sharded/write/x", "ready")).status == 200;
    }));
  }

  void SetFault(EndpointFault fault, unsigned status = 0) {
    for (UsersEndpoint* endpoint : {&plain1, &plain2, &keyed}) {
      endpoint->set_false_status(status);
      endpoint->set_fault(fault);
    }
  }
};

// Guards against a request that ran and whose caller is told that it did not,
// so that the caller sends it again.
BOOST_DATA_TEST_CASE_F(PromiseFixture,
                       a_status_of_a_run_does_not_reach_the_caller_as_a_promise,
                       data::make(kPromises) * data::make(kRouteTypes), status,
                       route) {
  SetFault(EndpointFault::kFalseStatus, status);
  const HttpResponse response = Send(Request(route.target, "id-1"));
  BOOST_TEST(Runs("id-1") >= 1);
  BOOST_TEST(response.status == 502U);
  const bool unsafe =
      std::string(route.target).find("/write/") != std::string::npos;
  if (unsafe) BOOST_TEST(Runs("id-1") == 1);
}

struct LastAttemptCase {
  const char* name;
  EndpointFault fault;
};

std::ostream& operator<<(std::ostream& out, const LastAttemptCase& c) {
  return out << c.name;
}

const LastAttemptCase kLastAttempts[] = {
    {"rejected", EndpointFault::kShed},
    {"not answered", EndpointFault::kSilent},
};

// Guards against a last attempt that was rejected hiding an earlier one that
// ran.
BOOST_DATA_TEST_CASE_F(PromiseFixture,
                       a_last_attempt_does_not_hide_an_earlier_run,
                       data::make({408U, 421U, 429U, 500U, 503U}) *
                           data::make(kLastAttempts),
                       status, last) {
  for (UsersEndpoint* const ran : {&plain1, &plain2}) {
    UsersEndpoint& other = ran == &plain1 ? plain2 : plain1;
    ran->set_false_status(status);
    ran->set_fault(EndpointFault::kFalseStatus);
    other.set_fault(last.fault);
    const std::string id = "id-" + ran->id();
    const HttpResponse response = Send(Request("/read/x", id));
    if (Runs(id) > 0) BOOST_TEST(!IsPromise(response));
  }
}

struct RejectionCase {
  const char* name;
  EndpointFault fault;
};

std::ostream& operator<<(std::ostream& out, const RejectionCase& c) {
  return out << c.name;
}

const RejectionCase kRejections[] = {
    {"the endpoint is full", EndpointFault::kShed},
};

// Guards against rejections that are no longer recognised: the caller may send
// the request again.
BOOST_DATA_TEST_CASE_F(PromiseFixture, a_rejection_is_still_a_promise,
                       data::make(kRejections) * data::make(kRouteTypes),
                       rejection, route) {
  SetFault(rejection.fault);
  const HttpResponse response = Send(Request(route.target, "id-2"));
  BOOST_TEST(response.status == 503U);
  BOOST_TEST(Runs("id-2") == 0);
}

}  // namespace
}  // namespace balsamhall::platform
