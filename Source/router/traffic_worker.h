// A traffic thread: serves callers and forwarded requests, and runs the
// dispatchers that are pinned to it.
#ifndef BALSAMHALL_ROUTER_TRAFFIC_WORKER_H_
#define BALSAMHALL_ROUTER_TRAFFIC_WORKER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/ownership_events.h"
#include "core/result_code.h"
#include "core/routing_snapshot.h"
#include "telemetry/metrics.h"
#include "telemetry/trace_store.h"

namespace balsamhall {

// All methods are thread-safe except where noted.
class TrafficWorker {
 public:
  // Called on the thread of the worker.
  using EventSink = std::function<void(OwnershipEvent)>;

  // traces must outlive the worker. Precondition: index is less than
  // settings.traffic_threads.
  TrafficWorker(const schema::RouterSettings& settings, std::size_t index,
                TraceStore& traces, EventSink event_sink);
  ~TrafficWorker();
  TrafficWorker(const TrafficWorker&) = delete;
  TrafficWorker& operator=(const TrafficWorker&) = delete;

  // Binds the addresses. Call once, before Start.
  Result<void> Listen();

  // Starts the thread. workers holds all workers of the process by index; all
  // of them are stopped together. Call once.
  void Start(const std::vector<TrafficWorker*>& workers);

  // Runs a function on the thread of the worker. Does not wait for it.
  void Post(std::function<void()> function);

  // Applies a snapshot. Every snapshot must be passed, in order.
  void Apply(std::shared_ptr<const RoutingSnapshot> snapshot);

  // Stops dispatch to an endpoint under this and all earlier terms, and reports
  // DispatchStopped to the event sink. Call it on the worker that the endpoint
  // is pinned to.
  void StopDispatch(const EndpointId& endpoint, const Fence& term);

  // Stops accepting caller connections. Open requests are completed.
  void Drain();

  // Returns true once Drain has finished and no request is queued, running,
  // waiting or forwarded. Poll it.
  bool drained() const;

  // Stops the thread and aborts open requests.
  void Stop();

  const Metrics& metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_TRAFFIC_WORKER_H_
