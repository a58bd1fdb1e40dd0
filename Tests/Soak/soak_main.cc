// balsamhall-soak: gateway processes under random faults, seed by seed.
#include <tclap/CmdLine.h>

#include <cstdio>
#include <iostream>

#include "Soak/soak.h"

namespace {

using balsamhall::soak::RunSoak;
using balsamhall::soak::SoakOptions;

int Main(int argc, const char* const* argv) {
  TCLAP::CmdLine line("Fault soak of balsamhall-gateway", ' ', "1");
  TCLAP::ValueArg<std::string> seeds("s", "seeds", "FIRST:COUNT", false, "1:1",
                                     "seeds", line);
  TCLAP::ValueArg<std::string> binary("g", "gateway", "the gateway's binary",
                                      true, "", "file", line);
  TCLAP::ValueArg<std::string> directory(
      "d", "directory", "for settings and logs", true, "", "folder", line);
  TCLAP::ValueArg<int> length("l", "length", "seconds of faults for each seed",
                              false, 12, "seconds", line);
  TCLAP::SwitchArg broken("b", "break-promises",
                          "endpoints promise falsely that writes did not run; "
                          "the checks have to notice",
                          line);
  TCLAP::ValueArg<std::size_t> gateways("n", "gateways", "gateway processes",
                                        false, 3, "count", line);
  TCLAP::ValueArg<std::size_t> endpoints("e", "endpoints",
                                         "endpoints of each of two services",
                                         false, 3, "count", line);
  TCLAP::ValueArg<std::size_t> callers(
      "c", "callers",
      "callers with pooled connections; with --series as many "
      "with a connection of their own",
      false, 8, "count", line);
  TCLAP::ValueArg<std::size_t> zones(
      "z", "zones", "data centres of the gateways", false, 1, "count", line);
  TCLAP::SwitchArg series("r", "series",
                          "stops, reloads, configurations and faults come in "
                          "series; has seeds of its own",
                          line);
  TCLAP::SwitchArg cut("x", "cut-connections",
                       "connections to gateways are cut; the checks have to "
                       "notice, with --series",
                       line);
  TCLAP::SwitchArg withhold("w", "withhold-configurations",
                            "configurations do not reach the store; the checks "
                            "have to notice, with --series",
                            line);
  line.parse(argc, argv);
  int first = 1;
  int count = 1;
  std::sscanf(seeds.getValue().c_str(), "%d:%d", &first, &count);
  int failed = 0;
  for (int seed = first; seed < first + count; ++seed) {
    SoakOptions options;
    options.gateway_binary = binary.getValue();
    options.directory = directory.getValue() + "/seed-" + std::to_string(seed);
    options.faults = std::chrono::seconds(length.getValue());
    options.gateways = gateways.getValue();
    options.endpoints = endpoints.getValue();
    options.callers = callers.getValue();
    options.zones = zones.getValue();
    options.series = series.getValue();
    options.break_promises = broken.getValue();
    options.cut_connections = cut.getValue();
    options.withhold_configurations = withhold.getValue();
    const auto result = RunSoak(options, static_cast<std::uint32_t>(seed));
    std::cout << "seed " << seed << ": " << result.requests << " requests, "
              << result.served << " served, " << result.checked_versions
              << " checks of configurations, " << result.faults.size()
              << " faults, " << result.violations.size() << " violations"
              << std::endl;
    if (result.violations.empty()) continue;
    ++failed;
    for (const auto& fault : result.faults) std::cout << "  " << fault << "\n";
  }
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "balsamhall-soak: " << error.what() << "\n";
    return 2;
  }
}
