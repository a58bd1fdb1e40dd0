#include "core/append_deduplicator.h"

namespace balsamhall {

bool AppendDeduplicator::IsFirst(const std::string& writer,
                                 std::uint64_t sequence) {
  const auto [entry, inserted] =
      highest_sequences_.try_emplace(writer, sequence);
  if (inserted) return true;
  if (sequence <= entry->second) return !enabled_;
  entry->second = sequence;
  return true;
}

}  // namespace balsamhall
