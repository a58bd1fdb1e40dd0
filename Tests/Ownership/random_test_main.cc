// balsamhall-random-test: seeded runs of the ownership core under faults.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>

#include "Ownership/scenario.h"
#include "core/invariant.h"

namespace balsamhall::ownership_test {
namespace {

const std::map<std::string, Guard> kGuards = {
    {"fence-check", Guard::kFenceCheck},
    {"lease-wait", Guard::kLeaseWait},
    {"epoch-order", Guard::kEpochOrder},
    {"append-deduplication", Guard::kAppendDeduplication},
    {"stand-down", Guard::kStandDown}};

bool RunSeed(std::uint64_t seed, const FleetOptions& options, bool print_trace,
             std::map<std::string, Milliseconds>* outages) {
  Scenario scenario(seed, options);
  std::string failure;
  try {
    scenario.Run();
  } catch (const FailedCheck& failed) {
    failure = failed.what();
  }
  if (!failure.empty() || print_trace) {
    scenario.simulation().PrintTrace(std::cout);
  }
  if (!failure.empty()) {
    std::cout << "seed " << seed << " step " << scenario.simulation().steps()
              << " failed: " << failure << std::endl;
    return false;
  }
  for (const auto& [fault, outage] : scenario.outages()) {
    Milliseconds& longest = (*outages)[fault];
    longest = std::max(longest, outage);
  }
  std::cout << "seed " << seed << " steps " << scenario.simulation().steps()
            << " answered " << scenario.answered() << std::endl;
  return true;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Seeded runs of the ownership core under faults");
  TCLAP::ValueArg<std::string> seeds("", "seeds", "Seeds to run", false, "1:20",
                                     "FIRST:COUNT", command);
  TCLAP::MultiArg<std::string> removed(
      "", "remove-guard", "Guard to remove, to show that runs can fail", false,
      "fence-check|lease-wait|epoch-order|append-deduplication|stand-down|"
      "memory-start",
      command);
  TCLAP::SwitchArg keep_going("", "keep-going", "Run all seeds", command);
  TCLAP::SwitchArg trace("", "trace", "Print the last events of every seed",
                         command);
  command.parse(argc, argv);

  FleetOptions options;
  for (const std::string& name : removed.getValue()) {
    if (name == "memory-start") {
      options.check_memory_start = false;
    } else if (kGuards.contains(name)) {
      options.removed_guards.insert(kGuards.at(name));
    } else {
      std::cerr << "unknown guard " << name << std::endl;
      return 2;
    }
  }
  const std::string& range = seeds.getValue();
  const std::size_t colon = range.find(':');
  if (colon == std::string::npos) {
    std::cerr << "--seeds needs FIRST:COUNT" << std::endl;
    return 2;
  }
  const std::uint64_t first = std::stoull(range.substr(0, colon));
  const std::uint64_t count = std::stoull(range.substr(colon + 1));

  SetInvariantHandler([](const std::string& name, const std::string& detail) {
    throw FailedCheck("invariant " + name + ": " + detail);
  });
  std::uint64_t failures = 0;
  std::map<std::string, Milliseconds> outages;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    if (RunSeed(seed, options, trace.getValue(), &outages)) continue;
    ++failures;
    if (!keep_going.getValue()) break;
  }
  for (const auto& [fault, outage] : outages) {
    std::cout << "longest outage after " << fault << ": " << outage.count()
              << " ms" << std::endl;
  }
  std::cout << failures << " failed" << std::endl;
  return failures == 0 ? 0 : 1;
}

}  // namespace
}  // namespace balsamhall::ownership_test

int main(int argc, char** argv) {
  try {
    return balsamhall::ownership_test::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
