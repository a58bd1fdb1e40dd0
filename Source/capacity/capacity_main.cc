#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>

#include "capacity/probes.h"
#include "capacity/target_model.h"

namespace balsamhall {
namespace {

constexpr int kExitUsage = 2;  // arguments or files

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Slopes of control and request costs by size", ' ');
  TCLAP::SwitchArg all("", "all", "Runs every probe", command);
  TCLAP::MultiArg<std::string> names("", "probe", "Runs this probe", false,
                                     "NAME", command);
  TCLAP::SwitchArg list("", "list", "Prints the names of the probes", command);
  TCLAP::ValueArg<unsigned> runs("", "runs", "Runs for each size", false, 5,
                                 "N", command);
  TCLAP::ValueArg<std::size_t> max_size(
      "", "max-size", "Leaves out larger sizes", false,
      std::numeric_limits<std::size_t>::max(), "N", command);
  TCLAP::ValueArg<std::string> csv("", "csv", "Writes every sample", false, "",
                                   "FILE", command);
  FleetTarget target;
  TCLAP::ValueArg<double> routers("", "routers", "Routers to compute for",
                                  false, target.routers, "N", command);
  TCLAP::ValueArg<double> endpoints(
      "", "endpoints-per-router", "Endpoints per router to compute for", false,
      target.endpoints_per_router, "N", command);
  TCLAP::ValueArg<double> partitions(
      "", "partitions-per-endpoint", "Partitions per endpoint to compute for",
      false, target.partitions_per_endpoint, "N", command);
  command.parse(argc, argv);

  const std::vector<Probe> probes = AllProbes();
  if (list.getValue()) {
    for (const Probe& probe : probes) std::cout << probe.name << "\n";
    return 0;
  }
  for (const std::string& name : names.getValue()) {
    if (std::ranges::find(probes, name, &Probe::name) == probes.end()) {
      std::cerr << "no probe is named " << name << "\n";
      return kExitUsage;
    }
  }
  if (runs.getValue() == 0 || (!all.getValue() && names.getValue().empty())) {
    std::cerr << "needs --all, --probe or --list, and at least one run\n";
    return kExitUsage;
  }
  std::vector<Slope> slopes;
  for (const Probe& probe : probes) {
    const bool chosen =
        all.getValue() || std::ranges::find(names.getValue(), probe.name) !=
                              names.getValue().end();
    if (!chosen) continue;
    std::vector<Slope> fitted =
        RunProbe(probe, runs.getValue(), max_size.getValue());
    std::cout << ToTable(fitted) << "\n" << std::flush;
    std::ranges::move(fitted, std::back_inserter(slopes));
  }
  target.routers = routers.getValue();
  target.endpoints_per_router = endpoints.getValue();
  target.partitions_per_endpoint = partitions.getValue();
  const TargetModel model(slopes);
  if (model.complete()) std::cout << ToText(model, target, ControlBudget{});
  if (csv.getValue().empty()) return 0;
  std::ofstream file(csv.getValue());
  file << ToCsv(slopes);
  file.close();
  if (!file) {
    std::cerr << "cannot write " << csv.getValue() << "\n";
    return kExitUsage;
  }
  return 0;
}

}  // namespace
}  // namespace balsamhall

int main(int argc, char** argv) {
  try {
    return balsamhall::Run(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << "\n";
  }
  return 2;
}
