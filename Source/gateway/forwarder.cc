#include "gateway/forwarder.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <ranges>
#include <set>
#include <tuple>
#include <utility>

#include "telemetry/event_log.h"

namespace balsamhall::gateway {
namespace {

// Interval at which waiting requests are scheduled again; shorter than the
// shortest service time, so that a free slot does not stay idle for long.
constexpr Milliseconds kAdvanceInterval{8};
// Connecting to an endpoint takes one round trip; if it takes longer, packets
// were lost.
constexpr Milliseconds kConnectTimeout{250};
// An idle connection to an endpoint is reused within this time, or less if the
// endpoint states a shorter one.
constexpr Milliseconds kMaxIdle{8'000};
// Requests that must not run twice reuse only connections that were idle for
// less than this: on one that the endpoint has closed meanwhile, the outcome
// would be unknown.
constexpr Milliseconds kMaxIdleNonIdempotent{600};
constexpr std::size_t kConnectionsPerEndpoint = 12;
// Share of the process's memory for bodies of responses; the rest is for
// everything else. One alone reaches at most half of it (BodyMemory).
constexpr std::size_t kResponsesDivisor = 4;
// Network delay of the response, by distance. The time limit sent to the
// endpoint is that much shorter than the caller's.
constexpr Milliseconds kOneWayDelaySameRegion{4};
constexpr Milliseconds kOneWayDelayOtherRegion{24};
// An attempt of an idempotent request times out after this multiple of the mean
// service time, but not before kMinAttemptTimeout. The request is then retried
// if another endpoint can still respond in time, or if its endpoint has
// meanwhile responded to a request that was sent at least kOvertakeMargin
// later: that means that the connection is dead or that the endpoint dropped
// the request. Otherwise the request may be queued at the endpoint, and a retry
// would waste its work; it is checked again every kAttemptRecheckInterval.
constexpr int kAttemptTimeoutFactor = 6;
constexpr Milliseconds kMinAttemptTimeout{300};
constexpr Milliseconds kOvertakeMargin{100};
constexpr Milliseconds kAttemptRecheckInterval{100};
// Delay before a keyed request is retried, in which the gateway reads the
// current lease table or the lease is renewed.
constexpr Milliseconds kKeyedRetryDelay{60};
// Maximum number of attempts of which no byte was sent; they do not count
// towards the route's max_attempts.
constexpr unsigned kMaxUnsentAttempts = 4;
// Retry-After for callers that a starting gateway cannot serve, and wherever
// the scheduler gives none.
constexpr Milliseconds kDefaultRetryAfter{300};
// Retry-After for a route or service that this version of the gateway cannot
// serve: only another configuration helps.
constexpr Milliseconds kUnusableRetryAfter{2'000};
// A request whose deadline is below this share of the route's longest one is a
// retry by the caller, which has spent the rest on earlier attempts.
constexpr double kRetryDeadlineShare = 0.95;
// Number of gateways assumed until it is known: large, so that this gateway's
// part of the retry budget is small.
constexpr std::size_t kAssumedGateways = 32;
// Maximum number of key samples per service between two reports.
constexpr std::size_t kMaxKeySamples = 4'000;
// Maximum number of executed keys that are kept for a connection.
constexpr std::size_t kMaxExecutedKeys = 512;
// Endpoints of a service that are logged one by one when they turn cold or
// warm within a second.
constexpr std::size_t kMaxColdLines = 30;

constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirectedRequest = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;

// Returns whether a caller takes the status as a promise that its request did
// not run and never will.
bool PromisesNotExecuted(unsigned status) {
  return status == kRequestTimeout || status == kMisdirectedRequest ||
         status == kTooManyRequests || status == kServiceUnavailable;
}

SteadyTime Now() { return std::chrono::steady_clock::now(); }

WallTime WallNow() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
}

Milliseconds ToMilliseconds(SteadyTime::duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration);
}

std::string FormatDuration(Milliseconds duration) {
  return std::to_string(duration.count()) + "ms";
}

ResultCode CodeOf(RejectReason reason) {
  switch (reason) {
    case RejectReason::kNoEndpoint:
    case RejectReason::kOutsideRegions:
    case RejectReason::kEvacuated:
    case RejectReason::kNoLease:
      return ResultCode::kNotRunNoOwner;
    case RejectReason::kEndpointFailing:
      return ResultCode::kNotRunNoConnection;
    case RejectReason::kOverload:
    case RejectReason::kEndpointsPaused:
    case RejectReason::kEndpointCold:
      return ResultCode::kNotRunQueueFull;
    case RejectReason::kTooLate:
      break;
  }
  return ResultCode::kNotRunDeadline;
}

schema::Rank RankOf(const Route& route) {
  return static_cast<schema::Rank>(std::clamp(route.rank, 0, 2));
}

}  // namespace

struct Forwarder::ServiceState {
  ServiceState(const GatewaySettings& settings, const EndpointNotices& notices,
               std::uint32_t seed, double allowance)
      : scheduler(settings, notices, seed),
        retries(settings.retry_window, settings.retry_ratio, allowance) {}

  ServiceId name;
  Scheduler scheduler;
  RetryWindow retries;
  std::shared_ptr<const LeaseTable> leases;
  unsigned cold_budget = 0;    // of requests to a cold endpoint; 0: no limit
  std::set<EndpointRef> cold;  // as reported last
};

struct Forwarder::Exchange {
  std::uint64_t id = 0;
  std::uint64_t connection = 0;
  HttpRequest request;
  HttpServer::Respond respond;  // empty after the response
  bool caller_left = false;     // perhaps; it may still read
  CallerRequest caller;
  std::shared_ptr<const RouteTable> routes;  // owns route
  const Route* route = nullptr;
  ServiceState* service = nullptr;
  Job job;
  SteadyTime deadline;
  // The attempt in progress; client is nullptr if there is none.
  HttpClient* client = nullptr;
  EndpointInfo endpoint;
  std::uint64_t http_exchange = 0;
  std::uint64_t attempt_id = 0;
  SteadyTime sent_at;
  // Attempts so far, including the one in progress.
  unsigned attempts = 0;         // without the unsent ones
  unsigned unsent_attempts = 0;  // no byte was sent
  std::vector<EndpointRef> sent_to;
  bool may_have_run = false;
  std::string history;
};

struct Forwarder::Timers {
  explicit Timers(boost::asio::io_context& loop) : timer(loop) {}

  // Due time, exchange id, attempt id (0: the deadline of the exchange).
  std::set<std::tuple<SteadyTime, std::uint64_t, std::uint64_t>> due;
  boost::asio::steady_timer timer;
  SteadyTime armed = SteadyTime::max();
};

Forwarder::Forwarder(boost::asio::io_context& loop,
                     const GatewaySettings& settings,
                     const BackendDialect& dialect, EndpointNotices& notices,
                     Metrics& metrics)
    : loop_(loop),
      settings_(settings),
      dialect_(dialect),
      notices_(notices),
      metrics_(metrics),
      cold_start_gateways_(settings.id),
      response_memory_(std::make_shared<BodyMemory>(settings.memory_bytes /
                                                    kResponsesDivisor)),
      timers_(std::make_unique<Timers>(loop)) {}

Forwarder::~Forwarder() = default;

Forwarder::Exchange* Forwarder::Find(std::uint64_t id) {
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : found->second.get();
}

Forwarder::ServiceState& Forwarder::Service(const ServiceId& name) {
  auto& state = services_[name];
  if (!state) {
    const auto count = gateway_count_ > 0 ? gateway_count_ : kAssumedGateways;
    state = std::make_unique<ServiceState>(
        settings_, notices_,
        static_cast<std::uint32_t>(
            std::hash<std::string>{}(settings_.id + name)),
        settings_.retry_slack / static_cast<double>(count));
    state->name = name;
    state->scheduler.SetEvacuated(evacuated_);
  }
  return *state;
}

void Forwarder::SetGatewayCount(std::size_t count) {
  if (count == gateway_count_ || count == 0) return;
  gateway_count_ = count;
  for (auto& service : services_ | std::views::values) {
    service->retries.set_allowance(settings_.retry_slack /
                                   static_cast<double>(count));
  }
}

void Forwarder::SetGateways(const std::vector<GatewayPlace>& gateways,
                            std::optional<SteadyTime> as_of) {
  if (as_of && !gateways.empty()) {
    cold_start_gateways_.SetList(gateways, *as_of, Now());
  }
  SetGatewayCount(gateways.size());
}

bool Forwarder::LimitsColdEndpoints(const ServiceId& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second->cold_budget > 0;
}

void Forwarder::LimitColdEndpoints(ServiceState& service) {
  const ServiceSpec* const spec = routes_->Service(service.name);
  const double bound =
      spec == nullptr || spec->warm_up_per_second <= 0
          ? 0
          : spec->warm_up_per_second * settings_.warm_up_overage +
                settings_.warm_up_slack;
  service.cold_budget = ColdStartBudget(bound);
  service.scheduler.SetColdLimit(&cold_start_gateways_, service.cold_budget);
}

void Forwarder::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  routes_ = std::move(routes);
  for (const auto& [name, spec] : routes_->config().services) {
    ServiceState& service = Service(name);
    if (spec.sharded_by_key && !service.leases) {
      service.scheduler.SetLeases(nullptr, Now());
    }
  }
  NarrowRegions();
  for (auto& service : services_ | std::views::values) {
    LimitColdEndpoints(*service);
  }
  SetEndpoints(endpoints_);
}

void Forwarder::NarrowRegions() {
  std::map<ServiceState*,
           std::unordered_map<std::uint64_t, std::vector<std::string>>>
      narrowed;
  for (const auto& exchange : exchanges_ | std::views::values) {
    const Route* const route =
        routes_->Match(exchange->caller.host, exchange->request.target);
    // A request without a route any more ends under that of its arrival. What
    // an unusable route allows is not known.
    if (route == nullptr) continue;
    std::vector<std::string>& regions = exchange->job.allowed_regions;
    auto common = route->unusable.empty()
                      ? CommonRegions(regions, route->allowed_regions)
                      : NoRegions();
    if (common == regions) continue;
    regions = std::move(common);
    narrowed[exchange->service].emplace(exchange->id, regions);
  }
  for (const auto& [service, regions] : narrowed) {
    service->scheduler.SetAllowedRegions(regions);
    LogEvent(EventLevel::kInfo, "regions_narrowed", 0,
             {{"service", service->name},
              {"requests", std::to_string(regions.size())},
              {"config", std::to_string(routes_->config().version)}});
  }
}

void Forwarder::SetEvacuated(
    const std::map<std::string, SteadyTime>& keys_until) {
  evacuated_ = keys_until;
  const auto now = Now();
  for (auto& service : services_ | std::views::values) {
    service->scheduler.SetEvacuated(keys_until);
    ApplyDecisions(*service, service->scheduler.Advance(now));
  }
}

void Forwarder::SetEndpoints(const std::vector<EndpointInfo>& endpoints) {
  endpoints_ = endpoints;
  const auto now = Now();
  for (auto& [name, service] : services_) {
    std::vector<EndpointInfo> usable;
    std::ranges::copy_if(endpoints_, std::back_inserter(usable),
                         [&name = name](const EndpointInfo& endpoint) {
                           return endpoint.service == name &&
                                  !endpoint.draining;
                         });
    service->scheduler.SetEndpoints(usable, now);
    ApplyDecisions(*service, service->scheduler.Advance(now));
  }
}

void Forwarder::SetLeases(std::shared_ptr<const LeaseTable> leases) {
  ServiceState& service = Service(leases->service);
  service.leases = std::move(leases);
  const auto now = Now();
  service.scheduler.SetLeases(service.leases.get(), now);
  ApplyDecisions(service, service.scheduler.Advance(now));
}

HttpClient& Forwarder::ClientOf(const EndpointInfo& endpoint) {
  auto& client = clients_[{endpoint.ref, endpoint.address}];
  if (!client) {
    HttpClientOptions options;
    options.max_connections = kConnectionsPerEndpoint;
    options.connect_timeout = kConnectTimeout;
    options.max_body_bytes = settings_.memory_bytes / kResponsesDivisor / 2;
    options.answer_memory = response_memory_;
    options.accept_unframed = true;
    options.max_idle = kMaxIdle;
    options.named_request = [this](const HttpRequest& request,
                                   const HttpResponse& response) {
      return dialect_.RequestNamedBy(request, response);
    };
    client = std::make_unique<HttpClient>(loop_, endpoint.address, options);
  }
  return *client;
}

void Forwarder::OnRequest(HttpRequest request, HttpServer::Respond respond) {
  const auto now = Now();
  CallerRequest caller = dialect_.ReadCallerRequest(request);
  const auto refuse = [&](unsigned status, ResultCode code,
                          std::optional<Milliseconds> retry_after) {
    log_.Write(RequestLog::Kind::kFailed, "request_refused",
               static_cast<unsigned>(code),
               {{"request", caller.id},
                {"host", caller.host},
                {"target", request.target},
                {"status", std::to_string(status)},
                {"config",
                 routes_ ? std::to_string(routes_->config().version) : "none"}},
               now);
    respond(dialect_.MakeErrorResponse(status, caller, retry_after, code));
  };
  if (!routes_) {
    return refuse(503, ResultCode::kNotRunNoOwner, kDefaultRetryAfter);
  }
  const Route* const route = routes_->Match(caller.host, request.target);
  if (route == nullptr) {
    return refuse(404, ResultCode::kNotRunUnknownService, std::nullopt);
  }
  if (!route->unusable.empty()) {
    return refuse(503, ResultCode::kNotRunUnknownService, kUnusableRetryAfter);
  }
  const ServiceId& picked = split_.Pick(*route);
  const ServiceSpec* const spec = routes_->Service(picked);
  if (spec != nullptr && !spec->unusable.empty()) {
    return refuse(503, ResultCode::kNotRunUnknownService, kUnusableRetryAfter);
  }

  auto exchange = std::make_unique<Exchange>();
  exchange->id = ++last_id_;
  exchange->connection = request.connection;
  exchange->respond = std::move(respond);
  exchange->routes = routes_;
  exchange->route = route;
  ServiceState& service = Service(picked);
  exchange->service = &service;
  const Milliseconds caller_timeout = caller.deadline.value_or(route->timeout);
  exchange->deadline = now + std::min(route->timeout, caller_timeout);
  // Such a request could be cut off, although another gateway can serve it.
  if (stop_ && now > stop_->last_arrival && exchange->deadline > stop_->end) {
    respond = std::move(exchange->respond);
    return refuse(503, ResultCode::kNotRunStopping, Milliseconds(0));
  }

  // A caller's retry has less than the full deadline left: its first attempt
  // started that much earlier.
  Milliseconds& max_deadline = max_deadlines_[route->name];
  max_deadline = std::max(max_deadline, caller_timeout);
  const bool is_retry =
      static_cast<double>(caller_timeout.count()) <
      kRetryDeadlineShare * static_cast<double>(max_deadline.count());
  const Milliseconds elapsed =
      is_retry ? max_deadline - caller_timeout : Milliseconds(0);

  Job& job = exchange->job;
  job.id = exchange->id;
  job.kind = route->name;
  job.rank = route->rank;
  job.idempotent = route->idempotent;
  job.arrival = now;
  job.target_latency = route->target_latency;
  job.target = now - elapsed + route->target_latency;
  job.deadline = exchange->deadline;
  job.not_before = now;
  job.key = caller.key;
  job.request_bytes = request.body.size();
  job.allowed_regions = route->allowed_regions;

  if (spec != nullptr && spec->sharded_by_key && caller.key) {
    auto& samples = key_samples_[service.name];
    if (samples.size() < kMaxKeySamples) samples.push_back(*caller.key);
  }
  service.retries.OnRequest(now);
  exchange->caller = std::move(caller);
  exchange->request = std::move(request);
  timers_->due.emplace(exchange->deadline, exchange->id, 0);
  by_connection_.emplace(exchange->connection, exchange->id);
  if (exchange->request.pipelined) {
    metrics_.Add("requests_pipelined_total", "service=\"" + service.name + "\"",
                 1);
  }
  Job submitted = job;
  exchanges_.emplace(exchange->id, std::move(exchange));
  ApplyDecisions(service, service.scheduler.Submit(std::move(submitted), now));
  ScheduleTimer();
}

void Forwarder::ApplyDecisions(ServiceState& service,
                               const Decisions& decisions) {
  for (const Placement& placement : decisions.placements) {
    if (Exchange* const exchange = Find(placement.job)) {
      Send(*exchange, placement);
    } else {
      service.scheduler.OnCancelled(placement.job, placement.endpoint.ref);
    }
  }
  for (const Rejection& rejection : decisions.rejections) {
    if (Exchange* const exchange = Find(rejection.job)) {
      Reject(*exchange, rejection);
    }
  }
}

SteadyTime Forwarder::AttemptDeadline(const Exchange& exchange) const {
  const Route& route = *exchange.route;
  const auto service_time = exchange.service->scheduler.ServiceTime(route.name);
  if (!route.idempotent || service_time.count() == 0) return exchange.deadline;
  const auto limit =
      exchange.sent_at +
      std::max(service_time * kAttemptTimeoutFactor, kMinAttemptTimeout);
  // A retry that cannot finish in time is useless.
  return limit + service_time * 2 < exchange.deadline ? limit
                                                      : exchange.deadline;
}

Milliseconds Forwarder::MaxIdle(const Exchange& exchange) {
  // On a reused connection, nothing would tell the answer from an earlier one.
  if (exchange.caller.id.empty() ||
      std::ranges::find(exchange.sent_to, exchange.endpoint.ref) !=
          exchange.sent_to.end()) {
    return Milliseconds(0);
  }
  return exchange.route->idempotent ? kMaxIdle : kMaxIdleNonIdempotent;
}

void Forwarder::Send(Exchange& exchange, const Placement& placement) {
  const auto now = Now();
  const bool far = settings_.DistanceTo(placement.endpoint.data_centre) ==
                   Distance::kOtherRegion;
  const auto left = ToMilliseconds(exchange.deadline - now) -
                    (far ? kOneWayDelayOtherRegion : kOneWayDelaySameRegion);
  if (left.count() <= 0) {
    exchange.service->scheduler.OnCancelled(placement.job,
                                            placement.endpoint.ref);
    return Reject(exchange, {placement.job, RejectReason::kTooLate,
                             Milliseconds(0), Milliseconds(0)});
  }
  exchange.endpoint = placement.endpoint;
  exchange.sent_at = now;
  ++exchange.attempt_id;
  ++exchange.attempts;
  metrics_.Add("placements_total", "service=\"" + exchange.service->name + "\"",
               1);
  if (exchange.attempts > 1) {
    metrics_.Add("repeats_total", "service=\"" + exchange.service->name + "\"",
                 1);
  }
  exchange.client = &ClientOf(exchange.endpoint);
  exchange.http_exchange = exchange.client->Send(
      dialect_.ToBackend(exchange.request, exchange.endpoint.ref, left),
      // The deadline timer ends the exchange. This time-out only matters for a
      // request that is still running after its caller got a response.
      ToMilliseconds(exchange.deadline - now) + kOneWayDelayOtherRegion,
      [this, id = exchange.id,
       attempt_id = exchange.attempt_id](AttemptOutcome outcome) {
        OnOutcome(id, attempt_id, std::move(outcome));
      },
      MaxIdle(exchange));
  exchange.sent_to.push_back(exchange.endpoint.ref);
  const auto limit = AttemptDeadline(exchange);
  if (limit < exchange.deadline) {
    timers_->due.emplace(limit, exchange.id, exchange.attempt_id);
    ScheduleTimer();
  }
}

void Forwarder::OnOutcome(std::uint64_t id, std::uint64_t attempt_id,
                          AttemptOutcome outcome) {
  Exchange* const exchange = Find(id);
  if (exchange == nullptr || exchange->attempt_id != attempt_id ||
      exchange->client == nullptr) {
    return;
  }
  ServiceState& service = *exchange->service;
  exchange->client = nullptr;
  if (outcome.response) {
    OnResponse(*exchange, std::move(*outcome.response), outcome.connection);
  } else {
    const HttpFailure failure = outcome.error.failure;
    const EndpointFailure kind =
        failure == HttpFailure::kNotSent   ? EndpointFailure::kUnreachable
        : failure == HttpFailure::kTimeout ? EndpointFailure::kTimeout
        : outcome.error.too_large          ? EndpointFailure::kTooLarge
                                           : EndpointFailure::kBadResponse;
    OnAttemptFailed(*exchange, kind, failure == HttpFailure::kNotSent,
                    outcome.error.detail);
  }
  // The end of this attempt may have freed a slot for a waiting request.
  ApplyDecisions(service, service.scheduler.Advance(Now()));
  ScheduleTimer();
}

void Forwarder::OnResponse(Exchange& exchange, HttpResponse response,
                           std::uint64_t connection) {
  const auto now = Now();
  const BackendResponse backend_response =
      dialect_.ReadBackendResponse(response);
  RecordNotices(exchange, backend_response, now);
  SteadyTime& newest = newest_responded_[exchange.endpoint.ref];
  newest = std::max(newest, exchange.sent_at);
  Scheduler& scheduler = exchange.service->scheduler;
  if (backend_response.not_executed) {
    if (backend_response.wrong_endpoint) {
      scheduler.OnFailure(exchange.id, exchange.endpoint.ref,
                          EndpointFailure::kReplaced, now);
      LogEvent(EventLevel::kInfo, "endpoint_replaced", 0,
               {{"endpoint", exchange.endpoint.ref.ToString()},
                {"address", exchange.endpoint.address},
                {"request", exchange.caller.id}});
    } else {
      const bool rejecting = scheduler.OnShed(
          exchange.id, exchange.endpoint.ref, backend_response.load, now,
          backend_response.lacks_lease);
      if (rejecting) {
        log_.Write(RequestLog::Kind::kFailed, "endpoint_rejecting", 0,
                   {{"request", exchange.caller.id},
                    {"endpoint", exchange.endpoint.ref.ToString()},
                    {"running", std::to_string(backend_response.load->running)},
                    {"waiting", std::to_string(backend_response.load->waiting)},
                    {"slots", std::to_string(backend_response.load->slots)}},
                   now);
      }
    }
    return OnNotExecuted(exchange, backend_response, response.status);
  }
  const bool success = response.status >= 200 && response.status < 300;
  if (!backend_response.from_endpoint && success) {
    return OnAttemptFailed(exchange, EndpointFailure::kBadResponse, false,
                           "response without the endpoint's mark");
  }
  if (success) RecordExecutedKey(exchange, connection);
  // Only a response that states the opposite proves that the request did not
  // run.
  exchange.may_have_run = true;
  const bool false_promise = PromisesNotExecuted(response.status);
  if (response.status >= 500 || false_promise) {
    scheduler.OnFailure(exchange.id, exchange.endpoint.ref,
                        EndpointFailure::kBadResponse, now);
    exchange.history += exchange.endpoint.ref.id + ":status " +
                        std::to_string(response.status) + ";";
    if (exchange.route->idempotent &&
        RetryIfAllowed(exchange, true, "error response")) {
      return;
    }
  } else {
    scheduler.OnResponse(exchange.id, exchange.endpoint.ref,
                         exchange.route->name,
                         ToMilliseconds(now - exchange.sent_at),
                         response.body.size(), backend_response.load, now);
  }
  if (false_promise) {
    return FinishWithoutResponse(exchange,
                                 "status " + std::to_string(response.status));
  }
  Finish(exchange, dialect_.ToCaller(std::move(response)), ResultCode::kOk,
         success ? "served" : "endpoint_error");
}

void Forwarder::RecordNotices(const Exchange& exchange,
                              const BackendResponse& backend_response,
                              SteadyTime now) {
  // An endpoint that rejects a request for another one states only its id.
  const EndpointRef responder =
      backend_response.other_endpoint.empty()
          ? exchange.endpoint.ref
          : EndpointRef{backend_response.other_endpoint, 0};
  if (backend_response.pause) {
    notices_.OnPauseRequested(responder, *backend_response.pause, now,
                              WallNow());
    metrics_.Add("endpoint_pauses_total",
                 "service=\"" + exchange.service->name + "\"", 1);
    log_.Write(RequestLog::Kind::kFailed, "endpoint_paused", 0,
               {{"request", exchange.caller.id},
                {"endpoint", responder.ToString()},
                {"pause", FormatDuration(*backend_response.pause)}},
               now);
  }
  if (!backend_response.leaving ||
      !notices_.OnLeaving(responder, now, WallNow())) {
    return;
  }
  LogEvent(EventLevel::kInfo, "endpoint_leaving", 0,
           {{"endpoint", responder.ToString()},
            {"source", "response"},
            {"request", exchange.caller.id}});
  if (leaving_) leaving_(responder);
}

void Forwarder::RecordExecutedKey(const Exchange& exchange,
                                  std::uint64_t connection) {
  if (!exchange.job.key || !exchange.service->leases) return;
  std::vector<ShardKey>& keys = executed_keys_[{
      exchange.endpoint.ref, exchange.endpoint.address}][connection];
  const auto position = std::ranges::lower_bound(keys, *exchange.job.key);
  const bool known = position != keys.end() && *position == *exchange.job.key;
  if (!known && keys.size() < kMaxExecutedKeys) {
    keys.insert(position, *exchange.job.key);
  }
}

bool Forwarder::SendOnRequestConnection(const LeaseHolder& holder,
                                        const KeyRange& range,
                                        HttpRequest request,
                                        Milliseconds timeout,
                                        HttpClient::Callback done) {
  const auto client = clients_.find({holder.ref, holder.address});
  const auto executed = executed_keys_.find({holder.ref, holder.address});
  if (client == clients_.end() || executed == executed_keys_.end()) {
    return false;
  }
  // The most recently used one is the least likely to have been closed.
  auto idle = client->second->IdleConnections();
  std::ranges::reverse(idle);
  const auto connection = std::ranges::find_if(idle, [&](std::uint64_t number) {
    const auto keys = executed->second.find(number);
    if (keys == executed->second.end()) return false;
    const auto key = std::ranges::lower_bound(keys->second, range.first);
    return key != keys->second.end() && range.Contains(*key);
  });
  if (connection == idle.end()) return false;
  client->second->SendOn(*connection, std::move(request), timeout,
                         std::move(done));
  return true;
}

void Forwarder::OnNotExecuted(Exchange& exchange,
                              const BackendResponse& backend_response,
                              unsigned status) {
  exchange.history += exchange.endpoint.ref.id + ":not-executed " +
                      std::to_string(status) + ";";
  const bool keyed = exchange.job.key && exchange.service->leases;
  if (keyed && backend_response.lacks_lease) {
    if (stale_lease_) stale_lease_(exchange.service->name);
  }
  if (RetryIfAllowed(exchange, true, "not executed")) return;
  const auto left = ToMilliseconds(exchange.deadline - Now());
  Reject(exchange, {exchange.id,
                    backend_response.lacks_lease ? RejectReason::kNoLease
                                                 : RejectReason::kOverload,
                    std::min(kDefaultRetryAfter, left / 4), Milliseconds(0)});
}

void Forwarder::OnAttemptFailed(Exchange& exchange, EndpointFailure failure,
                                bool not_sent, const std::string& detail) {
  exchange.service->scheduler.OnFailure(exchange.id, exchange.endpoint.ref,
                                        failure, Now());
  exchange.history += exchange.endpoint.ref.id + ":" + detail + ";";
  if (failure == EndpointFailure::kTooLarge) {
    metrics_.Add("responses_too_large_total",
                 "service=\"" + exchange.service->name + "\",endpoint=\"" +
                     exchange.endpoint.ref.id + "\"",
                 1);
    log_.Write(RequestLog::Kind::kFailed, "response_too_large", 0,
               {{"request", exchange.caller.id},
                {"endpoint", exchange.endpoint.ref.ToString()},
                {"address", exchange.endpoint.address},
                {"detail", detail}},
               Now());
  }
  if (not_sent) {
    // No byte was sent, so another attempt adds no load to an endpoint.
    --exchange.attempts;
    if (++exchange.unsent_attempts <= kMaxUnsentAttempts &&
        RetryIfAllowed(exchange, false, "unsent")) {
      return;
    }
  } else {
    exchange.may_have_run = true;
    if (exchange.route->idempotent &&
        RetryIfAllowed(exchange, true, "failed")) {
      return;
    }
  }
  FinishWithoutResponse(exchange, detail);
}

bool Forwarder::RetryIfAllowed(Exchange& exchange, bool capped,
                               const char* cause) {
  const auto now = Now();
  if (!exchange.respond || exchange.caller_left || now >= exchange.deadline) {
    return false;
  }
  if (capped && exchange.attempts >= exchange.route->max_attempts) return false;
  if (capped && !exchange.service->retries.TryRetry(now)) {
    exchange.history += "no retry budget;";
    metrics_.Add("repeats_refused_total",
                 "service=\"" + exchange.service->name + "\"", 1);
    return false;
  }
  Resubmit(exchange, cause);
  return true;
}

void Forwarder::Resubmit(Exchange& exchange, const char* cause) {
  const auto now = Now();
  Job& job = exchange.job;
  // Admission control would end a request that may have run with an unknown
  // outcome, although another endpoint can still serve it.
  job.admitted = exchange.may_have_run;
  if (job.key && exchange.service->leases) {
    job.not_before = now + kKeyedRetryDelay;
  } else {
    job.tried.push_back(exchange.endpoint.ref);
  }
  log_.Write(
      RequestLog::Kind::kFailed, "request_repeated", 0,
      {{"request", exchange.caller.id},
       {"cause", cause},
       {"history", exchange.history},
       {"left", FormatDuration(ToMilliseconds(exchange.deadline - now))}},
      now);
  ServiceState& service = *exchange.service;
  ApplyDecisions(service, service.scheduler.Submit(job, now));
}

void Forwarder::Reject(Exchange& exchange, const Rejection& rejection) {
  if (exchange.may_have_run) {
    return FinishWithoutResponse(
        exchange, std::string(RejectReasonName(rejection.reason)));
  }
  metrics_.Add("rejections_total",
               "service=\"" + exchange.service->name + "\",reason=\"" +
                   std::string(RejectReasonName(rejection.reason)) + "\"",
               1);
  if (rejection.reason == RejectReason::kEndpointCold) {
    metrics_.Add("cold_endpoint_rejections_total",
                 "service=\"" + exchange.service->name + "\"", 1);
  }
  const ResultCode code = CodeOf(rejection.reason);
  exchange.history += std::string(RejectReasonName(rejection.reason)) +
                      " wait " + FormatDuration(rejection.expected_wait) +
                      " retry_after " + FormatDuration(rejection.retry_after) +
                      ";";
  Finish(exchange,
         dialect_.MakeErrorResponse(503, exchange.caller, rejection.retry_after,
                                    code),
         code, "rejected");
}

void Forwarder::FinishWithoutResponse(Exchange& exchange,
                                      const std::string& detail) {
  if (!exchange.may_have_run) {
    const ResultCode code = ResultCode::kNotRunNoConnection;
    return Finish(exchange,
                  dialect_.MakeErrorResponse(503, exchange.caller,
                                             kDefaultRetryAfter, code),
                  code, detail.c_str());
  }
  const ResultCode code = ResultCode::kUnknownConnectionLost;
  Finish(exchange,
         dialect_.MakeErrorResponse(502, exchange.caller, std::nullopt, code),
         code, detail.c_str());
}

void Forwarder::Finish(Exchange& exchange, HttpResponse response,
                       ResultCode code, const char* outcome) {
  if (exchange.respond) {
    RecordEnd(exchange, response.status, code, outcome);
    std::exchange(exchange.respond, nullptr)(std::move(response));
  }
  Erase(exchange.id);
}

void Forwarder::RecordEnd(const Exchange& exchange, unsigned status,
                          ResultCode code, const char* outcome) {
  const auto now = Now();
  const auto took = now - exchange.job.arrival;
  const bool served = status < 400;
  const unsigned number = static_cast<unsigned>(code);
  metrics_.RecordRequest(RankOf(*exchange.route),
                         code == ResultCode::kOk ? "ok" : ResultClass(code),
                         number, std::chrono::duration_cast<Microseconds>(took),
                         served && now <= exchange.job.target);
  log_.Write(
      served ? RequestLog::Kind::kServed : RequestLog::Kind::kFailed, "request",
      number,
      {{"request", exchange.caller.id},
       {"route", exchange.route->name},
       {"service", exchange.service->name},
       {"config", std::to_string(exchange.routes->config().version)},
       {"key", exchange.job.key ? std::to_string(*exchange.job.key) : "none"},
       {"leases", exchange.service->leases
                      ? std::to_string(exchange.service->leases->version)
                      : "none"},
       {"endpoint", exchange.endpoint.ref.id},
       {"status", std::to_string(status)},
       {"outcome", outcome},
       {"attempts", std::to_string(exchange.attempts)},
       {"took", FormatDuration(ToMilliseconds(took))},
       {"target", FormatDuration(ToMilliseconds(exchange.job.target -
                                                exchange.job.arrival))},
       {"left", FormatDuration(ToMilliseconds(exchange.deadline - now))},
       {"history", exchange.history}},
      now);
}

void Forwarder::Erase(std::uint64_t id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  const auto [first, last] =
      by_connection_.equal_range(found->second->connection);
  const auto connection = std::find_if(
      first, last, [id](const auto& entry) { return entry.second == id; });
  if (connection != last) by_connection_.erase(connection);
  timers_->due.erase({found->second->deadline, id, 0});
  exchanges_.erase(found);
}

void Forwarder::StopAttempt(Exchange& exchange) {
  if (exchange.client == nullptr) return;
  std::exchange(exchange.client, nullptr)->Cancel(exchange.http_exchange);
}

bool Forwarder::MayOvertake(const HttpRequest& request) const {
  if (!routes_) return true;
  const Route* const route =
      routes_->Match(dialect_.ReadCallerRequest(request).host, request.target);
  return route == nullptr || !route->unusable.empty() || route->idempotent;
}

void Forwarder::OnCallerDisconnected(std::uint64_t connection) {
  const auto [first, last] = by_connection_.equal_range(connection);
  std::vector<std::uint64_t> ids;
  std::ranges::copy(std::ranges::subrange(first, last) | std::views::values,
                    std::back_inserter(ids));
  std::ranges::sort(ids);
  const auto now = Now();
  // All are cancelled before a freed slot is given to another request, which
  // could be one of them.
  std::set<ServiceState*> services;
  for (const std::uint64_t id : ids) {
    Exchange* const exchange = Find(id);
    if (exchange == nullptr || exchange->caller_left) continue;
    services.insert(exchange->service);
    OnCallerLeft(*exchange, now);
  }
  for (ServiceState* const service : services) {
    ApplyDecisions(*service, service->scheduler.Advance(now));
  }
}

void Forwarder::OnCallerLeft(Exchange& exchange, SteadyTime now) {
  log_.Write(
      RequestLog::Kind::kFailed, "caller_left",
      static_cast<unsigned>(ResultCode::kNotRunCancelled),
      {{"request", exchange.caller.id},
       {"route", exchange.route->name},
       {"endpoint", exchange.endpoint.ref.id},
       {"after", FormatDuration(ToMilliseconds(now - exchange.job.arrival))}},
      now);
  exchange.caller_left = true;
  ServiceState& service = *exchange.service;
  if (exchange.client != nullptr && !exchange.route->idempotent) return;
  if (exchange.client != nullptr) {
    service.scheduler.OnCancelled(exchange.id, exchange.endpoint.ref);
    StopAttempt(exchange);
    exchange.may_have_run = true;
  } else {
    service.scheduler.Remove(exchange.id);
  }
  if (const auto respond = std::exchange(exchange.respond, nullptr)) {
    respond(exchange.may_have_run
                ? dialect_.MakeErrorResponse(502, exchange.caller, std::nullopt,
                                             ResultCode::kUnknownConnectionLost)
                : dialect_.MakeErrorResponse(503, exchange.caller,
                                             kDefaultRetryAfter,
                                             ResultCode::kNotRunCancelled));
  }
  Erase(exchange.id);
}

void Forwarder::OnDeadline(std::uint64_t id) {
  Exchange* const exchange = Find(id);
  if (exchange == nullptr || !exchange->respond) return;
  if (exchange->client == nullptr) {
    exchange->service->scheduler.Remove(id);
    return Reject(*exchange, {id, RejectReason::kTooLate, kDefaultRetryAfter,
                              Milliseconds(0)});
  }
  exchange->may_have_run = true;
  exchange->history += exchange->endpoint.ref.id + ":no answer in time;";
  const ResultCode code = ResultCode::kUnknownTimeout;
  HttpResponse response =
      dialect_.MakeErrorResponse(504, exchange->caller, std::nullopt, code);
  if (exchange->route->idempotent) {
    exchange->service->scheduler.OnFailure(exchange->id, exchange->endpoint.ref,
                                           EndpointFailure::kTimeout, Now());
    StopAttempt(*exchange);
    return Finish(*exchange, std::move(response), code, "timeout");
  }
  // The endpoint continues until its own deadline. The attempt stays open until
  // then, because it occupies a slot.
  RecordEnd(*exchange, response.status, code, "timeout");
  std::exchange(exchange->respond, nullptr)(std::move(response));
}

void Forwarder::OnAttemptTimeout(std::uint64_t id, std::uint64_t attempt_id) {
  Exchange* const exchange = Find(id);
  if (exchange == nullptr || exchange->attempt_id != attempt_id ||
      exchange->client == nullptr || !exchange->respond) {
    return;
  }
  // A stopping gateway cancels no attempt, because it may not be able to place
  // the request again.
  if (stop_) return;
  const auto now = Now();
  const auto later = newest_responded_.find(exchange->endpoint.ref);
  const bool overtaken = later != newest_responded_.end() &&
                         later->second >= exchange->sent_at + kOvertakeMargin;
  Scheduler& scheduler = exchange->service->scheduler;
  if (!overtaken &&
      !scheduler.HasAlternative(exchange->job, exchange->endpoint.ref, now)) {
    timers_->due.emplace(now + kAttemptRecheckInterval, id, attempt_id);
    return;
  }
  if (exchange->attempts >= exchange->route->max_attempts ||
      !exchange->service->retries.TryRetry(now)) {
    return;
  }
  StopAttempt(*exchange);
  exchange->may_have_run = true;
  exchange->service->scheduler.OnFailure(exchange->id, exchange->endpoint.ref,
                                         EndpointFailure::kTimeout, now);
  exchange->history += exchange->endpoint.ref.id + ":silent for " +
                       FormatDuration(ToMilliseconds(now - exchange->sent_at)) +
                       ";";
  Resubmit(*exchange, "silent");
}

void Forwarder::AbortAll() {
  std::vector<std::uint64_t> ids;
  std::ranges::copy(exchanges_ | std::views::keys, std::back_inserter(ids));
  for (const std::uint64_t id : ids) {
    Exchange* const exchange = Find(id);
    if (exchange == nullptr || !exchange->respond) continue;
    if (exchange->client != nullptr) {
      exchange->may_have_run = true;
      exchange->history += exchange->endpoint.ref.id + ":gateway stopping;";
      StopAttempt(*exchange);
    } else {
      exchange->service->scheduler.Remove(id);
    }
    FinishWithoutResponse(*exchange, "gateway stopping");
  }
}

void Forwarder::ScheduleTimer() {
  SteadyTime next = timers_->due.empty() ? SteadyTime::max()
                                         : std::get<0>(*timers_->due.begin());
  const bool waiting = std::ranges::any_of(
      services_ | std::views::values,
      [](const auto& service) { return service->scheduler.waiting() > 0; });
  if (waiting) next = std::min(next, Now() + kAdvanceInterval);
  if (next == SteadyTime::max() || next >= timers_->armed) return;
  timers_->armed = next;
  timers_->timer.expires_at(next);
  timers_->timer.async_wait([this](boost::system::error_code error) {
    if (!error) OnTimer();
  });
}

void Forwarder::OnTimer() {
  timers_->armed = SteadyTime::max();
  const auto now = Now();
  while (!timers_->due.empty() && std::get<0>(*timers_->due.begin()) <= now) {
    const auto [due, id, attempt_id] = *timers_->due.begin();
    timers_->due.erase(timers_->due.begin());
    if (attempt_id == 0) {
      OnDeadline(id);
    } else {
      OnAttemptTimeout(id, attempt_id);
    }
  }
  for (auto& service : services_ | std::views::values) {
    ApplyDecisions(*service, service->scheduler.Advance(now));
  }
  ScheduleTimer();
}

std::map<ServiceId, std::vector<ShardKey>> Forwarder::TakeKeySamples() {
  return std::exchange(key_samples_, {});
}

SpeedReport Forwarder::TakeSpeeds(const ServiceId& service) {
  const auto found = services_.find(service);
  if (found == services_.end()) return {};
  return found->second->scheduler.TakeSpeeds();
}

std::map<EndpointRef, double> Forwarder::Capacities(
    const ServiceId& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return {};
  return found->second->scheduler.Capacities(Now());
}

void Forwarder::ReportColdEndpoints(ServiceState& service, SteadyTime now) {
  const std::set<EndpointRef> cold = service.scheduler.ColdEndpoints(now);
  if (cold == service.cold) return;
  std::size_t lines = 0;
  const auto report = [&](const char* event, const std::set<EndpointRef>& from,
                          const std::set<EndpointRef>& without) {
    for (const EndpointRef& endpoint : from) {
      if (without.contains(endpoint) || ++lines > kMaxColdLines) continue;
      LogEvent(EventLevel::kInfo, event, 0,
               {{"endpoint", endpoint.ToString()},
                {"service", service.name},
                {"share",
                 std::to_string(service.scheduler.ColdShare(endpoint, now))},
                {"budget", std::to_string(service.cold_budget)},
                {"cold", std::to_string(cold.size())}});
    }
  };
  report("endpoint_cold", cold, service.cold);
  report("endpoint_warm", service.cold, cold);
  service.cold = cold;
  metrics_.Set("endpoints_cold", "service=\"" + service.name + "\"",
               static_cast<double>(cold.size()));
}

void Forwarder::Clean() {
  const auto now = Now();
  notices_.Clean(now);
  for (auto& [name, service] : services_) {
    ReportColdEndpoints(*service, now);
    const LoadInputs inputs = service->scheduler.Inputs(now);
    if (!inputs.durations_reported) continue;
    const std::string label = "service=\"" + name + "\"";
    metrics_.Set("endpoint_duration_mean", label, inputs.mean_duration);
    metrics_.Set("endpoint_rejected_share", label, inputs.rejected_share);
    metrics_.Set("endpoints_rejecting", label,
                 static_cast<double>(inputs.rejecting_endpoints));
  }
  std::erase_if(newest_responded_, [this](const auto& entry) {
    return std::ranges::none_of(endpoints_, [&](const auto& endpoint) {
      return endpoint.ref == entry.first;
    });
  });
  std::erase_if(clients_, [this](const auto& entry) {
    const auto& [key, client] = entry;
    client->CloseExpired();
    const bool registered =
        std::ranges::any_of(endpoints_, [&key = key](const auto& endpoint) {
          return endpoint.ref == key.first && endpoint.address == key.second;
        });
    const bool in_use = std::ranges::any_of(
        exchanges_ | std::views::values, [&client = client](const auto& entry) {
          return entry->client == client.get();
        });
    return !registered && !in_use;
  });
  std::erase_if(executed_keys_, [this](const auto& entry) {
    return !clients_.contains(entry.first);
  });
  for (auto& [endpoint, connections] : executed_keys_) {
    std::erase_if(connections,
                  [&client = *clients_.at(endpoint)](const auto& connection) {
                    return !client.IsOpen(connection.first);
                  });
  }
}

}  // namespace balsamhall::gateway
