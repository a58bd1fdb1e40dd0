// What a gateway concludes from the durations that endpoints report and from
// their rejections.
#ifndef BALSAMHALL_GATEWAY_LOAD_ESTIMATE_H_
#define BALSAMHALL_GATEWAY_LOAD_ESTIMATE_H_

#include "core/types.h"

namespace balsamhall::gateway {

// Mean of the durations that the endpoints of a service report, relative to the
// usual one. Not thread-safe.
class MeanDuration {
 public:
  void Add(unsigned percent);
  double value() const { return mean_; }

 private:
  int readings_ = 0;  // up to the number that the mean is taken over
  double mean_ = 1;
};

// Load pattern: at any moment some machines take several times as long as
// usual, and the set of them changes within 400 ms. A reading therefore counts
// less with its age; without one, the machine is as slow as the mean of all.
// Not thread-safe.
class MachineDuration {
 public:
  // percent: of the usual duration; clamped to 10 to 1,000.
  void Report(unsigned percent, SteadyTime now);

  // Returns true if the endpoint has reported a duration.
  bool Reported() const { return reported_at_ != SteadyTime{}; }
  // Expected duration of work that starts now, relative to the usual one.
  double Expected(const MeanDuration& mean, SteadyTime now) const;

 private:
  double last_ = 1;
  SteadyTime reported_at_;
};

// Returns the duration, relative to the usual one, that work has most likely
// had that took elapsed and ended with a reading of percent.
double DurationOfWork(unsigned percent, const MeanDuration& mean,
                      Milliseconds elapsed);

// Returns the difference between a sample of the slowdown and its estimate, at
// most half of the estimate: the duration during the work is known only at its
// end, so that a sample may be several times too large.
double BoundedStep(double estimate, double sample);

// Load pattern: most endpoints look alike, so a gateway would send all of its
// requests to the one that looks slightly faster until that has queued work.
// Returns what the utility of an endpoint loses by its requests. in_flight: of
// this gateway, which are known exactly. outstanding: of all gateways,
// estimated.
double CrowdingCost(int in_flight, double outstanding);

// Share of recent requests of one gateway to one service that were rejected by
// endpoints with free slots. Not thread-safe.
class RejectionRate {
 public:
  void Add(bool rejected, SteadyTime now);
  // Decays without outcomes, so that endpoints are used again.
  double Share(SteadyTime now) const;

 private:
  double share_ = 0;
  SteadyTime updated_at_;
};

// Load pattern: half of a service rejects every request at once. Such endpoints
// look idle, so they attract requests, and each rejection uses an attempt and a
// part of the retry budget. An endpoint that rejects a request although it has
// free slots, or several in a row, gets one trial at a time, with increasing
// intervals, until it accepts one. A gateway sends to any one endpoint only
// every few seconds, so endpoints without a recent outcome are expected to
// reject as often as all have done. Not thread-safe.
class RejectionHistory {
 public:
  // had_free_slots: according to the load that came with the rejection. Returns
  // true if the endpoint counts from now on as rejecting everything.
  bool OnRejected(bool had_free_slots, SteadyTime now);
  void OnAccepted(SteadyTime now);

  // Returns true if the endpoint counts as rejecting everything.
  bool Rejecting() const { return refusals_ > 0; }
  // Returns true if no request should be sent. in_flight: requests of this
  // gateway at the endpoint.
  bool Closed(int in_flight, SteadyTime now) const;
  // The same for requests that no other endpoint can run: one rejection alone
  // does not make their keys unavailable.
  bool ClosedForKeys(int in_flight, SteadyTime now) const;
  // Expected probability that the endpoint rejects a request.
  double Probability(const RejectionRate& all, SteadyTime now) const;

 private:
  int rejections_ = 0;  // in a row
  int refusals_ = 0;    // rejections in a row that count as of everything
  SteadyTime trial_at_;
  SteadyTime outcome_at_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_LOAD_ESTIMATE_H_
