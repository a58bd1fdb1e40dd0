// Slow start of a cold endpoint.
#ifndef BALSAMHALL_DISPATCH_RAMP_H_
#define BALSAMHALL_DISPATCH_RAMP_H_

#include <cstdint>

#include "core/types.h"

namespace balsamhall {

// Grows linearly from nothing to the full share. Immutable, thread-safe.
class Ramp {
 public:
  // A ramp that is complete from the start.
  Ramp() = default;
  Ramp(SteadyTime start, Milliseconds length);

  // Returns the share in 0..1 that may be used.
  double Share(SteadyTime now) const;

  // Returns how many of the slots may be used, at least one.
  std::uint32_t Slots(std::uint32_t slots, SteadyTime now) const;

  // Returns the time from now until at least wanted of the slots may be used.
  // Precondition: wanted <= slots.
  Microseconds TimeUntil(std::uint32_t wanted, std::uint32_t slots,
                         SteadyTime now) const;

 private:
  SteadyTime start_{};
  Milliseconds length_{0};
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_RAMP_H_
