// A gateway's estimate of the load and health of one endpoint.
#ifndef BALSAMHALL_GATEWAY_ENDPOINT_LOAD_H_
#define BALSAMHALL_GATEWAY_ENDPOINT_LOAD_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/types.h"
#include "gateway/fleet_view.h"
#include "gateway/load_estimate.h"

namespace balsamhall::gateway {

// Load that an endpoint reports with a response.
struct ReportedLoad {
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
  // Duration of work on the endpoint's machine at this moment, in percent of
  // the usual duration. It changes several times a second.
  std::optional<unsigned> duration_percent = {};
};

inline bool HasFreeSlot(const ReportedLoad& load) {
  return load.running < load.slots && load.waiting == 0;
}

enum class EndpointFailure {
  kUnreachable,  // no connection
  kTimeout,      // no response in time
  kBadResponse,  // truncated, invalid or error response
  kTooLarge,     // response larger than is accepted
  kReplaced,     // another endpoint responded at its address
};

// Rate of events over a sliding window of two seconds. Not thread-safe.
class RateMeter {
 public:
  void Count(SteadyTime now) { ++CurrentBucket(now); }
  double PerSecond(SteadyTime now);

 private:
  static constexpr Milliseconds kBucketLength{250};
  static constexpr std::size_t kBuckets = 8;
  std::uint32_t& CurrentBucket(SteadyTime now);

  std::int64_t newest_bucket_ = 0;
  std::array<std::uint32_t, kBuckets> buckets_{};
};

// Load of other gateways per slot, averaged over the reports of several
// endpoints. Not thread-safe.
class PooledLoad {
 public:
  void Add(double load_per_slot, SteadyTime now);
  // Decays without reports, so that endpoints that were full are used again.
  double PerSlot(SteadyTime now) const;

 private:
  double per_slot_ = 0;
  SteadyTime updated_at_;
};

// Load pattern: many gateways share the same few slots without coordination,
// and each observes an endpoint only through the responses to its own requests.
// The estimate is the gateway's own requests in flight, which are exact, plus
// those of other gateways. That part starts at the value that the endpoint last
// reported, moves to the average of such values as the report ages, and from
// there to the load of the endpoints about which there are reports: in a large
// fleet, a gateway sees most endpoints less than once in several seconds, and
// one that it knows nothing about is as busy as the others, not idle.
//
// Health is judged by requests alone. An endpoint that is unreachable, or timed
// out twice in a row, is ejected for a time that doubles with each further
// ejection; then a single probe request decides. Bad responses only lower the
// endpoint's utility, because some of them are normal.
//
// Not thread-safe.
class EndpointLoad {
 public:
  // now: start of the remaining warm-up that info states, also in Update().
  explicit EndpointLoad(EndpointInfo info, SteadyTime now);

  void Update(const EndpointInfo& info, SteadyTime now);
  // Sets the pooled load of the endpoints like this one, which also takes its
  // reports. It must outlive this object; nullptr: none.
  void set_pooled_load(PooledLoad* pooled_load) { pooled_load_ = pooled_load; }

  // typical_ms: service time of this kind of request at a typical endpoint; 0
  // if not known.
  void OnSent(std::uint64_t job, SteadyTime now, double typical_ms) {
    in_flight_requests_[job] = {now, typical_ms};
  }
  // relative_time: service time divided by the typical one of its kind, both of
  // machines that take their usual time.
  void OnResponse(std::uint64_t job, SteadyTime now, double relative_time,
                  std::optional<ReportedLoad> load);
  // The endpoint shed the request: rejected it without running it. lacks_lease:
  // it would run requests for other keys. Returns true if the endpoint counts
  // from now on as rejecting everything.
  bool OnShed(std::uint64_t job, SteadyTime now,
              std::optional<ReportedLoad> load, bool lacks_lease = false);
  void OnFailure(std::uint64_t job, EndpointFailure failure, SteadyTime now);
  // The request was cancelled, which says nothing about the endpoint's health.
  void OnCancelled(std::uint64_t job) { in_flight_requests_.erase(job); }

  // Estimated number of requests running and waiting at the endpoint, of all
  // gateways.
  double Outstanding(SteadyTime now) const;
  // Returns the expected number of requests that a further one would have to
  // wait for before it gets a slot. The requests of other gateways vary about
  // the estimate, the more so the older the last report is.
  double ExpectedExcess(SteadyTime now) const;
  // Returns how much of the estimate does not come from the last report: 0 if
  // it has just arrived, 1 if it no longer counts.
  double Staleness(SteadyTime now) const;
  // Returns true if the last report is recent enough to rely on.
  bool HasFreshReport(SteadyTime now) const;
  // Service time at this endpoint divided by the typical one. Requests in
  // flight count as soon as they take much longer than expected, so an endpoint
  // that becomes slow is detected before its first late response.
  double Slowdown(SteadyTime now) const;
  // Moving average of the share of failed requests, between 0 and 1.
  double FailureRate() const { return failure_rate_; }
  // Expected duration of work on the endpoint's machine.
  const MachineDuration& duration() const { return duration_; }
  const RejectionHistory& rejections() const { return rejections_; }
  // Returns true while no request should be sent. After an ejection expires,
  // probe requests are sent one at a time until one succeeds.
  bool Ejected(SteadyTime now) const;
  // Returns true while another endpoint is known to respond at its address,
  // where a probe request would be pointless.
  bool Replaced(SteadyTime now) const { return now < replaced_until_; }

  // When the endpoint became warm, or will; the epoch if it was never cold.
  SteadyTime warm_at() const { return warm_at_; }
  // Returns true while the endpoint is warming up.
  bool Cold(SteadyTime now) const { return now < warm_at_; }
  Milliseconds WarmUpLeft(SteadyTime now) const {
    return Cold(now) ? std::chrono::ceil<Milliseconds>(warm_at_ - now)
                     : Milliseconds(0);
  }

  const EndpointInfo& info() const { return info_; }
  int in_flight() const { return static_cast<int>(in_flight_requests_.size()); }
  RateMeter& completions() { return completions_; }

 private:
  void ApplyReport(SteadyTime now, const ReportedLoad& load);
  void RecordOutcome(bool failed);
  // Estimated number of requests of other gateways if the last report is old.
  double TypicalOthersOutstanding(SteadyTime now) const;

  EndpointInfo info_;
  SteadyTime warm_at_;
  struct InFlightRequest {
    SteadyTime sent;
    double typical_ms = 0;
  };
  std::unordered_map<std::uint64_t, InFlightRequest>
      in_flight_requests_;         // by job
  double others_outstanding_ = 0;  // at the last report
  double average_others_outstanding_ = 0;
  PooledLoad* pooled_load_ = nullptr;
  SteadyTime reported_at_;
  double slowdown_ = 1;
  MachineDuration duration_;
  RejectionHistory rejections_;
  double failure_rate_ = 0;
  int consecutive_failures_ = 0;  // unreachable or timed out
  int ejections_ = 0;             // since the last response
  SteadyTime ejected_until_;
  SteadyTime replaced_until_;
  RateMeter completions_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_ENDPOINT_LOAD_H_
