// Forwards requests from callers to endpoints, and the responses back.
#ifndef BALSAMHALL_GATEWAY_FORWARDER_H_
#define BALSAMHALL_GATEWAY_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/result_code.h"
#include "gateway/backend_dialect.h"
#include "gateway/cold_start.h"
#include "gateway/endpoint_notices.h"
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

// Runs on one event loop; not thread-safe.
class Forwarder {
 public:
  // The settings, the dialect, the notices and the metrics must outlive the
  // forwarder, which records what endpoints say in their responses.
  Forwarder(boost::asio::io_context& loop, const GatewaySettings& settings,
            const BackendDialect& dialect, EndpointNotices& notices,
            Metrics& metrics);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  // Handlers for HttpServer: a request has arrived; its caller has ended its
  // sending side or the connection before the response. Only work that must not
  // be repeated and is under way continues then.
  void OnRequest(HttpRequest request, HttpServer::Respond respond);
  void OnCallerDisconnected(std::uint64_t connection);

  // Returns whether a request may run in any order with others of its caller's
  // connection: it is idempotent, or never sent to an endpoint.
  bool MayOvertake(const HttpRequest& request) const;

  // Applies a configuration to the requests that arrive from now on.
  void SetRoutes(std::shared_ptr<const RouteTable> routes);
  // Replaces the registered endpoints of all services. Draining ones get no new
  // requests.
  void SetEndpoints(const std::vector<EndpointInfo>& endpoints);
  // Replaces the evacuated data centres; see PlacementLimits::SetEvacuated.
  void SetEvacuated(const std::map<std::string, SteadyTime>& keys_until);
  // Replaces the lease table of a service that is sharded by key.
  void SetLeases(std::shared_ptr<const LeaseTable> leases);
  // Sets the gateways, which share the retry budget and the requests to cold
  // endpoints, as of a time at which the list was complete. An empty list is
  // ignored. Without as_of, the list may be incomplete, and the one before
  // continues to determine which gateways send to cold endpoints.
  void SetGateways(const std::vector<GatewayPlace>& gateways,
                   std::optional<SteadyTime> as_of);

  // Sets a handler that is called when an endpoint responds that it does not
  // hold a key that the lease table assigns to it.
  void set_stale_lease_handler(std::function<void(const ServiceId&)> handler) {
    stale_lease_ = std::move(handler);
  }

  // Sets a handler that is called when an endpoint responds for the first time
  // that it is leaving.
  void set_leaving_handler(std::function<void(const EndpointRef&)> handler) {
    leaving_ = std::move(handler);
  }

  // Returns and clears the sampled keys of the requests since the last call, by
  // service.
  std::map<ServiceId, std::vector<ShardKey>> TakeKeySamples();
  // Returns and clears the observed speeds of the endpoints of a service since
  // the last call.
  SpeedReport TakeSpeeds(const ServiceId& service);
  // Estimated capacities of the endpoints of a service; see
  // Scheduler::Capacities.
  std::map<EndpointRef, double> Capacities(const ServiceId& service) const;

  // Sends a lease call on a connection on which the holder has executed a
  // request for a key of the range; done runs as with HttpClient::Send. Returns
  // false if there is no such connection that is not in use.
  bool SendOnRequestConnection(const LeaseHolder& holder, const KeyRange& range,
                               HttpRequest request, Milliseconds timeout,
                               HttpClient::Callback done);

  // Memory of the bodies of responses, also of those that are being written to
  // callers.
  const std::shared_ptr<BodyMemory>& response_memory() const {
    return response_memory_;
  }

  // Number of requests in progress.
  std::size_t pending() const { return exchanges_.size(); }

  // The process stops at the given time. Attempts in progress are no longer
  // replaced by retries when they take too long. A request that arrives later
  // than last_arrival is rejected unless its deadline is before the end.
  // Precondition: called once.
  void SetStopping(SteadyTime last_arrival, SteadyTime end) {
    stop_ = Stop{last_arrival, end};
  }
  // Cancels all attempts in progress because the process ends now. Every caller
  // that still waits gets an error response, which reports requests that may
  // have run as such.
  void AbortAll();

  // Returns whether requests to endpoints of the service are limited while they
  // are cold.
  bool LimitsColdEndpoints(const ServiceId& service) const;

  // Closes connections that have been idle too long, and clients of removed
  // endpoints, and reports which endpoints are cold. Call it about once per
  // second.
  void Clean();

 private:
  struct Exchange;
  struct ServiceState;
  struct Timers;
  using AttemptOutcome = HttpClient::Outcome;

  ServiceState& Service(const ServiceId& name);
  // Restricts the requests in progress to the regions that the configuration
  // in force allows as well.
  void NarrowRegions();
  HttpClient& ClientOf(const EndpointInfo& endpoint);
  void ApplyDecisions(ServiceState& service, const Decisions& decisions);
  void Send(Exchange& exchange, const Placement& placement);
  void OnOutcome(std::uint64_t id, std::uint64_t attempt_id,
                 AttemptOutcome outcome);
  void OnResponse(Exchange& exchange, HttpResponse response,
                  std::uint64_t connection);
  void SetGatewayCount(std::size_t count);
  // Passes the bound on requests to cold endpoints to the scheduler.
  void LimitColdEndpoints(ServiceState& service);
  void ReportColdEndpoints(ServiceState& service, SteadyTime now);
  void RecordNotices(const Exchange& exchange,
                     const BackendResponse& backend_response, SteadyTime now);
  void RecordExecutedKey(const Exchange& exchange, std::uint64_t connection);
  void OnNotExecuted(Exchange& exchange,
                     const BackendResponse& backend_response, unsigned status);
  void OnAttemptFailed(Exchange& exchange, EndpointFailure failure,
                       bool not_sent, const std::string& detail);
  // Resubmits the request if the deadline and, if capped, the maximum number of
  // attempts and the retry budget allow it. Returns true if it did; the
  // exchange may then have ended.
  bool RetryIfAllowed(Exchange& exchange, bool capped, const char* cause);
  void Resubmit(Exchange& exchange, const char* cause);
  void Reject(Exchange& exchange, const Rejection& rejection);
  void Finish(Exchange& exchange, HttpResponse response, ResultCode code,
              const char* outcome);
  // Logs and counts the response that the caller gets now.
  void RecordEnd(const Exchange& exchange, unsigned status, ResultCode code,
                 const char* outcome);
  void FinishWithoutResponse(Exchange& exchange, const std::string& detail);
  void OnDeadline(std::uint64_t id);
  void OnAttemptTimeout(std::uint64_t id, std::uint64_t attempt_id);
  void StopAttempt(Exchange& exchange);
  // Cancels the request, unless it must not be repeated and is under way.
  void OnCallerLeft(Exchange& exchange, SteadyTime now);
  void Erase(std::uint64_t id);
  void ScheduleTimer();
  void OnTimer();
  Exchange* Find(std::uint64_t id);
  SteadyTime AttemptDeadline(const Exchange& exchange) const;
  // Returns how long a connection for the attempt may have been idle.
  static Milliseconds MaxIdle(const Exchange& exchange);

  boost::asio::io_context& loop_;
  const GatewaySettings& settings_;
  const BackendDialect& dialect_;
  EndpointNotices& notices_;
  Metrics& metrics_;
  RequestLog log_;
  ColdStartGateways cold_start_gateways_;
  std::shared_ptr<BodyMemory> response_memory_;
  std::shared_ptr<const RouteTable> routes_;
  SplitPicker split_;
  std::map<ServiceId, std::unique_ptr<ServiceState>> services_;
  std::map<std::pair<EndpointRef, std::string>, std::unique_ptr<HttpClient>>
      clients_;
  // Keys of requests that the endpoint has executed, sorted, by connection.
  std::map<std::pair<EndpointRef, std::string>,
           std::map<std::uint64_t, std::vector<ShardKey>>>
      executed_keys_;
  std::vector<EndpointInfo> endpoints_;
  std::map<std::string, SteadyTime> evacuated_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::unordered_multimap<std::uint64_t, std::uint64_t> by_connection_;
  // Longest deadline that callers have sent, by route.
  std::unordered_map<std::string, Milliseconds> max_deadlines_;
  std::map<ServiceId, std::vector<ShardKey>> key_samples_;
  // Send time of the newest request that each endpoint has responded to.
  std::map<EndpointRef, SteadyTime> newest_responded_;
  std::function<void(const ServiceId&)> stale_lease_;
  std::function<void(const EndpointRef&)> leaving_;
  std::uint64_t last_id_ = 0;
  std::size_t gateway_count_ = 0;
  struct Stop {
    SteadyTime last_arrival;
    SteadyTime end;
  };
  std::optional<Stop> stop_;  // set once the process is about to stop
  std::unique_ptr<Timers> timers_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_FORWARDER_H_
