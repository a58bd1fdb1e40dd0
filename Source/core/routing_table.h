// Routing state of all endpoints, as their primaries report it.
#ifndef BALSAMHALL_CORE_ROUTING_TABLE_H_
#define BALSAMHALL_CORE_ROUTING_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/config_register.h"
#include "core/routing_snapshot.h"
#include "core/types.h"

namespace balsamhall {

// Not thread-safe.
class RoutingTable {
 public:
  // Stores a report if it is newer than the known one of the endpoint. Returns
  // true if it was stored.
  bool Update(const schema::EndpointRouting& routing, SteadyTime now);

  // Records a view without its partitions, unless a view with a higher term is
  // known.
  void NoteView(const schema::View& view);

  const schema::EndpointRouting* Find(const EndpointId& endpoint) const;
  std::optional<schema::View> KnownView(const EndpointId& endpoint) const;

  // Highest epoch of a partition in any report.
  Fence HighestEpoch(const ServiceId& service, PartitionId partition) const;

  // Digest of the reports of one primary; 0 if there are none.
  std::uint64_t DigestOf(const RouterId& primary) const;

  // Endpoint that owns each partition as far as known; empty where unknown.
  std::vector<EndpointId> Owners(const ServiceId& service,
                                 std::uint32_t partitions) const;

  // Fills in services and endpoints of a snapshot from the configuration.
  void FillSnapshot(const schema::RoutingConfig& config,
                    RoutingSnapshot* snapshot) const;

 private:
  struct Entry {
    schema::EndpointRouting routing;
    SteadyTime serving_since;
  };
  struct Owner {
    Fence epoch;
    EndpointId endpoint;
  };

  std::vector<Owner> HighestEpochOwners(const ServiceId& service,
                                        std::uint32_t partitions) const;

  std::map<EndpointId, Entry> entries_;
  std::map<EndpointId, schema::View> views_;
  std::map<ServiceId, std::vector<Fence>> highest_epochs_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_ROUTING_TABLE_H_
