// Clock that also counts the time in which the VM is suspended.
#ifndef BALSAMHALL_GATEWAY_BOOT_CLOCK_H_
#define BALSAMHALL_GATEWAY_BOOT_CLOCK_H_

#include <time.h>

#include <chrono>

namespace balsamhall::gateway {

// Limits how long a gateway may renew leases after its last confirmed read of
// the store. std::chrono::steady_clock stops while the VM is suspended, but the
// leases at endpoints keep running. Thread-safe.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

using BootTime = BootClock::time_point;

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_BOOT_CLOCK_H_
