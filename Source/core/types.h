// Value types shared by all modules.
#ifndef BALSAMHALL_CORE_TYPES_H_
#define BALSAMHALL_CORE_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "balsamhall.pb.h"

namespace balsamhall {

// Monotonic time of one process. Never compared across processes.
using SteadyTime = std::chrono::steady_clock::time_point;
// Wall-clock time; compared across processes only with a skew bound.
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

using RouterId = std::string;
using EndpointId = std::string;
using ServiceId = std::string;
using PartitionId = std::uint32_t;

// Fencing token, ordered lexicographically. The high part is a log offset, so
// tokens keep increasing when the whole fleet restarts.
struct Fence {
  std::uint64_t offset = 0;
  std::uint32_t counter = 0;

  auto operator<=>(const Fence&) const = default;

  // Returns the next token of the same log offset.
  Fence Next() const { return {offset, counter + 1}; }

  // Returns true for the initial token, which precedes every granted one.
  bool IsZero() const { return offset == 0 && counter == 0; }

  // Returns "offset.counter", the form used in headers and logs.
  std::string ToString() const {
    return std::to_string(offset) + "." + std::to_string(counter);
  }
};

inline Fence FromProto(const schema::Fence& fence) {
  return {fence.offset(), fence.counter()};
}

inline schema::Fence ToProto(const Fence& fence) {
  schema::Fence proto;
  proto.set_offset(fence.offset);
  proto.set_counter(fence.counter);
  return proto;
}

// Parses "offset.counter"; returns nullopt for any other text.
std::optional<Fence> ParseFence(std::string_view text);

// One process of a router. A restarted router has another incarnation.
struct RouterRef {
  RouterId id;
  std::uint64_t incarnation = 0;

  auto operator<=>(const RouterRef&) const = default;
};

inline RouterRef FromProto(const schema::RouterRef& ref) {
  return {ref.id(), ref.incarnation()};
}

inline schema::RouterRef ToProto(const RouterRef& ref) {
  schema::RouterRef proto;
  proto.set_id(ref.id);
  proto.set_incarnation(ref.incarnation);
  return proto;
}

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_TYPES_H_
