// Shares of the link between regions.
#ifndef BALSAMHALL_DISPATCH_LINK_SHAPER_H_
#define BALSAMHALL_DISPATCH_LINK_SHAPER_H_

#include <array>
#include <cstdint>

#include "core/types.h"
#include "dispatch/rank_queue.h"

namespace balsamhall {

// Why bytes were sent over the link; the link is billed by volume.
enum class LinkCause { kControl, kRequest, kResponse, kRetry };
constexpr std::size_t kLinkCauses = 4;

struct LinkOptions {
  std::uint64_t bytes_per_second = 3'750'000;  // 30 Mbit/s
  std::array<double, kRanks> shares{0.6, 0.3, 0.1};
  Milliseconds burst{100};
};

// One token bucket per rank. What a full bucket cannot take goes to the most
// urgent bucket with room, so tokens never exceed the rate of the link. A send
// may overdraw its bucket once, because a body can exceed the bucket. Not
// thread-safe.
class LinkShaper {
 public:
  LinkShaper(const LinkOptions& options, SteadyTime now);

  void set_options(const LinkOptions& options, SteadyTime now);

  // Takes the bytes and returns true if the rank may send now. Control traffic
  // (leases, heartbeats) is always allowed and charged to the urgent share.
  bool TrySend(schema::Rank rank, std::size_t bytes, LinkCause cause,
               SteadyTime now);

  // Returns the time until TrySend succeeds by the rank's own share alone.
  Microseconds TimeUntilSend(schema::Rank rank, SteadyTime now);

  std::uint64_t bytes(LinkCause cause) const {
    return bytes_by_cause_[static_cast<std::size_t>(cause)];
  }
  std::uint64_t bytes(schema::Rank rank) const {
    return bytes_by_rank_[RankIndex(rank)];
  }

 private:
  void Refill(SteadyTime now);
  double Capacity(std::size_t rank) const;

  LinkOptions options_;
  SteadyTime last_refill_;
  std::array<double, kRanks> tokens_{};
  std::array<std::uint64_t, kLinkCauses> bytes_by_cause_{};
  std::array<std::uint64_t, kRanks> bytes_by_rank_{};
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_LINK_SHAPER_H_
