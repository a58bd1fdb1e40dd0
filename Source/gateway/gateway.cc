#include <algorithm>
#include <chrono>
#include <ranges>

#include "gateway/gateway_impl.h"

namespace balsamhall::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Interval between ticks, as the leader or without the store, and otherwise.
constexpr Milliseconds kActiveTickInterval{40};
constexpr Milliseconds kIdleTickInterval{200};
// The platform checks every second whether a gateway is ready and acts on the
// second failed check; until then new connections still arrive.
constexpr Milliseconds kDrainDelay{2'300};
// Requests still open this long before the end of stop_grace are aborted.
constexpr Milliseconds kStopReserve{500};
// Time to send the responses to the aborted requests.
constexpr Milliseconds kFinalResponseTime{200};
constexpr std::size_t kMaxFrontConnections = 2'500;
// Requests that callers may send ahead. A caller's connection that is served
// with 16 at a time is not held up by requests of half a second each.
constexpr std::size_t kMaxRequestsPerConnection = 16;
// Each takes some kilobytes: a few megabytes of the smallest gateway's 160.
constexpr std::size_t kMaxPipelinedRequests = 1'024;
// Bounds the log lines about callers that read slowly or send many requests.
constexpr Milliseconds kFrontReportInterval{1'000};
// Share of the process's memory for bodies of callers' requests.
constexpr std::size_t kRequestsDivisor = 4;
// High, because a body may arrive slowly as long as its caller's deadline
// allows.
constexpr Milliseconds kTransferTimeout{30'000};

std::uint64_t ProcessIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

Gateway::Impl::Impl(asio::io_context& loop, GatewaySettings settings,
                    CoordinationStore& store, const BackendDialect& dialect,
                    RecordParsers parsers)
    : loop_(loop),
      settings_(std::move(settings)),
      store_(store),
      dialect_(dialect),
      parsers_(std::move(parsers)),
      started_(BootClock::now()),
      self_{settings_.id, ProcessIncarnation(), settings_.peer_address,
            settings_.data_centre, settings_.link_mbps},
      loop_watch_(metrics_),
      notices_(settings_.drain),
      forwarder_(loop, settings_, dialect, notices_, metrics_),
      request_memory_(std::make_shared<BodyMemory>(settings_.memory_bytes /
                                                   kRequestsDivisor)),
      source_response_at_(started_),
      tick_timer_(loop),
      watch_timer_(loop),
      join_timer_(loop),
      report_timer_(loop),
      follow_timer_(loop),
      gateways_timer_(loop),
      register_timer_(loop),
      restore_timer_(loop),
      stop_timer_(loop),
      give_up_timer_(loop) {}

Result<void> Gateway::Impl::Listen(std::unique_ptr<HttpServer>& server,
                                   const std::string& address,
                                   HttpServerOptions options,
                                   HttpServer::Handler handler) {
  server = std::make_unique<HttpServer>(loop_, std::move(options),
                                        std::move(handler));
  const auto port = server->Listen(address);
  if (!port) return port.error();
  return boost::outcome_v2::success();
}

void Gateway::Impl::ApplyLimits() {
  HttpServerOptions options;
  options.max_connections = kMaxFrontConnections;
  options.transfer_timeout = kTransferTimeout;
  options.request_memory = request_memory_;
  options.response_memory = forwarder_.response_memory();
  options.max_requests_per_connection = kMaxRequestsPerConnection;
  options.max_pipelined_requests = kMaxPipelinedRequests;
  if (routes_) {
    const TrafficLimits& limits = routes_->config().limits;
    options.max_header_bytes = limits.max_header_bytes;
    options.max_body_bytes = limits.max_body_bytes;
    options.header_timeout = limits.header_timeout;
    options.idle_timeout = limits.idle_timeout;
  }
  front_server_->set_options(options);
}

Result<void> Gateway::Impl::Start() {
  auto front =
      Listen(front_server_, settings_.front_address, HttpServerOptions{},
             [this](HttpRequest request, HttpServer::Respond respond) {
               forwarder_.OnRequest(std::move(request), std::move(respond));
             });
  if (!front) return front;
  ApplyLimits();
  front_server_->set_abort_handler([this](std::uint64_t connection) {
    forwarder_.OnCallerDisconnected(connection);
  });
  front_server_->set_overtake_filter([this](const HttpRequest& request) {
    return forwarder_.MayOvertake(request);
  });
  front_server_->set_fault_handler(
      [this](ResultCode code, const std::string& detail) {
        metrics_.Add("front_faults_total", "", 1);
        if (code == ResultCode::kUnknownConnectionLost) {
          metrics_.Add("slow_readers_closed_total", "", 1);
          ++slow_readers_closed_;
        }
        LogEvent(EventLevel::kDebug, "front_fault", static_cast<unsigned>(code),
                 {{"detail", detail}});
      });
  auto ready =
      Listen(readiness_server_, settings_.ready_address, HttpServerOptions{},
             [this](const HttpRequest&, const HttpServer::Respond& respond) {
               respond({Ready() ? 200U : 503U, {}, ""});
             });
  if (!ready) return ready;
  auto peers = Listen(
      peer_server_, settings_.peer_address, HttpServerOptions{},
      [this](const HttpRequest& request, const HttpServer::Respond& respond) {
        OnPeerRequest(request, respond);
      });
  if (!peers) return peers;
  auto metrics = Listen(
      metrics_server_, settings_.metrics_address, HttpServerOptions{},
      [this](const HttpRequest&, const HttpServer::Respond& respond) {
        respond(
            {200, {{"Content-Type", "text/plain"}}, metrics_.PrometheusText()});
      });
  if (!metrics) return metrics;
  forwarder_.set_stale_lease_handler(
      [this](const ServiceId&) { leases_follower_->ReadNow(); });
  forwarder_.set_leaving_handler(
      [this](const EndpointRef& endpoint) { OnEndpointLeaving(endpoint); });
  LogInfo("start", {{"router", settings_.id},
                    {"incarnation", std::to_string(self_.incarnation)},
                    {"data_centre", settings_.data_centre},
                    {"store", settings_.store_address}});
  FollowLogs();
  WatchLoop();
  Tick();
  JoinElection();
  ReportKeyLoad();
  return boost::outcome_v2::success();
}

void Gateway::Impl::RunAfter(asio::steady_timer& timer, Milliseconds delay,
                             std::function<void()> action) {
  timer.expires_after(delay);
  timer.async_wait(
      [weak = weak_from_this(), action = std::move(action)](error_code error) {
        if (!error && !weak.expired()) action();
      });
}

void Gateway::Impl::RegisterGateway() {
  registering_ = true;
  store_.Append(Log::kGateways, self_.id, SerializeGatewayInstance(self_),
                std::nullopt, [this](const AppendResult& result) {
                  if (result.outcome == AppendOutcome::kDone) return;
                  LogInfo("router_not_registered", {{"again", "true"}});
                  RunAfter(register_timer_, kReportInterval, [this] {
                    if (!stopping_) RegisterGateway();
                  });
                });
}

void Gateway::Impl::RegisterIfNeeded() {
  if (stopping_) return;
  const auto newest = gateways_.find(self_.id);
  const bool earlier = newest == gateways_.end() ||
                       newest->second.incarnation < self_.incarnation;
  if (!registering_ && !earlier) {
    // The time of day has jumped back since the earlier process started.
    self_.incarnation = newest->second.incarnation + 1;
    LogInfo("incarnation_raised",
            {{"router", self_.id},
             {"incarnation", std::to_string(self_.incarnation)}});
  } else if (!earlier) {
    return;
  }
  RegisterGateway();
}

void Gateway::Impl::WatchLoop() {
  RunAfter(watch_timer_, LoopWatch::kInterval, [this] {
    loop_watch_.OnTimer(watch_timer_.expiry(),
                        std::chrono::steady_clock::now());
    WatchLoop();
  });
}

void Gateway::Impl::ReportFront(BootTime now) {
  const std::size_t pipelined = front_server_->pipelined_requests();
  const std::size_t held = forwarder_.response_memory()->taken();
  metrics_.Set("requests_pipelined", "", static_cast<double>(pipelined));
  metrics_.Set("response_bytes_held", "", static_cast<double>(held));
  if (now < front_reported_ + kFrontReportInterval) return;
  const bool limited = pipelined >= kMaxPipelinedRequests;
  if (std::exchange(pipelining_limited_, limited) != limited) {
    front_reported_ = now;
    LogInfo("pipelining_limited", {{"limited", limited ? "true" : "false"},
                                   {"requests", std::to_string(pipelined)}});
  }
  if (slow_readers_closed_ > 0) {
    front_reported_ = now;
    LogInfo("slow_readers_closed",
            {{"count", std::to_string(std::exchange(slow_readers_closed_, 0))},
             {"response_bytes", std::to_string(held)}});
  }
}

void Gateway::Impl::Tick() {
  const LoopWatch::Step step(loop_watch_, "tick");
  const BootTime now = BootClock::now();
  OnRegistryChanges(
      registry_.ApplyDeferredRemovals(std::chrono::steady_clock::now()),
      "grace");
  ApplyEvacuations(evacuations_.EndHold(now), "restore");
  for (auto& [service, keeper] : keepers_) {
    if (!IsShardedByKey(service)) continue;
    for (const LeaseAction& action : keeper->Tick(now)) Apply(*keeper, action);
    for (const LeaseEvent& event : keeper->TakeEvents()) {
      LogInfo(event.name,
              {{"service", service},
               {"detail", event.detail},
               {"leases", std::to_string(keeper->table().version)}});
    }
  }
  RespondToLongPolls(false);
  ReportStateAge(now);
  ReportFront(now);
  WatchState(now);
  if (std::exchange(was_ready_, Ready()) != Ready()) {
    LogInfo("readiness", {{"ready", Ready() ? "true" : "false"}});
  }
  RunAfter(tick_timer_, TickInterval(now), [this] { Tick(); });
}

Milliseconds Gateway::Impl::TickInterval(BootTime now) const {
  if (elected_ || store_lost_ || peer_search_.requests > 0) {
    return kActiveTickInterval;
  }
  // So that a state that becomes overdue is noticed at once.
  const auto until_overdue =
      std::chrono::ceil<Milliseconds>(StateAsOf() + kMaxStateAge - now);
  return std::clamp(until_overdue, kActiveTickInterval, kIdleTickInterval);
}

void Gateway::Impl::Reload(const GatewaySettings& settings) {
  // The forwarder holds a reference to these settings.
  settings_.region_of = settings.region_of;
  settings_.retry_ratio = settings.retry_ratio;
  settings_.retry_slack = settings.retry_slack;
  settings_.stop_grace = settings.stop_grace;
  settings_.drain = settings.drain;
  notices_.set_drain(settings.drain);
  LogInfo("reload", {{"router", settings_.id}});
}

void Gateway::Impl::Stop(std::function<void()> done) {
  if (stopping_) return;
  stopping_ = true;
  on_stopped_ = std::move(done);
  LogInfo("stop", {{"pending", std::to_string(forwarder_.pending())},
                   {"duty", elected_ ? "true" : "false"}});
  const auto now = std::chrono::steady_clock::now();
  const Milliseconds give_up = settings_.stop_grace - kStopReserve;
  forwarder_.SetStopping(now + kDrainDelay, now + give_up);
  front_server_->AnnounceClose();
  RespondToLongPolls(true);
  for (auto& keeper : keepers_ | std::views::values) keeper->Stop();
  if (UsesLeases()) store_.LeaveLeaderElection(settings_.id, [] {});
  const auto finish = [this] {
    if (const auto stopped = std::exchange(on_stopped_, nullptr)) stopped();
  };
  RunAfter(stop_timer_, kDrainDelay,
           [this, finish] { front_server_->Drain(finish); });
  RunAfter(give_up_timer_, give_up, [this, finish] {
    LogInfo("stop_ends_requests",
            {{"pending", std::to_string(forwarder_.pending())}});
    forwarder_.AbortAll();
    RunAfter(give_up_timer_, kFinalResponseTime, finish);
  });
}

Gateway::Gateway(asio::io_context& loop, GatewaySettings settings,
                 CoordinationStore& store, const BackendDialect& dialect,
                 RecordParsers parsers)
    : impl_(std::make_shared<Impl>(loop, std::move(settings), store, dialect,
                                   std::move(parsers))) {}

Gateway::~Gateway() = default;

Result<void> Gateway::Start() { return impl_->Start(); }

void Gateway::Reload(const GatewaySettings& settings) {
  impl_->Reload(settings);
}

void Gateway::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }

}  // namespace balsamhall::gateway
