#include "router/control_loop.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <csignal>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "clients/http_backend_service.h"
#include "clients/http_log_service.h"
#include "clients/http_vm_list.h"
#include "core/config_rules.h"
#include "core/ownership_controller.h"
#include "core/partitioner.h"
#include "net/peer_transport.h"
#include "router/control_server.h"
#include "router/degraded_since.h"
#include "router/dispatch_table.h"
#include "router/fault_log.h"
#include "router/log_follower.h"
#include "router/status_report.h"
#include "router/submission_tracker.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kTickInterval{20};
constexpr Milliseconds kVmListInterval{1000};
// Shorter than the lease, so that there is time to retry after a lost response.
constexpr Milliseconds kGrantTimeout{400};
constexpr std::size_t kControlConnections = 4;
// Delay between the failure of /ready and the start of draining, in which load
// balancers in front of the routers notice the change.
constexpr Milliseconds kDrainDelay{1000};
constexpr Milliseconds kShutdownLimit{30'000};
// Time to send the last replies to other routers before the loop stops.
constexpr Milliseconds kFinalReplyDelay{200};

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

schema::RouterJoined JoinOf(const schema::RouterSettings& settings) {
  schema::RouterJoined join;
  join.set_id(settings.id());
  join.set_data_centre(settings.data_centre());
  join.set_region(settings.region());
  join.set_peer_address(settings.peer_address());
  join.set_forward_address(settings.forward_address());
  join.set_control_address(settings.control_address());
  return join;
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace

class ControlLoop::Impl : public ControlCommands {
 public:
  Impl(const schema::RouterSettings& settings, TraceStore& traces)
      : settings_(settings),
        traces_(traces),
        controller_(JoinOf(settings), OwnershipOptions{}, RandomSeed()),
        tick_timer_(loop_),
        shutdown_timer_(loop_),
        signals_(loop_),
        fault_log_("control"),
        transport_(
            loop_, {},
            [this](PeerTransport::ConnectionId, schema::PeerMessage message) {
              Handle(PeerMessageReceived{std::move(message)});
            }),
        log_(loop_, settings.log_address()),
        vm_list_(loop_, settings.vm_list_address()),
        follower_(log_, [this](const OwnershipEvent& event) { Handle(event); }),
        server_(loop_, *this, settings.operator_key()) {
    transport_.set_fault_handler(
        [this](ResultCode code, const std::string& detail) {
          fault_log_.Report("peer_fault", code, detail);
        });
    for (std::size_t i = 0; i < settings.traffic_threads(); ++i) {
      workers_.push_back(std::make_unique<TrafficWorker>(
          settings, i, traces, [this](OwnershipEvent event) {
            asio::post(loop_,
                       [this, event = std::move(event)] { Handle(event); });
          }));
    }
  }

  Result<void> Listen() {
    const auto peer = transport_.Listen(settings_.peer_address());
    if (!peer) return peer.error();
    const auto control = server_.Listen(settings_.control_address());
    if (!control) return control.error();
    for (const auto& worker : workers_) {
      const auto bound = worker->Listen();
      if (!bound) return bound.error();
    }
    return boost::outcome_v2::success();
  }

  bool Run(bool handle_signals) {
    if (handle_signals) {
      signals_.add(SIGTERM);
      signals_.add(SIGINT);
      signals_.async_wait([this](boost::system::error_code error, int) {
        if (!error) BeginShutdown();
      });
    }
    std::vector<TrafficWorker*> workers;
    workers.reserve(workers_.size());
    for (const auto& worker : workers_) workers.push_back(worker.get());
    for (TrafficWorker* worker : workers) worker->Start(workers);
    LogEvent(EventLevel::kInfo, "router_started", 0,
             {{"router", settings_.id()},
              {"caller_address", settings_.caller_address()},
              {"control_address", settings_.control_address()},
              {"traffic_threads", std::to_string(workers.size())}});
    next_tick_ = std::chrono::steady_clock::now();
    ScheduleTick();
    loop_.run();
    for (TrafficWorker* worker : workers) worker->Stop();
    traces_.Flush();
    LogEvent(EventLevel::kInfo, "router_stopped", 0,
             {{"router", settings_.id()}});
    return !shutdown_limit_reached_;
  }

  void RequestShutdown() {
    asio::post(loop_, [this] { BeginShutdown(); });
  }

  // ---- ControlCommands ----------------------------------------------------

  schema::RouterStatus Status() override {
    schema::RouterStatus status =
        controller_.status(std::chrono::steady_clock::now());
    status.set_ready(Ready());
    status.set_leaving(leaving_);
    degraded_since_.Observe(status, std::chrono::system_clock::now());
    for (const schema::RankStatus& rank : MergedMetrics()->ranks()) {
      *status.add_ranks() = rank;
    }
    return status;
  }

  schema::ConfigSnapshot Configuration() override {
    return controller_.configuration();
  }

  Result<schema::KeyExplanation> ExplainKey(const std::string& service,
                                            const std::string& key) override {
    return balsamhall::ExplainKey(controller_, service, key);
  }

  std::vector<schema::Span> ExplainRequest(
      const std::string& request_id) override {
    return traces_.Find(request_id);
  }

  void Publish(const schema::ConfigPublished& publication,
               SubmissionCallback done) override {
    const auto config = ParseConfig(publication.body());
    if (!config) {
      done(config.error());
      return;
    }
    const SteadyTime now = std::chrono::steady_clock::now();
    auto submission = controller_.Publish(publication, now);
    submissions_.Add(submission.sequence, true, now, std::move(done));
    Execute(std::move(submission.actions));
  }

  void DeclareLost(const schema::VmDeclaredLost& declaration,
                   SubmissionCallback done) override {
    const SteadyTime now = std::chrono::steady_clock::now();
    auto submission = controller_.DeclareLost(declaration, now);
    submissions_.Add(submission.sequence, false, now, std::move(done));
    Execute(std::move(submission.actions));
  }

  std::string PrometheusText() override {
    const auto metrics = MergedMetrics();
    AddControlMetrics(controller_.status(std::chrono::steady_clock::now()),
                      transport_.bytes_sent(), transport_.bytes_received(),
                      *metrics);
    metrics->Set("trace_exports_dropped", "",
                 static_cast<double>(traces_.dropped_exports()));
    return metrics->PrometheusText();
  }

  bool Ready() override {
    return !leaving_ && controller_.configuration().version() > 0 &&
           !controller_.routing()->services.empty();
  }

 private:
  std::unique_ptr<Metrics> MergedMetrics() const {
    auto merged = std::make_unique<Metrics>();
    for (const auto& worker : workers_) merged->MergeFrom(worker->metrics());
    return merged;
  }

  void ScheduleTick() {
    next_tick_ =
        std::max(next_tick_ + kTickInterval, std::chrono::steady_clock::now());
    tick_timer_.expires_at(next_tick_);
    tick_timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      Tick();
      ScheduleTick();
    });
  }

  void Tick() {
    const SteadyTime now = std::chrono::steady_clock::now();
    Handle(TimerTick{});
    if (now >= next_vm_list_) {
      next_vm_list_ = now + kVmListInterval;
      FetchVmList();
      traces_.Flush();
      auto status = controller_.status(now);
      degraded_since_.Observe(status, std::chrono::system_clock::now());
    }
    submissions_.ExpireOverdue(now);
    if (leaving_) CheckShutdown(now);
  }

  void FetchVmList() {
    vm_list_.Fetch([this](const Result<std::vector<Vm>>& vms) {
      if (!vms) {
        fault_log_.Report("vm_list_unavailable", vms.error().code,
                          vms.error().detail);
        return;
      }
      VmListRead read;
      for (const Vm& vm : vms.value()) {
        read.vms.push_back({vm.id, vm.leaving, vm.role == "router"});
      }
      Handle(read);
    });
  }

  void Handle(const OwnershipEvent& event) {
    Execute(controller_.Handle(event, std::chrono::steady_clock::now()));
    submissions_.CompleteReadBack(controller_);
  }

  void Execute(OwnershipActions actions) {
    for (OwnershipAction& action : actions) {
      std::visit([this](auto& typed) { Perform(typed); }, action);
    }
  }

  void Perform(const SendPeerMessage& action) {
    const auto routing = controller_.routing();
    const auto router = routing->routers.find(action.to);
    if (router == routing->routers.end()) return;
    transport_.Send(router->second.join.peer_address(), action.message);
  }

  void Perform(const SendGrant& action) {
    BackendService* const backend = BackendFor(action.endpoint);
    if (backend == nullptr) return;
    backend->Grant(action.request, kGrantTimeout,
                   [this, endpoint = action.endpoint](
                       const Result<schema::GrantResponse>& response) {
                     if (!response) {
                       fault_log_.Report("grant_unanswered",
                                         response.error().code, endpoint);
                       return;
                     }
                     Handle(GrantResponseReceived{endpoint, response.value()});
                   });
  }

  void Perform(const SendHealthProbe& action) {
    BackendService* const backend = BackendFor(action.endpoint);
    if (backend == nullptr) return;
    backend->Health(kGrantTimeout,
                    [this](const Result<schema::HealthReport>& report) {
                      if (report) Handle(HealthReportReceived{report.value()});
                    });
  }

  void Perform(const AppendLogRecord& action) {
    follower_.Append(controller_.writer_id(), action);
  }

  void Perform(const ReadLog& action) { follower_.Read(action.from); }

  void Perform(const RoutingChanged&) {
    const auto routing = controller_.routing();
    for (const auto& worker : workers_) worker->Apply(routing);
  }

  void Perform(const StopDispatch& action) {
    workers_[PinnedThread(action.endpoint, workers_.size())]->StopDispatch(
        action.endpoint, action.term);
  }

  void Perform(const ReportEvent& action) {
    EventFields fields = action.fields;
    fields.insert(fields.begin(), {"router", settings_.id()});
    LogEvent(action.code == ResultCode::kOk ? EventLevel::kInfo
                                            : EventLevel::kWarning,
             action.name, static_cast<unsigned>(action.code), fields);
  }

  void Perform(const ShutdownReady&) { roles_handed_over_ = true; }

  BackendService* BackendFor(const EndpointId& endpoint) {
    const auto routing = controller_.routing();
    const auto route = routing->endpoints.find(endpoint);
    if (route == routing->endpoints.end()) return nullptr;
    const std::string& address = route->second.config.address();
    auto& [known_address, backend] = backends_[endpoint];
    if (!backend || known_address != address) {
      known_address = address;
      backend = std::make_unique<HttpBackendService>(loop_, address,
                                                     kControlConnections);
    }
    return backend.get();
  }

  // ---- Shutdown -----------------------------------------------------------

  void BeginShutdown() {
    if (leaving_) return;
    leaving_ = true;
    shutdown_started_ = std::chrono::steady_clock::now();
    LogEvent(EventLevel::kInfo, "shutdown_started", 0,
             {{"router", settings_.id()}});
    shutdown_timer_.expires_after(kDrainDelay);
    shutdown_timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      draining_ = true;
      Handle(ShutdownRequested{});
      for (const auto& worker : workers_) worker->Drain();
    });
  }

  void CheckShutdown(SteadyTime now) {
    if (now - shutdown_started_ > kShutdownLimit) {
      shutdown_limit_reached_ = true;
      LogEvent(EventLevel::kError, "shutdown_limit_reached",
               static_cast<unsigned>(ResultCode::kInternal),
               {{"router", settings_.id()},
                {"roles_handed_over", roles_handed_over_ ? "yes" : "no"}});
      loop_.stop();
      return;
    }
    const bool drained = std::ranges::all_of(
        workers_, [](const auto& worker) { return worker->drained(); });
    if (!draining_ || !roles_handed_over_ || !drained || stopping_) return;
    stopping_ = true;
    shutdown_timer_.expires_after(kFinalReplyDelay);
    shutdown_timer_.async_wait(
        [this](boost::system::error_code) { loop_.stop(); });
  }

  schema::RouterSettings settings_;
  TraceStore& traces_;
  asio::io_context loop_{1};
  OwnershipController controller_;
  asio::steady_timer tick_timer_;
  asio::steady_timer shutdown_timer_;
  asio::signal_set signals_;
  FaultLog fault_log_;
  PeerTransport transport_;
  HttpLogService log_;
  HttpVmList vm_list_;
  LogFollower follower_;
  SubmissionTracker submissions_;
  DegradedSince degraded_since_;
  ControlServer server_;
  std::map<EndpointId, std::pair<std::string, std::unique_ptr<BackendService>>>
      backends_;
  std::vector<std::unique_ptr<TrafficWorker>> workers_;
  SteadyTime next_tick_;
  SteadyTime next_vm_list_{};
  bool leaving_ = false;
  bool draining_ = false;
  bool roles_handed_over_ = false;
  bool stopping_ = false;
  bool shutdown_limit_reached_ = false;
  SteadyTime shutdown_started_{};
};

ControlLoop::ControlLoop(const schema::RouterSettings& settings,
                         TraceStore& traces)
    : impl_(std::make_unique<Impl>(settings, traces)) {}

ControlLoop::~ControlLoop() = default;

Result<void> ControlLoop::Listen() { return impl_->Listen(); }

bool ControlLoop::Run(bool handle_signals) {
  return impl_->Run(handle_signals);
}

void ControlLoop::RequestShutdown() { impl_->RequestShutdown(); }

}  // namespace balsamhall
