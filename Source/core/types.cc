#include "core/types.h"

#include <charconv>

namespace balsamhall {

std::optional<Fence> ParseFence(std::string_view text) {
  Fence fence;
  const char* const end = text.data() + text.size();
  const auto offset = std::from_chars(text.data(), end, fence.offset);
  if (offset.ec != std::errc() || offset.ptr == end || *offset.ptr != '.') {
    return std::nullopt;
  }
  const auto counter = std::from_chars(offset.ptr + 1, end, fence.counter);
  if (counter.ec != std::errc() || counter.ptr != end) return std::nullopt;
  return fence;
}

}  // namespace balsamhall
