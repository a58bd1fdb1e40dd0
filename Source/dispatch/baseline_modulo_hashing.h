// Baseline: the owner of a key is its hash modulo the number of endpoints.
#ifndef BALSAMHALL_DISPATCH_BASELINE_MODULO_HASHING_H_
#define BALSAMHALL_DISPATCH_BASELINE_MODULO_HASHING_H_

#include <string_view>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// For comparison only. Thread-safe. Precondition: endpoints is not empty.
const EndpointId& ModuloOwner(std::string_view key,
                              const std::vector<EndpointId>& endpoints);

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_BASELINE_MODULO_HASHING_H_
