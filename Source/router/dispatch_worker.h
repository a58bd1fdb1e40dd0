// Runs the dispatcher of one endpoint during one period of authority.
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

// Not thread-safe: one traffic thread owns it. A worker that was stopped never
// starts work again; a later term gets a new worker, whose memory of request
// ids starts anew.
class DispatchWorker : public std::enable_shared_from_this<DispatchWorker> {
 public:
  using BackendFactory = std::function<std::unique_ptr<BackendService>(
      const schema::EndpointConfig&)>;

  // factory and traces outlive the worker.
  DispatchWorker(const EndpointRoute& route, const BackendFactory& factory,
                 RouterId self, TraceStore& traces, SteadyTime now);

  // Adopts term, settings and partitions of a snapshot in which this router is
  // the primary.
  void Apply(const EndpointRoute& route, const schema::PolicyConfig& policy,
             const std::map<PartitionId, Fence>& partitions, SteadyTime now,
             WallTime wall_now);

  // Queues the job or answers it.
  void Submit(DispatchJob job, SteadyTime now, WallTime wall_now);

  // The submitter no longer waits for the ticket.
  void Cancel(Ticket ticket, SteadyTime now);

  // Rejects everything queued; running work ends by itself or, with
  // cancel_running, is cancelled at the server too. Returns the latest
  // deadlines of running work.
  std::map<PartitionId, SteadyTime> Stop(ResultCode code, bool cancel_running,
                                         SteadyTime now);

  // Drops what is overdue. Call every 10 ms.
  void Tick(SteadyTime now, WallTime wall_now);

  // Reads the load and whether the server refused work because it drains.
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
  void OnWorkDone(Ticket ticket, const WorkAnswer& answer);
  void EndWork(Ticket ticket, const StoredAnswerPtr& answer);
  void SendReply(Ticket ticket, const StoredAnswer& answer);
  void RecordSpans(const PendingJob& pending, unsigned code, SteadyTime now);

  EndpointRoute route_;
  const BackendFactory& factory_;
  RouterId self_;
  TraceStore& traces_;
  EndpointDispatcher dispatcher_;
  std::unique_ptr<BackendService> backend_;
  // Replaced after a change of address; their answers are still expected.
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
