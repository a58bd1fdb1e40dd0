// balsamhall-policy-benchmark: policies against baselines, same seeds, one run.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <numeric>

#include "scenario.h"

namespace balsamhall {
namespace {

using Values = std::vector<double>;
// By scenario, measure and variant.
using Results = std::map<std::string, std::map<std::string, Values>>;

struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t count = 5;
};

std::optional<SeedRange> ParseSeeds(const std::string& text) {
  SeedRange range;
  const char* end = text.data() + text.size();
  const auto first = std::from_chars(text.data(), end, range.first);
  if (first.ec != std::errc{} || first.ptr == end || *first.ptr != ':') {
    return std::nullopt;
  }
  const auto count = std::from_chars(first.ptr + 1, end, range.count);
  if (count.ec != std::errc{} || count.ptr != end || range.count == 0) {
    return std::nullopt;
  }
  return range;
}

std::string Format(const Values& values) {
  const auto [low, high] = std::ranges::minmax(values);
  const double mean = std::accumulate(values.begin(), values.end(), 0.0) /
                      static_cast<double>(values.size());
  char text[80];
  std::snprintf(text, sizeof(text), "%.3f (%.3f..%.3f)", mean, low, high);
  return text;
}

std::string Judge(const Values& values, const Target& target) {
  const auto [low, high] = std::ranges::minmax(values);
  const bool met = target.at_least ? low >= target.bound : high <= target.bound;
  char text[60];
  std::snprintf(text, sizeof(text), "%s %.3g %s",
                target.at_least ? ">=" : "<=", target.bound,
                met ? "met" : "MISSED");
  return text;
}

void PrintTable(const Scenario& scenario, const Results& results) {
  for (const auto& [measure, variants] : results) {
    const auto policy = variants.find("policy");
    std::string baselines;
    for (const auto& [variant, values] : variants) {
      if (variant == "policy") continue;
      baselines +=
          (baselines.empty() ? "" : "; ") + variant + " " + Format(values);
    }
    const auto target =
        std::ranges::find(scenario.targets, measure, &Target::measure);
    std::printf("| %s | %s | %s | %s | %s |\n", scenario.name.c_str(),
                measure.c_str(),
                policy == variants.end() ? "" : Format(policy->second).c_str(),
                baselines.c_str(),
                target == scenario.targets.end() || policy == variants.end()
                    ? ""
                    : Judge(policy->second, *target).c_str());
  }
}

Results RunScenario(const Scenario& scenario, const SeedRange& seeds,
                    std::ofstream& csv) {
  Results results;
  for (std::uint64_t i = 0; i < seeds.count; ++i) {
    const std::uint64_t seed = seeds.first + i;
    for (const auto& sample : scenario.run(seed)) {
      results[sample.measure][sample.variant].push_back(sample.value);
      if (csv.is_open()) {
        csv << scenario.name << ',' << seed << ',' << sample.variant << ','
            << sample.measure << ',' << sample.value << '\n';
      }
    }
  }
  return results;
}

int Run(const std::string& name, const SeedRange& seeds,
        const std::string& csv_path) {
  const std::vector<Scenario> scenarios{BackgroundFloodScenario(),
                                        LongBackgroundFloodScenario(),
                                        UrgentFloodScenario(),
                                        ZipfBalanceScenario(),
                                        LossAndReturnScenario(),
                                        HotSetScenario(),
                                        MisleadingLoadScenario(),
                                        RetryScenario(),
                                        LinkScenario()};
  std::ofstream csv;
  if (!csv_path.empty()) {
    csv.open(csv_path);
    if (!csv) {
      std::cerr << "cannot write " << csv_path << '\n';
      return 2;
    }
    csv << "scenario,seed,variant,measure,value\n";
  }
  std::printf(
      "| scenario | measure | policy: mean (min..max) | baselines | "
      "target |\n|---|---|---|---|---|\n");
  bool found = false;
  for (const auto& scenario : scenarios) {
    if (name != "all" && name != scenario.name) continue;
    found = true;
    PrintTable(scenario, RunScenario(scenario, seeds, csv));
  }
  if (!found) {
    std::cerr << "unknown scenario " << name << "; known: all";
    for (const auto& scenario : scenarios) std::cerr << ' ' << scenario.name;
    std::cerr << '\n';
    return 2;
  }
  return 0;
}

}  // namespace
}  // namespace balsamhall

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Compares policies with baselines", ' ', "0.1");
    TCLAP::ValueArg<std::string> scenario("", "scenario", "scenario or all",
                                          false, "all", "NAME", command);
    TCLAP::ValueArg<std::string> seeds("", "seeds", "first seed and number",
                                       false, "1:5", "FIRST:COUNT", command);
    TCLAP::ValueArg<std::string> csv("", "csv", "file for the raw values",
                                     false, "", "FILE", command);
    command.parse(argc, argv);
    const auto range = balsamhall::ParseSeeds(seeds.getValue());
    if (!range) {
      std::cerr << "--seeds wants FIRST:COUNT, not " << seeds.getValue()
                << '\n';
      return 2;
    }
    return balsamhall::Run(scenario.getValue(), *range, csv.getValue());
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
