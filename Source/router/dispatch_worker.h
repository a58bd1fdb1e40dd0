// Runs the dispatcher of one endpoint during one tenure of this router as its
// primary.
#ifndef BALSAMHALL_ROUTER_DISPATCH_WORKER_H_
#define BALSAMHALL_ROUTER_DISPATCH_WORKER_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "clients/backend_service.h"
#include "core/ownership_events.h"
#include "core/routing_snapshot.h"
#include "dispatch/endpoint_dispatcher.h"
#include "router/dispatch_job.h"
#include "router/load_meter.h"
#include "telemetry/trace_store.h"

namespace balsamhall {

// Not thread-safe: one traffic thread owns it. A stopped worker never starts
// work again; a later term gets a new worker with an empty request memory.
class DispatchWorker : public std::enable_shared_from_this<DispatchWorker> {
 public:
  using BackendFactory = std::function<std::unique_ptr<BackendService>(
      const schema::EndpointConfig&)>;

  // factory and traces must outlive the worker.
  DispatchWorker(const EndpointRoute& route, const BackendFactory& factory,
                 RouterId self, TraceStore& traces, SteadyTime now);

  // Applies term, settings and partitions of a snapshot in which this router is
  // the primary of the endpoint.
  void Apply(const EndpointRoute& route, const schema::PolicyConfig& policy,
             const std::map<PartitionId, Fence>& partitions, SteadyTime now,
             WallTime wall_now);

  // Queues the job, starts it, or replies at once.
  void Submit(DispatchJob job, SteadyTime now, WallTime wall_now);

  // Cancels a job whose submitter no longer waits for the reply.
  void Cancel(Ticket ticket, SteadyTime now);

  // Rejects all queued jobs with this code. Running work continues to its end
  // or, with cancel_running, is cancelled at the backend server. Returns the
  // latest deadline of running work by partition.
  std::map<PartitionId, SteadyTime> Stop(ResultCode code, bool cancel_running,
                                         SteadyTime now);

  // Rejects queued jobs and cancels running work past the deadline. Call every
  // 10 ms.
  void Tick(SteadyTime now, WallTime wall_now);

  // Returns the measured load, and whether the backend server has refused work
  // since the last call because it drains.
  LoadMeasured Measure(SteadyTime now);

  std::map<PartitionId, SteadyTime> RunningUntil() const {
    return dispatcher_.RunningUntil();
  }
  const EndpointId& endpoint() const { return route_.config.name(); }
  const Fence& term() const { return route_.term; }
  std::uint64_t tenure() const { return route_.tenure; }
  bool stopped() const { return stopped_; }
  bool idle() const { return jobs_.empty(); }
  std::size_t queued() const { return dispatcher_.queued(); }
  std::uint32_t running() const { return dispatcher_.running(); }

 private:
  struct PendingJob {
    DispatchJob job;
    SteadyTime submitted;
    SteadyTime started{};
    TraceContext queue_span;
    TraceContext backend_span;
    WallTime submitted_wall;
  };

  void Execute(DispatchActions actions);
  void Start(Ticket ticket);
  bool HasAuthority(SteadyTime now) const;
  void OnWorkDone(Ticket ticket, const WorkAnswer& response);
  void EndWork(Ticket ticket, const StoredResponsePtr& response);
  void SendReply(Ticket ticket, const StoredResponse& response);
  void RecordSpans(const PendingJob& pending, unsigned code, SteadyTime now);

  EndpointRoute route_;
  const BackendFactory& factory_;
  RouterId self_;
  TraceStore& traces_;
  EndpointDispatcher dispatcher_;
  std::unique_ptr<BackendService> backend_;
  // Backends replaced after a change of address or connection count; they are
  // kept because their responses are still expected.
  std::vector<std::unique_ptr<BackendService>> retired_backends_;
  std::map<PartitionId, Fence> partitions_;
  std::unordered_map<Ticket, PendingJob> jobs_;
  std::deque<DispatchAction> actions_;
  bool executing_ = false;
  bool stopped_ = false;
  bool drain_refused_ = false;
  LoadMeter load_meter_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_DISPATCH_WORKER_H_
