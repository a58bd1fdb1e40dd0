// A gateway's view of its fleet: endpoints, routes, limits and settings.
#ifndef BALSAMHALL_GATEWAY_FLEET_VIEW_H_
#define BALSAMHALL_GATEWAY_FLEET_VIEW_H_

#include <algorithm>
#include <boost/iterator/indirect_iterator.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"

namespace balsamhall::gateway {

// Shard key of a request to a service that is sharded by key.
using ShardKey = std::uint16_t;
inline constexpr std::uint32_t kShardKeys = 65536;

// One incarnation of an endpoint. An endpoint that restarts under its id has
// another one.
struct EndpointRef {
  EndpointId id;
  std::int64_t incarnation = 0;

  auto operator<=>(const EndpointRef&) const = default;
  bool empty() const { return id.empty(); }
  std::string ToString() const {
    return id + "@" + std::to_string(incarnation);
  }
};

struct EndpointInfo {
  EndpointRef ref;
  ServiceId service;
  std::string address;  // ip:port
  std::string data_centre;
  unsigned slots = 1;
  bool draining = false;
  Milliseconds warm_up_left{0};  // remaining warm-up time
  // Offset of its entry in the registry plus one; 0: not known. Tells an entry
  // that is read again from one that states the same warm-up time anew.
  std::uint64_t entry_version = 0;
};

struct ServiceSpec {
  ServiceId name;
  std::string health_path;
  std::size_t max_connections = 0;
  bool sharded_by_key = false;
  // How long an endpoint is cold after its start; 0: endpoints are never cold.
  Milliseconds warm_up{0};
  // Requests per second that a cold endpoint tolerates; 0: not limited.
  double warm_up_per_second = 0;
  // Why no request can be sent to the endpoints; empty if requests can be sent.
  std::string unusable = {};

  bool operator==(const ServiceSpec&) const = default;
};

struct WeightedService {
  ServiceId service;
  unsigned weight = 1;

  bool operator==(const WeightedService&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  bool idempotent = false;
  Milliseconds timeout{0};
  Milliseconds target_latency{0};
  int rank = 0;  // 0 is the most urgent
  unsigned max_attempts = 1;
  std::vector<WeightedService> services;
  // Regions whose endpoints may get the requests; empty: all regions.
  std::vector<std::string> allowed_regions = {};
  // Why the requests cannot be served safely; empty if they can be.
  std::string unusable = {};

  bool operator==(const Route&) const = default;
};

// Routes of a configuration, which shares those that did not change with the
// one before. A reference to a route is valid as long as any list has it.
class RouteList {
 public:
  RouteList() = default;
  RouteList(std::initializer_list<Route> routes) {
    for (const Route& route : routes) {
      push_back(std::make_shared<const Route>(route));
    }
  }

  void reserve(std::size_t routes) { routes_.reserve(routes); }
  // Precondition: route is not nullptr.
  void push_back(std::shared_ptr<const Route> route) {
    routes_.push_back(std::move(route));
  }

  std::size_t size() const { return routes_.size(); }
  const Route& operator[](std::size_t index) const { return *routes_[index]; }
  auto begin() const { return boost::make_indirect_iterator(routes_.begin()); }
  auto end() const { return boost::make_indirect_iterator(routes_.end()); }

  // Compares the routes, not their places in memory.
  bool operator==(const RouteList& other) const {
    return std::equal(begin(), end(), other.begin(), other.end());
  }

 private:
  std::vector<std::shared_ptr<const Route>> routes_;
};

struct TrafficLimits {
  std::size_t max_header_bytes = 16U << 10U;
  std::size_t max_body_bytes = 64U << 20U;
  Milliseconds header_timeout{3'000};
  Milliseconds idle_timeout{15'000};

  bool operator==(const TrafficLimits&) const = default;
};

struct RoutingConfig {
  std::uint64_t version = 0;
  RouteList routes;
  std::map<ServiceId, ServiceSpec> services;
  TrafficLimits limits;

  bool operator==(const RoutingConfig&) const = default;
};

// Network distance, which determines the transfer cost of a response.
enum class Distance { kSameDataCentre, kSameRegion, kOtherRegion };

struct GatewaySettings {
  RouterId id;
  std::string data_centre;
  std::map<std::string, std::string> region_of;  // region by data centre
  std::string front_address;
  std::string ready_address;
  std::string peer_address;
  std::string metrics_address;
  std::string store_address;
  // Memory of this process, of which its buffers get fixed shares.
  std::size_t memory_bytes = 160'000'000;
  Milliseconds registry_heartbeat{1'000};
  Milliseconds min_group_ttl{1'000};
  Milliseconds stop_grace{6'000};
  Milliseconds drain{2'500};  // how long a leaving endpoint takes requests
  Milliseconds max_lease{10'000};
  unsigned link_mbps = 0;  // of the VM; 0: unknown
  double retry_ratio = 0.1;
  Milliseconds retry_window{10'000};
  double retry_slack = 0;  // retries per window beyond the ratio, fleet-wide
  // Requests that a cold endpoint may get in any one second, from all gateways:
  // ServiceSpec::warm_up_per_second * warm_up_overage + warm_up_slack.
  double warm_up_overage = 1;
  double warm_up_slack = 0;
  // Time after which an evacuated data centre gets no requests; 0: the fleet
  // has no evacuations.
  Milliseconds evacuate{0};

  // Returns the distance to a data centre; an unknown one is in another region.
  Distance DistanceTo(const std::string& other) const;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_FLEET_VIEW_H_
