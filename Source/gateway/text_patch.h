// Difference between two versions of a text.
#ifndef BALSAMHALL_GATEWAY_TEXT_PATCH_H_
#define BALSAMHALL_GATEWAY_TEXT_PATCH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"

namespace balsamhall::gateway {

// Makes a text out of an earlier one, the base. With an empty base, it is the
// compressed text.
struct TextPatch {
  std::string bytes;
  std::uint64_t digest = 0;  // of the text

  bool operator==(const TextPatch&) const = default;
};

// Both functions are thread-safe. base: may be empty.

// Returns nullopt if there is not enough memory.
std::optional<TextPatch> MakeTextPatch(std::string_view base,
                                       std::string_view text);

// Returns kPeerFrameMalformed for other bytes, for a text longer than max_bytes
// and if the base is not the one for which the patch was made.
Result<std::string> ApplyTextPatch(std::string_view base,
                                   const TextPatch& patch,
                                   std::size_t max_bytes);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_TEXT_PATCH_H_
