// End-to-end tests with endpoints that write an earlier answer once more on a
// connection that the gateway keeps.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <ostream>
#include <set>
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
constexpr Milliseconds kWorkTime{60};
constexpr int kMaxFirsts = 20;

HttpResponse Refusal(unsigned status, const std::string& id) {
  HttpResponse response{status, {{"X-Balsamhall-Not-Executed", "1"}}, ""};
  if (!id.empty()) response.headers.emplace_back(kId, id);
  return response;
}

HttpResponse Success(const RawRequest& request, const std::string& id) {
  HttpResponse response{200,
                        {{"X-Balsamhall-Server-Stamp", "stamp"}},
                        "answer to " + request.target};
  if (!id.empty()) response.headers.emplace_back(kId, id);
  return response;
}

// Two endpoints of one service that run the same script.
struct RefusalFixture : GatewayFixture {
  using Script = std::function<std::vector<RawPart>(const RawRequest&)>;

  void Start(const Script& script) {
    for (const char* id : {"i-raw-1", "i-raw-2"}) {
      raw.push_back(std::make_unique<RawEndpoint>(
          loop, id, [this, script, id](const RawRequest& request) {
            ++requests[request.target];
            reached[request.target].insert(id);
            if (request.number > 1) ++kept[request.target];
            return script(request);
          }));
      store.Put("keyed.servers", id, raw.back()->Entry("raw"));
    }
    json config = Config("0000000a");
    config["services"]["raw"] = config["services"]["plain"];
    for (const char* type : {"safe", "unsafe"}) {
      const std::string path = "/raw/" + std::string(type) + "/write/";
      config["routes"][std::string("raw_") + type] =
          Route(path, type, "raw", "1500ms");
    }
    store.Put("keyed.op", "config", config.dump());
    BOOST_REQUIRE(RunUntil(
        [this] { return SendTo("/raw/safe/write/probe", "p").status == 200; }));
  }

  HttpResponse SendTo(const std::string& target, const std::string& id,
                      const std::string& body = "") {
    HttpRequest request = Request(target, id);
    request.headers[2].second = "1500";
    if (id.empty()) request.headers.erase(request.headers.begin() + 1);
    request.body = body;
    return Send(request);
  }

  // Leaves an answer on the kept connections of both endpoints, either of which
  // the next request may reach.
  void SendFirst(const std::string& target, const std::string& id) {
    for (int number = 1; number <= 2 || reached[target].size() < raw.size();
         ++number) {
      BOOST_REQUIRE(number <= kMaxFirsts);
      SendTo(target, id.empty() ? "" : id + std::to_string(number));
    }
    RunFor(loop, Milliseconds(100));
  }

  std::map<std::string, int> requests;                   // by target
  std::map<std::string, std::set<std::string>> reached;  // endpoints, by target
  std::map<std::string, int> kept;  // those not first on their connection
  std::vector<std::unique_ptr<RawEndpoint>> raw;
};

enum class When {
  kBehindAnswer,   // in the same bytes as the first answer
  kBetween,        // while no request is under way
  kAheadOfAnswer,  // when the next request arrives, before its own answer
};

struct RepeatCase {
  const char* name;
  When when;
  unsigned status;        // of the answer that is repeated
  const char* caller_id;  // prefix of the callers' ids; empty: none are sent
  const char* repeat_id;  // "first": as in the first answer
  int copies;
  std::size_t body_bytes = 0;
};

std::ostream& operator<<(std::ostream& out, const RepeatCase& c) {
  return out << c.name;
}

const RepeatCase kRepeats[] = {
    {"behind the answer, its id", When::kBehindAnswer, 503, "a", "first", 1},
    {"behind the answer, no id", When::kBehindAnswer, 503, "a", "", 1},
    {"behind the answer, caller without an id", When::kBehindAnswer, 503, "",
     "", 1},
    {"between requests, its id", When::kBetween, 503, "a", "first", 1},
    {"between requests, no id", When::kBetween, 503, "a", "", 1},
    {"between requests, caller without an id", When::kBetween, 503, "", "", 1},
    {"ahead, its id", When::kAheadOfAnswer, 503, "a", "first", 1},
    {"ahead, the id in capitals", When::kAheadOfAnswer, 503, "a", "A-RUN", 1},
    {"ahead, no id", When::kAheadOfAnswer, 503, "a", "", 1},
    {"ahead, no id, two copies", When::kAheadOfAnswer, 503, "a", "", 2},
    {"ahead, no id, 421", When::kAheadOfAnswer, 421, "a", "", 1},
    {"ahead, no id, 429", When::kAheadOfAnswer, 429, "a", "", 1},
    {"ahead, no id, 400", When::kAheadOfAnswer, 400, "a", "", 1},
    {"ahead, no id, success", When::kAheadOfAnswer, 200, "a", "", 1},
    {"ahead, caller without an id", When::kAheadOfAnswer, 503, "", "", 1},
    {"ahead, caller without an id, success", When::kAheadOfAnswer, 200, "", "",
     1},
    {"ahead of a body under way, no id", When::kAheadOfAnswer, 503, "a", "", 1,
     200'000},
    {"ahead of a body under way, its id", When::kAheadOfAnswer, 503, "a",
     "first", 1, 200'000},
};

// Callers were told "not run" for requests that ran, requests ran at a second
// endpoint, and answers to earlier requests were passed on.
BOOST_DATA_TEST_CASE_F(RefusalFixture, repeated_answers_are_not_believed,
                       data::make(kRepeats), repeat) {
  const std::string first = "/raw/unsafe/write/first";
  const std::string run = "/raw/unsafe/write/run";
  Start([&](const RawRequest& request) -> std::vector<RawPart> {
    const auto answer = [&](const RawRequest& to, const std::string& id) {
      return ResponseBytes(repeat.status == 200 ? Success(to, id)
                                                : Refusal(repeat.status, id));
    };
    std::string copies;
    for (int i = 0; i < repeat.copies; ++i) {
      const std::string id = repeat.repeat_id;
      copies += answer({1, first, ""}, id == "first" ? "a1" : id);
    }
    if (request.target == first) {
      const std::string bytes = answer(request, request.id);
      if (repeat.when == When::kBehindAnswer) return {{bytes + copies}};
      if (repeat.when == When::kBetween) {
        return {{bytes}, {copies, Milliseconds(20)}};
      }
      return {{bytes}};
    }
    const std::string bytes = ResponseBytes(Success(request, request.id));
    if (request.target != run || request.number == 1 ||
        repeat.when != When::kAheadOfAnswer) {
      return {{bytes}};
    }
    return {{copies}, {bytes, kWorkTime}};
  });
  SendFirst(first, repeat.caller_id);
  const std::string id = repeat.caller_id;
  const HttpResponse response = SendTo(run, id.empty() ? "" : id + "-run",
                                       std::string(repeat.body_bytes, 'x'));
  BOOST_TEST(requests[run] == 1);
  BOOST_TEST(response.status == 200U);
  BOOST_TEST(response.body == "answer to " + run);
  if (repeat.when == When::kAheadOfAnswer && !id.empty()) {
    BOOST_TEST(kept[run] == 1);
  }
}

// Behind an answer that another request is named in, one without an id may be
// an extra one even on a new connection.
BOOST_FIXTURE_TEST_CASE(second_extra_answer_is_not_believed_without_an_id,
                        RefusalFixture) {
  const std::string run = "/raw/unsafe/write/run";
  Start([&](const RawRequest& request) -> std::vector<RawPart> {
    std::string answer = ResponseBytes(Success(request, request.id));
    if (request.target != run) return {{answer, Milliseconds(0), true}};
    return {{ResponseBytes(Refusal(503, "other")) +
             ResponseBytes(Refusal(503, ""))},
            {answer, kWorkTime}};
  });
  BOOST_TEST(SendTo(run, "a-run").status == 200U);
  BOOST_TEST(requests[run] == 1);
  BOOST_TEST(kept[run] == 0);
}

struct UnframedCase {
  const char* name;
  unsigned status;
  const char* repeat_id;  // empty: none
};

std::ostream& operator<<(std::ostream& out, const UnframedCase& c) {
  return out << c.name;
}

const UnframedCase kUnframed[] = {
    {"a refusal with its id", 503, "a1"},
    {"a refusal without an id", 503, ""},
    {"a success with its id", 200, "a1"},
    {"a success without an id", 200, ""},
};

// An answer that ends with its connection was believed whatever it named.
BOOST_DATA_TEST_CASE_F(RefusalFixture,
                       repeated_answers_without_a_length_are_not_believed,
                       data::make(kUnframed), repeat) {
  const std::string run = "/raw/unsafe/write/run";
  Start([&](const RawRequest& request) -> std::vector<RawPart> {
    if (request.target != run || request.number == 1) {
      return {{ResponseBytes(Success(request, request.id))}};
    }
    std::string head = repeat.status == 200
                           ? "HTTP/1.1 200 OK\r\nX-Balsamhall-Server-Stamp: s"
                           : "HTTP/1.1 503 Service Unavailable\r\n"
                             "X-Balsamhall-Not-Executed: 1";
    const std::string id = repeat.repeat_id;
    if (!id.empty()) head += "\r\n" + std::string(kId) + ": " + id;
    return {{head + "\r\n\r\nearlier", Milliseconds(0), true}};
  });
  SendFirst("/raw/unsafe/write/first", "a");
  BOOST_TEST(SendTo(run, "a-run").status == 502U);
  BOOST_TEST(requests[run] == 1);
  BOOST_TEST(kept[run] == 1);
}

struct InterimCase {
  const char* name;
  bool on_kept;
  const char* head;
  unsigned status;
};

std::ostream& operator<<(std::ostream& out, const InterimCase& c) {
  return out << c.name;
}

const InterimCase kInterim[] = {
    {"100 on a new connection", false, "HTTP/1.1 100 Continue", 200},
    {"103 on a new connection", false, "HTTP/1.1 103 Early Hints", 200},
    {"100 on a kept connection", true, "HTTP/1.1 100 Continue", 200},
    {"a change of protocol", false, "HTTP/1.1 101 Switching Protocols", 502},
};

// A response ahead of the final one was passed on as the answer.
BOOST_DATA_TEST_CASE_F(RefusalFixture, interim_responses_are_not_answers,
                       data::make(kInterim), interim) {
  const std::string run = "/raw/unsafe/write/run";
  Start([&](const RawRequest& request) -> std::vector<RawPart> {
    std::string answer = ResponseBytes(Success(request, request.id));
    if (request.target != run) {
      return {{answer, Milliseconds(0), !interim.on_kept}};
    }
    return {{std::string(interim.head) + "\r\n\r\n"}, {answer, kWorkTime}};
  });
  SendFirst("/raw/unsafe/write/first", "a");
  BOOST_TEST(SendTo(run, "a-run").status == interim.status);
  BOOST_TEST(requests[run] == 1);
  BOOST_TEST(kept[run] == (interim.on_kept ? 1 : 0));
}

struct EndlessCase {
  const char* name;
  const char* head;  // of a response without a body
};

std::ostream& operator<<(std::ostream& out, const EndlessCase& c) {
  return out << c.name;
}

const EndlessCase kEndless[] = {
    {"refusals of another request",
     "HTTP/1.1 503 Service Unavailable\r\nX-Balsamhall-Request-Id: other\r\n"
     "Content-Length: 0"},
    {"interim responses", "HTTP/1.1 100 Continue"},
};

// A connection with answer after answer to no request was read until the
// deadline.
BOOST_DATA_TEST_CASE_F(RefusalFixture, endless_extra_answers_end_the_exchange,
                       data::make(kEndless), endless) {
  const std::string run = "/raw/unsafe/write/run";
  Start([&](const RawRequest& request) -> std::vector<RawPart> {
    if (request.target != run) {
      return {{ResponseBytes(Success(request, request.id))}};
    }
    std::string bytes;
    for (int i = 0; i < 1'000; ++i) {
      bytes += std::string(endless.head) + "\r\n\r\n";
    }
    return {{bytes}, {bytes, Milliseconds(2'000)}};
  });
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST(SendTo(run, "a-run").status == 502U);
  BOOST_TEST(requests[run] == 1);
  const auto took = std::chrono::steady_clock::now() - start;
  BOOST_TEST((took < Milliseconds(1'000)));  // the time-out is 1,500 ms
}

struct RefusalCase {
  const char* name;
  bool on_kept;
  bool names_request;
  const char* type;  // of the route
  unsigned status;
  int sent;
};

std::ostream& operator<<(std::ostream& out, const RefusalCase& c) {
  return out << c.name;
}

// The endpoint that a request reaches first refuses it, the other runs it.
const RefusalCase kRefusals[] = {
    {"with its id on a kept connection", true, true, "unsafe", 200, 2},
    {"with its id on a new connection", false, true, "unsafe", 200, 2},
    {"without an id on a new connection", false, false, "unsafe", 200, 2},
    {"without an id on a kept connection", true, false, "unsafe", 504, 1},
    {"a read without an id on a kept connection", true, false, "safe", 200, 2},
};

// A refusal that proves itself is retried; another proves nothing.
BOOST_DATA_TEST_CASE_F(RefusalFixture, refusals_that_prove_themselves_are_used,
                       data::make(kRefusals), refusal) {
  const std::string path = "/raw/" + std::string(refusal.type) + "/write/";
  Start([&](const RawRequest& request) -> std::vector<RawPart> {
    if (request.target == path + "run" && requests[request.target] == 1) {
      return {{ResponseBytes(
          Refusal(503, refusal.names_request ? request.id : ""))}};
    }
    std::string bytes = ResponseBytes(Success(request, request.id));
    if (refusal.on_kept || request.target == path + "run") return {{bytes}};
    return {{bytes, Milliseconds(0), true}};
  });
  SendFirst(path + "first", "a");
  BOOST_TEST(SendTo(path + "run", "b").status == refusal.status);
  BOOST_TEST(requests[path + "run"] == refusal.sent);
  if (refusal.on_kept) BOOST_TEST(kept[path + "run"] >= 1);
}

// An endpoint that refused a request was sent it again after its lease had been
// renewed, on the same connection, where the repeated refusal names it too.
BOOST_FIXTURE_TEST_CASE(second_attempt_does_not_believe_the_first_refusal,
                        GatewayFixture) {
  int attempts = 0;
  int runs = 0;
  const RawEndpoint endpoint(
      loop, "i-raw", [&](const RawRequest& request) -> std::vector<RawPart> {
        std::string answer = ResponseBytes(Success(request, request.id));
        if (request.target != "/raw/write/run") return {{answer}};
        const std::string refusal = ResponseBytes(Refusal(421, request.id));
        if (++attempts == 1) return {{refusal}};
        ++runs;
        if (request.number == 1) return {{answer}};
        return {{refusal}, {answer, kWorkTime}};
      });
  store.Put("keyed.servers", endpoint.id(), endpoint.Entry("raw"));
  json config = Config("0000000a");
  config["services"]["raw"] = config["services"]["keyed"];
  config["routes"]["raw"] = Route("/raw/write/", "unsafe", "raw", "1500ms");
  store.Put("keyed.op", "config", config.dump());
  HttpRequest request = Request("/raw/write/first", "a1");
  request.headers[2].second = "1500";
  BOOST_REQUIRE(RunUntil([&] { return Send(request).status == 200; }));
  request = Request("/raw/write/run", "a-run");
  request.headers[2].second = "1500";
  const HttpResponse response = Send(request);
  BOOST_TEST(attempts == 2);
  BOOST_TEST(runs == 1);
  BOOST_TEST(response.status == 200U);
}

}  // namespace
}  // namespace balsamhall::platform
