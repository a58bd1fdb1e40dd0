#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <iterator>
#include <set>

#include "Router/fleet.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

// One fleet for all test cases that leave it intact.
struct SharedFleet {
  SharedFleet() {
    fleet = std::make_unique<Fleet>();
    fleet->Publish();
  }
  ~SharedFleet() { fleet.reset(); }
  static inline std::unique_ptr<Fleet> fleet;
};

void RemoveHeader(HttpRequest& request, const std::string& name) {
  std::erase_if(request.headers,
                [&](const auto& header) { return header.first == name; });
}

void SetHeader(HttpRequest& request, const std::string& name,
               const std::string& value) {
  RemoveHeader(request, name);
  request.headers.emplace_back(name, value);
}

struct BadInput {
  std::string name;
  std::function<void(HttpRequest&)> change;
  unsigned status;
  int code;
};

std::ostream& operator<<(std::ostream& out, const BadInput& input) {
  return out << input.name;
}

const std::vector<BadInput>& BadInputs() {
  static const std::vector<BadInput> inputs{
      {"unknown service",
       [](HttpRequest& r) { r.target = "/v1/none/transfer/a"; }, 404, 110},
      {"unknown kind", [](HttpRequest& r) { r.target = "/v1/transfer/none/a"; },
       404, 111},
      {"no key", [](HttpRequest& r) { r.target = "/v1/transfer/transfer/"; },
       400, 108},
      {"other path", [](HttpRequest& r) { r.target = "/other"; }, 400, 108},
      {"broken escape",
       [](HttpRequest& r) { r.target = "/v1/transfer/transfer/%zz"; }, 400,
       108},
      {"method", [](HttpRequest& r) { r.method = "DELETE"; }, 400, 108},
      {"no request id",
       [](HttpRequest& r) { RemoveHeader(r, "Balsamhall-Request-Id"); }, 400,
       112},
      {"long request id",
       [](HttpRequest& r) {
         SetHeader(r, "Balsamhall-Request-Id", std::string(129, 'x'));
       },
       400, 112},
      {"no time of first issue",
       [](HttpRequest& r) { RemoveHeader(r, "Balsamhall-First-Issued"); }, 400,
       112},
      {"time of first issue is no number",
       [](HttpRequest& r) { SetHeader(r, "Balsamhall-First-Issued", "now"); },
       400, 112},
      {"deadline is no number",
       [](HttpRequest& r) { SetHeader(r, "Balsamhall-Deadline-Ms", "-1"); },
       400, 112},
      {"first issued long ago",
       [](HttpRequest& r) {
         SetHeader(r, "Balsamhall-First-Issued", "1");
         SetHeader(r, "Balsamhall-Attempt", "2");
       },
       409, -1},
      {"oversized header",
       [](HttpRequest& r) { SetHeader(r, "X-Large", std::string(9000, 'x')); },
       431, -1},
      {"oversized body",
       [](HttpRequest& r) { r.body.assign((1U << 20U) + 1, 'x'); }, 413, -1},
  };
  return inputs;
}

BOOST_AUTO_TEST_SUITE(Path, *boost::unit_test::fixture<SharedFleet>())

// Guards against a router that serves only the endpoints whose primary it is.
BOOST_DATA_TEST_CASE(EveryRouterServesEveryKind,
                     data::make({"lookup/lookup", "transfer/transfer",
                                 "transfer/audit"}),
                     kind) {
  for (std::size_t router = 0; router < 4; ++router) {
    for (int key = 0; key < 8; ++key) {
      const HttpRequest request = Fleet::Request(
          std::string("/v1/") + kind + "/key%20" + std::to_string(key),
          Milliseconds(1000));
      const std::string id = request.headers[0].second;
      const auto result = SharedFleet::fleet->Send(router, request);
      BOOST_CHECK_EQUAL(result.status, 200U);
      BOOST_CHECK_EQUAL(result.code, 0);
      BOOST_CHECK_EQUAL(
          FindHeader(result.response.headers, "Balsamhall-Request-Id"), id);
      BOOST_CHECK_EQUAL(
          FindHeader(result.response.headers, "Balsamhall-Result"), "ok");
      BOOST_CHECK_NE(result.response.body.find(id), std::string::npos);
    }
  }
}

// Guards against invalid requests that are executed, crash a process or get no
// response.
BOOST_DATA_TEST_CASE(BadInputIsAnsweredAndNotRun, data::make(BadInputs()),
                     input) {
  const std::size_t before = SharedFleet::fleet->CountExecutions().total;
  HttpRequest request =
      Fleet::Request("/v1/transfer/transfer/a", Milliseconds(1000));
  input.change(request);
  const auto result = SharedFleet::fleet->Send(0, request);
  BOOST_CHECK_EQUAL(result.status, input.status);
  if (input.code >= 0) BOOST_CHECK_EQUAL(result.code, input.code);
  BOOST_CHECK_EQUAL(SharedFleet::fleet->CountExecutions().total, before);
  BOOST_CHECK_EQUAL(SharedFleet::fleet->Call(0, "/v1/lookup/lookup/a").code, 0);
}

// Guards against a second execution of a repeat, whichever router receives it.
BOOST_AUTO_TEST_CASE(RepeatsGetTheStoredAnswer) {
  const std::size_t before = SharedFleet::fleet->CountExecutions().total;
  HttpRequest request =
      Fleet::Request("/v1/transfer/transfer/repeat", Milliseconds(1000));
  std::set<std::string> bodies;
  for (std::size_t router = 0; router < 4; ++router) {
    SetHeader(request, "Balsamhall-Attempt", std::to_string(router + 1));
    const auto result = SharedFleet::fleet->Send(router, request);
    BOOST_CHECK_EQUAL(result.code, 0);
    bodies.insert(result.response.body);
  }
  BOOST_CHECK_EQUAL(bodies.size(), 1U);
  BOOST_CHECK_EQUAL(SharedFleet::fleet->CountExecutions().total, before + 1);
}

// Guards against a hop without a span.
BOOST_AUTO_TEST_CASE(SpansOfARequestAreFound) {
  const std::string trace = "0af7651916cd43dd8448eb211c80319c";
  HttpRequest request =
      Fleet::Request("/v1/lookup/lookup/traced", Milliseconds(1000));
  SetHeader(request, "traceparent", "00-" + trace + "-b7ad6b7169203331-01");
  const std::string id = request.headers[0].second;
  BOOST_REQUIRE_EQUAL(SharedFleet::fleet->Send(0, request).code, 0);
  std::set<std::string> names;
  for (std::size_t router = 0; router < 4; ++router) {
    const auto reply = SharedFleet::fleet->Rpc(router, "explain_request",
                                               {{"request_id", id}});
    for (const auto& span :
         nlohmann::json::parse(reply["result"].get<std::string>())) {
      names.insert(span["name"].get<std::string>());
      BOOST_CHECK_EQUAL(span["traceId"].get<std::string>(), trace);
    }
  }
  BOOST_CHECK(names == (std::set<std::string>{"entry", "queue", "backend"}));
}

struct BadCall {
  std::string body;
  int code;  // of the JSON-RPC error
};

std::ostream& operator<<(std::ostream& out, const BadCall& call) {
  return out << call.body;
}

const std::vector<BadCall>& BadCalls() {
  static const std::vector<BadCall> calls{
      {"", -32700},
      {"{", -32700},
      {"{}", -32600},
      {R"({"jsonrpc":"2.0","id":1,"method":"none"})", -32601},
      {R"({"jsonrpc":"2.0","id":1,"method":"explain_key","params":{}})",
       -32602},
      {R"({"jsonrpc":"2.0","id":1,"method":"explain_key","params":)"
       R"({"service":"none","key":"a"}})",
       324},
      {R"({"jsonrpc":"2.0","id":1,"method":"publish","params":)"
       R"({"operator_key":"wrong","based_on":"0","author":"a","body":"{}"}})",
       320},
      {R"({"jsonrpc":"2.0","id":1,"method":"publish","params":)"
       R"({"operator_key":"test-operator-key","based_on":"x","author":"a",)"
       R"("body":"{}"}})",
       322},
      {R"({"jsonrpc":"2.0","id":1,"method":"publish","params":)"
       R"({"operator_key":"test-operator-key","based_on":"0","author":"a",)"
       R"("body":"{\"nonsense\":1}"}})",
       300},
      {R"({"jsonrpc":"2.0","id":1,"method":"declare_lost","params":)"
       R"({"operator_key":"","vm":"r1","author":"a"}})",
       320},
  };
  return calls;
}

// Guards against operator input that terminates the process or is accepted
// without the operator key.
BOOST_DATA_TEST_CASE(BadRpcIsRefused, data::make(BadCalls()), call) {
  const auto outcome =
      SharedFleet::fleet->Control(0, "POST", "/rpc", call.body);
  BOOST_REQUIRE(outcome.response);
  const nlohmann::json reply =
      nlohmann::json::parse(outcome.response->body, nullptr, false);
  BOOST_REQUIRE_MESSAGE(reply.is_object() && reply.contains("error"),
                        outcome.response->body);
  BOOST_CHECK_EQUAL(reply["error"]["code"].get<int>(), call.code);
}

// Guards against accepting a second publication with the same base version.
BOOST_AUTO_TEST_CASE(StalePublicationNamesTheWinner) {
  const auto reply =
      SharedFleet::fleet->Rpc(1, "publish",
                              {{"operator_key", Fleet::kOperatorKey},
                               {"based_on", "0"},
                               {"author", "other"},
                               {"body", SharedFleet::fleet->config().dump()}});
  BOOST_REQUIRE_MESSAGE(reply.contains("result"), reply.dump());
  const auto result = nlohmann::json::parse(reply["result"].get<std::string>());
  BOOST_CHECK_EQUAL(result["code"].get<int>(), 302);
  BOOST_CHECK_NE(result["versionInForce"].get<std::string>(),
                 result["offset"].get<std::string>());
}

// Guards against an operator key in the event log.
BOOST_AUTO_TEST_CASE(OperatorKeyIsNotLogged) {
  for (std::size_t router = 0; router < 4; ++router) {
    std::ifstream file(SharedFleet::fleet->RouterLog(router));
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    BOOST_CHECK(!text.empty());
    BOOST_CHECK_EQUAL(text.find(Fleet::kOperatorKey), std::string::npos);
  }
}

// Guards against platform health checks and metrics that fail on a healthy
// router.
BOOST_DATA_TEST_CASE(ControlPagesAnswer,
                     data::make({"/live", "/ready", "/metrics"}), target) {
  const auto outcome = SharedFleet::fleet->Control(2, "GET", target);
  BOOST_REQUIRE(outcome.response);
  BOOST_CHECK_EQUAL(outcome.response->status, 200U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
