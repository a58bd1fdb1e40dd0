#include "router/status_report.h"

#include <spdlog/fmt/fmt.h>

#include "core/partitioner.h"

namespace balsamhall {

Result<schema::KeyExplanation> ExplainKey(const OwnershipController& controller,
                                          const std::string& service,
                                          const std::string& key) {
  const auto routing = controller.routing();
  const auto found = routing->services.find(service);
  if (found == routing->services.end()) {
    return Error{ResultCode::kOperatorUnknownService, service};
  }
  schema::KeyExplanation explanation;
  explanation.set_service(service);
  explanation.set_key(key);
  const PartitionId partition =
      PartitionOf(key, found->second.config.partitions());
  explanation.set_partition(partition);
  if (partition < found->second.partitions.size()) {
    const PartitionRoute& route = found->second.partitions[partition];
    schema::EndpointRouting& owner = *explanation.mutable_owner();
    owner.set_service(service);
    owner.mutable_view()->set_endpoint(route.owner);
    schema::PartitionEpoch& epoch = *owner.add_partitions();
    epoch.set_partition(partition);
    *epoch.mutable_epoch() = ToProto(route.epoch);
    const auto endpoint = routing->endpoints.find(route.owner);
    if (endpoint != routing->endpoints.end()) {
      *owner.mutable_view()->mutable_term() = ToProto(endpoint->second.term);
      owner.mutable_view()->mutable_primary()->set_id(endpoint->second.primary);
      owner.set_load(endpoint->second.load);
      owner.set_accepting(endpoint->second.accepting);
      owner.set_state(endpoint->second.state);
    }
  }
  for (const schema::MoveEvent& move : controller.moves(service, partition)) {
    *explanation.add_moves() = move;
  }
  return explanation;
}

void AddControlMetrics(const schema::RouterStatus& status,
                       std::uint64_t bytes_sent, std::uint64_t bytes_received,
                       Metrics& metrics) {
  metrics.Set("config_version", "",
              static_cast<double>(status.config_version()));
  metrics.Set("log_offset", "", static_cast<double>(status.log_offset()));
  metrics.Set("log_reachable", "", status.log_reachable() ? 1 : 0);
  metrics.Set("endpoints_primary", "", status.endpoints_size());
  metrics.Set("degraded_items", "", status.degraded_size());
  metrics.Set("invariant_violations", "",
              static_cast<double>(status.invariant_violations()));
  metrics.Add("peer_bytes_total", "direction=\"sent\"", bytes_sent);
  metrics.Add("peer_bytes_total", "direction=\"received\"", bytes_received);
  for (const schema::EndpointRouting& endpoint : status.endpoints()) {
    const std::string labels =
        fmt::format("endpoint=\"{}\"", endpoint.view().endpoint());
    metrics.Set("endpoint_load", labels, endpoint.load());
    metrics.Set("endpoint_partitions", labels, endpoint.partitions_size());
  }
}

}  // namespace balsamhall
