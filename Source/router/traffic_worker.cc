#include "router/traffic_worker.h"

#include <unistd.h>

#include <atomic>
#include <boost/asio.hpp>
#include <fstream>
#include <random>
#include <thread>
#include <utility>

#include "clients/http_backend_service.h"
#include "net/http_server.h"
#include "net/peer_transport.h"
#include "router/dispatch_table.h"
#include "router/entry_handler.h"
#include "router/fault_log.h"
#include "router/forward_client.h"
#include "router/forward_server.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kTickInterval{10};
constexpr std::uint64_t kTicksPerLoadReport = 5;
constexpr std::uint64_t kTicksPerMemoryReading = 50;
// Connections to a backend server that are left to the control threads of the
// primary and the backup router, which open four each, and to connections whose
// close the server has not noticed yet.
constexpr std::uint32_t kReservedConnections = 12;
constexpr unsigned kTicketThreadShift = 48;

std::size_t ResidentMemory() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

HttpServerOptions ServerOptions(const schema::RouterSettings& settings) {
  HttpServerOptions options;
  options.max_connections = std::max(
      1U, settings.max_caller_connections() / settings.traffic_threads());
  options.max_header_bytes = settings.max_header_bytes();
  options.max_body_bytes = settings.max_body_bytes();
  options.reuse_port = settings.traffic_threads() > 1;
  return options;
}

PeerTransportOptions TransportOptions(const schema::RouterSettings& settings) {
  PeerTransportOptions options;
  options.reuse_port = settings.traffic_threads() > 1;
  return options;
}

EntryOptions OptionsOf(const schema::RouterSettings& settings) {
  EntryOptions options;
  options.threads = settings.traffic_threads();
  options.seed = std::random_device{}();
  const std::size_t limit = std::size_t{settings.memory_limit_mib()} << 20U;
  options.overload.soft_memory_bytes = limit / 4 * 3;
  options.overload.hard_memory_bytes = limit;
  return options;
}

}  // namespace

class TrafficWorker::Impl {
 public:
  Impl(const schema::RouterSettings& settings, std::size_t index,
       TraceStore& traces, EventSink event_sink)
      : settings_(settings),
        index_(index),
        threads_(settings.traffic_threads()),
        tick_timer_(loop_),
        fault_log_("traffic"),
        snapshot_(std::make_shared<RoutingSnapshot>()),
        dispatch_table_(
            settings.id(), index, settings.traffic_threads(),
            [this](const schema::EndpointConfig& config) {
              return MakeBackend(config);
            },
            traces, std::move(event_sink)),
        transport_(loop_, TransportOptions(settings),
                   [this](PeerTransport::ConnectionId connection,
                          schema::PeerMessage message) {
                     OnPeerMessage(connection, std::move(message));
                   }),
        forward_client_([this](const std::string& address,
                               const schema::PeerMessage& message) {
          return transport_.Send(address, message);
        }),
        forward_server_(
            [this](DispatchJob job) { return Dispatch(std::move(job)); },
            [this](const EndpointId& endpoint, Ticket ticket) {
              Cancel(endpoint, ticket);
            },
            [this](ForwardServer::Connection connection,
                   schema::ForwardReply reply) {
              schema::PeerMessage message;
              *message.mutable_sender() = ToProto(snapshot_->self);
              *message.mutable_forward_reply() = std::move(reply);
              transport_.Reply(connection, message);
            }),
        entry_handler_(
            OptionsOf(settings),
            [this](DispatchJob job) { Dispatch(std::move(job)); },
            forward_client_, metrics_, traces,
            std::chrono::steady_clock::now()),
        caller_server_(
            loop_, ServerOptions(settings),
            [this](HttpRequest request, HttpServer::Respond respond) {
              entry_handler_.Handle(std::move(request), std::move(respond));
            }) {
    caller_server_.set_head_filter([this](const HttpRequest& head) {
      return entry_handler_.FilterHead(head);
    });
    caller_server_.set_fault_handler([this](ResultCode code,
                                            const std::string& detail) {
      metrics_.Add("caller_faults_total",
                   "code=\"" + std::to_string(static_cast<int>(code)) + "\"",
                   1);
      fault_log_.Report("caller_fault", code, detail);
    });
    transport_.set_fault_handler(
        [this](ResultCode code, const std::string& detail) {
          fault_log_.Report("forward_fault", code, detail);
        });
    transport_.set_lost_handler(
        [this](const std::string& address, bool opened) {
          forward_client_.OnConnectionLost(address, opened);
        });
  }

  Result<void> Listen() {
    const auto caller = caller_server_.Listen(settings_.caller_address());
    if (!caller) return caller.error();
    const auto forward = transport_.Listen(settings_.forward_address());
    if (!forward) return forward.error();
    return boost::outcome_v2::success();
  }

  void Start(const std::vector<TrafficWorker*>& workers) {
    workers_ = workers;
    next_tick_ = std::chrono::steady_clock::now();
    ScheduleTick();
    thread_ = std::thread([this] { loop_.run(); });
  }

  void Post(std::function<void()> function) {
    asio::post(loop_, std::move(function));
  }

  void Apply(const std::shared_ptr<const RoutingSnapshot>& snapshot) {
    snapshot_ = snapshot;
    const SteadyTime now = std::chrono::steady_clock::now();
    forward_client_.set_self(snapshot->self);
    dispatch_table_.Apply(*snapshot, now, std::chrono::system_clock::now());
    entry_handler_.Apply(snapshot, now);
  }

  void StopDispatch(const EndpointId& endpoint, const Fence& term) {
    dispatch_table_.StopDispatch(endpoint, term,
                                 std::chrono::steady_clock::now());
  }

  void Drain() {
    caller_server_.Drain([this] { server_drained_ = true; });
  }

  bool drained() const { return drained_.load(std::memory_order_acquire); }

  void Stop() {
    loop_.stop();
    if (thread_.joinable()) thread_.join();
  }

  const Metrics& metrics() const { return metrics_; }

 private:
  std::unique_ptr<BackendService> MakeBackend(
      const schema::EndpointConfig& config) {
    const std::uint32_t connections =
        config.connections() > 2 * kReservedConnections
            ? config.connections() - kReservedConnections
            : config.connections() / 2;
    return std::make_unique<HttpBackendService>(loop_, config.address(),
                                                std::max(2U, connections));
  }

  // Submits the job on the thread that its endpoint is pinned to; its callback
  // runs on this thread. Returns the ticket.
  Ticket Dispatch(DispatchJob job) {
    job.ticket = (Ticket{index_ + 1} << kTicketThreadShift) | ++last_ticket_;
    const Ticket ticket = job.ticket;
    const std::size_t pinned = PinnedThread(job.request.endpoint(), threads_);
    if (pinned == index_) {
      Submit(std::move(job));
      return ticket;
    }
    job.done = [this, done = std::move(job.done)](schema::ForwardReply reply) {
      Post([done, reply = std::move(reply)]() mutable {
        done(std::move(reply));
      });
    };
    Impl* const other = workers_[pinned]->impl_.get();
    other->Post([other, job = std::move(job)]() mutable {
      other->Submit(std::move(job));
    });
    return ticket;
  }

  void Submit(DispatchJob job) {
    dispatch_table_.Submit(std::move(job), std::chrono::steady_clock::now(),
                           std::chrono::system_clock::now());
  }

  void Cancel(const EndpointId& endpoint, Ticket ticket) {
    Impl* const other = workers_[PinnedThread(endpoint, threads_)]->impl_.get();
    other->Post([other, endpoint, ticket] {
      other->dispatch_table_.Cancel(endpoint, ticket,
                                    std::chrono::steady_clock::now());
    });
  }

  void OnPeerMessage(PeerTransport::ConnectionId connection,
                     schema::PeerMessage message) {
    if (message.has_forward_request()) {
      forward_server_.OnRequest(connection,
                                std::move(*message.mutable_forward_request()),
                                *snapshot_, std::chrono::steady_clock::now());
    } else if (message.has_forward_reply()) {
      forward_client_.OnReply(std::move(*message.mutable_forward_reply()));
    } else if (message.has_forward_cancel()) {
      forward_server_.OnCancel(connection,
                               message.forward_cancel().correlation());
    } else {
      fault_log_.Report("forward_fault", ResultCode::kPeerFrameMalformed,
                        "unexpected message type on a forward connection");
    }
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
    // Use the minimum of a report interval: an overloaded event loop is late at
    // every tick, while a single late tick only indicates a pause of the
    // VM.
    min_tick_delay_ =
        std::min(min_tick_delay_,
                 std::chrono::duration_cast<Microseconds>(now - next_tick_));
    dispatch_table_.Tick(now, std::chrono::system_clock::now());
    forward_client_.Tick(now);
    entry_handler_.Tick(now);
    if (++ticks_ % kTicksPerLoadReport == 0) ReportLoad();
    drained_.store(server_drained_ && dispatch_table_.idle() &&
                       entry_handler_.waiting() == 0 &&
                       forward_client_.pending() == 0 &&
                       forward_server_.pending() == 0,
                   std::memory_order_release);
  }

  void ReportLoad() {
    if (ticks_ % kTicksPerMemoryReading == 0) memory_bytes_ = ResidentMemory();
    entry_handler_.ReportLoad(min_tick_delay_, memory_bytes_);
    min_tick_delay_ = Microseconds::max();
    metrics_.Set("queued_requests", "",
                 static_cast<double>(dispatch_table_.queued()));
    metrics_.Set("running_requests", "",
                 static_cast<double>(dispatch_table_.running()));
    metrics_.Set("waiting_requests", "",
                 static_cast<double>(entry_handler_.waiting()));
    metrics_.Set("forwarded_requests", "",
                 static_cast<double>(forward_client_.pending()));
    metrics_.Set("caller_connections", "",
                 static_cast<double>(caller_server_.connections()));
  }

  schema::RouterSettings settings_;
  std::size_t index_;
  std::size_t threads_;
  asio::io_context loop_{1};
  asio::steady_timer tick_timer_;
  SteadyTime next_tick_;
  std::uint64_t ticks_ = 0;
  Microseconds min_tick_delay_ = Microseconds::max();
  std::size_t memory_bytes_ = 0;
  FaultLog fault_log_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  Metrics metrics_;
  Ticket last_ticket_ = 0;
  std::vector<TrafficWorker*> workers_;
  bool server_drained_ = false;
  std::atomic<bool> drained_{false};
  DispatchTable dispatch_table_;
  PeerTransport transport_;
  ForwardClient forward_client_;
  ForwardServer forward_server_;
  EntryHandler entry_handler_;
  HttpServer caller_server_;
  std::thread thread_;
};

TrafficWorker::TrafficWorker(const schema::RouterSettings& settings,
                             std::size_t index, TraceStore& traces,
                             EventSink event_sink)
    : impl_(std::make_unique<Impl>(settings, index, traces,
                                   std::move(event_sink))) {}

TrafficWorker::~TrafficWorker() { Stop(); }

Result<void> TrafficWorker::Listen() { return impl_->Listen(); }

void TrafficWorker::Start(const std::vector<TrafficWorker*>& workers) {
  impl_->Start(workers);
}

void TrafficWorker::Post(std::function<void()> function) {
  impl_->Post(std::move(function));
}

void TrafficWorker::Apply(std::shared_ptr<const RoutingSnapshot> snapshot) {
  Post([impl = impl_.get(), snapshot = std::move(snapshot)] {
    impl->Apply(snapshot);
  });
}

void TrafficWorker::StopDispatch(const EndpointId& endpoint,
                                 const Fence& term) {
  Post([impl = impl_.get(), endpoint, term] {
    impl->StopDispatch(endpoint, term);
  });
}

void TrafficWorker::Drain() {
  Post([impl = impl_.get()] { impl->Drain(); });
}

bool TrafficWorker::drained() const { return impl_->drained(); }

void TrafficWorker::Stop() { impl_->Stop(); }

const Metrics& TrafficWorker::metrics() const { return impl_->metrics(); }

}  // namespace balsamhall
