#include "dispatch/ramp.h"

#include <algorithm>
#include <cmath>

namespace balsamhall {

SlowStart::SlowStart(SteadyTime start, Milliseconds duration)
    : start_(start), duration_(duration) {}

double SlowStart::Share(SteadyTime now) const {
  if (duration_.count() <= 0 || now >= start_ + duration_) return 1;
  if (now <= start_) return 0;
  return std::chrono::duration<double>(now - start_) /
         std::chrono::duration<double>(duration_);
}

std::uint32_t SlowStart::OpenSlots(std::uint32_t slots, SteadyTime now) const {
  const auto open = static_cast<std::uint32_t>(std::ceil(Share(now) * slots));
  return std::max<std::uint32_t>(1, std::min(open, slots));
}

Microseconds SlowStart::TimeUntilOpen(std::uint32_t wanted, std::uint32_t slots,
                                      SteadyTime now) const {
  if (OpenSlots(slots, now) >= wanted) return Microseconds{0};
  // Slot number `wanted` opens when the share exceeds (wanted - 1) / slots.
  const auto opens = start_ + duration_ * (wanted - 1) / slots;
  return std::max(Microseconds{0},
                  std::chrono::duration_cast<Microseconds>(opens - now));
}

}  // namespace balsamhall
