#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "router/entry_handler.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

struct AttemptCase {
  const char* name;
  const char* kind;
  const char* attempt;  // value of Balsamhall-Attempt; empty: no header
  const char* code;
  std::uint64_t config_version = 1;
  const char* service = "s";
};

std::ostream& operator<<(std::ostream& out, const AttemptCase& test) {
  return out << test.name;
}

const AttemptCase kCases[] = {
    {"first attempt", "post", "1", "100"},
    {"marked repeat", "post", "2", "206"},
    {"unmarked", "post", "", "206"},
    {"idempotent", "get", "2", "100"},
    {"bad mark", "post", "0", "112"},
    {"first attempt without a configuration", "post", "1", "100", 0},
    {"repeat without a configuration", "post", "2", "206", 0},
    {"first attempt to an unknown service", "post", "1", "110", 1, "t"},
    {"repeat to an unknown service", "post", "2", "206", 1, "t"},
};

std::shared_ptr<const RoutingSnapshot> SnapshotWithoutOwners(
    std::uint64_t config_version) {
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->config_version = config_version;
  snapshot->self.id = "r1";
  ServiceRoute& service = snapshot->services["s"];
  service.config.set_name("s");
  service.config.set_keyed(true);
  service.config.set_partitions(4);
  for (const char* name : {"get", "post"}) {
    schema::KindConfig* kind = service.config.add_kinds();
    kind->set_name(name);
    kind->set_deadline_ms(50);
    kind->set_idempotent(std::string(name) == "get");
  }
  service.partitions.resize(4);
  return snapshot;
}

// Guards against a "not run" result for a non-idempotent request whose earlier
// attempt was executed. A router without a route to the owner cannot know
// whether it was.
BOOST_DATA_TEST_CASE(OnlyFirstAttemptsAreNotRunWithoutAnOwner,
                     data::make(kCases), test) {
  ForwardClient forward_client([](const auto&, const auto&) { return false; });
  Metrics metrics;
  TraceStore traces(16, "");
  const SteadyTime now = std::chrono::steady_clock::now();
  EntryHandler handler(
      EntryOptions{}, [](const DispatchJob&) {}, forward_client, metrics,
      traces, now);
  handler.Apply(SnapshotWithoutOwners(test.config_version), now);
  HttpRequest request;
  request.method = "POST";
  request.target = std::string("/v1/") + test.service + "/" + test.kind + "/a";
  request.headers = {{"Balsamhall-Request-Id", "id"},
                     {"Balsamhall-First-Issued", "1000000"}};
  if (*test.attempt != 0) {
    request.headers.emplace_back("Balsamhall-Attempt", test.attempt);
  }
  std::optional<HttpResponse> response;
  handler.Handle(std::move(request), [&](HttpResponse received) {
    response = std::move(received);
  });
  for (int i = 1; i <= 20 && !response; ++i) {
    handler.Tick(now + Milliseconds{10 * i});
  }
  BOOST_REQUIRE(response);
  BOOST_CHECK_EQUAL(FindHeader(response->headers, "Balsamhall-Code"),
                    test.code);
}

}  // namespace
}  // namespace balsamhall
