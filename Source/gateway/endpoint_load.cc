#include "gateway/endpoint_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace balsamhall::gateway {
namespace {

// A report of the load is trusted less with its age; after this time the
// average counts alone. About two service times of the shortest kind.
constexpr Milliseconds kReportTrust{200};
// Without reports the average fades, so that an endpoint that was full once is
// tried again.
constexpr Milliseconds kAverageHalfLife{2'000};
// Weight of a new report in the average of the others' load.
constexpr double kReportWeight = 0.2;
// Weight of a new answer in the learned speed and in the share of failures.
constexpr double kSpeedWeight = 0.12;
constexpr double kFailureWeight = 0.15;
// A single answer moves the learned speed by at most this factor.
constexpr double kMaxRelativeTime = 8;
// Work times vary; a request that takes this multiple of what was expected
// says that the endpoint has become slower.
constexpr double kSuspiciousStretch = 2.5;
// Time of work on an endpoint that has just started (the users' sheets).
constexpr double kColdSlowness = 2;
// Exclusion after the first failure of a row; doubles with each further one.
constexpr Milliseconds kFirstExclusion{200};
constexpr int kMaxExclusionDoublings = 4;
// The registry drops a silent endpoint after three heartbeats of about a second
// (the users' protocol page); the rest covers the read interval.
constexpr Milliseconds kReplacedFor{5'000};
// A single silence may be the connection's fault.
constexpr int kSilentBeforeExclusion = 2;

}  // namespace

std::uint32_t& RateMeter::Current(SteadyTime now) {
  const std::int64_t number = now.time_since_epoch() / kSlice;
  const std::int64_t passed = std::min<std::int64_t>(
      number - newest_, static_cast<std::int64_t>(kSlices));
  for (std::int64_t i = 1; i <= passed; ++i) {
    slices_[static_cast<std::size_t>(number - passed + i) % kSlices] = 0;
  }
  newest_ = std::max(newest_, number);
  return slices_[static_cast<std::size_t>(newest_) % kSlices];
}

double RateMeter::PerSecond(SteadyTime now) {
  Current(now);
  const double total = std::accumulate(slices_.begin(), slices_.end(), 0.0);
  // The newest slice is half over on average.
  const std::chrono::duration<double> span = kSlice * (kSlices - 0.5);
  return total / span.count();
}

EndpointLoad::EndpointLoad(EndpointInfo info, SteadyTime now)
    : info_(std::move(info)), warm_at_(now + info_.warm_up_left) {}

void EndpointLoad::Update(const EndpointInfo& info, SteadyTime now) {
  info_ = info;
  warm_at_ = now + info.warm_up_left;
}

void EndpointLoad::TakeReport(SteadyTime now, const ReportedLoad& load) {
  if (load.slots > 0) info_.slots = load.slots;
  const double total = load.running + load.waiting;
  others_ = std::max(0.0, total - in_flight());
  average_others_ += kReportWeight * (others_ - average_others_);
  reported_at_ = now;
}

void EndpointLoad::OnOutcome(bool failed) {
  failure_share_ += kFailureWeight * ((failed ? 1 : 0) - failure_share_);
}

void EndpointLoad::OnAnswer(std::uint64_t job, SteadyTime now,
                            double relative_time,
                            std::optional<ReportedLoad> load) {
  flights_.erase(job);
  answers_.Count(now);
  OnOutcome(false);
  failure_streak_ = 0;
  exclusions_ = 0;
  excluded_until_ = {};
  replaced_until_ = {};
  if (now >= warm_at_) {
    slowness_ +=
        kSpeedWeight * (std::min(relative_time, kMaxRelativeTime) - slowness_);
  }
  if (load) TakeReport(now, *load);
}

void EndpointLoad::OnShed(std::uint64_t job, SteadyTime now,
                          std::optional<ReportedLoad> load) {
  flights_.erase(job);
  if (load) return TakeReport(now, *load);
  // Full, though it does not say how much.
  others_ = average_others_ = std::max<double>(info_.slots, average_others_);
  reported_at_ = now;
}

void EndpointLoad::OnFailure(std::uint64_t job, EndpointFailure failure,
                             SteadyTime now) {
  flights_.erase(job);
  OnOutcome(true);
  if (failure == EndpointFailure::kBroken) return;
  if (failure == EndpointFailure::kReplaced) {
    replaced_until_ = now + kReplacedFor;
    return;
  }
  ++failure_streak_;
  if (failure == EndpointFailure::kSilent &&
      failure_streak_ < kSilentBeforeExclusion) {
    return;
  }
  // Requests that were sent together fail together: one exclusion for them.
  if (now < excluded_until_) return;
  const int doublings = std::min(exclusions_++, kMaxExclusionDoublings);
  excluded_until_ = now + kFirstExclusion * (1 << doublings);
}

double EndpointLoad::Outstanding(SteadyTime now) const {
  const std::chrono::duration<double> age = now - reported_at_;
  const std::chrono::duration<double> trust = kReportTrust;
  const double doubt = std::clamp(age / trust, 0.0, 1.0);
  const std::chrono::duration<double> half_life = kAverageHalfLife;
  const double average = average_others_ * std::exp2(-(age / half_life));
  return in_flight() + others_ + doubt * (average - others_);
}

bool EndpointLoad::HasFreshReport(SteadyTime now) const {
  return now - reported_at_ <= kReportTrust;
}

double EndpointLoad::Slowness(SteadyTime now) const {
  const double known = now < warm_at_ ? slowness_ * kColdSlowness : slowness_;
  const double slots = std::max(1U, info_.slots);
  const double queued = std::max(0.0, Outstanding(now) - slots);
  double stretch = 1;
  for (const Flight& flight : flights_ | std::views::values) {
    if (flight.usual_ms <= 0) continue;
    const std::chrono::duration<double, std::milli> age = now - flight.sent;
    const double expected = flight.usual_ms * known * (1 + queued / slots);
    stretch = std::max(stretch, age.count() / expected);
  }
  return stretch > kSuspiciousStretch ? known * stretch : known;
}

bool EndpointLoad::Suspect(SteadyTime now) const {
  if (Replaced(now)) return true;
  if (exclusions_ == 0) return false;
  return now < excluded_until_ || in_flight() > 0;
}

}  // namespace balsamhall::gateway
