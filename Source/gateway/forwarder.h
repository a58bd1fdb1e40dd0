// Carries requests from callers to endpoints and answers back.
#ifndef BALSAMHALL_GATEWAY_FORWARDER_H_
#define BALSAMHALL_GATEWAY_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/result_code.h"
#include "gateway/backend_dialect.h"
#include "gateway/request_log.h"
#include "gateway/retry_window.h"
#include "gateway/route_table.h"
#include "gateway/scheduler.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "telemetry/metrics.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall::gateway {

// Runs on one loop; not thread-safe.
class Forwarder {
 public:
  Forwarder(boost::asio::io_context& loop, const GatewaySettings& settings,
            const BackendDialect& dialect, Metrics& metrics);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  // For HttpServer: a request, and the leaving of its caller.
  void OnRequest(HttpRequest request, HttpServer::Respond respond);
  void OnCallerGone(std::uint64_t connection);

  // Puts a configuration in force for requests from now on.
  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  // Replaces the endpoints that may get requests, of all services.
  void SetEndpoints(const std::vector<EndpointInfo>& endpoints);
  // Replaces the lease table of a service that is divided by key.
  void SetLeases(std::shared_ptr<const LeaseTable> leases);
  // Gateways that share the retry budget.
  void SetGatewayCount(std::size_t count);

  // Called when an endpoint said that it does not hold a key it should hold.
  void set_stale_lease_handler(std::function<void(const ServiceId&)> handler) {
    stale_lease_ = std::move(handler);
  }

  // Returns and clears the keys of requests since the last call, by service.
  std::map<ServiceId, std::vector<ShardKey>> TakeKeySamples();
  std::map<EndpointRef, double> Capacities(const ServiceId& service) const;

  std::size_t pending() const { return exchanges_.size(); }

  // The process is about to stop: attempts under way are left to end.
  void SetStopping() { stopping_ = true; }
  // The process ends now: every caller that still waits gets an answer. What
  // may have run is reported as such.
  void EndAll();

  // Closes connections that are too old and clients of endpoints that left.
  // Call about once per second.
  void Clean();

 private:
  struct Exchange;
  struct ServiceState;
  struct Timers;
  using Attempt = HttpClient::Outcome;

  ServiceState& Service(const ServiceId& name);
  HttpClient& ClientOf(const EndpointInfo& endpoint);
  void Carry(ServiceState& service, const Decisions& decisions);
  void Send(Exchange& exchange, const Placement& placement);
  void OnOutcome(std::uint64_t id, std::uint64_t attempt, Attempt outcome);
  void OnAnswer(Exchange& exchange, HttpResponse response);
  void OnNotExecuted(Exchange& exchange, const BackendAnswer& answer,
                     unsigned status);
  void OnAttemptFailed(Exchange& exchange, EndpointFailure failure,
                       bool not_sent, const std::string& detail);
  // Sends the request again if attempts, time and, if it counts, the budget
  // allow it. Returns true if so; the exchange may then have ended.
  bool TryAgain(Exchange& exchange, bool counts, const char* cause);
  void Resubmit(Exchange& exchange, const char* cause);
  void Reject(Exchange& exchange, const Rejection& rejection);
  void Finish(Exchange& exchange, HttpResponse response, ResultCode code,
              const char* outcome);
  void FinishWithoutAnswer(Exchange& exchange, const std::string& detail);
  void OnDeadline(std::uint64_t id);
  void OnAttemptTimeout(std::uint64_t id, std::uint64_t attempt);
  void StopAttempt(Exchange& exchange);
  void Erase(std::uint64_t id);
  void ScheduleTimer();
  void OnTimer();
  Exchange* Find(std::uint64_t id);
  SteadyTime AttemptLimit(const Exchange& exchange) const;

  boost::asio::io_context& loop_;
  const GatewaySettings& settings_;
  const BackendDialect& dialect_;
  Metrics& metrics_;
  RequestLog log_;
  std::shared_ptr<const RouteTable> routes_;
  SplitPicker split_;
  std::map<ServiceId, std::unique_ptr<ServiceState>> services_;
  std::map<std::pair<EndpointRef, std::string>, std::unique_ptr<HttpClient>>
      clients_;
  std::vector<EndpointInfo> endpoints_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::unordered_map<std::uint64_t, std::uint64_t> by_connection_;
  std::unordered_map<std::string, Milliseconds> usual_deadline_;  // by route
  std::map<ServiceId, std::vector<ShardKey>> key_samples_;
  // When the newest request was sent that an endpoint has answered.
  std::map<EndpointRef, SteadyTime> newest_answered_;
  std::function<void(const ServiceId&)> stale_lease_;
  std::uint64_t last_id_ = 0;
  std::size_t gateway_count_ = 0;
  bool stopping_ = false;
  std::unique_ptr<Timers> timers_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_FORWARDER_H_
