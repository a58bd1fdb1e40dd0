// Endpoints that answer with bytes without end, seen by callers.
#include <unistd.h>

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "StandIn/endless_server.h"
#include "gateway/lease_keeper.h"
#include "gateway_fixture.h"
#include "telemetry/event_log.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;
using stand_in::EndlessAnswer;
using stand_in::EndlessServer;
using SteadyClock = std::chrono::steady_clock;

// Of the routes in gateway_fixture.h, and how late an answer may come after it.
constexpr Milliseconds kRouteTimeout{400};
constexpr Milliseconds kMaxLateness{500};
// A caller that has left may occupy its endpoint for that long.
constexpr Milliseconds kMaxWorkAfterLeaving{500};
constexpr int kRequests = 60;
constexpr int kConcurrent = 12;
// Retries that the budget allows a gateway that doesn't know yet how many
// gateways share it.
constexpr int kFirstRetries = 2;

constexpr int kServers = 3;
constexpr int kWrites = 36;
constexpr std::size_t kVmBytes = 160'000'000;  // of the grown sites
// Below the limit of one response; many of them are more than a VM has.
constexpr std::uint64_t kBytesOfEach = 12U << 20U;

std::size_t ResidentBytes() {
  std::size_t pages = 0;
  std::ifstream statm("/proc/self/statm");
  statm >> pages >> pages;
  return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

constexpr std::size_t kMaxLineBytes = 4'096;

struct BytesCase {
  const char* name;
  EndlessAnswer answer;
};
std::ostream& operator<<(std::ostream& out, const BytesCase& input) {
  return out << input.name;
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kOther =
    kOk +
    "X-Balsamhall-Request-Id: other\r\n"
    "X-Balsamhall-Server-Stamp: s\r\nContent-Length: 1\r\n\r\nx";
const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr Milliseconds kSlow{20};

const std::vector<BytesCase> kCases = {
    {"status_line", {"HTTP/1.1 200 O", "xxxxxxx", {}}},
    {"slow_headers", {kOk, "A: b\r\n", kSlow}},
    {"slow_body",
     {kOk + "X-Balsamhall-Server-Stamp: s\r\n\r\n", "xxxxxxx", kSlow}},
    {"chunk_extension",
     {kOk + "Transfer-Encoding: chunked\r\n\r\n1;", "xxxxxxx", {}}},
    {"continue", {"", kContinue, {}}},
    {"other_answers", {"", kOther, {}}},
    {"slow_other_answers", {"", kOther, kSlow}},
};

using Entries = std::map<std::string, std::string>;

struct Answered {
  unsigned status = 0;  // 0: none
  Milliseconds took{};
};

// An endpoint of a service, before the gateway that is to use it.
struct EndlessEndpoint {
  explicit EndlessEndpoint(EndlessAnswer answer) : server(std::move(answer)) {}

  std::string Entry(const std::string& service) {
    boost::asio::io_context loop;
    UsersEndpoint endpoint(loop, "i-9", false);
    endpoint.set_public_address(server.address());
    return endpoint.Entry(service, "ready");
  }

  EndlessServer server;
};

struct EndlessFixture : EndlessEndpoint, GatewayFixture {
  // Beside the other endpoints of the service, or in their place.
  explicit EndlessFixture(EndlessAnswer answer, bool alone = false)
      : EndlessEndpoint(std::move(answer)),
        GatewayFixture(
            alone ? Entries{{"i-1", ""}, {"i-2", ""}, {"i-9", Entry("plain")}}
                  : Entries{{"i-9", Entry("plain")}}) {}

  // Sends a few at a time, and waits for all of them.
  std::vector<Answered> SendMany(const std::string& target) {
    std::vector<Answered> answers(kRequests);
    int started = 0;
    int ended = 0;
    const bool all = RunUntil(
        [&] {
          for (; started < std::min(ended + kConcurrent, kRequests);
               ++started) {
            const auto start = SteadyClock::now();
            front->Send(Request(target, "r" + std::to_string(started)),
                        Milliseconds(3'000),
                        [&, start,
                         number = started](const HttpClient::Outcome& outcome) {
                          ++ended;
                          answers.at(number) = {
                              outcome.response ? outcome.response->status : 0U,
                              std::chrono::duration_cast<Milliseconds>(
                                  SteadyClock::now() - start)};
                        });
          }
          return ended == kRequests;
        },
        Milliseconds(20'000));
    BOOST_REQUIRE(all);
    return answers;
  }
};

// Guards against requests that run twice, or callers that wait beyond the
// route's time-out, because of an answer without end.
BOOST_DATA_TEST_CASE(unsafe_requests_survive_answers_without_end,
                     data::make(kCases), input) {
  EndlessFixture fixture(input.answer);
  const auto answers = fixture.SendMany("/write/1");
  int failed = 0;
  for (int number = 0; number < kRequests; ++number) {
    const Answered& answer = answers.at(number);
    const int runs = fixture.Runs("r" + std::to_string(number));
    BOOST_CHECK_LT(answer.took.count(), (kRouteTimeout + kMaxLateness).count());
    if (answer.status == 200) {
      BOOST_CHECK_EQUAL(runs, 1);
      continue;
    }
    ++failed;
    BOOST_CHECK_MESSAGE(answer.status == 502 || answer.status == 504,
                        answer.status);
    BOOST_CHECK_EQUAL(runs, 0);
  }
  // Only requests that were sent to the faulty endpoint fail, each once, and
  // its failures make it get fewer than its share.
  BOOST_CHECK_GT(fixture.server.asked(), 0);
  BOOST_CHECK_EQUAL(failed, fixture.server.asked());
  BOOST_CHECK_LT(failed, kRequests / 3);
  BOOST_CHECK(fixture.RunUntil(
      [&] { return fixture.server.closed() == fixture.server.asked(); },
      kRouteTimeout + kMaxLateness));
}

// Guards against safe requests that fail although another endpoint could
// answer.
BOOST_DATA_TEST_CASE(safe_requests_survive_answers_without_end,
                     data::make(kCases), input) {
  EndlessFixture fixture(input.answer);
  const auto answers = fixture.SendMany("/read/1");
  int failed = 0;
  for (const Answered& answer : answers) {
    BOOST_CHECK_LT(answer.took.count(), (kRouteTimeout + kMaxLateness).count());
    if (answer.status == 200) continue;
    ++failed;
    BOOST_CHECK_MESSAGE(answer.status == 502 || answer.status == 504,
                        answer.status);
  }
  BOOST_CHECK_GT(fixture.server.asked(), 0);
  BOOST_CHECK_LT(fixture.server.asked(), kRequests / 2);
  if (input.answer.interval.count() == 0) {
    BOOST_CHECK_LE(failed, std::max(0, fixture.server.asked() - kFirstRetries));
  } else {
    // The first ones reach the route's time-out; nothing shows before that a
    // slow answer has no end.
    BOOST_CHECK_LE(failed, fixture.server.asked());
  }
  BOOST_CHECK(fixture.RunUntil(
      [&] { return fixture.server.closed() == fixture.server.asked(); },
      kRouteTimeout + kMaxLateness));
}

// Guards against bodies without end that together fill the memory of a VM.
BOOST_AUTO_TEST_CASE(many_bodies_without_end_leave_memory) {
  std::vector<std::unique_ptr<EndlessEndpoint>> endpoints;
  Entries entries{{"i-1", ""}, {"i-2", ""}};
  for (int i = 0; i < kServers; ++i) {
    endpoints.push_back(std::make_unique<EndlessEndpoint>(
        EndlessAnswer{kOk + "X-Balsamhall-Server-Stamp: s\r\n\r\n",
                      std::string(4096, 'x'),
                      {},
                      kBytesOfEach}));
    json entry = json::parse(endpoints.back()->Entry("plain"));
    entry["info"]["slots"] = kWrites;
    entries["i-9" + std::to_string(i)] = entry.dump();
  }
  GatewayFixture fixture(entries);
  // Without the first lease, about a second after the start, the keyed request
  // at the end is rejected: the bodies may end sooner.
  BOOST_REQUIRE(fixture.RunUntil([&] {
    return fixture.Send(fixture.Request("/keyed/1", "first")).status == 200U;
  }));
  std::vector<unsigned> statuses;
  for (int i = 0; i < kWrites; ++i) {
    HttpRequest request =
        fixture.Request("/slow/write/1", "r" + std::to_string(i));
    request.headers.at(2).second = "3000";
    fixture.front->Send(
        request, Milliseconds(7'000), [&](const HttpClient::Outcome& outcome) {
          statuses.push_back(outcome.response ? outcome.response->status : 0U);
        });
  }
  const auto asked = [&] {
    int sum = 0;
    for (const auto& endpoint : endpoints) sum += endpoint->server.asked();
    return sum;
  };
  std::size_t most = 0;
  std::vector<unsigned> small_statuses;
  int small_sent = 0;
  const auto send_small = [&] {
    fixture.front->Send(
        fixture.Request("/keyed/1", "small" + std::to_string(small_sent++)),
        Milliseconds(2'000), [&](const HttpClient::Outcome& outcome) {
          small_statuses.push_back(outcome.response ? outcome.response->status
                                                    : 0U);
        });
  };
  BOOST_CHECK(fixture.RunUntil(
      [&] {
        most = std::max(most, ResidentBytes());
        send_small();
        return statuses.size() == kWrites;
      },
      Milliseconds(4'000)));
  BOOST_CHECK_EQUAL(asked(), kWrites);
  // Those for which there was room time out.
  const auto refused = std::ranges::count(statuses, 502U);
  BOOST_CHECK_GT(refused, 0);
  BOOST_CHECK_EQUAL(refused + std::ranges::count(statuses, 504U), kWrites);
  BOOST_CHECK_LT(most, kVmBytes);
  BOOST_CHECK(fixture.RunUntil(
      [&] { return static_cast<int>(small_statuses.size()) == small_sent; }));
  BOOST_CHECK_EQUAL(std::ranges::count(small_statuses, 200U), small_sent);
  // The faulty endpoints are named, and get no requests for a while.
  HttpClient metrics(fixture.loop, fixture.metrics_address, {});
  const auto outcome = Await<HttpClient::Outcome>(fixture.loop, [&](auto done) {
    metrics.Send({"GET", "/metrics", {}, "", 0}, Milliseconds(1'000), done);
  });
  BOOST_REQUIRE(outcome.response);
  for (int i = 0; i < kServers; ++i) {
    BOOST_CHECK(outcome.response->body.find(
                    "responses_too_large_total{service=\"plain\",endpoint="
                    "\"i-9" +
                    std::to_string(i)) != std::string::npos);
  }
  // The memory is free again.
  BOOST_CHECK_EQUAL(fixture.Send(fixture.Request("/keyed/1", "keyed")).status,
                    200U);
}

// Guards against an endpoint that sends on after the caller of a safe request
// has left, or after the deadline of an unsafe one.
BOOST_DATA_TEST_CASE(bytes_without_end_stop_when_the_caller_leaves,
                     data::make({"/slow/read/1", "/write/1"}), target) {
  EndlessFixture fixture({kOk, "A: b\r\n", kSlow}, true);
  const auto exchange =
      fixture.front->Send(fixture.Request(target, "r"), Milliseconds(3'000),
                          [](const HttpClient::Outcome&) {});
  BOOST_REQUIRE(fixture.RunUntil([&] { return fixture.server.asked() == 1; }));
  fixture.front->Cancel(exchange);
  BOOST_CHECK(fixture.RunUntil([&] { return fixture.server.reset() == 1; },
                               kRouteTimeout + kMaxWorkAfterLeaving));
  BOOST_CHECK_EQUAL(fixture.server.asked(), 1);
}

// Guards against answers to lease calls that are read up to the limit of a
// caller's response: an endpoint answers them without a body.
BOOST_AUTO_TEST_CASE(long_answers_to_lease_calls_are_not_read) {
  EndlessEndpoint endpoint(
      {kOk + "Content-Length: 1000000\r\n\r\n", "x", kSlow});
  GatewayFixture fixture(
      Entries{{"i-3", ""}, {"i-9", endpoint.Entry("keyed")}});
  BOOST_REQUIRE(fixture.RunUntil([&] { return endpoint.server.asked() == 1; }));
  BOOST_CHECK(fixture.RunUntil([&] { return endpoint.server.reset() == 1; },
                               gateway::LeaseKeeper::kCallTimeout / 2));
}

// Guards against a log line as long as what a faulty store sent.
BOOST_AUTO_TEST_CASE(log_text_is_bounded) {
  const std::string text = "{\"items\":\"" + std::string(1U << 20U, 'x');
  const EndlessServer server(
      {kOk + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
           text,
       "",
       {}});
  boost::asio::io_context loop{1};
  StoreClient store(loop, server.address(), Milliseconds(1'000));
  const auto result = Await<gateway::ReadResult>(loop, [&](auto done) {
    store.ReadNewest(gateway::Log::kEndpointRegistry, done);
  });
  BOOST_CHECK(!result.page);
  const std::string line =
      FormatEvent("store_unavailable", 0, {{"detail", result.detail}});
  BOOST_CHECK_LT(line.size(), kMaxLineBytes);
}

}  // namespace
}  // namespace balsamhall::platform
