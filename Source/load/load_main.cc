#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "config/text_file.h"
#include "load/execution_check.h"
#include "load/load_runner.h"
#include "load/load_scenario.h"

namespace balsamhall {
namespace {

constexpr int kExitFailed = 1;      // a promise was broken
constexpr int kExitUsage = 2;       // arguments, scenario or files
constexpr int kExitUnverified = 3;  // a backend could not be asked

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) return true;
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) std::cerr << "cannot write " << path << "\n";
  return static_cast<bool>(file);
}

// Ids differ between runs, or a router would answer from its memory.
std::string NewTag(std::uint64_t seed) {
  const auto now = std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return "load-" + std::to_string(seed) + "-" + std::to_string(now.count());
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Open-loop load against balsamhall routers", ' ');
  TCLAP::UnlabeledValueArg<std::string> file("scenario", "Scenario in JSON",
                                             true, "", "FILE", command);
  TCLAP::ValueArg<std::string> routers("", "routers",
                                       "Routers instead of the scenario's",
                                       false, "", "ip:port,...", command);
  TCLAP::ValueArg<std::string> backends("", "backends",
                                        "Backend stand-ins to compare with",
                                        false, "", "ip:port,...", command);
  TCLAP::ValueArg<std::string> csv("", "csv", "Writes the intervals", false, "",
                                   "FILE", command);
  TCLAP::ValueArg<std::string> json("", "json", "Writes the totals", false, "",
                                    "FILE", command);
  TCLAP::ValueArg<unsigned> interval("", "interval-ms",
                                     "Length of the intervals in the CSV file",
                                     false, 1000, "ms", command);
  TCLAP::SwitchArg allow("", "allow-unreachable",
                         "Succeeds although a backend could not be asked",
                         command);
  command.parse(argc, argv);

  const auto text = ReadTextFile(file.getValue());
  if (!text) {
    std::cerr << text.error().detail << "\n";
    return kExitUsage;
  }
  auto scenario = ParseLoadScenario(text.value());
  if (!scenario) {
    std::cerr << file.getValue() << ": " << scenario.error().detail << "\n";
    return kExitUsage;
  }
  if (routers.isSet()) {
    const auto list = SplitList(routers.getValue());
    scenario.value().mutable_routers()->Assign(list.begin(), list.end());
  }
  const auto backend_list = SplitList(backends.getValue());
  LoadOptions options;
  options.interval = Milliseconds(std::max(10U, interval.getValue()));
  options.check_bodies = !backend_list.empty();
  LoadRunner runner(scenario.value(), NewTag(scenario.value().seed()), options);
  runner.Run();

  bool unverified = false;
  if (!backend_list.empty()) {
    BackendExecutions executions = FetchExecutions(backend_list);
    unverified = !executions.unreachable.empty() || executions.unrecorded > 0;
    auto faults =
        CheckExecutions(scenario.value(), runner.ledger(), executions);
    runner.report().set_execution_faults(std::move(faults),
                                         std::move(executions));
  }
  std::cout << runner.report().Table();
  if (!WriteFile(csv.getValue(), runner.report().Csv()) ||
      !WriteFile(json.getValue(), runner.report().Json())) {
    return kExitUsage;
  }
  if (runner.report().Failed()) return kExitFailed;
  return unverified && !allow.getValue() ? kExitUnverified : 0;
}

}  // namespace
}  // namespace balsamhall

int main(int argc, char** argv) {
  try {
    return balsamhall::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return balsamhall::kExitUsage;
  }
}
