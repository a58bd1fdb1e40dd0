// The cost of a configuration of thousands of routes, printed for each step.
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "UsersPlatform/gateway_fixture.h"
#include "gateway/route_table.h"
#include "operator_config.h"

namespace balsamhall::platform {
namespace {

using Microseconds = std::chrono::microseconds;

constexpr int kManyRoutes = 4'300;
constexpr int kVersions = 8;

// A configuration with many routes; the weight of one changes with the version.
std::string LargeConfig(int version) {
  json config = Config("0000000" + std::to_string(version));
  for (int i = 0; i < kManyRoutes; ++i) {
    const std::string name = "added" + std::to_string(i * 7919 % 100'003);
    config["routes"][name] = Route("/" + name + "/", "safe", "plain");
  }
  config["routes"]["added0"]["priority"] = version % 3;
  return config.dump();
}

// Prints what a version costs of which one route changed.
BOOST_AUTO_TEST_CASE(cost_of_a_version_of_many_routes) {
  std::array<Microseconds, 2> least{Microseconds::max(), Microseconds::max()};
  std::shared_ptr<const gateway::RouteTable> table;
  for (int version = 1; version <= kVersions; ++version) {
    const std::string text = LargeConfig(version);
    const auto start = std::chrono::steady_clock::now();
    auto config = ParseOperatorConfig(text);
    const auto parsed = std::chrono::steady_clock::now();
    BOOST_REQUIRE(config);
    table =
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
  }
  BOOST_TEST_MESSAGE("least: parsed in " << least[0].count()
                                         << " us, tables made in "
                                         << least[1].count() << " us");
}

}  // namespace
}  // namespace balsamhall::platform
