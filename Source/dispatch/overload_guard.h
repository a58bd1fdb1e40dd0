// Load shedding of a router that is short of CPU time or memory.
#ifndef BALSAMHALL_DISPATCH_OVERLOAD_GUARD_H_
#define BALSAMHALL_DISPATCH_OVERLOAD_GUARD_H_

#include <array>
#include <cstdint>

#include "core/types.h"
#include "dispatch/rank_queue.h"

namespace balsamhall {

struct OverloadOptions {
  // Delay of the event loop above which requests are shed.
  Microseconds target_delay{2000};
  // From here on, requests are shed as with a long delay.
  std::size_t soft_memory_bytes = 512U << 20U;
  // From here on, all requests are shed.
  std::size_t hard_memory_bytes = 768U << 20U;
  // Minimum share of the admitted requests, by rank.
  std::array<double, kRanks> floors{0, 0.10, 0.05};
};

// Admits or sheds a request on its head alone, before its body is read or
// parsed. Not thread-safe; one per event loop.
class OverloadGuard {
 public:
  explicit OverloadGuard(const OverloadOptions& options);

  // Reports the measured delay of the event loop and the memory in use. To be
  // called about every 50 ms.
  void Update(Microseconds loop_delay, std::size_t memory_bytes);

  // Returns false if the request is shed (kNotRunRouterOverloaded).
  bool Admit(schema::Rank rank);

  // Returns the fraction of a rank's requests that is shed now, without regard
  // to the floors.
  double ShedFraction(schema::Rank rank) const;

 private:
  OverloadOptions options_;
  bool memory_exhausted_ = false;
  // 0: sheds nothing; 1: all background; 2: normal too; 3: urgent too.
  double pressure_ = 0;
  std::array<double, kRanks> admit_credit_{};
  std::array<double, kRanks> floor_credit_{};
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_OVERLOAD_GUARD_H_
