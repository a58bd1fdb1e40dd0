#include "load/load_scenario.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace balsamhall {
namespace {

// Bounds of one run; the record of a request takes a few bytes.
constexpr std::uint32_t kMaxDurationMs = 3'600'000;
constexpr double kMaxRequests = 20e6;
constexpr std::uint32_t kMaxDeadlineMs = 600'000;
constexpr std::uint32_t kMaxBodyBytes = 1U << 20U;
constexpr double kMaxExponent = 10;

void FillDefaults(schema::LoadScenario& scenario) {
  if (scenario.seed() == 0) scenario.set_seed(1);
  if (scenario.connections_per_router() == 0) {
    scenario.set_connections_per_router(1000);
  }
  for (auto& kind : *scenario.mutable_kinds()) {
    if (kind.keys() == 0) kind.set_keys(1'000'000);
    if (kind.deadline_ms() == 0) kind.set_deadline_ms(1000);
    if (kind.target_ms() == 0) kind.set_target_ms(kind.deadline_ms());
  }
}

bool IsShare(double value) { return value >= 0 && value <= 1; }

// Returns the path of the first fault of a kind, or an empty text.
std::string KindFault(const schema::LoadKind& kind) {
  if (kind.service().empty()) return "service: missing";
  if (kind.name().empty()) return "name: missing";
  if (!schema::Rank_IsValid(kind.rank())) return "rank: unknown";
  if (!(kind.rate() > 0)) return "rate: not above 0";
  if (!(kind.zipf_exponent() >= 0 && kind.zipf_exponent() <= kMaxExponent)) {
    return "zipfExponent: not in 0..10";
  }
  if (kind.deadline_ms() > kMaxDeadlineMs) return "deadlineMs: above 600000";
  if (kind.body_bytes() > kMaxBodyBytes) return "bodyBytes: above 1048576";
  if (kind.has_hot_set()) {
    const auto& hot = kind.hot_set();
    if (!IsShare(hot.share())) return "hotSet.share: not in 0..1";
    if (hot.keys() == 0) return "hotSet.keys: missing";
    if (hot.interval_ms() == 0) return "hotSet.intervalMs: missing";
  }
  if (kind.has_flood() && !(kind.flood().factor() > 0)) {
    return "flood.factor: not above 0";
  }
  return {};
}

std::string ScenarioFault(const schema::LoadScenario& scenario) {
  if (scenario.routers().empty()) return "routers: missing";
  if (scenario.kinds().empty()) return "kinds: missing";
  if (scenario.kinds_size() > 200) return "kinds: more than 200";
  if (scenario.duration_ms() == 0) return "durationMs: missing";
  if (scenario.duration_ms() > kMaxDurationMs) {
    return "durationMs: above 3600000";
  }
  if (!IsShare(scenario.repeat_share())) return "repeatShare: not in 0..1";
  for (int i = 0; i < scenario.kinds_size(); ++i) {
    if (const std::string fault = KindFault(scenario.kinds(i));
        !fault.empty()) {
      return "kinds[" + std::to_string(i) + "]." + fault;
    }
  }
  if (ExpectedRequests(scenario) > kMaxRequests) {
    return "more than 20 million requests";
  }
  return {};
}

}  // namespace

double ExpectedRequests(const schema::LoadScenario& scenario) {
  double requests = 0;
  for (const auto& kind : scenario.kinds()) {
    const auto& flood = kind.flood();
    const std::uint32_t begin =
        std::min(flood.start_ms(), scenario.duration_ms());
    const double flooded =
        std::min(flood.duration_ms(), scenario.duration_ms() - begin);
    const double extra =
        kind.has_flood() ? flooded * (flood.factor() - 1) : 0.0;
    requests += kind.rate() * (scenario.duration_ms() + extra) / 1000;
  }
  return requests;
}

Result<schema::LoadScenario> ParseLoadScenario(const std::string& json) {
  schema::LoadScenario scenario;
  const auto status =
      google::protobuf::util::JsonStringToMessage(json, &scenario);
  if (!status.ok()) {
    return Error{ResultCode::kSettingsInvalid, status.ToString()};
  }
  FillDefaults(scenario);
  if (std::string fault = ScenarioFault(scenario); !fault.empty()) {
    return Error{ResultCode::kSettingsInvalid, std::move(fault)};
  }
  return scenario;
}

}  // namespace balsamhall
