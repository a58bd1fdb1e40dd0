// Rendezvous (highest random weight) hashing.
#ifndef BALSAMHALL_CORE_RENDEZVOUS_H_
#define BALSAMHALL_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamhall {

// Returns the score of a node for a key. Stable across versions, because all
// routers have to agree on it. Thread-safe.
std::uint64_t RendezvousScore(std::string_view key, std::string_view node);

// Returns the nodes by descending score; equal scores by name. Thread-safe.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> nodes);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_RENDEZVOUS_H_
