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
    options.break_promises = broken.getValue();
    const auto result = RunSoak(options, static_cast<std::uint32_t>(seed));
    std::cout << "seed " << seed << ": " << result.requests << " requests, "
              << result.served << " served, " << result.faults.size()
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
