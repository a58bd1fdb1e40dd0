// Floods of the least and of the most urgent kind at one endpoint.
#include <algorithm>
#include <array>
#include <map>
#include <queue>
#include <random>

#include "dispatch/baseline_fifo_dispatcher.h"
#include "dispatch/baseline_no_reservation.h"
#include "dispatch/endpoint_dispatcher.h"
#include "dispatch/rank_queue.h"
#include "scenario.h"

namespace balsamhall {
namespace {

// The memory of ids starts 2 s before requests are accepted (clock skew).
constexpr Milliseconds kCalm{5000};
constexpr Milliseconds kEnd{25'000};

struct Kind {
  schema::Rank rank;
  double offered;  // share of the endpoint's capacity
  Microseconds service;
  Milliseconds deadline;  // also the target of the rank
  bool idempotent;
  bool long_running;
};

struct FloodCase {
  std::uint32_t slots;
  std::array<Kind, kRanks> kinds;  // by rank
  schema::Rank flooding;           // offers 10 x the capacity
};

// Modelled on Stasimo: availability checks, bookings, proof-of-posting photos.
FloodCase ShortWork(schema::Rank flooding) {
  return {3,
          {{{schema::RANK_URGENT, 0.40, Microseconds{6000}, Milliseconds{100},
             true, false},
            {schema::RANK_NORMAL, 0.20, Microseconds{8000}, Milliseconds{400},
             false, false},
            {schema::RANK_BACKGROUND, 0.10, Microseconds{40'000},
             Milliseconds{2000}, true, true}}},
          flooding};
}

// Modelled on the Association: archive retrievals of 1 s beside lookups.
FloodCase LongWork() {
  return {2,
          {{{schema::RANK_URGENT, 0.20, Microseconds{6000}, Milliseconds{100},
             true, false},
            {schema::RANK_NORMAL, 0.10, Microseconds{8000}, Milliseconds{400},
             false, false},
            {schema::RANK_BACKGROUND, 0.10, Microseconds{1'000'000},
             Milliseconds{10'000}, true, true}}},
          schema::RANK_BACKGROUND};
}

struct RankTotals {
  double offered = 0;
  double in_time = 0;
  double used = 0;       // slot time in microseconds
  double with_work = 0;  // time during which the rank had work
  double useful = 0;     // the part of it that ended within the deadline
};

// A fake endpoint: service times are exponential; it accepts cancellation.
template <typename Dispatcher>
class Flood {
 public:
  Flood(Dispatcher& dispatcher, const FloodCase& flood, std::uint64_t seed)
      : dispatcher_(dispatcher),
        slots_(flood.slots),
        flooding_(RankIndex(flood.flooding)),
        kinds_(flood.kinds),
        random_(seed) {}

  void Run() {
    for (std::size_t kind = 0; kind < kRanks; ++kind) ScheduleArrival(kind, 0);
    events_.push({kTick, EventType::kTick, 0});
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      CountWork(event.at);
      now_ = event.at;
      if (now_ > Microseconds{kEnd}.count()) break;
      Handle(event);
    }
  }

  const std::array<RankTotals, kRanks>& totals() const { return totals_; }
  double started_late() const { return started_late_; }
  // Longest time past its deadline that a request stayed in the queue.
  double overdue_millis() const { return static_cast<double>(overdue_) / 1000; }

 private:
  static constexpr std::int64_t kTick = 10'000;
  enum class EventType { kArrival, kFinish, kTick };
  struct Event {
    std::int64_t at;
    EventType type;
    std::uint64_t id;  // kind or ticket
    bool operator<(const Event& other) const { return at > other.at; }
  };
  struct Request {
    std::size_t kind;
    std::int64_t deadline;
    std::int64_t started = -1;
    bool cancelled = false;
    bool counted;  // arrived during the flood
  };

  SteadyTime Steady() const {
    return SteadyTime{std::chrono::hours{1}} + Microseconds{now_};
  }
  WallTime Wall() const {
    return WallTime{std::chrono::hours{400'000}} + Microseconds{now_};
  }

  void ScheduleArrival(std::size_t kind, std::int64_t from) {
    const std::int64_t calm = Microseconds{kCalm}.count();
    const std::int64_t next = from + Gap(kind, from >= calm);
    const bool flood_begins = kind == flooding_ && from < calm && next >= calm;
    events_.push({flood_begins ? calm + Gap(kind, true) : next,
                  EventType::kArrival, kind});
  }

  std::int64_t Gap(std::size_t kind, bool flood) {
    const Kind& spec = kinds_[kind];
    const double offered = flood && kind == flooding_ ? 10.0 : spec.offered;
    const double mean =
        static_cast<double>(spec.service.count()) / (offered * slots_);
    return static_cast<std::int64_t>(
        std::exponential_distribution<double>(1 / mean)(random_));
  }

  // A floor holds while its rank has work, queued or running.
  void CountWork(std::int64_t until) {
    const auto from = std::max(now_, Microseconds{kCalm}.count());
    if (until <= from) return;
    for (std::size_t kind = 0; kind < kRanks; ++kind) {
      if (open_[kind] > 0) {
        totals_[kind].with_work += static_cast<double>(until - from);
      }
    }
  }

  void Handle(const Event& event) {
    switch (event.type) {
      case EventType::kArrival:
        Arrive(event.id);
        break;
      case EventType::kFinish:
        End(event.id);
        break;
      case EventType::kTick:
        Apply(dispatcher_.Tick(Steady(), Wall()));
        events_.push({now_ + kTick, EventType::kTick, 0});
        break;
    }
  }

  void Arrive(std::size_t kind) {
    const Kind& spec = kinds_[kind];
    const bool counted = now_ >= Microseconds{kCalm}.count() &&
                         now_ < Microseconds{kEnd - spec.deadline}.count();
    DispatchRequest request;
    request.ticket = next_ticket_++;
    request.request_id = std::to_string(request.ticket);
    request.rank = spec.rank;
    request.idempotent = spec.idempotent;
    request.long_running = spec.long_running;
    request.partition = 0;
    request.first_issued = Wall();
    request.deadline = Steady() + spec.deadline;
    request.bytes = 500;
    request.kind = static_cast<std::uint32_t>(kind);
    requests_[request.ticket] = {
        kind, now_ + Microseconds{spec.deadline}.count(), -1, false, counted};
    if (counted) ++totals_[kind].offered;
    ++open_[kind];
    Apply(dispatcher_.Submit(request, Steady(), Wall()));
    ScheduleArrival(kind, now_);
  }

  void End(Ticket ticket) {
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) return;  // cancelled earlier
    const Request request = found->second;
    requests_.erase(found);
    --open_[request.kind];
    RankTotals& totals = totals_[request.kind];
    const auto from = std::max(request.started, Microseconds{kCalm}.count());
    const auto spent =
        static_cast<double>(std::max<std::int64_t>(0, now_ - from));
    totals.used += spent;
    if (now_ <= request.deadline) {
      if (request.counted) ++totals.in_time;
      totals.useful += spent;
    }
    Apply(dispatcher_.Finish(ticket,
                             std::make_shared<StoredResponse>(
                                 StoredResponse{ResultCode::kOk, 200, {}, {}}),
                             Steady(), Wall()));
  }

  void Apply(const DispatchActions& actions) {
    for (const auto& action : actions) {
      if (const auto* start = std::get_if<StartWork>(&action)) {
        Request& request = requests_.at(start->ticket);
        request.started = now_;
        if (now_ > request.deadline) ++started_late_;
        const auto mean =
            static_cast<double>(kinds_[request.kind].service.count());
        const auto time = static_cast<std::int64_t>(
            std::exponential_distribution<double>(1 / mean)(random_));
        events_.push({now_ + time, EventType::kFinish, start->ticket});
      } else if (const auto* cancel = std::get_if<CancelWork>(&action)) {
        // Accepted at once: the work ends now, past its deadline.
        events_.push({now_, EventType::kFinish, cancel->ticket});
      } else if (const auto* reject = std::get_if<RejectRequest>(&action)) {
        const Request& request = requests_.at(reject->ticket);
        overdue_ = std::max(overdue_, now_ - request.deadline);
        --open_[request.kind];
        requests_.erase(reject->ticket);
      }
    }
  }

  Dispatcher& dispatcher_;
  std::uint32_t slots_;
  std::size_t flooding_;
  std::array<Kind, kRanks> kinds_;
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  std::map<Ticket, Request> requests_;
  std::array<RankTotals, kRanks> totals_{};
  std::array<int, kRanks> open_{};
  Ticket next_ticket_ = 1;
  std::int64_t now_ = 0;
  double started_late_ = 0;
  std::int64_t overdue_ = 0;
};

template <typename Dispatcher>
void Measure(const std::string& variant, Dispatcher& dispatcher,
             const FloodCase& spec, std::uint64_t seed,
             std::vector<Sample>& samples) {
  Flood<Dispatcher> flood(dispatcher, spec, seed);
  flood.Run();
  const double capacity =
      spec.slots * static_cast<double>(Microseconds{kEnd - kCalm}.count());
  const std::array<std::string, kRanks> names{"urgent", "normal", "background"};
  double goodput = 0;
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    const RankTotals& totals = flood.totals()[rank];
    samples.push_back({variant, names[rank] + " in target / offered",
                       totals.in_time / totals.offered});
    samples.push_back({variant, names[rank] + " share of slot time with work",
                       totals.used / (spec.slots * totals.with_work)});
    samples.push_back({variant, names[rank] + " share of all slot time",
                       totals.used / capacity});
    goodput += totals.useful / capacity;
  }
  samples.push_back({variant, "goodput / capacity", goodput});
  samples.push_back({variant, "started past deadline", flood.started_late()});
  samples.push_back(
      {variant, "longest in queue past deadline, ms", flood.overdue_millis()});
}

std::vector<Sample> RunFlood(const FloodCase& spec, std::uint64_t seed) {
  std::vector<Sample> samples;
  const SteadyTime start{std::chrono::hours{1}};
  DispatcherOptions options;
  options.slots = spec.slots;
  const std::map<PartitionId, Fence> owned{{0, Fence{1, 0}}};
  const WallTime wall{std::chrono::hours{400'000} - std::chrono::minutes{1}};
  {
    EndpointDispatcher policy(options, start, false);
    policy.SetPartitions(owned, start, wall);
    Measure("policy", policy, spec, seed, samples);
  }
  {
    FifoDispatcher fifo(spec.slots, options.max_queued);
    Measure("first in first out", fifo, spec, seed, samples);
  }
  {
    NoReservationDispatcher bare(options, start);
    bare.SetPartitions(owned, start, wall);
    Measure("no reservation", bare, spec, seed, samples);
  }
  return samples;
}

}  // namespace

Scenario BackgroundFloodScenario() {
  return {"background-flood",
          [](auto seed) {
            return RunFlood(ShortWork(schema::RANK_BACKGROUND), seed);
          },
          {{"urgent in target / offered", 0.99, true},
           {"normal share of slot time with work", 0.10, true},
           {"background share of slot time with work", 0.05, true},
           {"started past deadline", 0, false}}};
}

Scenario LongBackgroundFloodScenario() {
  return {"long-background-flood",
          [](auto seed) { return RunFlood(LongWork(), seed); },
          {{"urgent in target / offered", 0.99, true},
           {"normal share of slot time with work", 0.10, true},
           {"background share of slot time with work", 0.05, true},
           {"started past deadline", 0, false}}};
}

Scenario UrgentFloodScenario() {
  return {
      "urgent-flood",
      [](auto seed) { return RunFlood(ShortWork(schema::RANK_URGENT), seed); },
      {{"goodput / capacity", 0.95, true},
       {"normal share of slot time with work", 0.10, true},
       {"background share of slot time with work", 0.05, true},
       {"started past deadline", 0, false}}};
}

}  // namespace balsamhall
