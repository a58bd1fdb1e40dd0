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
  kSilent,       // no answer in the usual time
  kBroken,       // the answer was cut short, wrong, or a failure
  kReplaced,     // another endpoint answered at its address
};

// Answers per second over the last two seconds. Not thread-safe.
class RateMeter {
 public:
  void Count(SteadyTime now) { ++Current(now); }
  double PerSecond(SteadyTime now);

 private:
  static constexpr Milliseconds kSlice{250};
  static constexpr std::size_t kSlices = 8;
  std::uint32_t& Current(SteadyTime now);

  std::int64_t newest_ = 0;
  std::array<std::uint32_t, kSlices> slices_{};
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
  void OnSent(std::uint64_t job, SteadyTime now, double usual_ms) {
    flights_[job] = {now, usual_ms};
  }
  // relative_time: time of the answer over the usual time of its kind.
  void OnAnswer(std::uint64_t job, SteadyTime now, double relative_time,
                std::optional<ReportedLoad> load);
  // The endpoint rejected the request without running it.
  void OnShed(std::uint64_t job, SteadyTime now,
              std::optional<ReportedLoad> load);
  void OnFailure(std::uint64_t job, EndpointFailure failure, SteadyTime now);
  // The caller left or was answered; says nothing about the endpoint.
  void OnCancelled(std::uint64_t job) { flights_.erase(job); }

  // Requests running and waiting at the endpoint, of all gateways.
  double Outstanding(SteadyTime now) const;
  // Returns true while the last report can be trusted.
  bool HasFreshReport(SteadyTime now) const;
  // Time of a request over the usual time of its kind. Requests that are not
  // answered yet count as soon as they take much longer than expected, so an
  // endpoint that turned slow is known before its first late answer.
  double Slowness(SteadyTime now) const;
  // Share of failed requests, recent ones first.
  double FailureShare() const { return failure_share_; }
  // Returns true while no request should be sent, except one trial at a time.
  bool Suspect(SteadyTime now) const;
  // Returns true while another endpoint is known to answer at its address: no
  // trial makes sense.
  bool Replaced(SteadyTime now) const { return now < replaced_until_; }

  const EndpointInfo& info() const { return info_; }
  int in_flight() const { return static_cast<int>(flights_.size()); }
  RateMeter& answers() { return answers_; }

 private:
  void TakeReport(SteadyTime now, const ReportedLoad& load);
  void OnOutcome(bool failed);

  EndpointInfo info_;
  SteadyTime warm_at_;
  struct Flight {
    SteadyTime sent;
    double usual_ms = 0;
  };
  std::unordered_map<std::uint64_t, Flight> flights_;  // by job
  double others_ = 0;                                  // at the last report
  double average_others_ = 0;
  SteadyTime reported_at_;
  double slowness_ = 1;
  double failure_share_ = 0;
  int failure_streak_ = 0;  // unreachable or silent
  int exclusions_ = 0;
  SteadyTime excluded_until_;
  SteadyTime replaced_until_;
  RateMeter answers_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_ENDPOINT_LOAD_H_
