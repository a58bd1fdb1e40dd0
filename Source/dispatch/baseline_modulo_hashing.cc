#include "dispatch/baseline_modulo_hashing.h"

#include "core/partitioner.h"

namespace balsamhall {

const EndpointId& ModuloOwner(std::string_view key,
                              const std::vector<EndpointId>& endpoints) {
  // 2^31 partitions keep the bias of the second modulus negligible.
  return endpoints[PartitionOf(key, 1U << 31U) % endpoints.size()];
}

}  // namespace balsamhall
