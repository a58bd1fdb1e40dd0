// Immutable routing state that traffic threads read.
#ifndef BALSAMHALL_CORE_ROUTING_SNAPSHOT_H_
#define BALSAMHALL_CORE_ROUTING_SNAPSHOT_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// How an endpoint is reached and which router dispatches to it.
struct EndpointRoute {
  schema::EndpointConfig config;
  ServiceId service;
  Fence term;
  RouterId primary;  // empty: no known primary
  // Set if this router is the primary: a number that changes whenever it
  // becomes the primary again. Another router may have dispatched in between,
  // so the request ids kept to detect duplicates are no longer complete and
  // must be discarded.
  std::uint64_t tenure = 0;
  bool accepting = false;
  double load = 0;
  std::string state;  // for operators: serving, failing-over, evicted, ...
  // Start of serving in this incarnation, for the slow start of cold endpoints.
  SteadyTime serving_since;
  // Latest time at which this router may start work at the endpoint; only for
  // endpoints that do not check fences, else null.
  std::shared_ptr<const std::atomic<SteadyTime::rep>> authority_until;
};

struct PartitionRoute {
  EndpointId owner;  // empty: no known owner
  Fence epoch;
};

struct ServiceRoute {
  schema::ServiceConfig config;
  std::vector<PartitionRoute> partitions;
};

struct RouterRoute {
  schema::RouterJoined join;
  std::uint64_t incarnation = 0;
  bool reachable = false;
};

// Thread-safe after construction, because it never changes.
struct RoutingSnapshot {
  RouterRef self;
  std::string region;
  std::uint64_t config_version = 0;
  std::string config_digest;
  schema::PolicyConfig policy;
  std::map<ServiceId, ServiceRoute> services;
  std::map<EndpointId, EndpointRoute> endpoints;
  std::map<RouterId, RouterRoute> routers;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_ROUTING_SNAPSHOT_H_
