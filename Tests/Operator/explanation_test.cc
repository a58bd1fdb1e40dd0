#include "operator/explanation.h"

#include <boost/test/unit_test.hpp>

#include "operator/fleet_report.h"

namespace balsamhall {
namespace {

BOOST_AUTO_TEST_SUITE(Explanation)

const WallTime kNow{std::chrono::seconds(1'800'000'000)};
constexpr std::int64_t kNowMs = 1'800'000'000'000;

schema::KeyExplanation OwnedBy(const char* endpoint, std::uint32_t counter) {
  schema::KeyExplanation key;
  key.set_service("lookup");
  key.set_key("a");
  key.set_partition(7);
  key.mutable_owner()->mutable_view()->set_endpoint(endpoint);
  key.mutable_owner()->set_state("serving");
  key.mutable_owner()->set_accepting(true);
  auto& held = *key.mutable_owner()->add_partitions();
  held.set_partition(7);
  held.mutable_epoch()->set_offset(1);
  held.mutable_epoch()->set_counter(counter);
  return key;
}

void AddMove(schema::KeyExplanation& key, const char* from, const char* to,
             std::uint32_t counter, const char* cause) {
  auto& move = *key.add_moves();
  move.set_from_endpoint(from);
  move.set_to_endpoint(to);
  move.mutable_epoch()->set_offset(1);
  move.mutable_epoch()->set_counter(counter);
  move.set_cause(cause);
  move.set_at_ms(kNowMs - 5000);
}

// Guards against the old owner shown because its router answered first, and
// against a move shown as often as routers remember it.
BOOST_AUTO_TEST_CASE(NewestOwnerAndEachMoveOnce) {
  auto old_owner = OwnedBy("e1", 1);
  auto new_owner = OwnedBy("e2", 2);
  AddMove(new_owner, "e1", "e2", 2, "load");
  AddMove(old_owner, "e1", "e2", 2, "load");
  AddMove(old_owner, "e3", "e1", 1, "eviction");
  const schema::KeyExplanation nothing;
  const auto merged = MergeKeyExplanations({nothing, old_owner, new_owner});
  BOOST_TEST(merged.owner().view().endpoint() == "e2");
  BOOST_REQUIRE_EQUAL(merged.moves_size(), 2);
  BOOST_TEST(merged.moves(0).cause() == "eviction");
  const auto text = DescribeKey(merged, kNow);
  BOOST_TEST(text.find("e2 owns it since") != std::string::npos, text);
  BOOST_TEST(text.find("because of load") != std::string::npos, text);
  BOOST_TEST(text.find("(5 s ago)") != std::string::npos, text);
}

// Guards against an explanation that names an owner where there is none.
BOOST_AUTO_TEST_CASE(MissingOwnerIsSaid) {
  schema::KeyExplanation key;
  key.set_service("lookup");
  const auto text = DescribeKey(key, kNow);
  BOOST_TEST(text.find("no known owner") != std::string::npos, text);
}

schema::Span MakeSpan(const char* id, const char* parent, const char* name,
                      std::int64_t start_us) {
  schema::Span span;
  span.set_span_id(id);
  span.set_parent_span_id(parent);
  span.set_name(name);
  span.set_start_us(start_us);
  span.set_duration_us(10);
  span.set_router("router-1");
  return span;
}

// Guards against hops out of order, doubled because two routers hold them, or
// lost because their parent is not remembered.
BOOST_AUTO_TEST_CASE(SpansAreATree) {
  const auto text = DescribeSpans({MakeSpan("c", "b", "backend", 1'000'300),
                                   MakeSpan("a", "", "entry", 1'000'000),
                                   MakeSpan("b", "a", "queue", 1'000'100),
                                   MakeSpan("b", "a", "queue", 1'000'100),
                                   MakeSpan("x", "lost", "forward", 1'000'050)},
                                  kNow);
  const auto at = [&](const char* part) { return text.find(part); };
  BOOST_TEST(at("  +0.000 ms  entry") != std::string::npos, text);
  BOOST_TEST(at("    +0.100 ms  queue") != std::string::npos, text);
  BOOST_TEST(at("      +0.300 ms  backend") != std::string::npos, text);
  BOOST_TEST(at("  +0.050 ms  forward") != std::string::npos, text);
  BOOST_TEST(at("queue") == text.rfind("queue"), text);
}

// Guards against an endless run on spans whose parents form a circle.
BOOST_AUTO_TEST_CASE(CircleOfSpansEnds) {
  const auto text = DescribeSpans(
      {MakeSpan("a", "b", "first", 1), MakeSpan("b", "a", "second", 2),
       MakeSpan("c", "c", "third", 3)},
      kNow);
  for (const char* name : {"first", "second", "third"}) {
    BOOST_TEST(text.find(name) != std::string::npos, text);
  }
}

// Guards against a fleet overview that hides a silent router, an endpoint
// without a primary or a degraded state.
BOOST_AUTO_TEST_CASE(OverviewShowsWhatIsWrong) {
  Fleet fleet;
  fleet.routers.resize(2);
  fleet.routers[0].id = "router-1";
  auto& status = fleet.routers[0].status.emplace();
  status.set_config_version(5);
  auto& item = *status.add_degraded();
  item.set_what("log unreachable");
  item.set_since_ms(kNowMs - 300'000);
  fleet.routers[1].id = "router-2";
  fleet.routers[1].error = {ResultCode::kOperatorUnreachable, "refused \"x\""};
  schema::RoutingConfig config;
  config.add_services()->set_name("lookup");
  config.mutable_services(0)->add_endpoints()->set_name("lookup-1");
  const auto text = DescribeFleet(fleet, config, kNow);
  for (const char* part :
       {"2 routers are known, 1 answer", "no primary answers",
        "log unreachable", "(5 min ago)", "refused",
        "not reached by any router"}) {
    BOOST_TEST(text.find(part) != std::string::npos, text);
  }
  const auto json = FleetToJson(fleet);
  BOOST_TEST(json.find(R"("reason":"refused \"x\"")") != std::string::npos,
             json);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
