#include "dispatch/ramp.h"

#include <algorithm>
#include <cmath>

namespace balsamhall {

Ramp::Ramp(SteadyTime start, Milliseconds length)
    : start_(start), length_(length) {}

double Ramp::Share(SteadyTime now) const {
  if (length_.count() <= 0 || now >= start_ + length_) return 1;
  if (now <= start_) return 0;
  return std::chrono::duration<double>(now - start_) /
         std::chrono::duration<double>(length_);
}

std::uint32_t Ramp::Slots(std::uint32_t slots, SteadyTime now) const {
  const auto open = static_cast<std::uint32_t>(std::ceil(Share(now) * slots));
  return std::max<std::uint32_t>(1, std::min(open, slots));
}

Microseconds Ramp::TimeUntil(std::uint32_t wanted, std::uint32_t slots,
                             SteadyTime now) const {
  if (Slots(slots, now) >= wanted) return Microseconds{0};
  // The slot numbered wanted opens when the share passes (wanted - 1) / slots.
  const auto opens = start_ + length_ * (wanted - 1) / slots;
  return std::max(Microseconds{0},
                  std::chrono::duration_cast<Microseconds>(opens - now));
}

}  // namespace balsamhall
