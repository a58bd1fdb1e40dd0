// Guarantees each lower rank a minimum share of the slot time (its floor).
#ifndef BALSAMHALL_DISPATCH_RANK_SHARES_H_
#define BALSAMHALL_DISPATCH_RANK_SHARES_H_

#include <array>
#include <cstdint>

#include "core/types.h"
#include "dispatch/rank_queue.h"

namespace balsamhall {

// Deficit accounting. While a rank has work, it earns credit at the rate of its
// floor, and it pays for each request that is started ahead of more urgent
// work. Not thread-safe.
class RankShares {
 public:
  explicit RankShares(std::array<double, kRanks> floors);

  void set_floors(std::array<double, kRanks> floors) { floors_ = floors; }

  // Adds the credit earned since the last call, during which the given numbers
  // of requests were queued and running on that many slots.
  void Advance(SteadyTime now, std::uint32_t slots,
               const std::array<std::size_t, kRanks>& queued,
               const std::array<std::uint32_t, kRanks>& running);

  // Returns true if the rank may start a request ahead of more urgent work.
  bool HasCredit(std::size_t rank) const { return credit_[rank] > 0; }

  // Charges the expected slot time of a start ahead of more urgent work, or
  // corrects an earlier charge (negative: refund).
  void Charge(std::size_t rank, Microseconds cost);

  // Charges the expected slot time of a start in order of rank. It counts
  // towards the floor, but the debt that it causes is bounded.
  void ChargeInTurn(std::size_t rank, Microseconds cost);

  double floor(std::size_t rank) const { return floors_[rank]; }
  // Returns the slot time that the rank has used beyond its credit.
  Microseconds Debt(std::size_t rank) const;
  // Returns the share of the slot time that more urgent ranks used recently.
  double UsedByHigherRanks(std::size_t rank) const;

 private:
  std::array<double, kRanks> floors_;
  std::array<double, kRanks> credit_{};       // microseconds of slot time
  std::array<double, kRanks> credit_rate_{};  // microseconds per second
  // Exponentially weighted mean of the share of the slots in use.
  std::array<double, kRanks> recent_use_{};
  SteadyTime last_advance_{};
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_RANK_SHARES_H_
