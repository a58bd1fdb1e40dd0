#include "core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace balsamhall {

std::uint64_t RendezvousScore(std::string_view key, std::string_view node) {
  // The key's hash is the seed of the node's hash. A hash of both texts joined
  // would give different pairs with the same concatenation the same score.
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(node.data(), node.size(), seed);
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> nodes) {
  std::vector<std::pair<std::uint64_t, std::string>> scored;
  scored.reserve(nodes.size());
  for (std::string& node : nodes) {
    const std::uint64_t score = RendezvousScore(key, node);
    scored.emplace_back(score, std::move(node));
  }
  std::ranges::sort(scored, [](const auto& a, const auto& b) {
    return std::tie(b.first, a.second) < std::tie(a.first, b.second);
  });
  std::ranges::transform(scored, nodes.begin(),
                         [](auto& entry) { return std::move(entry.second); });
  return nodes;
}

}  // namespace balsamhall
