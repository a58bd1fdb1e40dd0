// Divides the bandwidth of the link between regions among the ranks.
#ifndef BALSAMHALL_DISPATCH_LINK_SHAPER_H_
#define BALSAMHALL_DISPATCH_LINK_SHAPER_H_

#include <array>
#include <cstdint>

#include "core/types.h"
#include "dispatch/rank_queue.h"

namespace balsamhall {

// Why bytes were sent over the link. They are counted by cause because the link
// is billed by volume.
enum class LinkCause { kControl, kRequest, kResponse, kRetry };
constexpr std::size_t kLinkCauses = 4;

struct LinkOptions {
  std::uint64_t bytes_per_second = 3'750'000;  // 30 Mbit/s
  std::array<double, kRanks> shares{0.6, 0.3, 0.1};
  Milliseconds burst{100};
};

// One token bucket per rank. Tokens that do not fit into a full bucket go to
// the most urgent bucket with free space, so that the buckets together never
// receive more than the rate of the link. A send may overdraw its bucket once,
// because a body can be larger than the bucket. Not thread-safe.
class LinkShaper {
 public:
  LinkShaper(const LinkOptions& options, SteadyTime now);

  void set_options(const LinkOptions& options, SteadyTime now);

  // Charges the bytes to the rank and returns true if it may send now. Control
  // traffic (leases, heartbeats) is always allowed and is charged to the urgent
  // rank.
  bool TrySend(schema::Rank rank, std::size_t bytes, LinkCause cause,
               SteadyTime now);

  // Returns the time until TrySend() allows the rank to send, if it gets no
  // more than its own share.
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
