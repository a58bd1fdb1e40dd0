// The dispatch workers that are pinned to one traffic thread.
#ifndef BALSAMHALL_ROUTER_DISPATCH_TABLE_H_
#define BALSAMHALL_ROUTER_DISPATCH_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/ownership_events.h"
#include "core/routing_snapshot.h"
#include "router/dispatch_worker.h"

namespace balsamhall {

// Returns the index of the traffic thread that an endpoint is pinned to.
std::size_t PinnedThread(const EndpointId& endpoint, std::size_t threads);

// Not thread-safe: all calls run on the traffic thread of the table.
class DispatchTable {
 public:
  using EventSink = std::function<void(OwnershipEvent)>;

  DispatchTable(RouterId self, std::size_t index, std::size_t threads,
                DispatchWorker::BackendFactory factory, TraceStore& traces,
                EventSink event_sink);

  // Starts, updates and stops dispatch workers to match the snapshot. Every
  // snapshot must be applied, in order: a worker may keep its request memory
  // only as long as no other router has been the primary in between.
  void Apply(const RoutingSnapshot& snapshot, SteadyTime now,
             WallTime wall_now);

  // Submits the job to the worker of its endpoint, or replies kNotRunMoved if
  // there is none.
  void Submit(DispatchJob job, SteadyTime now, WallTime wall_now);

  void Cancel(const EndpointId& endpoint, Ticket ticket, SteadyTime now);

  // Stops dispatch to the endpoint under this and all earlier terms, and
  // reports DispatchStopped.
  void StopDispatch(const EndpointId& endpoint, const Fence& term,
                    SteadyTime now);

  // Call every 10 ms. Reports the measured load every 500 ms.
  void Tick(SteadyTime now, WallTime wall_now);

  // Returns true if no request is queued or running.
  bool idle() const;
  std::size_t queued() const;
  std::size_t running() const;

 private:
  void Retire(const EndpointId& endpoint, ResultCode code, SteadyTime now);

  RouterId self_;
  std::size_t index_;
  std::size_t threads_;
  DispatchWorker::BackendFactory factory_;
  TraceStore& traces_;
  EventSink event_sink_;
  std::map<EndpointId, std::shared_ptr<DispatchWorker>> workers_;
  // Stopped workers whose requests are still running.
  std::vector<std::shared_ptr<DispatchWorker>> retired_workers_;
  std::map<EndpointId, Fence> stopped_terms_;
  SteadyTime measured_at_{};
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_DISPATCH_TABLE_H_
