#include "capacity/target_model.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace balsamhall {
namespace {

// Intervals of 150 ms end at the next tick of 20 ms.
constexpr double kHeartbeatsPerSecond = 1000.0 / 160;
constexpr double kSecondsPerDay = 86'400;
// Sizes that the probes by routers and by endpoints share.
constexpr double kProbeRouters = 8;
constexpr double kProbeEndpoints = 32;
// Not measured: a list entry and an HTTP head as JSON and HTTP/1.1 have them.
constexpr double kVmEntryBytes = 120;
constexpr double kHttpHeadBytes = 150;
constexpr double kLogReadsPerSecond = 2;  // long polls of 500 ms
constexpr double kBase64 = 4.0 / 3;
// The old snapshot lives until the traffic threads have the new one.
constexpr double kLiveSnapshots = 2;

const Slope* FindSlope(const std::vector<Slope>& slopes,
                       const std::string& probe, const std::string& measure) {
  const auto found = std::ranges::find_if(slopes, [&](const Slope& slope) {
    return slope.probe == probe && slope.measure.name == measure;
  });
  return found == slopes.end() ? nullptr : &*found;
}

std::string Judge(double value, double budget) {
  return value <= budget ? "met" : "over";
}

}  // namespace

double Interpolate(std::span<const Sample> samples, double size) {
  std::size_t next = 1;
  while (next + 1 < samples.size() && samples[next].size < size) ++next;
  const Sample& low = samples[next - 1];
  const Sample& high = samples[next];
  const double slope = (high.value - low.value) / (high.size - low.size);
  return low.value + slope * (size - low.size);
}

double LargestWithin(const std::function<double(double)>& cost, double budget,
                     double limit) {
  double low = 0;
  double high = limit + 1;
  while (high - low > 1) {
    const double middle = std::floor((low + high) / 2);
    (cost(middle) <= budget ? low : high) = middle;
  }
  return low;
}

TargetModel::TargetModel(std::vector<Slope> slopes)
    : slopes_(std::move(slopes)) {}

bool TargetModel::complete() const {
  const std::vector<std::string> probes = {
      "routers", "endpoints",  "primary",        "primary-partitions",
      "backup",  "partitions", "routing-update", "log-follow"};
  return std::ranges::all_of(probes, [&](const std::string& probe) {
    const auto found = std::ranges::find(slopes_, probe, &Slope::probe);
    return found != slopes_.end() && found->samples.size() >= 2;
  });
}

double TargetModel::At(const std::string& probe, const std::string& measure,
                       double size) const {
  const Slope* slope = FindSlope(slopes_, probe, measure);
  return slope == nullptr ? 0 : Interpolate(slope->samples, size);
}

std::vector<ControlLine> TargetModel::Lines(const FleetTarget& target) const {
  const double routers = target.routers;
  const double peers = std::max(0.0, routers - 1);
  const double own = target.endpoints_per_router;
  const double endpoints = own * routers;
  const double held = target.partitions_per_endpoint;
  const double per_service = held * endpoints / target.services;
  const double changes = target.changes_per_day / kSecondsPerDay;
  const double joins = target.joins_per_day / kSecondsPerDay;

  // What an endpoint adds to a cost beyond the endpoints of the routers' probe.
  const auto by_endpoints = [&](const char* measure) {
    return At("endpoints", measure, endpoints) -
           At("endpoints", measure, kProbeEndpoints);
  };
  const double rebuild =
      At("routers", "routing update cpu", routers) +
      by_endpoints("routing update cpu") +
      target.services * At("partitions", "snapshot rebuild cpu", per_service);
  const double frame = At("routing-update", "frame", held);
  const double report_cpu = own * (At("routing-update", "decode cpu", held) +
                                   At("routing-update", "store cpu", held));

  std::vector<ControlLine> lines;
  lines.push_back(
      {"heartbeats in",
       kHeartbeatsPerSecond * (At("routers", "heartbeats in cpu", routers) +
                               peers * by_endpoints("one heartbeat in cpu")),
       kHeartbeatsPerSecond * At("routers", "heartbeats in", peers), 0});
  lines.push_back(
      {"heartbeats out",
       kHeartbeatsPerSecond * At("routers", "heartbeats out cpu", routers),
       kHeartbeatsPerSecond * At("routers", "heartbeats out", peers), 0});
  lines.push_back(
      {"ticks", At("routers", "ticks cpu", routers) + by_endpoints("ticks cpu"),
       0, 0});
  lines.push_back({"routing reports in", peers * (rebuild + report_cpu),
                   peers * own * frame, 0});
  lines.push_back({"routing reports out",
                   own * At("routing-update", "encode cpu", held) * peers,
                   peers * own * frame, 0});
  const double calls = 2 * At("primary", "grants", own);
  lines.push_back({"primary of own endpoints",
                   own * (At("primary-partitions", "cpu", held) -
                          At("routers", "ticks cpu", kProbeRouters) +
                          At("primary", "grant json cpu", 1)),
                   At("primary", "grant bodies", own) +
                       At("primary", "response bodies", own) +
                       calls * kHttpHeadBytes,
                   0});
  lines.push_back({"backup of as many endpoints",
                   own * FindSlope(slopes_, "backup", "cpu")->fit.slope, 0, 0});
  lines.push_back({"list of VMs, each second",
                   At("routers", "vm list cpu", routers + endpoints),
                   (routers + endpoints) * kVmEntryBytes, 0});
  lines.push_back(
      {"configuration changes",
       changes * (At("endpoints", "config change cpu", endpoints) + rebuild),
       changes * kBase64 * At("endpoints", "config record", endpoints), 0});
  lines.push_back({"log polls and joins", 2 * joins * rebuild,
                   kLogReadsPerSecond * 2 * kHttpHeadBytes, 0});
  lines.push_back({"state of routers and endpoints", 0, 0,
                   At("routers", "memory", routers) + by_endpoints("memory")});
  lines.push_back(
      {"state of partitions", 0, 0,
       target.services *
           (At("partitions", "routing table", per_service) +
            kLiveSnapshots * At("partitions", "snapshot", per_service))});
  ControlLine sum{"sum", 0, 0, 0};
  for (const ControlLine& line : lines) {
    sum.micros_per_second += line.micros_per_second;
    sum.bytes_per_second += line.bytes_per_second;
    sum.memory += line.memory;
  }
  lines.push_back(sum);
  return lines;
}

std::string ToText(const TargetModel& model, const FleetTarget& target,
                   const ControlBudget& budget) {
  const std::vector<ControlLine> lines = model.Lines(target);
  std::string text = fmt::format(
      "COMPUTED FOR ONE OF {:g} ROUTERS, {:g} ENDPOINTS EACH, {:g} PARTITIONS "
      "PER ENDPOINT\n{:<31} {:>13} {:>5} {:>7} {:>13} {:>5} {:>7} {:>10} "
      "{:>5} {:>7}\n",
      target.routers, target.endpoints_per_router,
      target.partitions_per_endpoint, "MECHANISM", "CPU us/s", "", "UP TO",
      "BYTES/s", "", "UP TO", "MEMORY MB", "", "UP TO");
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const auto up_to = [&](double ControlLine::*field, double bound) {
      return LargestWithin(
          [&](double routers) {
            FleetTarget smaller = target;
            smaller.routers = routers;
            return model.Lines(smaller)[i].*field;
          },
          bound, target.routers);
    };
    const ControlLine& line = lines[i];
    text += fmt::format(
        "{:<31} {:>13.4g} {:>5} {:>7} {:>13.4g} {:>5} {:>7} {:>10.4g} {:>5} "
        "{:>7}\n",
        line.name, line.micros_per_second,
        Judge(line.micros_per_second, budget.micros_per_second),
        up_to(&ControlLine::micros_per_second, budget.micros_per_second),
        line.bytes_per_second,
        Judge(line.bytes_per_second, budget.bytes_per_second),
        up_to(&ControlLine::bytes_per_second, budget.bytes_per_second),
        line.memory / 1e6, Judge(line.memory, budget.memory),
        up_to(&ControlLine::memory, budget.memory));
  }
  return text;
}

}  // namespace balsamhall
