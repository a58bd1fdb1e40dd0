#include "gateway/endpoint_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace balsamhall::gateway {
namespace {

// A load report counts less with its age; after this time only the average
// counts. About two service times of the shortest kind.
constexpr Milliseconds kReportMaxAge{200};
// The average of an endpoint counts less with the age of its last report, and
// the pooled load without any report.
constexpr Milliseconds kAverageHalfLife{2'000};
// Weight of a new report in the pooled load.
constexpr double kPooledReportWeight = 0.1;
// Weight of a new report in the average load from other gateways.
constexpr double kReportWeight = 0.2;
// Weights of a new sample in the moving averages of slowdown and failure rate.
constexpr double kSlowdownWeight = 0.12;
constexpr double kFailureRateWeight = 0.15;
// Bounds the influence of a single response on the slowdown.
constexpr double kMaxRelativeTime = 8;
// Service times vary; a request in flight for longer than this multiple of its
// expected time shows that the endpoint has become slower.
constexpr double kOverdueRatio = 2.5;
// Slowdown of an endpoint that has just started (users' data sheets).
constexpr double kColdStartSlowdown = 2;
// Duration of the first ejection in a row; doubles with each further one.
constexpr Milliseconds kBaseEjection{200};
constexpr int kMaxEjectionDoublings = 4;
// The registry removes an endpoint without heartbeats after three intervals of
// about a second (users' protocol page); the rest covers the poll interval.
constexpr Milliseconds kReplacedEjection{5'000};
// A single timeout may be due to the connection, a single response that is too
// large to its request.
constexpr int kFailuresBeforeEjection = 2;

double HalfLives(SteadyTime::duration age) {
  const std::chrono::duration<double> half_life = kAverageHalfLife;
  return std::chrono::duration<double>(age) / half_life;
}

// Returns the mean of max(0, n - limit) for a Poisson distributed n.
double MeanPoissonExcess(double mean, double limit) {
  if (limit <= 0) return mean - limit;
  double excess = mean - limit;
  double probability = std::exp(-mean);
  for (int n = 0; n < limit; ++n) {
    excess += (limit - n) * probability;
    probability *= mean / (n + 1);
  }
  return excess;
}

}  // namespace

std::uint32_t& RateMeter::CurrentBucket(SteadyTime now) {
  const std::int64_t number = now.time_since_epoch() / kBucketLength;
  const std::int64_t passed = std::min<std::int64_t>(
      number - newest_bucket_, static_cast<std::int64_t>(kBuckets));
  for (std::int64_t i = 1; i <= passed; ++i) {
    buckets_[static_cast<std::size_t>(number - passed + i) % kBuckets] = 0;
  }
  newest_bucket_ = std::max(newest_bucket_, number);
  return buckets_[static_cast<std::size_t>(newest_bucket_) % kBuckets];
}

double RateMeter::PerSecond(SteadyTime now) {
  CurrentBucket(now);
  const double total = std::accumulate(buckets_.begin(), buckets_.end(), 0.0);
  // On average, half of the newest bucket has elapsed.
  const std::chrono::duration<double> span = kBucketLength * (kBuckets - 0.5);
  return total / span.count();
}

void PooledLoad::Add(double load_per_slot, SteadyTime now) {
  per_slot_ = PerSlot(now);
  per_slot_ += kPooledReportWeight * (load_per_slot - per_slot_);
  updated_at_ = now;
}

double PooledLoad::PerSlot(SteadyTime now) const {
  return per_slot_ * std::exp2(-HalfLives(now - updated_at_));
}

EndpointLoad::EndpointLoad(EndpointInfo info, SteadyTime now)
    : info_(std::move(info)) {
  if (info_.warm_up_left > Milliseconds(0)) warm_at_ = now + info_.warm_up_left;
}

void EndpointLoad::Update(const EndpointInfo& info, SteadyTime now) {
  info_ = info;
  // A warm endpoint keeps the time since when it is.
  warm_at_ = info.warm_up_left > Milliseconds(0) ? now + info.warm_up_left
                                                 : std::min(warm_at_, now);
}

void EndpointLoad::ApplyReport(SteadyTime now, const ReportedLoad& load) {
  if (load.slots > 0) info_.slots = load.slots;
  const double total = load.running + load.waiting;
  others_outstanding_ = std::max(0.0, total - in_flight());
  average_others_outstanding_ +=
      kReportWeight * (others_outstanding_ - average_others_outstanding_);
  reported_at_ = now;
  if (load.duration_percent) duration_.Report(*load.duration_percent, now);
  if (pooled_load_ != nullptr) {
    pooled_load_->Add(others_outstanding_ / std::max(1U, info_.slots), now);
  }
}

void EndpointLoad::RecordOutcome(bool failed) {
  failure_rate_ += kFailureRateWeight * ((failed ? 1 : 0) - failure_rate_);
}

void EndpointLoad::OnResponse(std::uint64_t job, SteadyTime now,
                              double relative_time,
                              std::optional<ReportedLoad> load) {
  in_flight_requests_.erase(job);
  completions_.Count(now);
  RecordOutcome(false);
  consecutive_failures_ = 0;
  ejections_ = 0;
  ejected_until_ = {};
  replaced_until_ = {};
  rejections_.OnAccepted(now);
  if (now >= warm_at_) {
    const double bounded = std::min(relative_time, kMaxRelativeTime);
    slowdown_ += kSlowdownWeight * (duration_.Reported()
                                        ? BoundedStep(slowdown_, bounded)
                                        : bounded - slowdown_);
  }
  if (load) ApplyReport(now, *load);
}

bool EndpointLoad::OnShed(std::uint64_t job, SteadyTime now,
                          std::optional<ReportedLoad> load, bool lacks_lease) {
  in_flight_requests_.erase(job);
  if (load) {
    ApplyReport(now, *load);
    return load->duration_percent && !lacks_lease &&
           rejections_.OnRejected(HasFreeSlot(*load), now);
  }
  // Without a report, all slots are assumed to be taken.
  others_outstanding_ = average_others_outstanding_ =
      std::max<double>(info_.slots, average_others_outstanding_);
  reported_at_ = now;
  return false;
}

void EndpointLoad::OnFailure(std::uint64_t job, EndpointFailure failure,
                             SteadyTime now) {
  in_flight_requests_.erase(job);
  RecordOutcome(true);
  if (failure == EndpointFailure::kBadResponse) return;
  if (failure == EndpointFailure::kReplaced) {
    replaced_until_ = now + kReplacedEjection;
    return;
  }
  ++consecutive_failures_;
  if (failure != EndpointFailure::kUnreachable &&
      consecutive_failures_ < kFailuresBeforeEjection) {
    return;
  }
  // Requests sent at the same time fail together and cause only one ejection.
  if (now < ejected_until_) return;
  const int doublings = std::min(ejections_++, kMaxEjectionDoublings);
  ejected_until_ = now + kBaseEjection * (1 << doublings);
}

double EndpointLoad::Staleness(SteadyTime now) const {
  const std::chrono::duration<double> age = now - reported_at_;
  const std::chrono::duration<double> max_age = kReportMaxAge;
  return std::clamp(age / max_age, 0.0, 1.0);
}

double EndpointLoad::TypicalOthersOutstanding(SteadyTime now) const {
  const double weight = std::exp2(-HalfLives(now - reported_at_));
  const double pooled =
      pooled_load_ == nullptr ? 0 : pooled_load_->PerSlot(now) * info_.slots;
  return weight * average_others_outstanding_ + (1 - weight) * pooled;
}

double EndpointLoad::Outstanding(SteadyTime now) const {
  return in_flight() + others_outstanding_ +
         Staleness(now) * (TypicalOthersOutstanding(now) - others_outstanding_);
}

double EndpointLoad::ExpectedExcess(SteadyTime now) const {
  const double slots = std::max(1U, info_.slots);
  const double reported =
      std::max(0.0, in_flight() + others_outstanding_ + 1 - slots);
  const double mean = TypicalOthersOutstanding(now);
  const double staleness = Staleness(now);
  return reported +
         staleness *
             (MeanPoissonExcess(mean, slots - 1 - in_flight()) - reported);
}

bool EndpointLoad::HasFreshReport(SteadyTime now) const {
  return now - reported_at_ <= kReportMaxAge;
}

double EndpointLoad::Slowdown(SteadyTime now) const {
  const double base_slowdown =
      now < warm_at_ ? slowdown_ * kColdStartSlowdown : slowdown_;
  const double slots = std::max(1U, info_.slots);
  const double queued = std::max(0.0, Outstanding(now) - slots);
  double overdue_ratio = 1;
  for (const InFlightRequest& request :
       in_flight_requests_ | std::views::values) {
    if (request.typical_ms <= 0) continue;
    const std::chrono::duration<double, std::milli> age = now - request.sent;
    const double expected =
        request.typical_ms * base_slowdown * (1 + queued / slots);
    overdue_ratio = std::max(overdue_ratio, age.count() / expected);
  }
  return overdue_ratio > kOverdueRatio ? base_slowdown * overdue_ratio
                                       : base_slowdown;
}

bool EndpointLoad::Ejected(SteadyTime now) const {
  if (Replaced(now)) return true;
  if (ejections_ == 0) return false;
  return now < ejected_until_ || in_flight() > 0;
}

}  // namespace balsamhall::gateway
