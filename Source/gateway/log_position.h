// Positions in a log of the store, over its eras.
#ifndef BALSAMHALL_GATEWAY_LOG_POSITION_H_
#define BALSAMHALL_GATEWAY_LOG_POSITION_H_

#include <cstdint>

namespace balsamhall::gateway {

// A position has an era and an offset in one integer. Positions are ordered by
// era first, and equal to offsets in era 0, which stands for a store that
// states no era. Fences are positions: endpoints read them as JSON numbers, so
// they stay below 2^53.
inline constexpr unsigned kOffsetBits = 32;
inline constexpr std::uint64_t kMaxEra = (std::uint64_t{1} << 21U) - 1;
// The position after it is still of the same era.
inline constexpr std::uint64_t kMaxOffset =
    (std::uint64_t{1} << kOffsetBits) - 2;

// Precondition: era <= kMaxEra; offset <= kMaxOffset + 1 unless era is 0.
constexpr std::uint64_t LogPosition(std::uint64_t era, std::uint64_t offset) {
  return (era << kOffsetBits) + offset;
}
constexpr std::uint64_t EraOf(std::uint64_t position) {
  return position >> kOffsetBits;
}
constexpr std::uint64_t OffsetOf(std::uint64_t position) {
  return position - LogPosition(EraOf(position), 0);
}

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_LOG_POSITION_H_
