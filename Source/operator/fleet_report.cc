#include "operator/fleet_report.h"

#include <google/protobuf/util/json_util.h>
#include <jsoncpp/json/json.h>
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <set>

#include "operator/text_table.h"

namespace balsamhall {
namespace {

constexpr auto kRankNames =
    std::to_array<const char*>({"urgent", "normal", "background"});

std::string Percentage(std::uint64_t part, std::uint64_t whole) {
  return fmt::format("{:.2f}%", 100.0 * static_cast<double>(part) /
                                    static_cast<double>(whole));
}

const char* YesNo(bool value) { return value ? "yes" : "no"; }

std::string DescribeRef(const schema::RouterRef& ref) {
  if (ref.id().empty()) return "none";
  return fmt::format("{}@{}", ref.id(), ref.incarnation());
}

std::string DescribeVersions(const Fleet& fleet) {
  std::set<std::pair<std::uint64_t, std::string>> versions;
  std::size_t answering = 0;
  for (const auto& router : fleet.routers) {
    if (!router.status) continue;
    ++answering;
    versions.emplace(router.status->config_version(),
                     router.status->config_digest());
  }
  std::string text = fmt::format("{} routers are known, {} answer.\n",
                                 fleet.routers.size(), answering);
  if (versions.empty()) return text;
  const auto& [version, digest] = *versions.rbegin();
  if (version == 0) return text + "No configuration is in force.\n";
  return text + fmt::format(
                    "Configuration version {}, digest {}, is in force "
                    "on {}.\n",
                    version, digest,
                    versions.size() == 1
                        ? "all of them"
                        : "some of them; others follow or differ");
}

std::string RouterTable(const Fleet& fleet) {
  TextTable table({"router", "data centre", "region", "incarnation", "config",
                   "digest", "log offset", "log", "ready", "primary of",
                   "violations"});
  for (const auto& router : fleet.routers) {
    if (!router.status) {
      table.AddRow({router.id.empty() ? router.address : router.id, "", "", "",
                    "", "", "", "", "no answer", "", ""});
      continue;
    }
    const auto& status = *router.status;
    table.AddRow({router.id, status.data_centre(), status.region(),
                  std::to_string(status.router().incarnation()),
                  std::to_string(status.config_version()),
                  status.config_digest(), std::to_string(status.log_offset()),
                  status.log_reachable() ? "up" : "down",
                  status.leaving() ? "leaving" : YesNo(status.ready()),
                  std::to_string(status.endpoints_size()),
                  std::to_string(status.invariant_violations())});
  }
  return "\nRouters\n" + table.ToString();
}

std::string EndpointTable(const Fleet& fleet,
                          const schema::RoutingConfig& in_force) {
  TextTable table({"service", "endpoint", "state", "accepting", "primary",
                   "backup", "term", "partitions", "share", "load"});
  auto reports = fleet.Endpoints();
  for (const auto& service : in_force.services()) {
    for (const auto& endpoint : service.endpoints()) {
      const auto found = reports.find(endpoint.name());
      if (found == reports.end()) {
        table.AddRow({service.name(), endpoint.name(), "no primary answers",
                      "no", "", "", "", "", "", ""});
        continue;
      }
      const auto& routing = found->second.routing;
      table.AddRow(
          {service.name(), endpoint.name(), routing.state(),
           YesNo(routing.accepting()), DescribeRef(routing.view().primary()),
           DescribeRef(routing.view().backup()),
           FromProto(routing.view().term()).ToString(),
           std::to_string(routing.partitions_size()),
           fmt::format("{:.1f}%", 100.0 * routing.partitions_size() /
                                      std::max(1U, service.partitions())),
           fmt::format("{:.2f}", routing.load())});
    }
  }
  return table.empty() ? std::string() : "\nEndpoints\n" + table.ToString();
}

// Percentiles of different routers can't be added, so the largest is shown.
std::string RankTable(const Fleet& fleet) {
  std::array<schema::RankStatus, kRankNames.size()> totals;
  for (const auto& router : fleet.routers) {
    if (!router.status) continue;
    for (const auto& rank : router.status->ranks()) {
      if (!schema::Rank_IsValid(rank.rank())) continue;
      auto& total = totals[rank.rank()];
      total.set_requests(total.requests() + rank.requests());
      total.set_in_target(total.in_target() + rank.in_target());
      total.set_not_run(total.not_run() + rank.not_run());
      total.set_unknown(total.unknown() + rank.unknown());
      total.set_p50_ms(std::max(total.p50_ms(), rank.p50_ms()));
      total.set_p99_ms(std::max(total.p99_ms(), rank.p99_ms()));
    }
  }
  TextTable table({"rank", "requests", "in target", "not run", "unknown",
                   "p50 ms (largest)", "p99 ms (largest)"});
  for (std::size_t i = 0; i < totals.size(); ++i) {
    const auto& total = totals[i];
    table.AddRow({kRankNames[i], std::to_string(total.requests()),
                  total.requests() == 0
                      ? "-"
                      : Percentage(total.in_target(), total.requests()),
                  std::to_string(total.not_run()),
                  std::to_string(total.unknown()),
                  fmt::format("{:.1f}", total.p50_ms()),
                  fmt::format("{:.1f}", total.p99_ms())});
  }
  return "\nRanks, over all routers since their start\n" + table.ToString();
}

std::string DegradedTable(const Fleet& fleet, WallTime now) {
  TextTable table({"degraded", "router", "since"});
  for (const auto& router : fleet.routers) {
    if (!router.status) {
      table.AddRow({"does not answer: " + router.error.detail,
                    router.id.empty() ? router.address : router.id,
                    router.reachable_by_peers ? "reached by other routers"
                                              : "not reached by any router"});
      continue;
    }
    for (const auto& item : router.status->degraded()) {
      table.AddRow(
          {item.what(), router.id, DescribeTime(item.since_ms(), now)});
    }
    if (router.status->invariant_violations() > 0) {
      table.AddRow({fmt::format("{} invariant violations; report a defect",
                                router.status->invariant_violations()),
                    router.id, "-"});
    }
  }
  if (table.empty()) return "\nNothing is degraded.\n";
  return "\nDegraded\n" + table.ToString();
}

std::string ToJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string json;
  // Fails only for types that the schema does not use.
  (void)google::protobuf::util::MessageToJsonString(message, &json, options);
  return json;
}

std::string DescribeAge(std::chrono::seconds age) {
  using std::chrono::hours;
  using std::chrono::minutes;
  if (age < minutes(2)) return fmt::format("{} s", age.count());
  if (age < hours(2)) return fmt::format("{} min", age / minutes(1));
  if (age < hours(48)) return fmt::format("{} h", age / hours(1));
  return fmt::format("{} days", age / hours(24));
}

std::string Quoted(const std::string& text) {
  return Json::valueToQuotedString(text.c_str());
}

}  // namespace

std::string DescribeFleet(const Fleet& fleet,
                          const schema::RoutingConfig& in_force, WallTime now) {
  return DescribeVersions(fleet) + RouterTable(fleet) +
         EndpointTable(fleet, in_force) + RankTable(fleet) +
         DegradedTable(fleet, now);
}

std::string FleetToJson(const Fleet& fleet) {
  std::string routers;
  std::string unreachable;
  for (const auto& router : fleet.routers) {
    std::string& list = router.status ? routers : unreachable;
    if (!list.empty()) list += ",";
    list += router.status
                ? ToJson(*router.status)
                : fmt::format(
                      R"({{"address":{},"id":{},"reachable_by_peers":{},)"
                      R"("reason":{}}})",
                      Quoted(router.address), Quoted(router.id),
                      router.reachable_by_peers, Quoted(router.error.detail));
  }
  const RouterAnswer* const best = fleet.Best();
  return fmt::format(
      R"({{"config_version":"{}","config_digest":{},"routers":[{}],)"
      R"("unreachable":[{}]}})",
      best == nullptr ? 0 : best->status->config_version(),
      Quoted(best == nullptr ? "" : best->status->config_digest()), routers,
      unreachable);
}

std::string DescribeTime(std::int64_t unix_ms, WallTime now) {
  if (unix_ms <= 0) return "an unknown time";
  const WallTime time{std::chrono::milliseconds(unix_ms)};
  const std::string ago =
      DescribeAge(std::chrono::duration_cast<std::chrono::seconds>(now - time));
  return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC ({} ago)",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(time)),
                     ago);
}

}  // namespace balsamhall
