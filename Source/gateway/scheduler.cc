#include "gateway/scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <tuple>
#include <unordered_set>

namespace balsamhall::gateway {
namespace {

// Value of a late answer against one in time (the users' sheets: 0.12 to
// 0.45).
constexpr double kLateValue = 0.3;
// The chance of being in time falls from one to zero while the expected answer
// moves from this share of the target to that one: work times vary by about a
// third.
constexpr double kSurelyInTime = 0.7;
constexpr double kSurelyLate = 1.15;
// Price of a KiB between data centres of a region, as a share of the value of
// a request, by rank: bytes cost the same for all, urgent work is worth more.
constexpr std::array<double, 3> kPricePerKib{0.02, 0.055, 0.2};
// Between regions the link is narrow and billed by volume.
constexpr double kRegionPriceFactor = 1.25;
// However many its bytes, an answer is worth more than none.
constexpr double kMaxWayPrice = 0.6;
// Breaks ties between endpoints in favour of the sooner answer.
constexpr double kDelayPrice = 0.05;
// Time there and back, with the caller's side: the users' sheets.
constexpr double kSameDataCentreMs = 2;
constexpr double kSameRegionMs = 5;
constexpr double kOtherRegionMs = 44;
// Requests that may wait at an endpoint beyond its slots, by rank. The
// smallest queue of a server is eight; what other gateways send meanwhile has
// to fit as well.
constexpr std::array<double, 3> kEndpointQueue{5, 4, 3};
// What urgent work may wait behind other work, as a share of its target.
constexpr double kUrgentWaitShare = 0.45;
// An answer of an unknown kind is expected after this share of its target.
constexpr double kUnknownServiceShare = 0.25;
constexpr double kServiceWeight = 0.05;
constexpr double kAnswerBytesWeight = 0.1;
constexpr double kDefaultAnswerBytes = 2'000;
// Jobs that wait at most; a bound on memory, far above what can be served.
constexpr std::size_t kMaxWaiting = 2'000;
// A request is let in if it is expected to need this share of the time that it
// can bear: what others send meanwhile makes estimates too short. Once it waits
// it is turned away only if it would miss its deadline.
constexpr double kAdmittedShare = 0.5;
// Where at least this share of the requests is urgent, a part of the endpoints
// keeps a slot free for it; for less, the slots would be idle too often.
// Mode ends at half of the share, so that chance does not switch it.
constexpr double kUrgentShare = 0.1;
constexpr double kUrgentWeight = 0.02;    // of a new arrival in the share
constexpr std::size_t kReservedPart = 3;  // one in three, at least one
// A late job may use this share of its remaining time for waiting.
constexpr double kLateWaitShare = 0.5;
// A rejected caller honours a time of at most a third of what it has left.
constexpr double kHonouredShare = 0.3;
constexpr Milliseconds kMinRetryAfter{40};
// Work is taken from an endpoint only if another one has this multiple of the
// time that it needs.
constexpr double kAlternativeMargin = 1.5;
// Keys whose mover promised no time are expected back after this time.
constexpr Milliseconds kUnknownMoveWait{500};

std::size_t RankIndex(int rank) {
  return static_cast<std::size_t>(std::clamp(rank, 0, 2));
}

double ToMs(SteadyTime::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double WayMs(Distance distance) {
  switch (distance) {
    case Distance::kSameDataCentre:
      return kSameDataCentreMs;
    case Distance::kSameRegion:
      return kSameRegionMs;
    case Distance::kOtherRegion:
      break;
  }
  return kOtherRegionMs;
}

double WayPrice(Distance distance, std::size_t rank, double bytes) {
  if (distance == Distance::kSameDataCentre) return 0;
  const double price = kPricePerKib.at(rank) * bytes / 1024;
  const double factor =
      distance == Distance::kSameRegion ? 1 : kRegionPriceFactor;
  return std::min(price * factor, kMaxWayPrice);
}

}  // namespace

std::string_view RejectReasonName(RejectReason reason) {
  switch (reason) {
    case RejectReason::kNoEndpoint:
      return "no_endpoint";
    case RejectReason::kNoLease:
      return "no_lease";
    case RejectReason::kEndpointFailing:
      return "endpoint_failing";
    case RejectReason::kOverload:
      return "overload";
    case RejectReason::kTooLate:
      break;
  }
  return "too_late";
}

// State of one pass over the queue.
struct Scheduler::Plan {
  SteadyTime now;
  Decisions decisions;
  // Jobs of this pass that wait for an endpoint.
  std::unordered_map<const EndpointLoad*, int> queued;
  int queued_total = 0;
  double answers_per_second = 0;
  bool ignore_suspicion = false;
  bool urgent = false;  // urgent work was seen
  // Endpoints that keep a slot free for it.
  std::unordered_set<const EndpointLoad*> reserved;
  std::vector<Job> still_waiting;
};

void Scheduler::SetEndpoints(const std::vector<EndpointInfo>& endpoints,
                             SteadyTime now) {
  std::map<EndpointRef, std::unique_ptr<EndpointLoad>> next;
  for (const auto& info : endpoints) {
    auto found = loads_.find(info.ref);
    auto left = leaving_.find(info.ref);
    if (found != loads_.end()) {
      found->second->Update(info, now);
      next.emplace(info.ref, std::move(found->second));
      loads_.erase(found);
    } else if (left != leaving_.end()) {
      left->second->Update(info, now);
      next.emplace(info.ref, std::move(left->second));
      leaving_.erase(left);
    } else {
      next.emplace(info.ref, std::make_unique<EndpointLoad>(info, now));
    }
  }
  for (auto& [ref, load] : loads_) {
    if (load->in_flight() > 0) leaving_.emplace(ref, std::move(load));
  }
  loads_ = std::move(next);
}

void Scheduler::SetLeases(const LeaseTable* leases, SteadyTime now) {
  divided_ = true;
  leases_ = leases;
  leases_since_ = now;
}

EndpointLoad* Scheduler::FindLoad(const EndpointRef& endpoint) {
  const auto found = loads_.find(endpoint);
  if (found != loads_.end()) return found->second.get();
  const auto left = leaving_.find(endpoint);
  return left == leaving_.end() ? nullptr : left->second.get();
}

void Scheduler::OnResponse(std::uint64_t job, const EndpointRef& endpoint,
                           const std::string& kind, Milliseconds elapsed,
                           std::size_t bytes, std::optional<ReportedLoad> load,
                           SteadyTime now) {
  EndpointLoad* const state = FindLoad(endpoint);
  if (state == nullptr) return;
  const double way = WayMs(settings_.DistanceTo(state->info().data_centre));
  const double work = std::max(1.0, static_cast<double>(elapsed.count()) - way);
  KindStats& stats = kinds_[kind];
  if (stats.service_ms == 0) stats.service_ms = work;
  const double relative = work / stats.service_ms;
  // Work on a slow endpoint does not make the kind slow.
  const double typical = work / state->Slowdown(now);
  stats.service_ms += kServiceWeight * (typical - stats.service_ms);
  stats.answer_bytes +=
      kAnswerBytesWeight * (static_cast<double>(bytes) - stats.answer_bytes);
  state->OnResponse(job, now, relative, load);
}

void Scheduler::OnShed(std::uint64_t job, const EndpointRef& endpoint,
                       std::optional<ReportedLoad> load, SteadyTime now) {
  if (EndpointLoad* const state = FindLoad(endpoint)) {
    state->OnShed(job, now, load);
  }
}

void Scheduler::OnFailure(std::uint64_t job, const EndpointRef& endpoint,
                          EndpointFailure failure, SteadyTime now) {
  if (EndpointLoad* const state = FindLoad(endpoint)) {
    state->OnFailure(job, failure, now);
  }
}

void Scheduler::OnCancelled(std::uint64_t job, const EndpointRef& endpoint) {
  if (EndpointLoad* const state = FindLoad(endpoint)) state->OnCancelled(job);
}

bool Scheduler::HasAlternative(const Job& job, const EndpointRef& endpoint,
                               SteadyTime now) {
  if (divided_) return false;
  Job repeat = job;
  repeat.tried.push_back(endpoint);
  Plan plan;
  plan.now = now;
  const Option best = Best(repeat, plan);
  return best.endpoint != nullptr && best.has_room &&
         best.expected_ms * kAlternativeMargin < ToMs(job.deadline - now);
}

Milliseconds Scheduler::ServiceTime(const std::string& kind) const {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) return Milliseconds(0);
  return Milliseconds(static_cast<std::int64_t>(found->second.service_ms));
}

std::map<EndpointRef, double> Scheduler::Capacities(SteadyTime now) const {
  std::map<EndpointRef, double> capacities;
  for (const auto& [ref, load] : loads_) {
    capacities[ref] = load->info().slots / load->Slowdown(now);
  }
  return capacities;
}

void Scheduler::Remove(std::uint64_t job) {
  std::erase_if(waiting_, [job](const Job& entry) { return entry.id == job; });
}

Decisions Scheduler::Submit(Job job, SteadyTime now) {
  if (waiting_.size() >= kMaxWaiting) {
    const auto wait = std::chrono::duration_cast<Milliseconds>(
        std::max(job.target - now, SteadyTime::duration::zero()));
    return {
        {},
        {{job.id, RejectReason::kOverload, RetryAfter(job, wait, now), wait}}};
  }
  urgent_share_ += kUrgentWeight * ((job.rank == 0 ? 1 : 0) - urgent_share_);
  if (job.rank == 0) {
    urgent_wait_ms_ =
        kUrgentWaitShare * static_cast<double>(job.target_latency.count());
  }
  waiting_.push_back(std::move(job));
  return Decide(now);
}

Decisions Scheduler::Advance(SteadyTime now) {
  if (waiting_.empty()) return {};
  return Decide(now);
}

Decisions Scheduler::Decide(SteadyTime now) {
  std::erase_if(leaving_, [](const auto& entry) {
    return entry.second->in_flight() <= 0;
  });
  std::ranges::stable_sort(waiting_, [now](const Job& a, const Job& b) {
    const auto order = [now](const Job& job) {
      return std::tuple(job.rank, job.target < now, job.target);
    };
    return order(a) < order(b);
  });
  Plan plan;
  plan.now = now;
  std::size_t suspects = 0;
  for (auto& load : loads_ | std::views::values) {
    plan.answers_per_second += load->completions().PerSecond(now);
    if (load->Ejected(now)) ++suspects;
  }
  plan.ignore_suspicion = !divided_ && suspects * 2 > loads_.size();
  Reserve(plan);
  std::vector<Job> jobs = std::exchange(waiting_, {});
  for (Job& job : jobs) DecideJob(job, plan);
  waiting_ = std::move(plan.still_waiting);
  return std::move(plan.decisions);
}

// All gateways choose the same endpoints: the first ones of each data centre in
// the order of their ids.
void Scheduler::Reserve(Plan& plan) {
  urgent_mode_ =
      urgent_share_ >= (urgent_mode_ ? kUrgentShare / 2 : kUrgentShare);
  plan.urgent = urgent_mode_;
  if (divided_ || !plan.urgent) return;
  std::map<std::string, std::vector<const EndpointLoad*>> centres;
  for (const auto& load : loads_ | std::views::values) {
    if (load->info().slots > 1) {
      centres[load->info().data_centre].push_back(load.get());
    }
  }
  for (const auto& endpoints : centres | std::views::values) {
    const std::size_t count =
        (endpoints.size() + kReservedPart - 1) / kReservedPart;
    std::ranges::copy(endpoints | std::views::take(count),
                      std::inserter(plan.reserved, plan.reserved.end()));
  }
}

std::optional<RejectReason> Scheduler::KeyUnavailable(
    const Job& job, SteadyTime now, Milliseconds& wait) const {
  wait = Milliseconds(0);
  if (!divided_ || !job.key) return std::nullopt;
  const RangeLease* const lease =
      leases_ == nullptr ? nullptr : leases_->Find(*job.key);
  if (lease == nullptr || !loads_.contains(lease->owner.ref)) {
    wait = kUnknownMoveWait;
    return RejectReason::kNoLease;
  }
  if (!lease->granted) {
    const auto passed =
        std::chrono::duration_cast<Milliseconds>(now - leases_since_);
    wait = std::max(lease->expected_wait - passed, Milliseconds(20));
    return RejectReason::kNoLease;
  }
  return std::nullopt;
}

void Scheduler::DecideJob(Job& job, Plan& plan) {
  const auto reject = [&](RejectReason reason, Milliseconds wait) {
    plan.decisions.rejections.push_back(
        {job.id, reason, RetryAfter(job, wait, plan.now), wait});
  };
  const auto place = [&](const Option& option) {
    option.endpoint->OnSent(job.id, plan.now,
                            static_cast<double>(ServiceTime(job.kind).count()));
    plan.decisions.placements.push_back(
        {job.id, option.endpoint->info(), option.outstanding,
         Milliseconds(static_cast<std::int64_t>(option.expected_ms))});
  };
  // What a job may still wait: until its target, or a part of its time if the
  // target has passed.
  const bool late = job.target <= plan.now;
  const double left_ms = ToMs(job.deadline - plan.now);
  const double bearable_ms =
      late ? left_ms * kLateWaitShare : ToMs(job.target - plan.now);
  if (left_ms <= 0) return reject(RejectReason::kTooLate, Milliseconds(0));

  Milliseconds key_wait;
  if (const auto reason = KeyUnavailable(job, plan.now, key_wait)) {
    const double service = static_cast<double>(ServiceTime(job.kind).count());
    if (static_cast<double>(key_wait.count()) + service > bearable_ms) {
      return reject(*reason, key_wait);
    }
    plan.still_waiting.push_back(std::move(job));
    return;
  }
  const Option best = Best(job, plan);
  if (best.endpoint == nullptr) {
    const bool failing = divided_ && job.key.has_value();
    return reject(
        failing ? RejectReason::kEndpointFailing : RejectReason::kNoEndpoint,
        kUnknownMoveWait);
  }
  if (best.expected_ms > left_ms) {
    return reject(RejectReason::kTooLate,
                  Milliseconds(static_cast<std::int64_t>(best.expected_ms)));
  }
  if (best.has_room && job.not_before <= plan.now) return place(best);
  const double limit_ms =
      job.waits ? left_ms : bearable_ms * (divided_ ? 1 : kAdmittedShare);
  if (best.expected_ms > limit_ms) {
    // Room far away is better than none.
    const Option room = Best(job, plan, true);
    if (room.endpoint != nullptr &&
        room.expected_ms <= bearable_ms * kAdmittedShare &&
        job.not_before <= plan.now) {
      return place(room);
    }
    return reject(RejectReason::kOverload,
                  Milliseconds(static_cast<std::int64_t>(best.expected_ms -
                                                         bearable_ms)));
  }
  if (job.not_before <= plan.now) {
    ++plan.queued[best.endpoint];
    ++plan.queued_total;
  }
  job.waits = true;
  plan.still_waiting.push_back(std::move(job));
}

bool Scheduler::MayUse(const Job& job, const EndpointLoad& endpoint,
                       const Plan& plan) const {
  if (std::ranges::find(job.tried, endpoint.info().ref) != job.tried.end()) {
    return false;
  }
  if (endpoint.Replaced(plan.now)) return false;
  return plan.ignore_suspicion || !endpoint.Ejected(plan.now);
}

Scheduler::Option Scheduler::Best(const Job& job, Plan& plan, bool room_only) {
  if (divided_ && job.key) {
    const RangeLease* const lease = leases_->Find(*job.key);
    EndpointLoad& owner = *loads_.at(lease->owner.ref);
    if (owner.Ejected(plan.now)) return {};
    const Option option = Evaluate(job, owner, plan);
    return room_only && !option.has_room ? Option{} : option;
  }
  Option best;
  for (auto& load : loads_ | std::views::values) {
    if (!MayUse(job, *load, plan)) continue;
    const Option option = Evaluate(job, *load, plan);
    if (room_only && !option.has_room) continue;
    const bool better = room_only ? option.expected_ms < best.expected_ms
                                  : option.utility > best.utility;
    if (best.endpoint == nullptr || better) best = option;
  }
  return best;
}

Scheduler::Option Scheduler::Evaluate(const Job& job, EndpointLoad& endpoint,
                                      Plan& plan) const {
  const std::size_t rank = RankIndex(job.rank);
  const auto kind = kinds_.find(job.kind);
  const bool known = kind != kinds_.end() && kind->second.service_ms > 0;
  const double target_ms =
      std::max(1.0, static_cast<double>(job.target_latency.count()));
  const double service =
      (known ? kind->second.service_ms : kUnknownServiceShare * target_ms) *
      endpoint.Slowdown(plan.now);
  const double slots = std::max(1U, endpoint.info().slots);
  const auto distance = settings_.DistanceTo(endpoint.info().data_centre);

  Option option;
  option.endpoint = &endpoint;
  option.outstanding = endpoint.Outstanding(plan.now);
  const auto queued = plan.queued.find(&endpoint);
  const int ahead = queued == plan.queued.end() ? 0 : queued->second;
  double queue = kEndpointQueue.at(rank);
  bool kept_free = false;
  if (rank > 0 && plan.urgent) {
    // Urgent work must not wait too long behind what is queued or running.
    queue = std::min(queue, std::max(0.0, slots * urgent_wait_ms_ / service));
    kept_free = service > urgent_wait_ms_ && plan.reserved.contains(&endpoint);
  }
  const double most = kept_free ? std::max(1.0, slots - 1) : slots + queue;
  option.has_room = ahead == 0 && option.outstanding + 1 <= most &&
                    (!kept_free || endpoint.HasFreshReport(plan.now));
  const double excess = option.outstanding + 1 - slots;
  double wait = std::max(0.0, excess) * service / slots;
  if (!option.has_room && divided_) {
    wait += ahead * service / slots;
  } else if (!option.has_room) {
    // Other gateways take a part of what comes free: the own rate of answers
    // tells how fast the own queue moves.
    const double rate =
        std::max(plan.answers_per_second, 1000.0 / (service * 8));
    wait = std::max(wait, (plan.queued_total + 1) * 1000 / rate);
  }
  option.expected_ms = WayMs(distance) + wait + service;
  const double total_ms =
      ToMs(plan.now - job.target) + target_ms + option.expected_ms;
  const double in_time =
      std::clamp((kSurelyLate * target_ms - total_ms) /
                     ((kSurelyLate - kSurelyInTime) * target_ms),
                 0.0, 1.0);
  const double bytes =
      static_cast<double>(job.bytes) +
      (known ? kind->second.answer_bytes : kDefaultAnswerBytes);
  option.utility = (in_time + kLateValue * (1 - in_time)) *
                       (1 - endpoint.FailureRate() * (job.idempotent ? 1 : 2)) -
                   WayPrice(distance, rank, bytes) -
                   kDelayPrice * total_ms / target_ms;
  return option;
}

Milliseconds Scheduler::RetryAfter(const Job& job, Milliseconds wait,
                                   SteadyTime now) {
  const double left_ms = std::max(0.0, ToMs(job.deadline - now));
  // Spread over the time after room comes free, urgent work first.
  std::uniform_real_distribution<double> spread(
      1.0, 1.3 + 0.3 * static_cast<double>(RankIndex(job.rank)));
  const double wanted = std::max(static_cast<double>(kMinRetryAfter.count()),
                                 static_cast<double>(wait.count())) *
                        spread(random_);
  return Milliseconds(
      static_cast<std::int64_t>(std::min(wanted, left_ms * kHonouredShare)));
}

}  // namespace balsamhall::gateway
