// Drops duplicate appends while reading the log.
#ifndef BALSAMHALL_CORE_APPEND_DEDUPLICATOR_H_
#define BALSAMHALL_CORE_APPEND_DEDUPLICATOR_H_

#include <cstdint>
#include <map>
#include <string>

namespace balsamhall {

// A writer retries an append whose response was lost, so the log may contain
// the append twice. Not thread-safe.
class AppendDeduplicator {
 public:
  explicit AppendDeduplicator(bool enabled) : enabled_(enabled) {}

  // Returns true for the first record of a writer's sequence number, and for
  // every record if not enabled. Precondition: records come in offset order;
  // writers append in sequence order.
  bool IsFirst(const std::string& writer, std::uint64_t sequence);

 private:
  bool enabled_;
  std::map<std::string, std::uint64_t> highest_sequences_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_APPEND_DEDUPLICATOR_H_
