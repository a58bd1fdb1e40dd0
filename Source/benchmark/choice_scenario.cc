// Choice among endpoints of an unkeyed service with misleading load reports.
#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <queue>
#include <random>

#include "dispatch/baseline_round_robin.h"
#include "dispatch/load_balancer.h"
#include "scenario.h"

namespace balsamhall {
namespace {

constexpr int kEndpoints = 8;
constexpr std::uint32_t kSlots = 3;
constexpr int kRouters = 4;  // each has its own balancer
constexpr double kServiceMicros = 6000;
constexpr double kSlowFactor = 3;  // endpoint 0
constexpr double kUtilization = 0.7;
constexpr std::int64_t kEndMicros = 60'000'000;
constexpr std::int64_t kReportMicros = 500'000;

enum class Reports { kHonest, kStale, kLying };

std::string Name(int endpoint) {
  return "endpoint-" + std::to_string(endpoint);
}

// Fake endpoints with a queue each; endpoint 0 is slow.
class Choice {
 public:
  Choice(Reports reports, bool round_robin, std::uint64_t seed)
      : reports_(reports), round_robin_(round_robin), random_(seed) {
    std::vector<BalancedEndpoint> list;
    std::vector<EndpointId> names;
    for (int i = 0; i < kEndpoints; ++i) {
      list.push_back({Name(i), kSlots, true, false, false, Time(0)});
      names.push_back(Name(i));
      index_[Name(i)] = i;
    }
    for (int i = 0; i < kRouters; ++i) {
      balancers_.emplace_back(BalancerOptions{}, seed * 100 + i);
      balancers_.back().SetEndpoints(list, Time(0));
      turns_.emplace_back(names);
    }
  }

  // Returns the latencies in microseconds.
  std::vector<double> Run() {
    events_.push({0, Type::kArrival, 0});
    events_.push({0, Type::kReport, 0});
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      if (now_ > kEndMicros) break;
      Handle(event);
    }
    // Requests that still wait count with their age.
    for (const auto& request : requests_) {
      if (request.done) continue;
      latencies_.push_back(static_cast<double>(now_) - request.arrived);
    }
    return latencies_;
  }

 private:
  enum class Type { kArrival, kFinish, kReport };
  struct Event {
    std::int64_t at;
    Type type;
    std::size_t request;
    bool operator<(const Event& other) const { return at > other.at; }
  };
  struct Request {
    int router;
    int endpoint;
    double arrived;
    bool done = false;
  };
  struct Endpoint {
    std::uint32_t running = 0;
    std::deque<std::size_t> queue;
    std::deque<double> history;  // loads of the last reports
  };

  static SteadyTime Time(std::int64_t micros) {
    return SteadyTime{std::chrono::hours{1}} + Microseconds{micros};
  }
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }

  void Handle(const Event& event) {
    if (event.type == Type::kArrival) {
      Arrive();
    } else if (event.type == Type::kFinish) {
      Finish(event.request);
    } else {
      Report();
      events_.push({now_ + kReportMicros, Type::kReport, 0});
    }
  }

  void Arrive() {
    const int router = static_cast<int>(random_() % kRouters);
    const EndpointId id = round_robin_
                              ? turns_[router].Pick()
                              : *balancers_[router].Pick({}, Time(now_));
    balancers_[router].OnSent(id);
    const int endpoint = index_[id];
    requests_.push_back({router, endpoint, static_cast<double>(now_)});
    endpoints_[endpoint].queue.push_back(requests_.size() - 1);
    StartReady(endpoint);
    const double capacity = kSlots * (kEndpoints - 1 + 1 / kSlowFactor);
    const double gap = kServiceMicros / (capacity * kUtilization);
    events_.push({now_ + static_cast<std::int64_t>(Exponential(gap)) + 1,
                  Type::kArrival, 0});
  }

  void StartReady(int endpoint) {
    Endpoint& state = endpoints_[endpoint];
    while (state.running < kSlots && !state.queue.empty()) {
      const double mean = kServiceMicros * (endpoint == 0 ? kSlowFactor : 1);
      events_.push({now_ + static_cast<std::int64_t>(Exponential(mean)) + 1,
                    Type::kFinish, state.queue.front()});
      state.queue.pop_front();
      ++state.running;
    }
  }

  void Finish(std::size_t index) {
    Request& request = requests_[index];
    request.done = true;
    const double latency = static_cast<double>(now_) - request.arrived;
    latencies_.push_back(latency);
    balancers_[request.router].OnFinished(
        Name(request.endpoint), BalancerOutcome::kResponded,
        Microseconds{static_cast<std::int64_t>(latency)}, Time(now_));
    --endpoints_[request.endpoint].running;
    StartReady(request.endpoint);
  }

  void Report() {
    for (int i = 0; i < kEndpoints; ++i) {
      Endpoint& state = endpoints_[i];
      state.history.push_back(static_cast<double>(state.running) / kSlots);
      double load = state.history.back();
      if (reports_ == Reports::kStale) {
        load = state.history.front();  // 5 s old
        if (state.history.size() > 10) state.history.pop_front();
      } else if (reports_ == Reports::kLying) {
        load = i == 0 ? 0 : i == 1 ? 1 : load;  // slow: "idle"; fast: "full"
      }
      for (auto& balancer : balancers_) {
        balancer.OnLoadReport(Name(i), load, Time(now_));
      }
    }
  }

  Reports reports_;
  bool round_robin_;
  std::mt19937_64 random_;
  std::map<EndpointId, int> index_;
  std::vector<LoadBalancer> balancers_;
  std::vector<RoundRobin> turns_;
  std::array<Endpoint, kEndpoints> endpoints_;
  std::priority_queue<Event> events_;
  std::deque<Request> requests_;
  std::vector<double> latencies_;
  std::int64_t now_ = 0;
};

double P99Millis(std::vector<double> latencies) {
  const auto at = latencies.begin() +
                  static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
  std::ranges::nth_element(latencies, at);
  return *at / 1000;
}

std::vector<Sample> RunChoice(std::uint64_t seed) {
  std::vector<Sample> samples;
  const std::vector<std::pair<std::string, Reports>> cases{
      {"p99 ms, honest reports", Reports::kHonest},
      {"p99 ms, reports 5 s late", Reports::kStale},
      {"p99 ms, lying reports", Reports::kLying}};
  for (const auto& [measure, reports] : cases) {
    samples.push_back(
        {"policy", measure, P99Millis(Choice(reports, false, seed).Run())});
    samples.push_back(
        {"round robin", measure, P99Millis(Choice(reports, true, seed).Run())});
  }
  return samples;
}

}  // namespace

Scenario MisleadingLoadScenario() { return {"misleading-load", RunChoice, {}}; }

}  // namespace balsamhall
