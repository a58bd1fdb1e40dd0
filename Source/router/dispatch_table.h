// The dispatchers that are pinned to one traffic thread.
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

// Not thread-safe: all calls run on its traffic thread.
class DispatchTable {
 public:
  using EventSink = std::function<void(OwnershipEvent)>;

  DispatchTable(RouterId self, std::size_t index, std::size_t threads,
                DispatchWorker::BackendFactory factory, TraceStore& traces,
                EventSink event_sink);

  // Starts, changes and stops dispatchers to match the snapshot. Every
  // snapshot has to be applied in order: a dispatcher keeps its memory of
  // request ids only while no other router was primary.
  void Apply(const RoutingSnapshot& snapshot, SteadyTime now,
             WallTime wall_now);

  // Runs the job at its endpoint, or answers kNotRunMoved.
  void Submit(DispatchJob job, SteadyTime now, WallTime wall_now);

  void Cancel(const EndpointId& endpoint, Ticket ticket, SteadyTime now);

  // Stops dispatch under this term and earlier ones and reports it.
  void StopDispatch(const EndpointId& endpoint, const Fence& term,
                    SteadyTime now);

  // Call every 10 ms. Reports the load every 500 ms.
  void Tick(SteadyTime now, WallTime wall_now);

  // True if no request is queued or running.
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
  // Stopped, with work still running.
  std::vector<std::shared_ptr<DispatchWorker>> retired_workers_;
  std::map<EndpointId, Fence> stopped_terms_;
  SteadyTime measured_at_{};
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_DISPATCH_TABLE_H_
