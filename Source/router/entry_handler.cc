#include "router/entry_handler.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "router/retry_rule.h"

namespace balsamhall {
namespace {

// Base of the delay after which a request is retried if its route has not
// changed.
constexpr Milliseconds kBaseBackoff{50};
constexpr std::uint32_t kMaxBackoffShift = 3;
// An endpoint that refuses connections is evicted in about 0.6 s; more attempts
// before that would only use up the retry budget.
constexpr Milliseconds kNoConnectionBackoff{400};
constexpr std::size_t kForwardOverheadBytes = 200;

Microseconds Elapsed(SteadyTime start, SteadyTime now) {
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
                           ForwardClient& forward_client, Metrics& metrics,
                           TraceStore& traces, SteadyTime now)
    : options_(options),
      dispatch_(std::move(dispatch)),
      forward_client_(forward_client),
      metrics_(metrics),
      traces_(traces),
      snapshot_(std::make_shared<RoutingSnapshot>()),
      link_shaper_(LinkOptions{}, now),
      overload_guard_(options.overload) {}

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
  for (const PendingRequestPtr& pending : waiting_) {
    if (RouteChanged(*pending)) pending->retry_at = now;
  }
  Tick(now);
}

void EntryHandler::UpdatePolicy(SteadyTime now) {
  const schema::PolicyConfig& policy = snapshot_->policy;
  if (policy.retry_ratio() > 0) retry_budget_.set_ratio(policy.retry_ratio());
  // The routers of a region and their traffic threads share the link; each
  // thread gets an equal part of its rate.
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
  link_shaper_.set_options(link, now);
}

std::optional<HttpResponse> EntryHandler::FilterHead(const HttpRequest& head) {
  const auto path = ParseCallerPath(head.target);
  if (!path) return std::nullopt;
  const auto service = snapshot_->services.find(path.value().service);
  if (service == snapshot_->services.end()) return std::nullopt;
  const auto match = FindKind(service->second, path.value().kind);
  if (!match || overload_guard_.Admit(match->kind->rank())) return std::nullopt;
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
  retry_budget_.OnRequest();
  auto pending = std::make_shared<PendingRequest>();
  pending->request = std::move(parsed).value();
  pending->respond = std::move(respond);
  pending->started = now;
  pending->started_wall = std::chrono::system_clock::now();
  pending->deadline = now + pending->request.timeout;
  const auto parent = ParseTraceparent(pending->request.forward.traceparent());
  if (parent) pending->parent_span = parent->span_id;
  pending->span = NextSpan(parent);
  pending->request.forward.set_traceparent(FormatTraceparent(pending->span));
  pending->bytes = pending->request.forward.body().size() +
                   pending->request.forward.key().size() +
                   kForwardOverheadBytes;
  StartAttempt(pending, now);
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

void EntryHandler::StartAttempt(const PendingRequestPtr& pending,
                                SteadyTime now) {
  if (now >= pending->deadline) {
    Finish(*pending, pending->attempts > 0
                         ? pending->fallback
                         : ReplyOf(ResultCode::kNotRunDeadline));
    return;
  }
  const auto target = ChooseTarget(*pending, now);
  if (!target) {
    pending->attempted_route = {};
    ScheduleRetry(pending, ResultCode::kNotRunNoOwner, kBaseBackoff * 2, now);
    return;
  }
  if (target->remote_region && !TakeLinkBudget(pending, *target, now)) return;
  if (pending->charge_retry_budget) {
    if (!retry_budget_.TryRetry(pending->request.kind.rank())) {
      metrics_.Add("retries_refused_total", "", 1);
      Finish(*pending, pending->fallback);
      return;
    }
    pending->charge_retry_budget = false;
    metrics_.Add("retries_total", "", 1);
  }
  SendAttempt(pending, *target, now);
}

std::optional<EntryHandler::Target> EntryHandler::ChooseTarget(
    PendingRequest& pending, SteadyTime now) {
  const auto service =
      snapshot_->services.find(pending.request.forward.service());
  if (service == snapshot_->services.end()) return std::nullopt;
  if (pending.request.partition) {
    if (*pending.request.partition >= service->second.partitions.size()) {
      return std::nullopt;
    }
    const PartitionRoute& route =
        service->second.partitions[*pending.request.partition];
    return TargetOf(route.owner, route.epoch);
  }
  const auto balancer = balancers_.find(service->first);
  if (balancer == balancers_.end()) return std::nullopt;
  const auto picked = balancer->second.Pick(pending.tried_endpoints, now);
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
  target.route_key = {endpoint, route.primary, route.term, epoch};
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

bool EntryHandler::TakeLinkBudget(const PendingRequestPtr& pending,
                                  const Target& target, SteadyTime now) {
  const schema::Rank rank = pending->request.kind.rank();
  const LinkCause cause =
      pending->attempts > 0 ? LinkCause::kRetry : LinkCause::kRequest;
  if (link_shaper_.TrySend(rank, pending->bytes, cause, now)) {
    metrics_.Add(
        "link_bytes_total",
        cause == LinkCause::kRetry ? "cause=\"retry\"" : "cause=\"request\"",
        pending->bytes);
    return true;
  }
  pending->attempted_route = target.route_key;
  ScheduleRetry(pending, ResultCode::kNotRunLinkBudget,
                link_shaper_.TimeUntilSend(rank, now), now);
  return false;
}

void EntryHandler::SendAttempt(const PendingRequestPtr& pending,
                               const Target& target, SteadyTime now) {
  ++pending->attempts;
  pending->attempted_route = target.route_key;
  pending->tried_endpoints.insert(target.endpoint);
  if (!pending->request.partition) {
    balancers_.at(pending->request.forward.service()).OnSent(target.endpoint);
  }
  schema::ForwardRequest forward = pending->request.forward;
  forward.set_endpoint(target.endpoint);
  *forward.mutable_term() = ToProto(target.term);
  auto done = [this, pending, target, now](schema::ForwardReply reply) {
    OnReply(pending, target, now, std::move(reply));
  };
  if (!target.local) {
    const auto remaining =
        std::chrono::ceil<Milliseconds>(pending->deadline - now);
    forward.set_remaining_ms(static_cast<std::uint32_t>(remaining.count()));
    forward_client_.Forward(target.address, std::move(forward),
                            pending->deadline, std::move(done));
    return;
  }
  DispatchJob job;
  job.request = std::move(forward);
  job.kind = pending->request.kind;
  job.kind_number = pending->request.kind_number;
  job.partition = pending->request.partition;
  job.deadline = pending->deadline;
  job.done = std::move(done);
  dispatch_(std::move(job));
}

void EntryHandler::OnReply(const PendingRequestPtr& pending,
                           const Target& target, SteadyTime sent,
                           schema::ForwardReply reply) {
  const SteadyTime now = std::chrono::steady_clock::now();
  const auto code = static_cast<ResultCode>(reply.code());
  ReportToBalancer(*pending, target, code, sent, now);
  if (target.remote_region) {
    metrics_.Add("link_bytes_total", "cause=\"answer\"",
                 reply.body().size() + kForwardOverheadBytes);
  }
  const bool idempotent = pending->request.kind.idempotent();
  if (idempotent && IsUnknown(code)) pending->unknown_outcome = code;
  if (ProvesNeverRun(code)) pending->proven_never_run = code;
  const RetryRule rule = RetryRuleOf(code, idempotent);
  const bool sent_nothing = AttemptSentNothing(code, target.local);
  if (sent_nothing) --pending->attempts;
  if (rule == RetryRule::kNone || pending->attempts >= options_.max_attempts ||
      now >= pending->deadline ||
      (rule == RetryRule::kOtherEndpoint && pending->request.partition)) {
    Finish(*pending, std::move(reply));
    return;
  }
  pending->fallback = std::move(reply);
  pending->charge_retry_budget = pending->charge_retry_budget || !sent_nothing;
  if (!pending->request.partition && !sent_nothing) {
    StartAttempt(pending, now);  // at once, at another endpoint
    return;
  }
  const Milliseconds backoff =
      kBaseBackoff * (1U << std::min(pending->attempts, kMaxBackoffShift));
  ScheduleRetry(
      pending, code,
      code == ResultCode::kNotRunNoConnection ? kNoConnectionBackoff : backoff,
      now);
}

void EntryHandler::ReportToBalancer(const PendingRequest& pending,
                                    const Target& target, ResultCode code,
                                    SteadyTime sent, SteadyTime now) {
  if (pending.request.partition) return;
  const auto balancer = balancers_.find(pending.request.forward.service());
  if (balancer == balancers_.end()) return;
  balancer->second.OnFinished(target.endpoint, OutcomeOf(code),
                              Elapsed(sent, now), now);
}

void EntryHandler::ScheduleRetry(const PendingRequestPtr& pending,
                                 ResultCode reason, Microseconds delay,
                                 SteadyTime now) {
  if (pending->fallback.code() == 0) pending->fallback = ReplyOf(reason);
  if (waiting_.size() >= options_.max_waiting ||
      waiting_bytes_ + pending->bytes > options_.max_waiting_bytes) {
    Finish(*pending, pending->fallback);
    return;
  }
  pending->retry_at = std::min<SteadyTime>(now + delay, pending->deadline);
  waiting_bytes_ += pending->bytes;
  waiting_.push_back(pending);
}

bool EntryHandler::RouteChanged(const PendingRequest& pending) const {
  if (!pending.request.partition) return true;
  const auto service =
      snapshot_->services.find(pending.request.forward.service());
  if (service == snapshot_->services.end() ||
      *pending.request.partition >= service->second.partitions.size()) {
    return true;
  }
  const PartitionRoute& route =
      service->second.partitions[*pending.request.partition];
  const auto target = TargetOf(route.owner, route.epoch);
  return target && target->route_key != pending.attempted_route;
}

void EntryHandler::Tick(SteadyTime now) {
  std::vector<PendingRequestPtr> ready;
  std::erase_if(waiting_, [&](const PendingRequestPtr& pending) {
    if (pending->retry_at > now) return false;
    waiting_bytes_ -= pending->bytes;
    ready.push_back(pending);
    return true;
  });
  for (const PendingRequestPtr& pending : ready) {
    if (now >= pending->deadline) {
      Finish(*pending, pending->fallback);
    } else {
      // Endpoints that were tried before may be the only ones left.
      pending->tried_endpoints.clear();
      StartAttempt(pending, now);
    }
  }
}

void EntryHandler::ReportLoad(Microseconds loop_delay,
                              std::size_t memory_bytes) {
  overload_guard_.Update(loop_delay, memory_bytes);
}

void EntryHandler::Finish(PendingRequest& pending, schema::ForwardReply reply) {
  const SteadyTime now = std::chrono::steady_clock::now();
  auto code = static_cast<ResultCode>(reply.code());
  if (IsNotRun(code) && pending.unknown_outcome) {
    code = *pending.unknown_outcome;
    reply = ReplyOf(code);
  }
  // Only the primary router of the owner knows whether an earlier attempt was
  // executed.
  const bool repeat = !pending.request.kind.idempotent() &&
                      !pending.request.forward.first_attempt();
  if (IsNotRun(code) && repeat && pending.proven_never_run != code) {
    code = ResultCode::kUnknownEarlierAttempt;
    reply = ReplyOf(code);
  }
  const auto latency = Elapsed(pending.started, now);
  const schema::KindConfig& kind = pending.request.kind;
  const bool in_target =
      code == ResultCode::kOk &&
      (kind.target_ms() == 0 || latency <= Milliseconds(kind.target_ms()));
  metrics_.RecordRequest(kind.rank(), ResultClass(code), reply.code(), latency,
                         in_target);
  RecordSpan(pending, reply.code(), now);
  pending.respond(ResponseOf(reply, pending.request.forward.request_id()));
}

void EntryHandler::RecordSpan(const PendingRequest& pending, unsigned code,
                              SteadyTime now) {
  schema::Span span;
  span.set_trace_id(pending.span.trace_id);
  span.set_span_id(pending.span.span_id);
  span.set_parent_span_id(pending.parent_span);
  span.set_name("entry");
  span.set_router(snapshot_->self.id);
  span.set_request_id(pending.request.forward.request_id());
  span.set_start_us(std::chrono::duration_cast<Microseconds>(
                        pending.started_wall.time_since_epoch())
                        .count());
  span.set_duration_us(Elapsed(pending.started, now).count());
  span.set_code(code);
  span.set_endpoint(std::get<0>(pending.attempted_route));
  traces_.Record(std::move(span), pending.span.sampled);
}

}  // namespace balsamhall
