// Finds the route of a request and selects a service of a traffic split.
#ifndef BALSAMHALL_GATEWAY_ROUTE_TABLE_H_
#define BALSAMHALL_GATEWAY_ROUTE_TABLE_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

// Immutable after construction, so safe for concurrent readers.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfig config);

  // Returns the route of this host with the longest matching path prefix, or
  // nullptr. The host is matched without regard to port and case; the request
  // target may contain a query. The pointer is valid as long as the table.
  const Route* Match(std::string_view host, std::string_view target) const;

  // Returns nullptr for a service that the configuration does not name.
  const ServiceSpec* Service(const ServiceId& name) const;

  const RoutingConfig& config() const { return config_; }

 private:
  RoutingConfig config_;
  // Indices into config_.routes, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
};

// Divides the requests of a route among its services in proportion to their
// weights and evenly over short spans (smooth weighted round robin).
// Not thread-safe.
class SplitPicker {
 public:
  // Returns the service for the next request. Starts over if the services or
  // weights of the route have changed.
  // Precondition: route.services is not empty and has a positive weight.
  const ServiceId& Pick(const Route& route);

 private:
  struct State {
    std::vector<WeightedService> services;
    std::vector<std::int64_t> current_weights;
  };
  std::unordered_map<std::string, State> states_;  // by route name
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_ROUTE_TABLE_H_
