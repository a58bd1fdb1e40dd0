#include <spdlog/fmt/fmt.h>

#include <optional>

#include "config/sheet.h"
#include "core/config_rules.h"
#include "operator/commands.h"
#include "operator/config_diff.h"
#include "operator/config_source.h"
#include "operator/fleet.h"
#include "operator/router_arguments.h"

namespace balsamhall {
namespace {

constexpr const char* kName = "balsamhall-sheet";

// What a sheet is compared with.
struct Baseline {
  schema::RoutingConfig config;
  OwnedPartitions owned;  // empty if only the configuration is known
  std::string name;
};

Result<Baseline> ReadFleetBaseline(const RouterArguments& routers) {
  HttpControlClient::Options options;
  options.read_timeout = routers.timeout();
  HttpControlClient client(options);
  const Fleet fleet = GatherFleet(client, routers.addresses());
  const RouterAnswer* const best = fleet.Best();
  if (best == nullptr) {
    return Error{ResultCode::kOperatorUnreachable,
                 "no router answers\n" + fleet.DescribeSilent()};
  }
  const auto snapshot = client.Configuration(best->address);
  if (!snapshot) return snapshot.error();
  Baseline baseline;
  baseline.name = fmt::format("version {}", snapshot.value().version());
  if (snapshot.value().version() == 0) return baseline;
  auto config = ParseConfig(snapshot.value().body());
  if (!config) return config.error();
  baseline.config = std::move(config).value();
  for (const auto& [endpoint, report] : fleet.Endpoints()) {
    baseline.owned[endpoint] =
        static_cast<std::uint32_t>(report.routing.partitions_size());
  }
  return baseline;
}

Result<Baseline> ReadFileBaseline(const std::string& path) {
  auto config = ReadConfigFile(path);
  if (!config) return config.error();
  return Baseline{std::move(config).value(), {}, path};
}

ExitStatus ShowDifferences(const Baseline& baseline,
                           const schema::RoutingConfig& config, CommandIo io) {
  const auto lines = DescribeDifferences(baseline.config, config);
  if (lines.empty()) {
    io.out << fmt::format("No difference from {}.\n", baseline.name);
    return ExitStatus::kOk;
  }
  io.out << fmt::format("{} {} from {}:\n", lines.size(),
                        lines.size() == 1 ? "difference" : "differences",
                        baseline.name);
  for (const auto& line : lines) io.out << "  " << line << "\n";
  const auto faults = CheckConfigChange(baseline.config, config);
  if (!faults.empty()) {
    return ReportFailure(
        io, kName,
        {ResultCode::kConfigInvalid,
         "this change would be refused: " + DescribeConfigErrors(faults)});
  }
  const auto moves = EstimateMoves(baseline.config, config, baseline.owned);
  if (moves.empty()) {
    io.out << "No partition moves because of this change.\n";
    return ExitStatus::kOk;
  }
  if (baseline.owned.empty()) {
    io.out << "Estimated from an even distribution:\n";
  }
  io.out << DescribeMoves(moves);
  return ExitStatus::kOk;
}

ExitStatus CheckFile(const std::string& path,
                     const schema::RoutingConfig& config, CommandIo io) {
  int endpoints = 0;
  for (const auto& service : config.services()) {
    endpoints += service.endpoints_size();
  }
  io.out << fmt::format("{} is valid: {} services, {} endpoints.\n", path,
                        config.services_size(), endpoints);
  return ExitStatus::kOk;
}

}  // namespace

ExitStatus RunSheet(const CommandArguments& arguments, CommandIo io) {
  CommandLine line(kName,
                   "Checks a sheet, converts it to JSON, or compares it with a "
                   "configuration and shows what would move. FILE is a CSV "
                   "sheet or a JSON configuration.",
                   {"check FILE", "convert FILE", "diff FILE --against FILE",
                    "diff FILE --router ip:port"});
  TCLAP::UnlabeledValueArg<std::string> action(
      "action", "One of check, convert and diff.", true, "",
      "check|convert|diff", line.arguments());
  TCLAP::UnlabeledValueArg<std::string> file(
      "file", "The sheet or configuration.", true, "", "FILE",
      line.arguments());
  TCLAP::ValueArg<std::string> against(
      "a", "against", "Sheet or configuration to compare with.", false, "",
      "FILE", line.arguments());
  RouterArguments routers(line);
  if (const auto ended = line.Parse(arguments, io)) return *ended;
  const std::string& verb = action.getValue();
  const bool is_diff = verb == "diff";
  if (!is_diff && verb != "check" && verb != "convert") {
    return line.Misused(io, fmt::format("{} is not an action", verb));
  }
  if (const auto reason = routers.Check(is_diff && !against.isSet())) {
    return line.Misused(io, *reason);
  }
  if (against.isSet() && (!is_diff || !routers.addresses().empty())) {
    return line.Misused(io, "--against goes with diff and without --router");
  }
  const auto config = ReadConfigFile(file.getValue());
  if (!config) return ReportFailure(io, kName, config.error());
  if (verb == "check") return CheckFile(file.getValue(), config.value(), io);
  if (verb == "convert") {
    io.out << ConfigToJson(config.value(), true);
    return ExitStatus::kOk;
  }
  const auto baseline = against.isSet() ? ReadFileBaseline(against.getValue())
                                        : ReadFleetBaseline(routers);
  if (!baseline) return ReportFailure(io, kName, baseline.error());
  return ShowDifferences(baseline.value(), config.value(), io);
}

}  // namespace balsamhall
