// What a gateway believes of the load and health of one endpoint.
#ifndef BALSAMHALL_GATEWAY_ENDPOINT_LOAD_H_
#define BALSAMHALL_GATEWAY_ENDPOINT_LOAD_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/types.h"
#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

// Load as an endpoint states it with an answer.
struct ReportedLoad {
  unsigned running = 0;
  unsigned waiting = 0;
  unsigned slots = 0;
};

enum class EndpointFailure {
  kUnreachable,  // no connection
  kTimeout,      // no answer in the usual time
  kBadResponse,  // the answer was cut short, wrong, or a failure
  kReplaced,     // another endpoint answered at its address
};

// Answers per second over the last two seconds. Not thread-safe.
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

// Load pattern: many gateways send to the same few slots without talking, and
// each sees an endpoint only by the answers that it gets itself. The estimate
// is the own requests in flight, which are exact, plus the part of others,
// which starts at what the endpoint last reported and drifts to its average as
// the report ages.
//
// Faults are judged by requests alone. An endpoint that cannot be reached, or
// was silent twice in a row, is excluded for a time that doubles; then a single
// trial decides. Broken answers only make it less attractive, because some of
// them are normal.
//
// Not thread-safe.
class EndpointLoad {
 public:
  explicit EndpointLoad(EndpointInfo info, SteadyTime now);

  void Update(const EndpointInfo& info, SteadyTime now);

  // usual: the time that this kind of request takes at a usual endpoint; 0 if
  // not known.
  void OnSent(std::uint64_t job, SteadyTime now, double typical_ms) {
    in_flight_requests_[job] = {now, typical_ms};
  }
  // relative_time: time of the answer over the usual time of its kind.
  void OnResponse(std::uint64_t job, SteadyTime now, double relative_time,
                  std::optional<ReportedLoad> load);
  // The endpoint rejected the request without running it.
  void OnShed(std::uint64_t job, SteadyTime now,
              std::optional<ReportedLoad> load);
  void OnFailure(std::uint64_t job, EndpointFailure failure, SteadyTime now);
  // The caller left or was answered; says nothing about the endpoint.
  void OnCancelled(std::uint64_t job) { in_flight_requests_.erase(job); }

  // Requests running and waiting at the endpoint, of all gateways.
  double Outstanding(SteadyTime now) const;
  // Returns true while the last report can be trusted.
  bool HasFreshReport(SteadyTime now) const;
  // Time of a request over the usual time of its kind. Requests that are not
  // answered yet count as soon as they take much longer than expected, so an
  // endpoint that turned slow is known before its first late answer.
  double Slowdown(SteadyTime now) const;
  // Share of failed requests, recent ones first.
  double FailureRate() const { return failure_rate_; }
  // Returns true while no request should be sent, except one trial at a time.
  bool Ejected(SteadyTime now) const;
  // Returns true while another endpoint is known to answer at its address: no
  // trial makes sense.
  bool Replaced(SteadyTime now) const { return now < replaced_until_; }

  const EndpointInfo& info() const { return info_; }
  int in_flight() const { return static_cast<int>(in_flight_requests_.size()); }
  RateMeter& completions() { return completions_; }

 private:
  void ApplyReport(SteadyTime now, const ReportedLoad& load);
  void RecordOutcome(bool failed);

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
  SteadyTime reported_at_;
  double slowdown_ = 1;
  double failure_rate_ = 0;
  int consecutive_failures_ = 0;  // unreachable or silent
  int ejections_ = 0;
  SteadyTime ejected_until_;
  SteadyTime replaced_until_;
  RateMeter completions_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_ENDPOINT_LOAD_H_
