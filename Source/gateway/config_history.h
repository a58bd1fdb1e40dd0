// The texts of the last configurations, and the differences between them.
#ifndef BALSAMHALL_GATEWAY_CONFIG_HISTORY_H_
#define BALSAMHALL_GATEWAY_CONFIG_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/result_code.h"
#include "gateway/peer_state.h"

namespace balsamhall::gateway {

// Not thread-safe.
class ConfigHistory {
 public:
  // Adds the text of the newest version, and drops the oldest if there are too
  // many. Precondition: the version is above all earlier ones.
  void Add(std::uint64_t version, std::string text);

  // Returns the newest text; empty if there is none.
  const std::string& newest() const;

  // Returns the newest text as the difference from a version that another
  // gateway has, or from an empty text if this history no longer has that one.
  // Valid until the next Add; nullptr if there is not enough memory.
  const ConfigPatch* PatchFrom(std::uint64_t version);

  // Returns the text that a patch makes. kPeerFrameMalformed: this history
  // lacks the patch's base, or the patch is malformed.
  Result<std::string> Apply(const ConfigPatch& patch) const;

 private:
  std::map<std::uint64_t, std::string> texts_;
  // By base version; all lead to the newest text.
  std::map<std::uint64_t, ConfigPatch> patches_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_CONFIG_HISTORY_H_
