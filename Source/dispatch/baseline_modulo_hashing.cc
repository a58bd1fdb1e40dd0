#include "dispatch/baseline_modulo_hashing.h"

#include "core/partitioner.h"

namespace balsamhall {

const EndpointId& ModuloOwner(std::string_view key,
                              const std::vector<EndpointId>& endpoints) {
  // With 2^31 partitions, the bias of the second modulo operation is
  // negligible.
  return endpoints[PartitionOf(key, 1U << 31U) % endpoints.size()];
}

}  // namespace balsamhall
