#include "core/partitioner.h"

#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

namespace balsamhall {

PartitionId PartitionOf(std::string_view key, std::uint32_t partitions) {
  const std::uint64_t hash = XXH64(key.data(), key.size(), 0);
  return static_cast<PartitionId>(hash & (partitions - 1));
}

std::string Digest(std::string_view text) {
  return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
}

}  // namespace balsamhall
