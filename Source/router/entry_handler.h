// Handles the requests of callers at the router that received them.
#ifndef BALSAMHALL_ROUTER_ENTRY_HANDLER_H_
#define BALSAMHALL_ROUTER_ENTRY_HANDLER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "core/routing_snapshot.h"
#include "dispatch/link_shaper.h"
#include "dispatch/load_balancer.h"
#include "dispatch/overload_guard.h"
#include "dispatch/retry_budget.h"
#include "net/http_types.h"
#include "router/caller_request.h"
#include "router/dispatch_job.h"
#include "router/forward_client.h"
#include "telemetry/metrics.h"
#include "telemetry/trace_store.h"

namespace balsamhall {

struct EntryOptions {
  std::size_t threads = 1;  // traffic threads, which share the link budget
  std::size_t max_waiting = 4096;
  std::size_t max_waiting_bytes = 32U << 20U;
  std::uint32_t max_attempts = 4;
  std::uint64_t seed = 1;
  OverloadOptions overload;
};

// Chooses an endpoint for each request, dispatches it locally or forwards it to
// the primary router of the endpoint, retries where that is safe, and sends the
// response. Not thread-safe: one traffic thread owns it.
class EntryHandler {
 public:
  using Respond = std::function<void(HttpResponse)>;
  using LocalDispatch = std::function<void(DispatchJob)>;

  // forward_client, metrics and traces must outlive the handler.
  EntryHandler(EntryOptions options, LocalDispatch dispatch,
               ForwardClient& forward_client, Metrics& metrics,
               TraceStore& traces, SteadyTime now);
  ~EntryHandler();
  EntryHandler(const EntryHandler&) = delete;
  EntryHandler& operator=(const EntryHandler&) = delete;

  // Applies a snapshot and retries waiting requests whose route has changed.
  void Apply(std::shared_ptr<const RoutingSnapshot> snapshot, SteadyTime now);

  // Returns the response that rejects a request if the router is overloaded
  // (event loop delay or memory use), or nullopt to admit it. Only the head of
  // the request has been received.
  std::optional<HttpResponse> FilterHead(const HttpRequest& head);

  void Handle(HttpRequest request, Respond respond);

  // Retries waiting requests that are due and finishes those past their
  // deadline. Call every 10 ms.
  void Tick(SteadyTime now);

  void ReportLoad(Microseconds loop_delay, std::size_t memory_bytes);

  std::size_t waiting() const { return waiting_.size(); }

 private:
  // Endpoint, primary router, term and partition epoch that an attempt was
  // based on. If they change, a retry need not wait.
  using RouteKey = std::tuple<EndpointId, RouterId, Fence, Fence>;

  struct Target {
    EndpointId endpoint;
    RouteKey route_key;
    Fence term;
    bool local = false;
    bool remote_region = false;
    std::string address;
  };

  struct PendingRequest {
    CallerRequest request;
    Respond respond;
    SteadyTime started;
    WallTime started_wall;
    SteadyTime deadline;
    TraceContext span;
    std::string parent_span;
    std::uint32_t attempts = 0;
    std::set<EndpointId> tried_endpoints;
    RouteKey attempted_route;
    // Reply to return if no later attempt yields a better one.
    schema::ForwardReply fallback;
    // Code of the last attempt with an unknown outcome. It replaces a later
    // "not run" code, because this idempotent request may have been executed.
    std::optional<ResultCode> unknown_outcome;
    // Latest code that proves that no attempt of this request was executed; see
    // ProvesNeverRun.
    std::optional<ResultCode> proven_never_run;
    bool charge_retry_budget = false;
    SteadyTime retry_at;
    std::size_t bytes = 0;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void StartAttempt(const PendingRequestPtr& pending, SteadyTime now);
  std::optional<Target> ChooseTarget(PendingRequest& pending, SteadyTime now);
  std::optional<Target> TargetOf(const EndpointId& endpoint,
                                 const Fence& epoch) const;
  bool TakeLinkBudget(const PendingRequestPtr& pending, const Target& target,
                      SteadyTime now);
  void SendAttempt(const PendingRequestPtr& pending, const Target& target,
                   SteadyTime now);
  void OnReply(const PendingRequestPtr& pending, const Target& target,
               SteadyTime sent, schema::ForwardReply reply);
  void ReportToBalancer(const PendingRequest& pending, const Target& target,
                        ResultCode code, SteadyTime sent, SteadyTime now);
  void ScheduleRetry(const PendingRequestPtr& pending, ResultCode reason,
                     Microseconds delay, SteadyTime now);
  bool RouteChanged(const PendingRequest& pending) const;
  void Finish(PendingRequest& pending, schema::ForwardReply reply);
  void Reject(const HttpRequest& request, const Respond& respond, Error error);
  void RecordSpan(const PendingRequest& pending, unsigned code, SteadyTime now);
  void UpdatePolicy(SteadyTime now);

  EntryOptions options_;
  LocalDispatch dispatch_;
  ForwardClient& forward_client_;
  Metrics& metrics_;
  TraceStore& traces_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  RetryBudget retry_budget_;
  LinkShaper link_shaper_;
  OverloadGuard overload_guard_;
  std::map<ServiceId, LoadBalancer> balancers_;
  std::list<PendingRequestPtr> waiting_;
  std::size_t waiting_bytes_ = 0;
  Ticket last_ticket_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_ENTRY_HANDLER_H_
