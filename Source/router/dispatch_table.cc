#include "router/dispatch_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "core/partitioner.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kMeasureInterval{500};

using PartitionsByEndpoint = std::map<EndpointId, std::map<PartitionId, Fence>>;

PartitionsByEndpoint GroupPartitions(const RoutingSnapshot& snapshot) {
  PartitionsByEndpoint grouped;
  for (const auto& [name, service] : snapshot.services) {
    for (PartitionId id = 0; id < service.partitions.size(); ++id) {
      const PartitionRoute& route = service.partitions[id];
      if (!route.owner.empty()) grouped[route.owner].emplace(id, route.epoch);
    }
  }
  return grouped;
}

}  // namespace

std::size_t PinnedThread(const EndpointId& endpoint, std::size_t threads) {
  // PartitionOf requires a power of two, which the number of threads need not
  // be.
  return std::stoull(Digest(endpoint), nullptr, 16) % threads;
}

DispatchTable::DispatchTable(RouterId self, std::size_t index,
                             std::size_t threads,
                             DispatchWorker::BackendFactory factory,
                             TraceStore& traces, EventSink event_sink)
    : self_(std::move(self)),
      index_(index),
      threads_(threads),
      factory_(std::move(factory)),
      traces_(traces),
      event_sink_(std::move(event_sink)) {}

void DispatchTable::Apply(const RoutingSnapshot& snapshot, SteadyTime now,
                          WallTime wall_now) {
  const PartitionsByEndpoint grouped = GroupPartitions(snapshot);
  std::vector<EndpointId> removed;
  for (const auto& [name, worker] : workers_) {
    const auto route = snapshot.endpoints.find(name);
    if (route == snapshot.endpoints.end() || route->second.primary != self_ ||
        route->second.tenure != worker->tenure()) {
      removed.push_back(name);
    }
  }
  for (const EndpointId& name : removed) {
    Retire(name, ResultCode::kNotRunMoved, now);
  }
  for (const auto& [name, route] : snapshot.endpoints) {
    if (route.primary != self_ || PinnedThread(name, threads_) != index_) {
      continue;
    }
    const auto stopped = stopped_terms_.find(name);
    if (stopped != stopped_terms_.end() && route.term <= stopped->second) {
      continue;
    }
    auto& worker = workers_[name];
    if (!worker) {
      worker = std::make_shared<DispatchWorker>(route, factory_, self_, traces_,
                                                now);
    }
    const auto partitions = grouped.find(name);
    worker->Apply(route, snapshot.policy,
                  partitions == grouped.end() ? std::map<PartitionId, Fence>{}
                                              : partitions->second,
                  now, wall_now);
  }
}

void DispatchTable::Submit(DispatchJob job, SteadyTime now, WallTime wall_now) {
  const auto found = workers_.find(job.request.endpoint());
  if (found == workers_.end()) {
    schema::ForwardReply reply = ReplyOf(ResultCode::kNotRunMoved);
    reply.set_correlation(job.request.correlation());
    job.done(std::move(reply));
    return;
  }
  const auto worker = found->second;
  worker->Submit(std::move(job), now, wall_now);
}

void DispatchTable::Cancel(const EndpointId& endpoint, Ticket ticket,
                           SteadyTime now) {
  const auto found = workers_.find(endpoint);
  if (found != workers_.end()) found->second->Cancel(ticket, now);
}

void DispatchTable::StopDispatch(const EndpointId& endpoint, const Fence& term,
                                 SteadyTime now) {
  Fence& stopped = stopped_terms_[endpoint];
  stopped = std::max(stopped, term);
  DispatchStopped report{endpoint, term, {}};
  const auto found = workers_.find(endpoint);
  if (found != workers_.end() && found->second->term() <= term) {
    const auto worker = found->second;
    workers_.erase(found);
    report.running_until = worker->Stop(ResultCode::kNotRunNoOwner, true, now);
    retired_workers_.push_back(worker);
  }
  // Work that retired workers started may still run at the endpoint.
  for (const auto& worker : retired_workers_) {
    if (worker->endpoint() != endpoint) continue;
    for (const auto& [partition, until] : worker->RunningUntil()) {
      SteadyTime& latest = report.running_until[partition];
      latest = std::max(latest, until);
    }
  }
  event_sink_(std::move(report));
}

void DispatchTable::Retire(const EndpointId& endpoint, ResultCode code,
                           SteadyTime now) {
  const auto worker = std::move(workers_.extract(endpoint).mapped());
  worker->Stop(code, false, now);
  retired_workers_.push_back(worker);
}

void DispatchTable::Tick(SteadyTime now, WallTime wall_now) {
  const auto workers = workers_;
  for (const auto& [name, worker] : workers) worker->Tick(now, wall_now);
  const auto retired = retired_workers_;
  for (const auto& worker : retired) worker->Tick(now, wall_now);
  std::erase_if(retired_workers_,
                [](const auto& worker) { return worker->idle(); });
  if (now - measured_at_ < kMeasureInterval) return;
  measured_at_ = now;
  for (const auto& [name, worker] : workers_) event_sink_(worker->Measure(now));
}

bool DispatchTable::idle() const {
  return retired_workers_.empty() &&
         std::ranges::all_of(
             workers_, [](const auto& item) { return item.second->idle(); });
}

std::size_t DispatchTable::queued() const {
  return std::accumulate(workers_.begin(), workers_.end(), std::size_t{0},
                         [](std::size_t sum, const auto& item) {
                           return sum + item.second->queued();
                         });
}

std::size_t DispatchTable::running() const {
  return std::accumulate(workers_.begin(), workers_.end(), std::size_t{0},
                         [](std::size_t sum, const auto& item) {
                           return sum + item.second->running();
                         });
}

}  // namespace balsamhall
