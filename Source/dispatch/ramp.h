// Slow start of a cold endpoint.
#ifndef BALSAMHALL_DISPATCH_RAMP_H_
#define BALSAMHALL_DISPATCH_RAMP_H_

#include <cstdint>

#include "core/types.h"

namespace balsamhall {

// Share of an endpoint's capacity that may be used; grows linearly from 0 to 1.
// Immutable, thread-safe.
class SlowStart {
 public:
  // A slow start that is already complete.
  SlowStart() = default;
  SlowStart(SteadyTime start, Milliseconds duration);

  // Returns the share that may be used, 0 to 1.
  double Share(SteadyTime now) const;

  // Returns how many of the slots may be used, at least one.
  std::uint32_t OpenSlots(std::uint32_t slots, SteadyTime now) const;

  // Returns the time from now until at least wanted of the slots may be used.
  // Precondition: wanted <= slots.
  Microseconds TimeUntilOpen(std::uint32_t wanted, std::uint32_t slots,
                             SteadyTime now) const;

 private:
  SteadyTime start_{};
  Milliseconds duration_{0};
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_RAMP_H_
