#include "dispatch/load_balancer.h"

#include <algorithm>
#include <cmath>

#include "core/invariant.h"

namespace balsamhall {
namespace {

constexpr double kLatencySampleWeight = 0.1;  // in the exponential mean
// A slow endpoint is not picked, so its latency is not measured. Its estimate
// returns to the mean of all endpoints with this half-life, so that it is tried
// again.
constexpr double kLatencyHalfLifeSeconds = 5;
constexpr double kDefaultLatencyMicros = 1000;
constexpr double kMinSlowStartShare = 0.05;

void AddSample(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kLatencySampleWeight * (sample - mean);
}

}  // namespace

LoadBalancer::LoadBalancer(const BalancerOptions& options, std::uint64_t seed)
    : options_(options), random_engine_(seed) {}

void LoadBalancer::SetEndpoints(const std::vector<BalancedEndpoint>& endpoints,
                                SteadyTime now) {
  std::map<EndpointId, State> next;
  for (const auto& endpoint : endpoints) {
    State state;
    if (const auto known = endpoints_.find(endpoint.id);
        known != endpoints_.end()) {
      state = known->second;
    }
    const bool restarted = state.config.serving_since != endpoint.serving_since;
    const bool accepts_again = endpoint.accepting && !state.config.accepting;
    if (restarted || accepts_again) state.reported_draining = false;
    if (restarted) {
      state.slow_start = endpoint.cold ? SlowStart(endpoint.serving_since,
                                                   options_.slow_start_time)
                                       : SlowStart();
      state.failures = 0;
      state.ejected_until = now;
    }
    state.config = endpoint;
    next.emplace(endpoint.id, state);
  }
  endpoints_ = std::move(next);
  // With fewer endpoints, fewer may be ejected: the ejections that end first
  // are lifted.
  while (3 * ejected_count(now) > endpoints_.size()) {
    const auto first =
        std::ranges::min_element(endpoints_, {}, [now](const auto& entry) {
          const SteadyTime until = entry.second.ejected_until;
          return until > now ? until : SteadyTime::max();
        });
    first->second.ejected_until = now;
  }
}

void LoadBalancer::OnLoadReport(const EndpointId& id, double load,
                                SteadyTime now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end() || std::isnan(load)) return;
  found->second.reported_load = std::clamp(load, 0.0, 1.0);
  found->second.reported_at = now;
}

std::optional<EndpointId> LoadBalancer::Pick(
    const std::set<EndpointId>& already_tried, SteadyTime now) {
  std::vector<const State*> local;
  std::vector<const State*> remote;
  for (const auto& [id, state] : endpoints_) {
    if (!state.config.accepting || state.reported_draining ||
        state.ejected_until > now || already_tried.contains(id)) {
      continue;
    }
    (state.config.remote ? remote : local).push_back(&state);
  }
  const State* picked = PickAmong(local.empty() ? remote : local, now);
  if (!picked) return std::nullopt;
  return picked->config.id;
}

void LoadBalancer::OnSent(const EndpointId& id) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) ++found->second.in_flight;
}

void LoadBalancer::OnFinished(const EndpointId& id, BalancerOutcome outcome,
                              Microseconds latency, SteadyTime now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return;
  State& state = found->second;
  // An endpoint that was removed and added again starts at zero in flight.
  if (state.in_flight > 0) --state.in_flight;
  switch (outcome) {
    case BalancerOutcome::kResponded:
      AddSample(state.latency, static_cast<double>(latency.count()));
      AddSample(mean_latency_, static_cast<double>(latency.count()));
      state.latency_measured_at = now;
      state.failures = 0;
      state.ejections = 0;
      break;
    case BalancerOutcome::kRejected:
      break;
    case BalancerOutcome::kDraining:
      state.reported_draining = true;
      break;
    case BalancerOutcome::kFailed:
      // The latency of a failure is not recorded: an endpoint that fails fast
      // would attract all requests.
      if (++state.failures >= options_.eject_after) Eject(state, now);
      break;
  }
}

void LoadBalancer::Eject(State& state, SteadyTime now) {
  if (state.ejected_until > now) return;
  // If many endpoints fail, the cause is elsewhere, and the others could not
  // carry the load.
  if (3 * (ejected_count(now) + 1) > endpoints_.size()) return;
  const auto ejection_time = std::min(
      options_.max_ejection_time,
      options_.base_ejection_time * (1 << std::min(state.ejections, 10U)));
  ++state.ejections;
  state.failures = 0;
  state.ejected_until = now + ejection_time;
  state.slow_start = SlowStart(state.ejected_until, options_.slow_start_time);
  BALSAMHALL_INVARIANT(3 * ejected_count(now) <= endpoints_.size(),
                       "ejection_bound", state.config.id);
}

bool LoadBalancer::ejected(const EndpointId& id, SteadyTime now) const {
  const auto found = endpoints_.find(id);
  return found != endpoints_.end() && found->second.ejected_until > now;
}

std::size_t LoadBalancer::ejected_count(SteadyTime now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      endpoints_,
      [now](const auto& entry) { return entry.second.ejected_until > now; }));
}

double LoadBalancer::Latency(const State& state, SteadyTime now) const {
  const double mean = mean_latency_ > 0 ? mean_latency_ : kDefaultLatencyMicros;
  if (state.latency == 0) return mean;
  const double idle =
      std::chrono::duration<double>(now - state.latency_measured_at).count();
  const double deviation_left =
      std::exp2(-std::max(0.0, idle) / kLatencyHalfLifeSeconds);
  return mean + (state.latency - mean) * deviation_left;
}

double LoadBalancer::Score(const State& state, SteadyTime now) const {
  const double share =
      std::max(kMinSlowStartShare, state.slow_start.Share(now));
  const bool report_valid = state.reported_at + options_.report_lifetime >= now;
  const double load_factor = report_valid ? 1 + state.reported_load : 1;
  return (state.in_flight + 1) * Latency(state, now) * load_factor /
         (share * std::max(1U, state.config.slots));
}

const LoadBalancer::State* LoadBalancer::PickAmong(
    const std::vector<const State*>& candidates, SteadyTime now) {
  if (candidates.empty()) return nullptr;
  if (candidates.size() == 1) return candidates[0];
  const std::size_t first = random_engine_() % candidates.size();
  const std::size_t offset = 1 + random_engine_() % (candidates.size() - 1);
  const std::size_t second = (first + offset) % candidates.size();
  return Score(*candidates[first], now) <= Score(*candidates[second], now)
             ? candidates[first]
             : candidates[second];
}

}  // namespace balsamhall
