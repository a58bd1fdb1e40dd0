// One traffic thread: callers, forwards and the dispatchers pinned to it.
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
  // Called on the worker's thread.
  using EventSink = std::function<void(OwnershipEvent)>;

  // traces outlives the worker. index is below settings.traffic_threads.
  TrafficWorker(const schema::RouterSettings& settings, std::size_t index,
                TraceStore& traces, EventSink event_sink);
  ~TrafficWorker();
  TrafficWorker(const TrafficWorker&) = delete;
  TrafficWorker& operator=(const TrafficWorker&) = delete;

  // Binds the addresses. Call once, before Start.
  Result<void> Listen();

  // Starts the thread. workers holds all workers of the process by index; they
  // stop together. Call once.
  void Start(const std::vector<TrafficWorker*>& workers);

  // Runs a function on the thread.
  void Post(std::function<void()> function);

  // Adopts a snapshot. Every snapshot has to be passed, in order.
  void Apply(std::shared_ptr<const RoutingSnapshot> snapshot);

  // Stops dispatch as StopDispatch asks, on the worker that the endpoint is
  // pinned to; the report goes to the event sink.
  void StopDispatch(const EndpointId& endpoint, const Fence& term);

  // Stops accepting callers; open exchanges end first.
  void Drain();

  // True once Drain has finished and no request is queued, running, waiting or
  // forwarded. Read by polling.
  bool drained() const;

  // Ends the thread; what is still open is cut off.
  void Stop();

  const Metrics& metrics() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_TRAFFIC_WORKER_H_
