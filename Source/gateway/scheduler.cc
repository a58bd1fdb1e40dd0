#include "gateway/scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <tuple>
#include <utility>

namespace balsamhall::gateway {
namespace {

// Value of a late response relative to one in time (users' data sheets: 0.12 to
// 0.45).
constexpr double kLateResponseValue = 0.3;
// The probability of a response in time falls linearly from one to zero as the
// expected latency grows from the first to the second share of the target:
// service times vary by about a third.
constexpr double kCertainlyInTimeShare = 0.7;
constexpr double kCertainlyLateShare = 1.15;
// Cost of a KiB between data centres of a region, as a share of the value of a
// request, by rank: a byte costs the same in all ranks, but an urgent request
// has a greater value.
constexpr std::array<double, 3> kTransferCostPerKib{0.02, 0.055, 0.2};
// Links between regions have little bandwidth and are billed by volume.
constexpr double kCrossRegionCostFactor = 1.25;
// Caps the cost, so that a response is worth more than none whatever its size.
constexpr double kMaxTransferCost = 0.6;
// Breaks ties between endpoints in favour of the lower latency.
constexpr double kLatencyCost = 0.05;
// Cost of an endpoint that has just become warm: others that respond in time
// are preferred.
constexpr double kRampCost = 0.3;
// Endpoints whose loads are pooled: fewer are seen often enough one by one.
constexpr std::size_t kMinPooledEndpoints = 4;
// Network round trips, including the caller's side, from the users' data
// sheets.
constexpr double kSameDataCentreRoundTripMs = 2;
constexpr double kSameRegionRoundTripMs = 5;
constexpr double kOtherRegionRoundTripMs = 44;
// Requests that may queue at an endpoint beyond its slots, by rank. The
// smallest queue of a backend server holds eight, and requests that other
// gateways send in the meantime have to fit as well.
constexpr std::array<double, 3> kMaxEndpointQueue{5, 4, 3};
// Longest wait of urgent work behind other work, as a share of its target.
constexpr double kMaxUrgentWaitShare = 0.45;
// Assumed service time of a kind without samples, as a share of its target.
constexpr double kUnknownServiceTimeShare = 0.25;
constexpr double kServiceTimeWeight = 0.05;
constexpr double kResponseBytesWeight = 0.1;
constexpr double kDefaultResponseBytes = 2'000;
// Bounds memory; far more jobs than can be served in time.
constexpr std::size_t kMaxWaitingJobs = 2'000;
// A request is admitted if its expected latency is at most this share of its
// latency budget: requests that other gateways send in the meantime make
// estimates too short. Once admitted, it is rejected only if it would miss its
// deadline.
constexpr double kAdmissionShare = 0.5;
// If at least this share of the requests is urgent, some endpoints reserve a
// slot for urgent work; with a smaller share, these slots would be idle too
// often. The mode ends at half of the share: the hysteresis keeps random
// variation from switching it.
constexpr double kUrgentModeShare = 0.1;
constexpr double kUrgentShareWeight = 0.02;  // of a new request in the average
constexpr std::size_t kEndpointsPerReserved = 3;  // one in three, at least one
// Latency budget of a job past its target, as a share of its remaining time.
constexpr double kLateWaitShare = 0.5;
// Bounds Retry-After by a share of the remaining time: callers honour at most a
// third of it.
constexpr double kMaxRetryAfterShare = 0.3;
constexpr Milliseconds kMinRetryAfter{40};
// An attempt is moved to another endpoint only if the remaining time is more
// than this multiple of the latency expected there.
constexpr double kAlternativeMargin = 1.5;
// Wait assumed if no endpoint is available, or if there is no estimate of when
// a key has a lease holder again.
constexpr Milliseconds kDefaultUnavailableWait{500};

std::size_t RankIndex(int rank) {
  return static_cast<std::size_t>(std::clamp(rank, 0, 2));
}

double ToMs(SteadyTime::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double RoundTripMs(Distance distance) {
  switch (distance) {
    case Distance::kSameDataCentre:
      return kSameDataCentreRoundTripMs;
    case Distance::kSameRegion:
      return kSameRegionRoundTripMs;
    case Distance::kOtherRegion:
      break;
  }
  return kOtherRegionRoundTripMs;
}

double TransferCost(Distance distance, std::size_t rank, double bytes) {
  if (distance == Distance::kSameDataCentre) return 0;
  const double cost = kTransferCostPerKib.at(rank) * bytes / 1024;
  const double factor =
      distance == Distance::kSameRegion ? 1 : kCrossRegionCostFactor;
  return std::min(cost * factor, kMaxTransferCost);
}

}  // namespace

std::string_view RejectReasonName(RejectReason reason) {
  switch (reason) {
    case RejectReason::kNoEndpoint:
      return "no_endpoint";
    case RejectReason::kOutsideRegions:
      return "outside_regions";
    case RejectReason::kEvacuated:
      return "evacuated";
    case RejectReason::kNoLease:
      return "no_lease";
    case RejectReason::kEndpointFailing:
      return "endpoint_failing";
    case RejectReason::kEndpointsPaused:
      return "endpoints_paused";
    case RejectReason::kEndpointCold:
      return "endpoint_cold";
    case RejectReason::kOverload:
      return "overload";
    case RejectReason::kTooLate:
      break;
  }
  return "too_late";
}

// State of one scheduling pass over the queue.
struct Scheduler::Pass {
  SteadyTime now;
  Decisions decisions;
  // Jobs that this pass left waiting, by the endpoint that suits them best.
  std::unordered_map<const EndpointLoad*, int> queued;
  int queued_total = 0;
  double completions_per_second = 0;
  // By the regions of the job.
  std::map<std::vector<std::string>, bool> ignore_ejections;
  bool may_ignore_ejections = false;
  bool ignore_rejections = false;  // all endpoints reject everything
  std::vector<Job> still_waiting;
};

void Scheduler::SetEndpoints(const std::vector<EndpointInfo>& endpoints,
                             SteadyTime now) {
  std::map<EndpointRef, std::unique_ptr<EndpointLoad>> next;
  for (const auto& info : endpoints) {
    auto found = loads_.find(info.ref);
    auto removed = removed_loads_.find(info.ref);
    if (found != loads_.end()) {
      found->second->Update(info, now);
      next.emplace(info.ref, std::move(found->second));
      loads_.erase(found);
    } else if (removed != removed_loads_.end()) {
      removed->second->Update(info, now);
      next.emplace(info.ref, std::move(removed->second));
      removed_loads_.erase(removed);
    } else {
      next.emplace(info.ref, std::make_unique<EndpointLoad>(info, now));
    }
  }
  for (auto& [ref, load] : loads_) {
    if (load->in_flight() > 0) removed_loads_.emplace(ref, std::move(load));
  }
  loads_ = std::move(next);
  GroupEndpoints();
}

void Scheduler::SetLeases(const LeaseTable* leases, SteadyTime now) {
  sharded_ = true;
  leases_ = leases;
  leases_set_at_ = now;
  GroupEndpoints();
}

EndpointLoad* Scheduler::FindLoad(const EndpointRef& endpoint) {
  const auto found = loads_.find(endpoint);
  if (found != loads_.end()) return found->second.get();
  const auto removed = removed_loads_.find(endpoint);
  return removed == removed_loads_.end() ? nullptr : removed->second.get();
}

void Scheduler::FilterDuration(std::optional<ReportedLoad>& load) {
  if (!load || !load->duration_percent) return;
  if (!options_.use_durations) load->duration_percent.reset();
  if (!load->duration_percent) return;
  durations_reported_ = true;
  mean_duration_.Add(*load->duration_percent);
}

void Scheduler::OnResponse(std::uint64_t job, const EndpointRef& endpoint,
                           const std::string& kind, Milliseconds elapsed,
                           std::size_t response_bytes,
                           std::optional<ReportedLoad> load, SteadyTime now) {
  cold_start_.OnOutcome(endpoint.id, job, now);
  EndpointLoad* const state = FindLoad(endpoint);
  if (state == nullptr) return;
  FilterDuration(load);
  const double round_trip_ms =
      RoundTripMs(settings_.DistanceTo(state->info().data_centre));
  const double machine_duration =
      load && load->duration_percent
          ? DurationOfWork(*load->duration_percent, mean_duration_, elapsed)
          : 1;
  const double service_ms =
      std::max(1.0, static_cast<double>(elapsed.count()) - round_trip_ms) /
      machine_duration;
  KindStats& stats = kind_stats_[kind];
  if (stats.service_ms == 0) stats.service_ms = service_ms;
  const double relative_time = service_ms / stats.service_ms;
  // Normalizes by the endpoint's slowdown, so that a slow endpoint does not
  // raise the service time of the kind.
  const double typical_ms = service_ms / state->Slowdown(now);
  stats.service_ms += kServiceTimeWeight * (typical_ms - stats.service_ms);
  stats.response_bytes +=
      kResponseBytesWeight *
      (static_cast<double>(response_bytes) - stats.response_bytes);
  if (sharded_ && relative_time > 0) {
    speeds_[endpoint].Add(1 / relative_time);
  }
  if (durations_reported_) rejection_rate_.Add(false, now);
  state->OnResponse(job, now, relative_time, load);
}

bool Scheduler::OnShed(std::uint64_t job, const EndpointRef& endpoint,
                       std::optional<ReportedLoad> load, SteadyTime now,
                       bool lacks_lease) {
  cold_start_.OnOutcome(endpoint.id, job, now);
  EndpointLoad* const state = FindLoad(endpoint);
  if (state == nullptr) return false;
  FilterDuration(load);
  if (load && load->duration_percent && !lacks_lease) {
    rejection_rate_.Add(HasFreeSlot(*load), now);
  }
  return state->OnShed(job, now, load, lacks_lease);
}

LoadInputs Scheduler::Inputs(SteadyTime now) const {
  LoadInputs inputs{durations_reported_, mean_duration_.value(),
                    rejection_rate_.Share(now), 0};
  inputs.rejecting_endpoints = static_cast<std::size_t>(std::ranges::count_if(
      loads_ | std::views::values,
      [](const auto& load) { return load->rejections().Rejecting(); }));
  return inputs;
}

void Scheduler::OnFailure(std::uint64_t job, const EndpointRef& endpoint,
                          EndpointFailure failure, SteadyTime now) {
  cold_start_.OnOutcome(endpoint.id, job, now);
  if (EndpointLoad* const state = FindLoad(endpoint)) {
    state->OnFailure(job, failure, now);
  }
}

void Scheduler::OnCancelled(std::uint64_t job, const EndpointRef& endpoint) {
  cold_start_.OnCancelled(endpoint.id, job);
  if (EndpointLoad* const state = FindLoad(endpoint)) state->OnCancelled(job);
}

bool Scheduler::HasAlternative(const Job& job, const EndpointRef& endpoint,
                               SteadyTime now) {
  if (sharded_) return false;
  Job retry = job;
  retry.tried.push_back(endpoint);
  Pass pass;
  pass.now = now;
  const Candidate best = BestCandidate(retry, pass);
  return best.endpoint != nullptr && best.has_headroom &&
         best.expected_latency_ms * kAlternativeMargin <
             ToMs(job.deadline - now);
}

Milliseconds Scheduler::ServiceTime(const std::string& kind) const {
  const auto found = kind_stats_.find(kind);
  if (found == kind_stats_.end()) return Milliseconds(0);
  return Milliseconds(static_cast<std::int64_t>(found->second.service_ms *
                                                mean_duration_.value()));
}

std::map<EndpointRef, double> Scheduler::Capacities(SteadyTime now) const {
  std::map<EndpointRef, double> capacities;
  for (const auto& [ref, load] : loads_) {
    capacities[ref] = load->info().slots / load->Slowdown(now);
  }
  return capacities;
}

void Scheduler::Remove(std::uint64_t job) {
  std::erase_if(waiting_, [job](const Job& entry) { return entry.id == job; });
}

Decisions Scheduler::Submit(Job job, SteadyTime now) {
  if (waiting_.size() >= kMaxWaitingJobs) {
    const auto wait = std::chrono::duration_cast<Milliseconds>(
        std::max(job.target - now, SteadyTime::duration::zero()));
    return {
        {},
        {{job.id, RejectReason::kOverload, RetryAfter(job, wait, now), wait}}};
  }
  urgent_share_ +=
      kUrgentShareWeight * ((job.rank == 0 ? 1 : 0) - urgent_share_);
  if (job.rank == 0) {
    max_urgent_wait_ms_ =
        kMaxUrgentWaitShare * static_cast<double>(job.target_latency.count());
  }
  waiting_.push_back(std::move(job));
  return ScheduleWaitingJobs(now);
}

Decisions Scheduler::Advance(SteadyTime now) {
  if (waiting_.empty()) return {};
  return ScheduleWaitingJobs(now);
}

Decisions Scheduler::ScheduleWaitingJobs(SteadyTime now) {
  std::erase_if(removed_loads_, [](const auto& entry) {
    return entry.second->in_flight() <= 0;
  });
  std::ranges::stable_sort(waiting_, [now](const Job& a, const Job& b) {
    const auto order = [now](const Job& job) {
      return std::tuple(job.rank, job.target < now, job.target);
    };
    return order(a) < order(b);
  });
  Pass pass;
  pass.now = now;
  std::size_t closed = 0;
  for (auto& load : loads_ | std::views::values) {
    pass.completions_per_second += load->completions().PerSecond(now);
    if (load->rejections().Closed(load->in_flight(), now)) ++closed;
  }
  pass.may_ignore_ejections = !sharded_;
  pass.ignore_rejections = closed == loads_.size();
  UpdateUrgentMode();
  std::vector<Job> jobs = std::exchange(waiting_, {});
  for (Job& job : jobs) ScheduleJob(job, pass);
  waiting_ = std::move(pass.still_waiting);
  return std::move(pass.decisions);
}

void Scheduler::UpdateUrgentMode() {
  const bool urgent_mode =
      urgent_share_ >= (urgent_mode_ ? kUrgentModeShare / 2 : kUrgentModeShare);
  if (std::exchange(urgent_mode_, urgent_mode) != urgent_mode) GroupEndpoints();
}

// All gateways reserve slots at the same endpoints without coordination: the
// first ones of each data centre in the order of their ids.
void Scheduler::GroupEndpoints() {
  std::map<std::string, std::vector<EndpointLoad*>> by_data_centre;
  for (const auto& load : loads_ | std::views::values) {
    by_data_centre[load->info().data_centre].push_back(load.get());
  }
  reserved_endpoints_.clear();
  for (auto& [data_centre, endpoints] : by_data_centre) {
    const auto others = std::ranges::stable_partition(
        endpoints,
        [](const EndpointLoad* load) { return load->info().slots > 1; });
    const std::size_t reservable = endpoints.size() - others.size();
    const bool reserve = urgent_mode_ && !sharded_;
    const std::size_t reserved =
        reserve
            ? (reservable + kEndpointsPerReserved - 1) / kEndpointsPerReserved
            : 0;
    const std::span all(endpoints);
    PoolLoads(data_centre, true, all.first(reserved));
    PoolLoads(data_centre, false, all.subspan(reserved));
    reserved_endpoints_.insert(
        endpoints.begin(),
        endpoints.begin() + static_cast<std::ptrdiff_t>(reserved));
  }
}

void Scheduler::PoolLoads(const std::string& data_centre, bool reserved,
                          std::span<EndpointLoad* const> endpoints) {
  PooledLoad* const pool =
      options_.pool_loads && endpoints.size() >= kMinPooledEndpoints
          ? &pooled_loads_[{data_centre, reserved}]
          : nullptr;
  for (EndpointLoad* const load : endpoints) load->set_pooled_load(pool);
}

void Scheduler::SetAllowedRegions(
    const std::unordered_map<std::uint64_t, std::vector<std::string>>&
        regions) {
  for (Job& job : waiting_) {
    const auto found = regions.find(job.id);
    if (found != regions.end()) job.allowed_regions = found->second;
  }
}

std::optional<RejectReason> Scheduler::OutsideLimits(const Job& job) const {
  if (!limits_.Restrict(job.allowed_regions)) return std::nullopt;
  using Verdict = PlacementLimits::Verdict;
  // Without any endpoint, keys may still get an owner in the regions.
  bool evacuated = false;
  const bool allowed =
      std::ranges::any_of(loads_ | std::views::values, [&](const auto& load) {
        const Verdict verdict =
            limits_.Check(job.allowed_regions, load->info().data_centre);
        evacuated = evacuated || verdict == Verdict::kEvacuated;
        return verdict == Verdict::kAllowed;
      });
  if (!allowed && evacuated) return RejectReason::kEvacuated;
  if (!allowed && !job.allowed_regions.empty()) {
    return RejectReason::kOutsideRegions;
  }
  if (!sharded_ || !job.key || leases_ == nullptr) return std::nullopt;
  const RangeLease* const lease = leases_->Find(*job.key);
  const auto owner =
      lease == nullptr ? loads_.end() : loads_.find(lease->owner.ref);
  if (owner != loads_.end() &&
      !limits_.InRegions(job.allowed_regions,
                         owner->second->info().data_centre)) {
    return RejectReason::kOutsideRegions;
  }
  return std::nullopt;
}

bool Scheduler::IgnoresEjections(const Job& job, Pass& pass) const {
  if (!pass.may_ignore_ejections) return false;
  const auto [found, added] =
      pass.ignore_ejections.try_emplace(job.allowed_regions);
  if (!added) return found->second;
  std::size_t usable = 0;
  std::size_t ejected = 0;
  for (const auto& load : loads_ | std::views::values) {
    if (!limits_.Allows(job.allowed_regions, load->info().data_centre)) {
      continue;
    }
    ++usable;
    if (load->Ejected(pass.now)) ++ejected;
  }
  return found->second = ejected * 2 > usable;
}

std::optional<RejectReason> Scheduler::KeyUnavailable(
    const Job& job, SteadyTime now, Milliseconds& wait) const {
  wait = Milliseconds(0);
  if (!sharded_ || !job.key) return std::nullopt;
  const RangeLease* const lease =
      leases_ == nullptr ? nullptr : leases_->Find(*job.key);
  const auto owner =
      lease == nullptr ? loads_.end() : loads_.find(lease->owner.ref);
  if (owner == loads_.end() ||
      !notices_.ServesHeldKeys(lease->owner.ref, now) ||
      !limits_.ServesHeldKeys(owner->second->info().data_centre, now)) {
    wait = kDefaultUnavailableWait;
    return RejectReason::kNoLease;
  }
  if (!lease->OwnerHolds()) {
    const auto elapsed =
        std::chrono::duration_cast<Milliseconds>(now - leases_set_at_);
    wait = std::max(lease->expected_wait - elapsed, Milliseconds(20));
    return RejectReason::kNoLease;
  }
  return std::nullopt;
}

void Scheduler::ScheduleJob(Job& job, Pass& pass) {
  const auto reject = [&](RejectReason reason, Milliseconds wait) {
    pass.decisions.rejections.push_back(
        {job.id, reason, RetryAfter(job, wait, pass.now), wait});
  };
  const auto place = [&](const Candidate& candidate) {
    candidate.endpoint->OnSent(
        job.id, pass.now, static_cast<double>(ServiceTime(job.kind).count()));
    cold_start_.OnSent(candidate.endpoint->info().ref.id, job.id, pass.now);
    pass.decisions.placements.push_back(
        {job.id, candidate.endpoint->info(), candidate.outstanding,
         Milliseconds(
             static_cast<std::int64_t>(candidate.expected_latency_ms))});
  };
  // Latency budget: the time until the target or, if the target has passed, a
  // share of the time until the deadline.
  const bool late = job.target <= pass.now;
  const double remaining_ms = ToMs(job.deadline - pass.now);
  const double latency_budget_ms =
      late ? remaining_ms * kLateWaitShare : ToMs(job.target - pass.now);
  if (remaining_ms <= 0) return reject(RejectReason::kTooLate, Milliseconds(0));

  if (const auto reason = OutsideLimits(job)) {
    return reject(*reason, kDefaultUnavailableWait);
  }
  Milliseconds key_wait;
  if (const auto reason = KeyUnavailable(job, pass.now, key_wait)) {
    const double service_ms =
        static_cast<double>(ServiceTime(job.kind).count());
    if (static_cast<double>(key_wait.count()) + service_ms >
        latency_budget_ms) {
      return reject(*reason, key_wait);
    }
    pass.still_waiting.push_back(std::move(job));
    return;
  }
  const Candidate best = BestCandidate(job, pass);
  if (best.endpoint == nullptr) {
    pass.decisions.rejections.push_back(RejectionWithoutCandidate(job, pass));
    return;
  }
  if (best.expected_latency_ms > remaining_ms) {
    // The best one by cost may be too slow. If an attempt has failed, any other
    // response is better for the caller than an unknown outcome.
    const Candidate available =
        job.tried.empty() ? Candidate{} : BestCandidate(job, pass, true);
    if (available.endpoint != nullptr &&
        available.expected_latency_ms <= remaining_ms &&
        job.not_before <= pass.now) {
      return place(available);
    }
    return reject(
        RejectReason::kTooLate,
        Milliseconds(static_cast<std::int64_t>(best.expected_latency_ms)));
  }
  if (best.has_headroom && job.not_before <= pass.now) return place(best);
  const double limit_ms =
      job.admitted ? remaining_ms
                   : latency_budget_ms * (sharded_ ? 1 : kAdmissionShare);
  if (best.expected_latency_ms > limit_ms) {
    // Falls back to any endpoint with headroom, even a distant one unless the
    // transfer of the response would cost too much.
    const Candidate available = BestCandidate(
        job, pass, true, !durations_reported_ || best.costly_transfer);
    if (available.endpoint != nullptr &&
        available.expected_latency_ms <= latency_budget_ms * kAdmissionShare &&
        job.not_before <= pass.now) {
      return place(available);
    }
    const bool cold = ColdWait(*best.endpoint, 0, pass.now) != Milliseconds(0);
    return reject(cold ? RejectReason::kEndpointCold : RejectReason::kOverload,
                  Milliseconds(static_cast<std::int64_t>(
                      best.expected_latency_ms - latency_budget_ms)));
  }
  if (job.not_before <= pass.now) {
    ++pass.queued[best.endpoint];
    ++pass.queued_total;
  }
  job.admitted = true;
  pass.still_waiting.push_back(std::move(job));
}

bool Scheduler::IsEligible(const Job& job, const EndpointLoad& endpoint,
                           Pass& pass) const {
  if (std::ranges::find(job.tried, endpoint.info().ref) != job.tried.end()) {
    return false;
  }
  if (!limits_.Allows(job.allowed_regions, endpoint.info().data_centre)) {
    return false;
  }
  const EndpointRef& ref = endpoint.info().ref;
  if (notices_.Leaving(ref) || endpoint.Replaced(pass.now)) return false;
  if (notices_.PauseLeft(ref, pass.now) > Milliseconds(0)) return false;
  if (!pass.ignore_rejections &&
      endpoint.rejections().Closed(endpoint.in_flight(), pass.now)) {
    return false;
  }
  if (!ColdWait(endpoint, 0, pass.now)) return false;
  return !endpoint.Ejected(pass.now) || IgnoresEjections(job, pass);
}

std::optional<Milliseconds> Scheduler::ColdWait(const EndpointLoad& endpoint,
                                                int ahead,
                                                SteadyTime now) const {
  if (!cold_start_.limited() || !endpoint.Cold(now)) return Milliseconds(0);
  return cold_start_.Wait(endpoint.info().ref.id, endpoint.info().data_centre,
                          static_cast<std::size_t>(ahead), now);
}

bool Scheduler::RampsUp(const Job& job, const EndpointLoad& endpoint,
                        SteadyTime now) const {
  const auto passed = now - endpoint.warm_at();
  return cold_start_.limited() && passed >= Milliseconds(0) &&
         passed < kRampTime &&
         !InRampShare(endpoint.info().ref.id, job.id, loads_.size(), passed);
}

unsigned Scheduler::ColdShare(const EndpointRef& endpoint,
                              SteadyTime now) const {
  const auto found = loads_.find(endpoint);
  return found == loads_.end()
             ? 0
             : cold_start_.Share(endpoint.id, found->second->info().data_centre,
                                 now);
}

std::set<EndpointRef> Scheduler::ColdEndpoints(SteadyTime now) const {
  std::set<EndpointRef> cold;
  if (!cold_start_.limited()) return cold;
  for (const auto& [ref, load] : loads_) {
    if (load->Cold(now)) cold.insert(ref);
  }
  return cold;
}

Rejection Scheduler::RejectionWithoutCandidate(const Job& job,
                                               const Pass& pass) {
  std::vector<const EndpointLoad*> left;
  if (sharded_ && job.key) {
    left.push_back(loads_.at(leases_->Find(*job.key)->owner.ref).get());
  } else {
    for (const auto& load : loads_ | std::views::values) {
      const EndpointRef& ref = load->info().ref;
      const bool tried = std::ranges::find(job.tried, ref) != job.tried.end();
      if (!tried && !notices_.Leaving(ref) &&
          limits_.Allows(job.allowed_regions, load->info().data_centre)) {
        left.push_back(load.get());
      }
    }
  }
  Milliseconds pause = Milliseconds::max();
  for (const EndpointLoad* const load : left) {
    const auto pause_left = notices_.PauseLeft(load->info().ref, pass.now);
    if (pause_left > Milliseconds(0)) pause = std::min(pause, pause_left);
  }
  const bool paused = pause != Milliseconds::max();
  // Another gateway may be able to send it, so the caller is not told to wait
  // until an endpoint is warm.
  Milliseconds wait = paused ? pause : kDefaultUnavailableWait;
  bool cold = false;
  for (const EndpointLoad* const load : left) {
    if (paused || ColdWait(*load, 0, pass.now)) continue;
    cold = true;
    wait = std::min(wait, load->WarmUpLeft(pass.now));
  }
  const RejectReason reason = paused ? RejectReason::kEndpointsPaused
                              : cold ? RejectReason::kEndpointCold
                              : sharded_ && job.key
                                  ? RejectReason::kEndpointFailing
                                  : RejectReason::kNoEndpoint;
  return {job.id, reason, RetryAfter(job, wait, pass.now), wait};
}

Scheduler::Candidate Scheduler::BestCandidate(const Job& job, Pass& pass,
                                              bool headroom_only,
                                              bool allow_costly_transfer) {
  if (sharded_ && job.key) {
    const RangeLease* const lease = leases_->Find(*job.key);
    EndpointLoad& owner = *loads_.at(lease->owner.ref);
    if (owner.Ejected(pass.now) ||
        owner.rejections().ClosedForKeys(owner.in_flight(), pass.now) ||
        notices_.PauseLeft(lease->owner.ref, pass.now) > Milliseconds(0) ||
        !ColdWait(owner, 0, pass.now)) {
      return {};
    }
    const Candidate candidate = Evaluate(job, owner, pass);
    return headroom_only && !candidate.has_headroom ? Candidate{} : candidate;
  }
  Candidate best;
  double best_score = 0;
  unsigned equals = 0;  // candidates as good as the best
  for (auto& load : loads_ | std::views::values) {
    if (!IsEligible(job, *load, pass)) continue;
    const Candidate candidate = Evaluate(job, *load, pass);
    if (headroom_only && !candidate.has_headroom) continue;
    if (!allow_costly_transfer && candidate.costly_transfer) continue;
    const double score =
        headroom_only ? -candidate.expected_latency_ms : candidate.utility;
    const bool better = best.endpoint == nullptr || score > best_score;
    equals = better ? 1 : equals + (score == best_score ? 1 : 0);
    if (better ||
        (score == best_score && options_.choose_equals_at_random &&
         std::uniform_int_distribution<unsigned>(1, equals)(random_) == 1)) {
      best = candidate;
      best_score = score;
    }
  }
  return best;
}

Scheduler::Candidate Scheduler::Evaluate(const Job& job, EndpointLoad& endpoint,
                                         Pass& pass) const {
  const std::size_t rank = RankIndex(job.rank);
  const auto kind = kind_stats_.find(job.kind);
  const bool known = kind != kind_stats_.end() && kind->second.service_ms > 0;
  const double target_ms =
      std::max(1.0, static_cast<double>(job.target_latency.count()));
  const double service_ms =
      (known ? kind->second.service_ms : kUnknownServiceTimeShare * target_ms) *
      endpoint.Slowdown(pass.now) *
      endpoint.duration().Expected(mean_duration_, pass.now);
  const double slots = std::max(1U, endpoint.info().slots);
  const auto distance = settings_.DistanceTo(endpoint.info().data_centre);

  Candidate candidate;
  candidate.endpoint = &endpoint;
  candidate.outstanding = endpoint.Outstanding(pass.now);
  const auto queued = pass.queued.find(&endpoint);
  const int queued_ahead = queued == pass.queued.end() ? 0 : queued->second;
  double max_queue = kMaxEndpointQueue.at(rank);
  bool slot_reserved = false;
  if (rank > 0 && urgent_mode_) {
    // Bounds the time that urgent work waits behind queued or running requests.
    max_queue = std::min(
        max_queue, std::max(0.0, slots * max_urgent_wait_ms_ / service_ms));
    slot_reserved = service_ms > max_urgent_wait_ms_ &&
                    reserved_endpoints_.contains(&endpoint);
  }
  const double max_outstanding =
      slot_reserved ? std::max(1.0, slots - 1) : slots + max_queue;
  candidate.has_headroom =
      queued_ahead == 0 && candidate.outstanding + 1 <= max_outstanding &&
      (!slot_reserved || endpoint.HasFreshReport(pass.now));
  const double excess = options_.pool_loads
                            ? endpoint.ExpectedExcess(pass.now)
                            : std::max(0.0, candidate.outstanding + 1 - slots);
  double wait_ms = excess * service_ms / slots;
  if (!candidate.has_headroom && sharded_) {
    wait_ms += queued_ahead * service_ms / slots;
  } else if (!candidate.has_headroom) {
    // Other gateways take some of the slots that come free, so the rate of this
    // gateway's own completions determines how fast its queue drains.
    const double completions_per_second =
        std::max(pass.completions_per_second, 1000.0 / (service_ms * 8));
    wait_ms = std::max(wait_ms,
                       (pass.queued_total + 1) * 1000 / completions_per_second);
  }
  const auto cold_wait = ColdWait(endpoint, queued_ahead, pass.now);
  if (cold_wait != Milliseconds(0)) {
    candidate.has_headroom = false;
    wait_ms = std::max(wait_ms, ToMs(cold_wait.value_or(ColdStart::kWindow)));
  }
  candidate.expected_latency_ms = RoundTripMs(distance) + wait_ms + service_ms;
  const double total_ms =
      ToMs(pass.now - job.target) + target_ms + candidate.expected_latency_ms;
  const double in_time_probability = std::clamp(
      (kCertainlyLateShare * target_ms - total_ms) /
          ((kCertainlyLateShare - kCertainlyInTimeShare) * target_ms),
      0.0, 1.0);
  const double transfer_bytes =
      static_cast<double>(job.request_bytes) +
      (known ? kind->second.response_bytes : kDefaultResponseBytes);
  const double transfer_cost = TransferCost(distance, rank, transfer_bytes);
  candidate.costly_transfer =
      distance == Distance::kOtherRegion && transfer_cost >= kMaxTransferCost;
  const double rejection_probability =
      durations_reported_
          ? endpoint.rejections().Probability(rejection_rate_, pass.now)
          : 0;
  const double crowding_cost =
      durations_reported_
          ? CrowdingCost(endpoint.in_flight(), candidate.outstanding)
          : 0;
  candidate.utility =
      (in_time_probability + kLateResponseValue * (1 - in_time_probability)) *
          (1 - endpoint.FailureRate() * (job.idempotent ? 1 : 2)) *
          (1 - rejection_probability) -
      transfer_cost - kLatencyCost * total_ms / target_ms - crowding_cost;
  if (RampsUp(job, endpoint, pass.now)) candidate.utility -= kRampCost;
  return candidate;
}

Milliseconds Scheduler::RetryAfter(const Job& job, Milliseconds wait,
                                   SteadyTime now) {
  const double remaining_ms = std::max(0.0, ToMs(job.deadline - now));
  // Jitter spreads the retries over the time after slots come free; urgent work
  // returns first.
  std::uniform_real_distribution<double> spread(
      1.0, 1.3 + 0.3 * static_cast<double>(RankIndex(job.rank)));
  const double wanted = std::max(static_cast<double>(kMinRetryAfter.count()),
                                 static_cast<double>(wait.count())) *
                        spread(random_);
  return Milliseconds(static_cast<std::int64_t>(
      std::min(wanted, remaining_ms * kMaxRetryAfterShare)));
}

}  // namespace balsamhall::gateway
