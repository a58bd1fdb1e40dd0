// balsamhall-soak: gateway processes under random faults, seed by seed.
#include <sys/wait.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <cstdio>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "Soak/soak.h"

namespace {

using balsamhall::soak::RunSoak;
using balsamhall::soak::SoakOptions;

// Reads ranges "FIRST:COUNT", divided by commas; ":COUNT" may be missing.
std::vector<int> ParseSeeds(const std::string& text) {
  std::vector<int> seeds;
  std::istringstream ranges(text);
  for (std::string range; std::getline(ranges, range, ',');) {
    int first = 1;
    int count = 1;
    std::sscanf(range.c_str(), "%d:%d", &first, &count);
    for (int i = 0; i < count; ++i) seeds.push_back(first + i);
  }
  return seeds;
}

// Returns whether nothing was violated.
bool RunSeed(SoakOptions options, int seed) {
  options.directory += "/seed-" + std::to_string(seed);
  const auto result = RunSoak(options, static_cast<std::uint32_t>(seed));
  std::ostringstream report;
  report << "seed " << seed << ": " << result.requests << " requests, "
         << result.served << " served, " << result.checked_versions
         << " checks of configurations, " << result.faults.size() << " faults, "
         << result.violations.size() << " violations\n";
  if (!result.violations.empty()) {
    for (const auto& fault : result.faults) report << "  " << fault << "\n";
  }
  std::cout << report.str() << std::flush;
  return result.violations.empty();
}

// Waits for one of the processes of RunSeeds; returns whether it succeeded.
bool AwaitSeed() {
  int status = 0;
  return ::wait(&status) > 0 && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

// Runs up to so many seeds at once, in a process each.
bool RunSeeds(const SoakOptions& options, const std::vector<int>& seeds,
              int jobs) {
  bool passed = true;
  int running = 0;
  for (const int seed : seeds) {
    if (jobs == 1) {
      passed = RunSeed(options, seed) && passed;
      continue;
    }
    if (running == jobs) {
      passed = AwaitSeed() && passed;
      --running;
    }
    const pid_t child = ::fork();
    if (child < 0) throw std::runtime_error("can't start a process");
    if (child == 0) {
      int status = 2;
      try {
        status = RunSeed(options, seed) ? 0 : 1;
      } catch (const std::exception& error) {
        std::cerr << "balsamhall-soak: " << error.what() << "\n";
      }
      ::_exit(status);
    }
    ++running;
  }
  for (; running > 0; --running) passed = AwaitSeed() && passed;
  return passed;
}

int Main(int argc, const char* const* argv) {
  TCLAP::CmdLine line("Fault soak of balsamhall-gateway", ' ', "1");
  TCLAP::ValueArg<std::string> seeds("s", "seeds", "FIRST:COUNT,...", false,
                                     "1:1", "seeds", line);
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
  TCLAP::ValueArg<int> jobs("j", "jobs", "seeds that run at once", false, 1,
                            "count", line);
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
  TCLAP::SwitchArg stand_still(
      "t", "stand-still",
      "like --series, but gateways stand still and the store turns some away "
      "while the configuration changes; has seeds of its own",
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
  SoakOptions options;
  options.gateway_binary = binary.getValue();
  options.directory = directory.getValue();
  options.faults = std::chrono::seconds(length.getValue());
  options.gateways = gateways.getValue();
  options.endpoints = endpoints.getValue();
  options.callers = callers.getValue();
  options.zones = zones.getValue();
  options.series = series.getValue() || stand_still.getValue();
  options.stand_still = stand_still.getValue();
  options.break_promises = broken.getValue();
  options.cut_connections = cut.getValue();
  options.withhold_configurations = withhold.getValue();
  return RunSeeds(options, ParseSeeds(seeds.getValue()), jobs.getValue()) ? 0
                                                                          : 1;
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
