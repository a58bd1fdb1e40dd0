// The parser that decodes what differs from the version before: it gives what a
// parse from nothing gives, and costs by what has changed.
#include <algorithm>
#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include "StandIn/mutation.h"
#include "UsersPlatform/gateway_fixture.h"
#include "gateway/route_table.h"
#include "operator_config.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;
using Microseconds = std::chrono::microseconds;
using stand_in::Mutation;
using stand_in::OddSeeds;

constexpr int kManyRoutes = 4'300;
constexpr int kVersions = 8;
constexpr int kSeeds = 20;
constexpr int kVersionsPerSeed = 200;

// A configuration with many routes; the rank of one changes with the version.
std::string LargeConfig(int version) {
  json config = Config("0000000" + std::to_string(version));
  for (int i = 0; i < kManyRoutes; ++i) {
    const std::string name = "added" + std::to_string(i * 7919 % 100'003);
    config["routes"][name] = Route("/" + name + "/", "safe", "plain");
  }
  config["routes"]["added0"]["priority"] = version % 3;
  return config.dump();
}

// Prints what a version costs of which one route changed. Guards against a
// version that decodes the others anew.
BOOST_AUTO_TEST_CASE(cost_of_a_version_of_many_routes) {
  OperatorConfigParser parse;
  std::array<Microseconds, 2> least{Microseconds::max(), Microseconds::max()};
  std::shared_ptr<const gateway::RouteTable> table;
  for (int version = 1; version <= kVersions; ++version) {
    const std::string text = LargeConfig(version);
    const auto start = std::chrono::steady_clock::now();
    auto config = parse(text);
    const auto parsed = std::chrono::steady_clock::now();
    BOOST_REQUIRE(config);
    const auto next =
        std::make_shared<const gateway::RouteTable>(std::move(config.value()));
    const auto applied = std::chrono::steady_clock::now();
    const std::array<Microseconds, 2> took{
        std::chrono::duration_cast<Microseconds>(parsed - start),
        std::chrono::duration_cast<Microseconds>(applied - parsed)};
    BOOST_TEST_MESSAGE("version " << version << ", " << text.size()
                                  << " bytes: parsed in " << took[0].count()
                                  << " us, tables made in " << took[1].count()
                                  << " us");
    std::ranges::transform(least, took, least.begin(),
                           [](auto a, auto b) { return std::min(a, b); });
    if (table) {
      const gateway::RouteList& before = table->config().routes;
      const gateway::RouteList& after = next->config().routes;
      BOOST_REQUIRE(before.size() == after.size());
      const auto changed = std::ranges::count_if(
          std::views::iota(0, static_cast<int>(after.size())),
          [&](int i) { return &before[i] != &after[i]; });
      BOOST_TEST(changed == 1);
    }
    table = next;
  }
  BOOST_TEST_MESSAGE("least: parsed in " << least[0].count()
                                         << " us, tables made in "
                                         << least[1].count() << " us");
}

// Writes a configuration from parts that change at random between versions.
class RandomConfig {
 public:
  explicit RandomConfig(unsigned seed) : random_(seed) {}

  // Returns the next version, malformed now and then.
  std::string Next() {
    for (int changes = random_.Below(4); changes > 0; --changes) Change();
    std::string routes;
    for (const auto& [name, value] : routes_) {
      if (!routes.empty()) routes += Space() + ",";
      routes += Space() + name;
      routes += Space() + ":";
      routes += Space() + value;
    }
    std::vector<std::string> parts = {
        R"("version":")" + std::to_string(++version_) + "\"",
        R"("routes":{)" + routes + Space() + "}",
        R"("services":{"s":)" + std::string(kService) +
            (second_service_ ? R"(,"t":)" + std::string(kService) : "") + "}",
        R"("limits":{"max_header_bytes":9,"max_body_bytes":9,)"
        R"("header_timeout":"3s","idle_timeout":"15s"})"};
    if (Chance(20)) parts.emplace_back(R"("routes":{})");
    if (Chance(20)) parts.emplace_back(R"("\u0072outes":{})");
    if (Chance(10)) parts.emplace_back(R"("more":["}",{"routes":"\\\""}])");
    std::ranges::rotate(parts, parts.begin() + random_.Below(parts.size()));
    std::string text = Space() + "{";
    for (const std::string& part : parts) text += part + Space() + ",";
    text.back() = '}';
    return Chance(4) ? random_(text) : text + Space();
  }

 private:
  static constexpr const char* kService =
      R"({"health_path":"/h","max_connections":110})";

  bool Chance(int one_in) {
    return random_.Below(static_cast<std::size_t>(one_in)) == 0;
  }

  std::string Space() {
    return Chance(20) ? std::string(1, " \t\r\n"[random_.Below(4)]) : "";
  }

  std::string Name() {
    static const std::vector<std::string> names = {
        R"("a")",        R"("\u0061")", R"("b\"}")", R"("c\\")",
        "\"d\xc3\xa9\"", R"("{e")",     R"("f,g")",  R"("")"};
    if (Chance(2)) return "\"r" + std::to_string(random_.Below(30)) + "\"";
    return names[static_cast<std::size_t>(random_.Below(names.size()))];
  }

  std::string Value() {
    static const std::vector<std::string> more = {
        "", "", R"(,"x":"}\\")", R"(,"host":"o\"{")", R"(,"y":[{},[1]])"};
    const bool split = Chance(3);
    return R"({"host":"h)" + std::to_string(random_.Below(3)) +
           R"(","path_prefix":"/p/","route_type":"safe","timeout":"1s",)"
           R"("target_latency":"300ms","max_attempts":2,"priority":)" +
           std::to_string(random_.Below(3)) +
           (split ? R"(,"traffic_split":[{"service":"s","weight":1},)"
                    R"({"service":"t","weight":2}])"
                  : R"(,"service":"s")") +
           more[static_cast<std::size_t>(random_.Below(more.size()))] + "}";
  }

  void Change() {
    const auto at = routes_.begin() + random_.Below(routes_.size());
    switch (random_.Below(6)) {
      case 0:
        if (!routes_.empty()) routes_.erase(at);
        return;
      case 1:
        if (!routes_.empty()) at->second = Value();
        return;
      case 2:
        std::ranges::rotate(routes_, at);
        return;
      case 3:
        second_service_ = !Chance(4);
        return;
      default:
        if (const std::string name = Name();
            Chance(10) ||
            std::ranges::find(routes_, name, &Entry::first) == routes_.end()) {
          routes_.emplace(at, name, Value());
        }
    }
  }

  using Entry = std::pair<std::string, std::string>;
  Mutation random_;
  std::vector<Entry> routes_;
  bool second_service_ = true;
  int version_ = 0;
};

// Guards against a route that is taken over from the version before although
// the text says something else, or that a parse from nothing rejects.
BOOST_DATA_TEST_CASE(random_versions_parse_as_from_nothing,
                     data::xrange(OddSeeds(kSeeds).first,
                                  OddSeeds(kSeeds).second),
                     seed) {
  RandomConfig random(static_cast<unsigned>(seed));
  OperatorConfigParser parse;
  int accepted = 0;
  for (int i = 0; i < kVersionsPerSeed; ++i) {
    const std::string text = random.Next();
    const auto expected = ParseOperatorConfig(text);
    const auto parsed = parse(text);
    BOOST_REQUIRE_MESSAGE(parsed.has_value() == expected.has_value(), text);
    if (expected) {
      ++accepted;
      BOOST_REQUIRE_MESSAGE(parsed.value() == expected.value(), text);
    } else {
      BOOST_TEST((parsed.error().code == expected.error().code));
      BOOST_TEST(parsed.error().detail == expected.error().detail);
    }
  }
  BOOST_TEST_MESSAGE("accepted " << accepted << " of " << kVersionsPerSeed);
  BOOST_TEST(accepted > kVersionsPerSeed / 8);
}

}  // namespace
}  // namespace balsamhall::platform
