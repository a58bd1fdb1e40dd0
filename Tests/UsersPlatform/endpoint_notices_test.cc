// End-to-end tests of what endpoints say in their responses: Server-Leaving,
// and Retry-After of a 503. Guards against requests that still reach an
// endpoint because the registry lists it as ready.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "StandIn/raw_endpoint.h"
#include "UsersPlatform/gateway_fixture.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;
using stand_in::RawEndpoint;
using stand_in::RawPart;
using stand_in::RawRequest;
using stand_in::ResponseBytes;

constexpr const char* kId = "X-Balsamhall-Request-Id";
constexpr Milliseconds kDrain{2'500};

HttpResponse Success(const RawRequest& request) {
  return {200,
          {{kId, request.id}, {"X-Balsamhall-Server-Stamp", "stamp"}},
          "answer to " + request.id};
}

HttpResponse Shed(const RawRequest& request, const std::string& retry_after) {
  HttpResponse response{
      503, {{kId, request.id}, {"X-Balsamhall-Not-Executed", "1"}}, ""};
  if (!retry_after.empty()) {
    response.headers.emplace_back("Retry-After", retry_after);
  }
  return response;
}

// A service with one endpoint, or two, that write what a test tells them to.
struct NoticeFixture : GatewayFixture {
  using Script = std::function<std::vector<RawPart>(const RawRequest&)>;

  void Start(const std::vector<Script>& scripts) {
    requests.resize(scripts.size());
    for (std::size_t i = 0; i < scripts.size(); ++i) {
      const std::string id = "i-raw-" + std::to_string(i);
      raw.push_back(std::make_unique<RawEndpoint>(
          loop, id, [this, i, script = scripts[i]](const RawRequest& request) {
            ++requests[i];
            return script(request);
          }));
      store.Put("keyed.servers", id, raw.back()->Entry("raw"));
    }
    json config = Config("0000000a");
    config["services"]["raw"] = config["services"]["plain"];
    config["routes"]["raw_safe"] = Route("/raw/read/", "safe", "raw");
    config["routes"]["raw_unsafe"] = Route("/raw/write/", "unsafe", "raw");
    store.Put("keyed.op", "config", config.dump());
    BOOST_REQUIRE(RunUntil([this] {
      Send(Request("/raw/read/probe", "p"));
      return std::ranges::any_of(requests, [](int count) { return count > 0; });
    }));
  }

  std::vector<int> requests;  // by endpoint
  std::vector<std::unique_ptr<RawEndpoint>> raw;
};

struct LeavingCase {
  const char* name;
  unsigned status;
  const char* header;
  bool leaves;
};

std::ostream& operator<<(std::ostream& out, const LeavingCase& c) {
  return out << c.name;
}

const LeavingCase kLeaving[] = {
    {"in a success", 200, "1", true},
    {"in a refusal", 503, "1", true},
    {"in an error response", 500, "1", true},
    {"another value", 200, "0", false},
};

// The registry shows the endpoint as ready all the while; also after the store
// was away, and after a new configuration.
BOOST_DATA_TEST_CASE_F(NoticeFixture, an_endpoint_that_leaves_gets_no_requests,
                       data::make(kLeaving), leaving) {
  Start({[&](const RawRequest& request) -> std::vector<RawPart> {
    HttpResponse response =
        leaving.status == 503 ? Shed(request, "") : Success(request);
    response.status = leaving.status;
    response.headers.emplace_back("Server-Leaving", leaving.header);
    return {{ResponseBytes(response)}};
  }});
  const int before = requests[0];
  for (const char* id : {"l1", "l2", "l3"}) Send(Request("/raw/write/x", id));
  BOOST_TEST((requests[0] == before) == leaving.leaves);
  store.set_fault(StoreFault::kBusy);
  RunFor(loop, kDrain);
  store.set_fault(StoreFault::kNone);
  json config = Config("0000000b");
  config["services"]["raw"] = config["services"]["plain"];
  config["routes"]["raw_unsafe"] = Route("/raw/write/", "unsafe", "raw");
  store.Put("keyed.op", "config", config.dump());
  store.Put("keyed.servers", "i-raw-0", raw[0]->Entry("raw"));
  RunFor(loop, Milliseconds(2'000));
  const int later = requests[0];
  const HttpResponse response = Send(Request("/raw/write/x", "l4"));
  BOOST_TEST((requests[0] == later) == leaving.leaves);
  if (leaving.leaves) {
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(!FindHeader(response.headers, "Retry-After").empty());
  }
}

BOOST_FIXTURE_TEST_CASE(another_endpoint_serves_beside_one_that_leaves,
                        NoticeFixture) {
  const Script leaves = [](const RawRequest& request) -> std::vector<RawPart> {
    HttpResponse response = Success(request);
    response.headers.emplace_back("Server-Leaving", "1");
    return {{ResponseBytes(response)}};
  };
  const Script stays = [](const RawRequest& request) -> std::vector<RawPart> {
    return {{ResponseBytes(Success(request))}};
  };
  Start({leaves, stays});
  for (int i = 0; i < 30; ++i) {
    BOOST_TEST(Send(Request("/raw/write/x", "s" + std::to_string(i))).status ==
               200U);
  }
  BOOST_TEST(requests[0] <= 1);
}

// The keys of an owner that leaves move at once, because its response to a
// renewal, or to a request, says so.
BOOST_FIXTURE_TEST_CASE(keys_of_an_owner_that_leaves_move, GatewayFixture) {
  BOOST_REQUIRE(RunUntil(
      [this] { return Send(Request("/keyed/x", "k1")).status == 200; }));
  UsersEndpoint second(loop, "i-9", true);
  second.Listen();
  store.Put("keyed.servers", second.id(), second.Entry("keyed", "ready"));
  RunFor(loop, Milliseconds(1'500));
  UsersEndpoint& owner = keyed.Holds(77) ? keyed : second;
  UsersEndpoint& other = keyed.Holds(77) ? second : keyed;
  BOOST_REQUIRE(owner.Holds(77));
  owner.set_leaving(true);
  BOOST_TEST(
      RunUntil([&] { return other.Holds(77) && !owner.Holds(77); }, kDrain));
  BOOST_TEST(
      RunUntil([&] { return Send(Request("/keyed/x", "k2")).status == 200; }));
  const int before = owner.total_runs();
  BOOST_TEST(Send(Request("/keyed/x", "k3")).status == 200U);
  BOOST_TEST(owner.total_runs() == before);
}

// No key can move without the store: the owner gets requests for its time, and
// afterwards callers are told that theirs has not run.
BOOST_FIXTURE_TEST_CASE(an_owner_that_leaves_while_the_store_is_away,
                        GatewayFixture) {
  BOOST_REQUIRE(RunUntil(
      [this] { return Send(Request("/keyed/x", "k1")).status == 200; }));
  store.set_fault(StoreFault::kBusy);
  RunFor(loop, Milliseconds(300));
  keyed.set_leaving(true);
  BOOST_TEST(Send(Request("/keyed/x", "k2")).status == 200U);
  RunFor(loop, kDrain);
  const int before = keyed.total_runs();
  const HttpResponse response = Send(Request("/keyed/x", "k3"));
  BOOST_TEST(response.status == 503U);
  BOOST_TEST(!FindHeader(response.headers, "Retry-After").empty());
  BOOST_TEST(keyed.total_runs() == before);
}

struct ReportCase {
  const char* name;
  const char* body;
  unsigned status;
};

std::ostream& operator<<(std::ostream& out, const ReportCase& c) {
  return out << c.name;
}

const ReportCase kReports[] = {
    {"an endpoint of the registry", "1 i-1", 204},
    {"another incarnation", "2 i-1", 404},
    {"an unknown endpoint", "1 i-77", 404},
    {"no id", "1 ", 400},
    {"no incarnation", " i-1", 400},
    {"one field", "i-1", 400},
    {"nothing", "", 400},
    {"a negative incarnation", "-1 i-1", 400},
    {"an incarnation out of range", "99999999999999999999 i-1", 400},
    {"an incarnation above the signed range", "18446744073709551615 i-1", 400},
};

// Another gateway reports that an endpoint is leaving.
BOOST_DATA_TEST_CASE_F(GatewayFixture, reports_of_leaving_endpoints,
                       data::make(kReports), report) {
  HttpClient peer(loop, peer_address, HttpClientOptions{});
  const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
    peer.Send({"POST", "/leaving", {}, report.body, 0}, Milliseconds(500),
              done);
  });
  BOOST_REQUIRE(outcome.response);
  BOOST_TEST(outcome.response->status == report.status);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Send(Request("/read/x", "r" + std::to_string(i))).status ==
               200U);
  }
  BOOST_TEST((plain1.total_runs() == 0) == (report.status == 204));
}

struct RetryAfterCase {
  const char* name;
  const char* retry_after;
  Milliseconds pause;  // no request reaches the endpoint for so long
};

std::ostream& operator<<(std::ostream& out, const RetryAfterCase& c) {
  return out << c.name;
}

const RetryAfterCase kRetryAfter[] = {
    {"whole seconds", "1", Milliseconds(1'000)},
    {"fractions", "0.75", Milliseconds(750)},
    {"an absurd value", "99999999999999999999", Milliseconds(3'000)},
    {"none", "", Milliseconds(0)},
    {"zero", "0", Milliseconds(0)},
    {"a negative value", "-3", Milliseconds(0)},
    {"no number", "soon", Milliseconds(0)},
    {"not finite", "inf", Milliseconds(0)},
    {"a date", "Sat, 05 Dec 2026 12:00:00 GMT", Milliseconds(0)},
    {"a number and more", "3 seconds", Milliseconds(0)},
};

// All endpoints of the service ask, so callers are rejected at once and told
// the time that is left.
BOOST_DATA_TEST_CASE_F(NoticeFixture,
                       an_endpoint_that_asks_for_a_pause_gets_no_requests,
                       data::make(kRetryAfter), asked) {
  Start({[&](const RawRequest& request) -> std::vector<RawPart> {
    const bool probe = request.target.ends_with("probe");
    return {{ResponseBytes(probe ? Success(request)
                                 : Shed(request, asked.retry_after))}};
  }});
  Send(Request("/raw/write/x", "a"));
  const auto start = std::chrono::steady_clock::now();
  int sent = 0;
  while (std::chrono::steady_clock::now() - start <
         asked.pause - Milliseconds(100)) {
    const int before = requests[0];
    const auto sent_at = std::chrono::steady_clock::now();
    const HttpResponse response =
        Send(Request("/raw/write/x", "b" + std::to_string(++sent)));
    BOOST_TEST(requests[0] == before);
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(!FindHeader(response.headers, "Retry-After").empty());
    BOOST_TEST(
        (std::chrono::steady_clock::now() - sent_at < Milliseconds(100)));
    RunFor(loop, Milliseconds(50));
  }
  if (asked.pause > Milliseconds(2'000)) return;
  RunFor(loop, Milliseconds(200));
  const int before = requests[0];
  Send(Request("/raw/write/x", "c"));
  BOOST_TEST(requests[0] > before);
}

// The second copy of a refusal, with Retry-After, arrives on a kept connection
// ahead of the answer to another request: it is not that request's answer.
BOOST_FIXTURE_TEST_CASE(a_pause_in_a_response_to_another_request_is_ignored,
                        NoticeFixture) {
  Start({[](const RawRequest& request) -> std::vector<RawPart> {
    std::string bytes;
    if (request.target.ends_with("second")) {
      RawRequest other = request;
      other.id = "another";
      HttpResponse copy = Shed(other, "60");
      copy.headers.emplace_back("Server-Leaving", "1");
      bytes = ResponseBytes(copy);
    }
    return {{bytes + ResponseBytes(Success(request))}};
  }});
  Send(Request("/raw/write/first", "a"));
  Send(Request("/raw/write/second", "b"));
  const int before = requests[0];
  BOOST_TEST(Send(Request("/raw/write/third", "c")).status == 200U);
  BOOST_TEST(requests[0] == before + 1);
}

struct HalfHeadCase {
  const char* name;
  const char* head;  // what the endpoint writes before it closes
};

std::ostream& operator<<(std::ostream& out, const HalfHeadCase& c) {
  return out << c.name;
}

const HalfHeadCase kHalfHeads[] = {
    {"nothing", ""},
    {"part of the status line", "HTTP/1.1 200"},
    {"the status line", "HTTP/1.1 200 OK\r\n"},
    {"part of a header", "HTTP/1.1 200 OK\r\nContent-Len"},
    {"part of the length",
     "HTTP/1.1 200 OK\r\nX-Balsamhall-Server-Stamp: s\r\nContent-Length: 1"},
    {"whole headers, no end of the head",
     "HTTP/1.1 200 OK\r\nX-Balsamhall-Server-Stamp: s\r\n"},
    {"half of the end of the head",
     "HTTP/1.1 200 OK\r\nX-Balsamhall-Server-Stamp: s\r\n\r"},
    {"a length and half of the body",
     "HTTP/1.1 200 OK\r\nX-Balsamhall-Server-Stamp: s\r\n"
     "Content-Length: 12\r\n\r\nhalf"},
    {"half of a chunked body",
     "HTTP/1.1 200 OK\r\nX-Balsamhall-Server-Stamp: s\r\n"
     "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
};

// Callers of other systems got a 200 with an empty or short body. The request
// may have run, so a write is not repeated and its caller is not told
// otherwise.
BOOST_DATA_TEST_CASE_F(NoticeFixture, a_response_that_breaks_off_is_no_success,
                       data::make(kHalfHeads), half) {
  Start({[&](const RawRequest& request) -> std::vector<RawPart> {
    if (request.target.ends_with("probe")) {
      return {{ResponseBytes(Success(request))}};
    }
    return {{half.head, Milliseconds(0), true}};
  }});
  for (const char* target : {"/raw/write/x", "/raw/read/x"}) {
    const int before = requests[0];
    const HttpResponse response = Send(Request(target, "half"));
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(requests[0] == before + 1);
  }
}

struct StatusLineCase {
  const char* name;
  const char* line;
};

std::ostream& operator<<(std::ostream& out, const StatusLineCase& c) {
  return out << c.name;
}

const StatusLineCase kStatusLines[] = {
    {"000", "HTTP/1.1 000 Unknown"},
    {"099", "HTTP/1.1 099 Unknown"},
    {"101", "HTTP/1.1 101 Switching Protocols"},
    {"102", "HTTP/1.1 102 Processing"},
    {"199", "HTTP/1.1 199 Unknown"},
    {"600", "HTTP/1.1 600 Unknown"},
    {"999", "HTTP/1.1 999 Unknown"},
    {"two digits", "HTTP/1.1 20 OK"},
    {"four digits", "HTTP/1.1 2000 OK"},
    {"no number", "HTTP/1.1 OK"},
    {"no status", "HTTP/1.1"},
    {"negative", "HTTP/1.1 -200 OK"},
};

// Guards against a status line outside of the protocol that reaches the caller
// as a response. The request may have run, so a write is not repeated.
BOOST_DATA_TEST_CASE_F(NoticeFixture, an_invalid_status_is_no_response,
                       data::make(kStatusLines), status) {
  Start({[&](const RawRequest& request) -> std::vector<RawPart> {
    std::string bytes = ResponseBytes(Success(request));
    if (!request.target.ends_with("probe")) {
      bytes.replace(0, bytes.find("\r\n"), status.line);
    }
    return {{std::move(bytes), Milliseconds(0), true}};
  }});
  for (const char* target : {"/raw/write/x", "/raw/read/x"}) {
    const int before = requests[0];
    const HttpResponse response = Send(Request(target, "odd"));
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(requests[0] == before + 1);
  }
}

}  // namespace
}  // namespace balsamhall::platform
