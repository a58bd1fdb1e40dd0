#include <chrono>

#include "core/config_rules.h"
#include "operator/commands.h"
#include "operator/fleet.h"
#include "operator/fleet_report.h"
#include "operator/router_arguments.h"

namespace balsamhall {
namespace {

constexpr const char* kName = "balsamhall-status";

}  // namespace

ExitStatus RunStatus(const CommandArguments& arguments, CommandIo io) {
  CommandLine line(kName,
                   "Shows the state of all routers and endpoints: "
                   "configuration, authority, owners and load, ranks, and what "
                   "is degraded.",
                   {"--router ip:port [--router ip:port ...] [--json]"});
  RouterArguments routers(line);
  TCLAP::SwitchArg json("j", "json", "Writes one JSON object.",
                        line.arguments());
  if (const auto ended = line.Parse(arguments, io)) return *ended;
  if (const auto reason = routers.Check(true)) return line.Misused(io, *reason);

  HttpControlClient::Options options;
  options.read_timeout = routers.timeout();
  HttpControlClient client(options);
  const Fleet fleet = GatherFleet(client, routers.addresses());
  const RouterAnswer* const best = fleet.Best();
  if (json.getValue()) io.out << FleetToJson(fleet) << "\n";
  if (best == nullptr) {
    return ReportFailure(io, kName,
                         {ResultCode::kOperatorUnreachable,
                          "no router answers\n" + fleet.DescribeSilent()});
  }
  if (json.getValue()) return ExitStatus::kOk;
  schema::RoutingConfig in_force;
  const auto snapshot = client.Configuration(best->address);
  if (snapshot && snapshot.value().version() > 0) {
    auto config = ParseConfig(snapshot.value().body());
    if (config) in_force = std::move(config).value();
  }
  io.out << DescribeFleet(fleet, in_force, std::chrono::system_clock::now());
  return ExitStatus::kOk;
}

}  // namespace balsamhall
