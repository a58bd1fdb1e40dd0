#include "gateway/load_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace balsamhall::gateway {
namespace {

// The set of slow machines changes within this time, and readings are equally
// likely at any moment of it.
constexpr Milliseconds kReadingMaxAge{400};
// Readings that the mean of all is taken over.
constexpr int kMeanReadings = 50;
// Bounds the influence of a single reading.
constexpr unsigned kMinPercent = 10;
constexpr unsigned kMaxPercent = 1'000;

// Fewer rejections in a row, with all slots taken, occur when a queue is full
// for a moment.
constexpr int kRejectionsUntilClosed = 3;
// Delay of the first trial; doubles with each further rejection. One rejected
// trial per endpoint and two seconds costs little of the retry budget.
constexpr Milliseconds kFirstTrialDelay{250};
constexpr int kMaxTrialDoublings = 3;
// Of a new outcome in the share of rejected requests. A gateway sends about ten
// requests a second to a service.
constexpr double kRejectionWeight = 0.1;
// Outcomes count less with their age; operators report that rejections of a
// whole service part last for seconds.
constexpr Milliseconds kRejectionHalfLife{1'000};

// Costs of a request at an endpoint, as shares of the value of a request in
// time. Replays of installation G without faults: with both, endpoints have
// requests waiting beside free slots for a third of the time; greater costs
// send more work to slow endpoints and serve less in time.
constexpr double kInFlightCost = 0.003;
constexpr double kOutstandingCost = 0.002;

double Ratio(SteadyTime::duration age, Milliseconds unit) {
  return std::chrono::duration<double>(age) /
         std::chrono::duration<double>(unit);
}

// Share of an expectation that a reading of this age is good for.
double ReadingWeight(SteadyTime::duration age) {
  return std::clamp(1 - Ratio(age, kReadingMaxAge), 0.0, 1.0);
}

double RelativeDuration(unsigned percent) {
  return std::clamp(percent, kMinPercent, kMaxPercent) / 100.0;
}

}  // namespace

void MeanDuration::Add(unsigned percent) {
  readings_ = std::min(readings_ + 1, kMeanReadings);
  mean_ += (RelativeDuration(percent) - mean_) / readings_;
}

void MachineDuration::Report(unsigned percent, SteadyTime now) {
  last_ = RelativeDuration(percent);
  reported_at_ = now;
}

double MachineDuration::Expected(const MeanDuration& mean,
                                 SteadyTime now) const {
  return mean.value() +
         ReadingWeight(now - reported_at_) * (last_ - mean.value());
}

double DurationOfWork(unsigned percent, const MeanDuration& mean,
                      Milliseconds elapsed) {
  return mean.value() +
         ReadingWeight(elapsed) * (RelativeDuration(percent) - mean.value());
}

double BoundedStep(double estimate, double sample) {
  return std::clamp(sample - estimate, -estimate / 2, estimate / 2);
}

double CrowdingCost(int in_flight, double outstanding) {
  return kInFlightCost * in_flight + kOutstandingCost * outstanding;
}

void RejectionRate::Add(bool rejected, SteadyTime now) {
  share_ = Share(now);
  share_ += kRejectionWeight * ((rejected ? 1 : 0) - share_);
  updated_at_ = now;
}

double RejectionRate::Share(SteadyTime now) const {
  return share_ * std::exp2(-Ratio(now - updated_at_, kRejectionHalfLife));
}

bool RejectionHistory::OnRejected(bool had_free_slots, SteadyTime now) {
  outcome_at_ = now;
  ++rejections_;
  if (!had_free_slots && rejections_ < kRejectionsUntilClosed) return false;
  const bool first = refusals_ == 0;
  const int doublings = std::min(refusals_++, kMaxTrialDoublings);
  trial_at_ = now + kFirstTrialDelay * (1 << doublings);
  return first;
}

void RejectionHistory::OnAccepted(SteadyTime now) {
  rejections_ = refusals_ = 0;
  outcome_at_ = now;
}

bool RejectionHistory::Closed(int in_flight, SteadyTime now) const {
  return Rejecting() && (now < trial_at_ || in_flight > 0);
}

bool RejectionHistory::ClosedForKeys(int in_flight, SteadyTime now) const {
  return rejections_ >= kRejectionsUntilClosed && Closed(in_flight, now);
}

double RejectionHistory::Probability(const RejectionRate& all,
                                     SteadyTime now) const {
  const double weight =
      std::exp2(-Ratio(now - outcome_at_, kRejectionHalfLife));
  return weight * (Rejecting() ? 1 : 0) + (1 - weight) * all.Share(now);
}

}  // namespace balsamhall::gateway
