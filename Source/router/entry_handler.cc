#include "router/entry_handler.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "router/retry_rule.h"

namespace balsamhall {
namespace {

// Time after which an attempt is repeated without a newer route.
constexpr Milliseconds kFirstBackoff{50};
constexpr std::uint32_t kMaxBackoffShift = 3;
// An endpoint that refuses connections is evicted in about 0.6 s; more attempts
// before that would only use up the retry budget.
constexpr Milliseconds kNoConnectionBackoff{400};
constexpr std::size_t kForwardOverheadBytes = 200;

Microseconds Since(SteadyTime start, SteadyTime now) {
  return std::chrono::duration_cast<Microseconds>(now - start);
}

BalancerOutcome OutcomeOf(ResultCode code) {
  if (code == ResultCode::kOk) return BalancerOutcome::kResponded;
  if (code == ResultCode::kNotRunDraining) return BalancerOutcome::kDraining;
  if (IsUnknown(code) || code == ResultCode::kNotRunNoConnection) {
    return BalancerOutcome::kFailed;
  }
  return BalancerOutcome::kRejected;
}

}  // namespace

EntryHandler::EntryHandler(EntryOptions options, LocalDispatch dispatch,
                           ForwardClient& forwards, Metrics& metrics,
                           TraceStore& traces, SteadyTime now)
    : options_(options),
      dispatch_(std::move(dispatch)),
      forwards_(forwards),
      metrics_(metrics),
      traces_(traces),
      snapshot_(std::make_shared<RoutingSnapshot>()),
      link_(LinkOptions{}, now),
      guard_(options.overload) {}

EntryHandler::~EntryHandler() = default;

void EntryHandler::Apply(std::shared_ptr<const RoutingSnapshot> snapshot,
                         SteadyTime now) {
  const bool new_config = snapshot->config_version != snapshot_->config_version;
  const bool new_routers =
      snapshot->routers.size() != snapshot_->routers.size();
  snapshot_ = std::move(snapshot);
  if (new_config || new_routers) UpdatePolicy(now);
  std::map<ServiceId, std::vector<BalancedEndpoint>> endpoints;
  for (const auto& [name, route] : snapshot_->endpoints) {
    BalancedEndpoint endpoint;
    endpoint.id = name;
    endpoint.slots = route.config.slots();
    endpoint.accepting = route.accepting && !route.primary.empty();
    endpoint.remote = route.config.region() != snapshot_->region;
    endpoint.cold =
        route.serving_since != SteadyTime{} &&
        now - route.serving_since < BalancerOptions{}.slow_start_time;
    endpoint.serving_since = route.serving_since;
    endpoints[route.service].push_back(std::move(endpoint));
  }
  for (const auto& [name, service] : snapshot_->services) {
    if (service.config.keyed()) continue;
    const auto balancer =
        balancers_.try_emplace(name, BalancerOptions{}, ++options_.seed).first;
    balancer->second.SetEndpoints(endpoints[name], now);
    for (const BalancedEndpoint& endpoint : endpoints[name]) {
      balancer->second.OnLoadReport(
          endpoint.id, snapshot_->endpoints.at(endpoint.id).load, now);
    }
  }
  for (const EntryPtr& entry : waiting_) {
    if (RouteChanged(*entry)) entry->retry_at = now;
  }
  Tick(now);
}

void EntryHandler::UpdatePolicy(SteadyTime now) {
  const schema::PolicyConfig& policy = snapshot_->policy;
  if (policy.retry_ratio() > 0) budget_.set_ratio(policy.retry_ratio());
  // The link is shared by the routers of a region and their threads; each
  // takes an equal part.
  const auto routers =
      std::ranges::count_if(snapshot_->routers, [this](const auto& item) {
        return item.second.join.region() == snapshot_->region;
      });
  LinkOptions link;
  if (policy.link_kbit_per_s() > 0) {
    link.bytes_per_second = policy.link_kbit_per_s() * 125ULL;
    link.shares = {policy.link_share_urgent(), policy.link_share_normal(),
                   policy.link_share_background()};
  }
  link.bytes_per_second /=
      std::max<std::uint64_t>(1, static_cast<std::uint64_t>(routers)) *
      options_.threads;
  link_.set_options(link, now);
}

std::optional<HttpResponse> EntryHandler::FilterHead(const HttpRequest& head) {
  const auto path = ParseCallerPath(head.target);
  if (!path) return std::nullopt;
  const auto service = snapshot_->services.find(path.value().service);
  if (service == snapshot_->services.end()) return std::nullopt;
  const auto match = FindKind(service->second, path.value().kind);
  if (!match || guard_.Admit(match->kind->rank())) return std::nullopt;
  ResultCode code = ResultCode::kNotRunRouterOverloaded;
  if (MayHaveRunBefore(head.headers, code)) {
    code = ResultCode::kUnknownEarlierAttempt;
  }
  metrics_.RecordRequest(match->kind->rank(), ResultClass(code),
                         static_cast<unsigned>(code), Microseconds(0), false);
  return ResponseOf(ReplyOf(code), std::string(FindHeader(
                                       head.headers, "Balsamhall-Request-Id")));
}

void EntryHandler::Handle(HttpRequest request, Respond respond) {
  const SteadyTime now = std::chrono::steady_clock::now();
  auto parsed = ParseCallerRequest(request, *snapshot_);
  if (!parsed) {
    Reject(request, respond, parsed.error());
    return;
  }
  budget_.OnRequest();
  auto entry = std::make_shared<Entry>();
  entry->request = std::move(parsed).value();
  entry->respond = std::move(respond);
  entry->started = now;
  entry->started_wall = std::chrono::system_clock::now();
  entry->deadline = now + entry->request.time_allowed;
  const auto parent = ParseTraceparent(entry->request.forward.traceparent());
  if (parent) entry->parent_span = parent->span_id;
  entry->span = NextSpan(parent);
  entry->request.forward.set_traceparent(FormatTraceparent(entry->span));
  entry->bytes = entry->request.forward.body().size() +
                 entry->request.forward.key().size() + kForwardOverheadBytes;
  Attempt(entry, now);
}

void EntryHandler::Reject(const HttpRequest& request, const Respond& respond,
                          Error error) {
  if (MayHaveRunBefore(request.headers, error.code)) {
    error.code = ResultCode::kUnknownEarlierAttempt;
  }
  const auto code = static_cast<unsigned>(error.code);
  metrics_.Add("rejected_requests_total",
               "code=\"" + std::to_string(code) + "\"", 1);
  schema::ForwardReply reply = ReplyOf(error.code);
  reply.set_detail(error.detail);
  respond(ResponseOf(reply, std::string(FindHeader(request.headers,
                                                   "Balsamhall-Request-Id"))));
}

void EntryHandler::Attempt(const EntryPtr& entry, SteadyTime now) {
  if (now >= entry->deadline) {
    Finish(*entry, entry->attempts > 0 ? entry->last
                                       : ReplyOf(ResultCode::kNotRunDeadline));
    return;
  }
  const auto target = Choose(*entry, now);
  if (!target) {
    entry->attempted = {};
    Wait(entry, ResultCode::kNotRunNoOwner, kFirstBackoff * 2, now);
    return;
  }
  if (target->remote_region && !TakeLink(entry, *target, now)) return;
  if (entry->budget_due) {
    if (!budget_.TryRetry(entry->request.kind.rank())) {
      metrics_.Add("retries_refused_total", "", 1);
      Finish(*entry, entry->last);
      return;
    }
    entry->budget_due = false;
    metrics_.Add("retries_total", "", 1);
  }
  Send(entry, *target, now);
}

std::optional<EntryHandler::Target> EntryHandler::Choose(Entry& entry,
                                                         SteadyTime now) {
  const auto service =
      snapshot_->services.find(entry.request.forward.service());
  if (service == snapshot_->services.end()) return std::nullopt;
  if (entry.request.partition) {
    if (*entry.request.partition >= service->second.partitions.size()) {
      return std::nullopt;
    }
    const PartitionRoute& route =
        service->second.partitions[*entry.request.partition];
    return TargetOf(route.owner, route.epoch);
  }
  const auto balancer = balancers_.find(service->first);
  if (balancer == balancers_.end()) return std::nullopt;
  const auto picked = balancer->second.Pick(entry.tried, now);
  return picked ? TargetOf(*picked, {}) : std::nullopt;
}

std::optional<EntryHandler::Target> EntryHandler::TargetOf(
    const EndpointId& endpoint, const Fence& epoch) const {
  const auto found = snapshot_->endpoints.find(endpoint);
  if (found == snapshot_->endpoints.end() || found->second.primary.empty()) {
    return std::nullopt;
  }
  const EndpointRoute& route = found->second;
  Target target;
  target.endpoint = endpoint;
  target.term = route.term;
  target.key = {endpoint, route.primary, route.term, epoch};
  target.local = route.primary == snapshot_->self.id;
  if (target.local) return target;
  const auto router = snapshot_->routers.find(route.primary);
  if (router == snapshot_->routers.end() || !router->second.reachable) {
    return std::nullopt;
  }
  target.address = router->second.join.forward_address();
  target.remote_region = router->second.join.region() != snapshot_->region;
  return target;
}

bool EntryHandler::TakeLink(const EntryPtr& entry, const Target& target,
                            SteadyTime now) {
  const schema::Rank rank = entry->request.kind.rank();
  const LinkCause cause =
      entry->attempts > 0 ? LinkCause::kRetry : LinkCause::kRequest;
  if (link_.TrySend(rank, entry->bytes, cause, now)) {
    metrics_.Add(
        "link_bytes_total",
        cause == LinkCause::kRetry ? "cause=\"retry\"" : "cause=\"request\"",
        entry->bytes);
    return true;
  }
  entry->attempted = target.key;
  Wait(entry, ResultCode::kNotRunLinkBudget, link_.TimeUntilSend(rank, now),
       now);
  return false;
}

void EntryHandler::Send(const EntryPtr& entry, const Target& target,
                        SteadyTime now) {
  ++entry->attempts;
  entry->attempted = target.key;
  entry->tried.insert(target.endpoint);
  if (!entry->request.partition) {
    balancers_.at(entry->request.forward.service()).OnSent(target.endpoint);
  }
  schema::ForwardRequest forward = entry->request.forward;
  forward.set_endpoint(target.endpoint);
  *forward.mutable_term() = ToProto(target.term);
  auto done = [this, entry, target, now](schema::ForwardReply reply) {
    OnReply(entry, target, now, std::move(reply));
  };
  if (!target.local) {
    const auto remaining =
        std::chrono::ceil<Milliseconds>(entry->deadline - now);
    forward.set_remaining_ms(static_cast<std::uint32_t>(remaining.count()));
    forwards_.Forward(target.address, std::move(forward), entry->deadline,
                      std::move(done));
    return;
  }
  DispatchJob job;
  job.request = std::move(forward);
  job.kind = entry->request.kind;
  job.kind_number = entry->request.kind_number;
  job.partition = entry->request.partition;
  job.deadline = entry->deadline;
  job.done = std::move(done);
  dispatch_(std::move(job));
}

void EntryHandler::OnReply(const EntryPtr& entry, const Target& target,
                           SteadyTime sent, schema::ForwardReply reply) {
  const SteadyTime now = std::chrono::steady_clock::now();
  const auto code = static_cast<ResultCode>(reply.code());
  ReportToBalancer(*entry, target, code, sent, now);
  if (target.remote_region) {
    metrics_.Add("link_bytes_total", "cause=\"answer\"",
                 reply.body().size() + kForwardOverheadBytes);
  }
  const bool idempotent = entry->request.kind.idempotent();
  if (idempotent && IsUnknown(code)) entry->maybe_ran = code;
  if (IsOwnersVerdict(code)) entry->owners_verdict = code;
  const RetryRule rule = RetryRuleOf(code, idempotent);
  const bool free = AttemptWasFree(code, target.local);
  if (free) --entry->attempts;
  if (rule == RetryRule::kNone || entry->attempts >= options_.max_attempts ||
      now >= entry->deadline ||
      (rule == RetryRule::kElsewhere && entry->request.partition)) {
    Finish(*entry, std::move(reply));
    return;
  }
  entry->last = std::move(reply);
  entry->budget_due = entry->budget_due || !free;
  if (!entry->request.partition && !free) {
    Attempt(entry, now);  // another endpoint can take it at once
    return;
  }
  const Milliseconds backoff =
      kFirstBackoff * (1U << std::min(entry->attempts, kMaxBackoffShift));
  Wait(entry, code,
       code == ResultCode::kNotRunNoConnection ? kNoConnectionBackoff : backoff,
       now);
}

void EntryHandler::ReportToBalancer(const Entry& entry, const Target& target,
                                    ResultCode code, SteadyTime sent,
                                    SteadyTime now) {
  if (entry.request.partition) return;
  const auto balancer = balancers_.find(entry.request.forward.service());
  if (balancer == balancers_.end()) return;
  balancer->second.OnFinished(target.endpoint, OutcomeOf(code),
                              Since(sent, now), now);
}

void EntryHandler::Wait(const EntryPtr& entry, ResultCode reason,
                        Microseconds delay, SteadyTime now) {
  if (entry->last.code() == 0) entry->last = ReplyOf(reason);
  if (waiting_.size() >= options_.max_waiting ||
      waiting_bytes_ + entry->bytes > options_.max_waiting_bytes) {
    Finish(*entry, entry->last);
    return;
  }
  entry->retry_at = std::min<SteadyTime>(now + delay, entry->deadline);
  waiting_bytes_ += entry->bytes;
  waiting_.push_back(entry);
}

bool EntryHandler::RouteChanged(const Entry& entry) const {
  if (!entry.request.partition) return true;
  const auto service =
      snapshot_->services.find(entry.request.forward.service());
  if (service == snapshot_->services.end() ||
      *entry.request.partition >= service->second.partitions.size()) {
    return true;
  }
  const PartitionRoute& route =
      service->second.partitions[*entry.request.partition];
  const auto target = TargetOf(route.owner, route.epoch);
  return target && target->key != entry.attempted;
}

void EntryHandler::Tick(SteadyTime now) {
  std::vector<EntryPtr> ready;
  std::erase_if(waiting_, [&](const EntryPtr& entry) {
    if (entry->retry_at > now) return false;
    waiting_bytes_ -= entry->bytes;
    ready.push_back(entry);
    return true;
  });
  for (const EntryPtr& entry : ready) {
    if (now >= entry->deadline) {
      Finish(*entry, entry->last);
    } else {
      // Endpoints that failed before may be the only ones left.
      entry->tried.clear();
      Attempt(entry, now);
    }
  }
}

void EntryHandler::ReportLoad(Microseconds loop_delay, std::size_t memory) {
  guard_.Update(loop_delay, memory);
}

void EntryHandler::Finish(Entry& entry, schema::ForwardReply reply) {
  const SteadyTime now = std::chrono::steady_clock::now();
  auto code = static_cast<ResultCode>(reply.code());
  if (IsNotRun(code) && entry.maybe_ran) {
    code = *entry.maybe_ran;
    reply = ReplyOf(code);
  }
  // Only the owner knows whether an earlier attempt was run.
  const bool repeat = !entry.request.kind.idempotent() &&
                      !entry.request.forward.first_attempt();
  if (IsNotRun(code) && repeat && entry.owners_verdict != code) {
    code = ResultCode::kUnknownEarlierAttempt;
    reply = ReplyOf(code);
  }
  const auto latency = Since(entry.started, now);
  const schema::KindConfig& kind = entry.request.kind;
  const bool in_target =
      code == ResultCode::kOk &&
      (kind.target_ms() == 0 || latency <= Milliseconds(kind.target_ms()));
  metrics_.RecordRequest(kind.rank(), ResultClass(code), reply.code(), latency,
                         in_target);
  RecordSpan(entry, reply.code(), now);
  entry.respond(ResponseOf(reply, entry.request.forward.request_id()));
}

void EntryHandler::RecordSpan(const Entry& entry, unsigned code,
                              SteadyTime now) {
  schema::Span span;
  span.set_trace_id(entry.span.trace_id);
  span.set_span_id(entry.span.span_id);
  span.set_parent_span_id(entry.parent_span);
  span.set_name("entry");
  span.set_router(snapshot_->self.id);
  span.set_request_id(entry.request.forward.request_id());
  span.set_start_us(std::chrono::duration_cast<Microseconds>(
                        entry.started_wall.time_since_epoch())
                        .count());
  span.set_duration_us(Since(entry.started, now).count());
  span.set_code(code);
  span.set_endpoint(std::get<0>(entry.attempted));
  traces_.Record(std::move(span), entry.span.sampled);
}

}  // namespace balsamhall
