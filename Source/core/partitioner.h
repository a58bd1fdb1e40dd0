// Maps keys to partitions.
#ifndef BALSAMHALL_CORE_PARTITIONER_H_
#define BALSAMHALL_CORE_PARTITIONER_H_

#include <string_view>

#include "core/types.h"

namespace balsamhall {

// Returns the partition of a key: xxh64(key) modulo partitions. Thread-safe.
// Precondition: partitions is a power of two.
PartitionId PartitionOf(std::string_view key, std::uint32_t partitions);

// Returns the hexadecimal xxh64 digest of a text. Thread-safe.
std::string Digest(std::string_view text);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_PARTITIONER_H_
