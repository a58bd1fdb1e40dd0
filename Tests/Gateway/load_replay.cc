#include "Gateway/load_replay.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

#include "gateway/retry_window.h"
#include "gateway/scheduler.h"

namespace balsamhall::gateway {
namespace {

using Us = std::chrono::microseconds;
using Ms = Milliseconds;

// One-way network delays.
constexpr Ms kLocalDelay{1};
constexpr Ms kRemoteDelay{20};  // another data centre is in another region
constexpr Ms kAdvanceInterval{8};
// As in the forwarder: time after which an idempotent request without a
// response is retried at another endpoint.
constexpr int kSilentFactor = 6;
constexpr Ms kMinAttemptTime{300};
constexpr Ms kSampleInterval{10};
constexpr unsigned kMaxAttempts = 3;

class Simulation {
 public:
  Simulation(const LoadPattern& pattern, Policy policy, std::uint32_t seed)
      : pattern_(pattern), policy_(policy), random_(seed) {
    GatewaySettings settings;
    std::vector<EndpointInfo> infos;
    for (std::size_t c = 0; c < pattern.data_centres; ++c) {
      const std::string centre = "c" + std::to_string(c);
      settings.region_of[centre] =
          "region" + std::to_string(Region(pattern, c));
      for (std::size_t e = 0; e < CountIn(c, pattern.endpoints_per_centre,
                                          pattern.additional_endpoints);
           ++e) {
        EndpointInfo info;
        info.ref = {"e" + std::to_string(endpoints_.size()), 1};
        info.data_centre = centre;
        info.slots = pattern.slots;
        endpoint_index_[info.ref.id] = endpoints_.size();
        infos.push_back(info);
        endpoints_.push_back(
            {c, pattern.speeds[e % pattern.speeds.size()], 0, 0, {}, false});
      }
    }
    for (std::size_t c = 0; c < pattern.data_centres; ++c) {
      for (std::size_t g = 0; g < CountIn(c, pattern.gateways_per_centre,
                                          pattern.additional_gateways);
           ++g) {
        auto gateway = std::make_unique<Gateway>();
        gateway->centre = c;
        gateway->settings = settings;
        gateway->settings.data_centre = "c" + std::to_string(c);
        gateway->scheduler = std::make_unique<Scheduler>(
            gateway->settings, notices_,
            seed + static_cast<std::uint32_t>(gateways_.size()),
            OptionsOf(policy));
        gateway->scheduler->SetEndpoints(infos, now_);
        gateway->in_flight.resize(endpoints_.size());
        gateways_.push_back(std::move(gateway));
      }
    }
    endpoint_infos_ = infos;
  }

  ReplayResult Run() {
    for (const WorkKind& kind : pattern_.kinds) ScheduleArrival(kind);
    for (std::size_t g = 0; g < gateways_.size(); ++g) ScheduleAdvance(g);
    ScheduleSample();
    if (pattern_.slow_machines.share > 0) ChooseSlowMachines();
    while (!events_.empty()) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    RecordImbalance();
    if (samples_ > 0) {
      result_.full_beside_free =
          full_samples_ / (samples_ * static_cast<double>(endpoints_.size()));
    }
    return std::move(result_);
  }

 private:
  struct Request {
    const WorkKind* kind = nullptr;
    std::size_t gateway = 0;
    SteadyTime arrival;
    Job job;
    SteadyTime sent;
    std::size_t endpoint = 0;
    unsigned attempt = 0;
    bool waiting = true;  // not at an endpoint
    bool ended = false;
  };
  struct QueuedAttempt {
    std::uint64_t request = 0;
    unsigned attempt = 0;
  };
  struct Endpoint {
    std::size_t centre = 0;
    double speed = 1;
    int arrivals = 0;
    unsigned running = 0;
    std::deque<QueuedAttempt> queue;
    bool slow = false;
  };
  struct Gateway {
    std::size_t centre = 0;
    GatewaySettings settings;
    std::unique_ptr<Scheduler> scheduler;
    std::vector<int> in_flight;
    RetryWindow retries{Ms(10'000), 0.1, 0};
  };
  struct Event {
    SteadyTime at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };

  static std::size_t Region(const LoadPattern& pattern, std::size_t centre) {
    return pattern.regions == 0 ? centre : centre % pattern.regions;
  }

  static std::size_t CountIn(std::size_t centre, std::size_t count,
                             std::size_t additional) {
    return count + (centre < additional ? 1 : 0);
  }

  static Scheduler::Options OptionsOf(Policy policy) {
    Scheduler::Options options;
    if (policy == Policy::kTrustOldReports) {
      options.pool_loads = options.choose_equals_at_random = false;
    }
    options.use_durations = policy != Policy::kIgnoreDurations;
    return options;
  }

  void ScheduleSample() {
    ScheduleAfter(kSampleInterval, [this] {
      if (Elapsed() >= pattern_.duration) return;
      const auto full = std::ranges::count_if(
          endpoints_, [](const Endpoint& e) { return !e.queue.empty(); });
      const bool free = std::ranges::any_of(endpoints_, [this](const auto& e) {
        return e.running < pattern_.slots;
      });
      ++samples_;
      if (free) full_samples_ += static_cast<double>(full);
      ScheduleSample();
    });
  }

  void ChooseSlowMachines() {
    for (Endpoint& endpoint : endpoints_) {
      endpoint.slow = Uniform() < pattern_.slow_machines.share;
    }
    if (Elapsed() >= pattern_.duration) return;
    ScheduleAfter(pattern_.slow_machines.period,
                  [this] { ChooseSlowMachines(); });
  }

  ReportedLoad LoadOf(const Endpoint& endpoint) const {
    ReportedLoad load{endpoint.running,
                      static_cast<unsigned>(endpoint.queue.size()),
                      pattern_.slots,
                      {}};
    if (pattern_.report_durations) {
      load.duration_percent = static_cast<unsigned>(
          100 * (endpoint.slow ? pattern_.slow_machines.factor : 1));
    }
    return load;
  }

  bool Rejects(std::size_t e) const {
    return e % 2 == 1 && Elapsed() >= pattern_.rejecting.from &&
           Elapsed() < pattern_.rejecting.to;
  }

  // Returns the delay of a response, of which the link between the regions may
  // be busy with others.
  SteadyTime::duration ResponseDelay(const Request& request) {
    const Ms delay = OneWayDelay(request);
    if (delay == kLocalDelay) return delay;
    result_.bytes_between_regions += request.kind->bytes;
    if (pattern_.region_link_mbps <= 0) return delay;
    SteadyTime& free_at =
        link_free_at_[Region(pattern_, endpoints_[request.endpoint].centre)];
    free_at =
        std::max(free_at, now_) +
        Us(static_cast<std::int64_t>(static_cast<double>(request.kind->bytes) *
                                     8 / pattern_.region_link_mbps));
    return free_at - now_ + delay;
  }

  void OnRejected(std::uint64_t id, unsigned attempt, std::size_t e,
                  ReportedLoad load) {
    Request& request = requests_.at(id);
    if (request.attempt != attempt || request.ended) return;
    Gateway& gateway = *gateways_[request.gateway];
    --gateway.in_flight[e];
    const EndpointRef& ref = endpoint_infos_[e].ref;
    gateway.scheduler->OnShed(id, ref, load, now_);
    if (attempt < kMaxAttempts && gateway.retries.TryRetry(now_)) {
      request.waiting = true;
      request.job.tried.push_back(ref);
      request.job.admitted = false;
      return ApplyDecisions(request.gateway,
                            gateway.scheduler->Submit(request.job, now_));
    }
    request.ended = true;
    ++result_.kinds[request.kind->name].rejected;
  }

  void RecordImbalance() {
    double arrivals = 0;
    double speeds = 0;
    double busiest = 0;
    for (const Endpoint& endpoint : endpoints_) {
      arrivals += endpoint.arrivals;
      speeds += endpoint.speed;
      busiest = std::max(busiest, endpoint.arrivals / endpoint.speed);
    }
    result_.imbalance = busiest * speeds / std::max(1.0, arrivals);
  }

  void ScheduleAt(SteadyTime at, std::function<void()> action) {
    events_.push({at, ++order_, std::move(action)});
  }
  void ScheduleAfter(SteadyTime::duration delay, std::function<void()> action) {
    ScheduleAt(now_ + delay, std::move(action));
  }
  Ms Elapsed() const { return std::chrono::duration_cast<Ms>(now_ - start_); }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void ScheduleArrival(const WorkKind& kind) {
    const bool flood =
        Elapsed() >= kind.flood_from && Elapsed() < kind.flood_to;
    const double rate =
        kind.requests_per_second * (flood ? kind.flood_factor : 1);
    const double seconds = std::exponential_distribution<double>(rate)(random_);
    ScheduleAfter(Us(static_cast<std::int64_t>(seconds * 1e6)), [this, &kind] {
      if (Elapsed() >= pattern_.duration) return;
      AddRequest(kind);
      ScheduleArrival(kind);
    });
  }

  void ScheduleAdvance(std::size_t g) {
    ScheduleAfter(kAdvanceInterval, [this, g] {
      ApplyDecisions(g, gateways_[g]->scheduler->Advance(now_));
      if (Elapsed() < pattern_.duration + Ms(3'000)) ScheduleAdvance(g);
    });
  }

  std::size_t PickGateway() {
    const bool first = Uniform() < pattern_.first_centre_share;
    const std::size_t count = first ? CountIn(0, pattern_.gateways_per_centre,
                                              pattern_.additional_gateways)
                                    : gateways_.size();
    return static_cast<std::size_t>(Uniform() * static_cast<double>(count));
  }

  void AddRequest(const WorkKind& kind) {
    const std::uint64_t id = ++last_id_;
    Request& request = requests_[id];
    request.kind = &kind;
    request.gateway = PickGateway();
    request.arrival = now_;
    ++result_.kinds[kind.name].requests;
    Job& job = request.job;
    job.id = id;
    job.kind = kind.name;
    job.rank = kind.rank;
    job.idempotent = kind.idempotent;
    job.arrival = now_;
    job.target_latency = kind.target;
    job.target = now_ + kind.target;
    job.deadline = now_ + kind.deadline;
    job.not_before = now_;
    ScheduleAfter(kind.deadline, [this, id] { OnDeadline(id); });
    gateways_[request.gateway]->retries.OnRequest(now_);
    if (UsesScheduler()) {
      ApplyDecisions(request.gateway,
                     gateways_[request.gateway]->scheduler->Submit(job, now_));
    } else {
      const std::size_t a = PickEndpoint();
      const std::size_t b = PickEndpoint();
      const auto& in_flight = gateways_[request.gateway]->in_flight;
      Send(id, in_flight[a] <= in_flight[b] ? a : b);
    }
  }

  bool UsesScheduler() const { return policy_ != Policy::kPowerOfTwoChoices; }

  std::size_t PickEndpoint() {
    return static_cast<std::size_t>(Uniform() *
                                    static_cast<double>(endpoints_.size()));
  }

  void ApplyDecisions(std::size_t g, const Decisions& decisions) {
    for (const Placement& placement : decisions.placements) {
      if (requests_.at(placement.job).ended) {
        gateways_[g]->scheduler->OnCancelled(placement.job,
                                             placement.endpoint.ref);
      } else {
        Send(placement.job, endpoint_index_.at(placement.endpoint.ref.id));
      }
    }
    for (const Rejection& rejection : decisions.rejections) {
      Request& request = requests_.at(rejection.job);
      if (std::exchange(request.ended, true)) continue;
      KindResult& kind = result_.kinds[request.kind->name];
      ++kind.rejected;
      kind.total_rejected_wait_ms += static_cast<double>(
          std::chrono::duration_cast<Ms>(now_ - request.arrival).count());
    }
  }

  Ms OneWayDelay(const Request& request) const {
    const std::size_t from = gateways_[request.gateway]->centre;
    const std::size_t to = endpoints_[request.endpoint].centre;
    return Region(pattern_, from) == Region(pattern_, to) ? kLocalDelay
                                                          : kRemoteDelay;
  }

  void Send(std::uint64_t id, std::size_t endpoint) {
    Request& request = requests_.at(id);
    request.endpoint = endpoint;
    request.sent = now_;
    request.waiting = false;
    const unsigned attempt = ++request.attempt;
    ++gateways_[request.gateway]->in_flight[endpoint];
    ScheduleAfter(OneWayDelay(request), [this, id, attempt, endpoint] {
      OnEndpointArrival(id, attempt, endpoint);
    });
    if (UsesScheduler() && request.kind->idempotent) {
      const auto usual = gateways_[request.gateway]->scheduler->ServiceTime(
          request.kind->name);
      if (usual.count() > 0) {
        ScheduleAfter(std::max(usual * kSilentFactor, kMinAttemptTime),
                      [this, id, attempt] { OnAttemptTimeout(id, attempt); });
      }
    }
  }

  void OnAttemptTimeout(std::uint64_t id, unsigned attempt) {
    Request& request = requests_.at(id);
    if (request.ended || request.attempt != attempt || attempt > 1) return;
    Scheduler& scheduler = *gateways_[request.gateway]->scheduler;
    const EndpointRef ref = endpoint_infos_[request.endpoint].ref;
    if (!scheduler.HasAlternative(request.job, ref, now_)) return;
    scheduler.OnFailure(id, ref, EndpointFailure::kTimeout, now_);
    request.job.tried.push_back(ref);
    request.job.admitted = true;  // it may have run
    ++request.attempt;            // the endpoint drops the first attempt
    request.waiting = true;
    ApplyDecisions(request.gateway, scheduler.Submit(request.job, now_));
  }

  void OnEndpointArrival(std::uint64_t id, unsigned attempt, std::size_t e) {
    Endpoint& endpoint = endpoints_[e];
    ++endpoint.arrivals;
    const bool full = endpoint.running >= pattern_.slots &&
                      endpoint.queue.size() >= pattern_.endpoint_queue;
    if (Rejects(e) || (full && pattern_.reject_when_full)) {
      ++result_.rejected_sends;
      if (full) ++result_.queue_overflows;
      ScheduleAfter(OneWayDelay(requests_.at(id)),
                    [this, id, attempt, e, load = LoadOf(endpoint)] {
                      OnRejected(id, attempt, e, load);
                    });
      return;
    }
    if (endpoint.running < pattern_.slots) return StartWork(id, attempt, e);
    if (endpoint.queue.size() >= pattern_.endpoint_queue) {
      ++result_.queue_overflows;  // gets no response
      return;
    }
    endpoint.queue.push_back({id, attempt});
    result_.longest_endpoint_queue =
        std::max(result_.longest_endpoint_queue,
                 static_cast<int>(endpoint.queue.size()));
  }

  void StartWork(std::uint64_t id, unsigned attempt, std::size_t e) {
    ++endpoints_[e].running;
    const Request& request = requests_.at(id);
    double service_ms = std::lognormal_distribution<double>(
        std::log(request.kind->service_ms) - 0.045, 0.3)(random_);
    service_ms /= endpoints_[e].speed;
    const Slowdown& slow = pattern_.slowdown;
    if (e < slow.endpoints && Elapsed() >= slow.from && Elapsed() < slow.to) {
      service_ms *= slow.factor;
    }
    if (endpoints_[e].slow) service_ms *= pattern_.slow_machines.factor;
    ScheduleAfter(Us(static_cast<std::int64_t>(service_ms * 1000)),
                  [this, id, attempt, e] { OnWorkDone(id, attempt, e); });
  }

  void OnWorkDone(std::uint64_t id, unsigned attempt, std::size_t e) {
    Endpoint& endpoint = endpoints_[e];
    --endpoint.running;
    ScheduleAfter(ResponseDelay(requests_.at(id)),
                  [this, id, attempt, e, load = LoadOf(endpoint)] {
                    OnResponse(id, attempt, e, load);
                  });
    while (!endpoint.queue.empty() && endpoint.running < pattern_.slots) {
      const QueuedAttempt next = endpoint.queue.front();
      endpoint.queue.pop_front();
      const Request& request = requests_.at(next.request);
      // Endpoints drop abandoned requests.
      if (request.attempt == next.attempt && !request.ended) {
        StartWork(next.request, next.attempt, e);
      }
    }
  }

  void OnResponse(std::uint64_t id, unsigned attempt, std::size_t e,
                  ReportedLoad load) {
    Request& request = requests_.at(id);
    if (request.attempt != attempt || request.ended) return;
    request.ended = true;
    Gateway& gateway = *gateways_[request.gateway];
    --gateway.in_flight[e];
    KindResult& kind = result_.kinds[request.kind->name];
    if (now_ <= request.arrival + request.kind->target) {
      ++kind.in_target;
    } else {
      ++kind.late;
    }
    if (gateway.centre != endpoints_[e].centre) ++kind.served_remotely;
    if (!UsesScheduler()) return;
    gateway.scheduler->OnResponse(
        id, endpoint_infos_[e].ref, request.kind->name,
        std::chrono::duration_cast<Ms>(now_ - request.sent),
        request.kind->bytes, load, now_);
    ApplyDecisions(request.gateway, gateway.scheduler->Advance(now_));
  }

  void OnDeadline(std::uint64_t id) {
    Request& request = requests_.at(id);
    if (std::exchange(request.ended, true)) return;
    ++result_.kinds[request.kind->name].unanswered;
    Gateway& gateway = *gateways_[request.gateway];
    if (!UsesScheduler()) {
      --gateway.in_flight[request.endpoint];
      return;
    }
    if (request.waiting) return gateway.scheduler->Remove(id);
    gateway.scheduler->OnFailure(id, endpoint_infos_[request.endpoint].ref,
                                 EndpointFailure::kTimeout, now_);
  }

  const LoadPattern& pattern_;
  const Policy policy_;
  const EndpointNotices notices_{Ms(2'500)};
  std::mt19937 random_;
  const SteadyTime start_{std::chrono::seconds(1'000)};
  SteadyTime now_ = start_;
  std::uint64_t order_ = 0;
  std::uint64_t last_id_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Endpoint> endpoints_;
  std::vector<EndpointInfo> endpoint_infos_;
  std::unordered_map<std::string, std::size_t> endpoint_index_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::unordered_map<std::uint64_t, Request> requests_;
  // By the region that sends; when the link has transferred all responses.
  std::map<std::size_t, SteadyTime> link_free_at_;
  int samples_ = 0;
  double full_samples_ = 0;
  ReplayResult result_;
};

}  // namespace

ReplayResult Replay(const LoadPattern& pattern, Policy policy,
                    std::uint32_t seed) {
  return Simulation(pattern, policy, seed).Run();
}

}  // namespace balsamhall::gateway
