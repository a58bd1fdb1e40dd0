// Floors of the lower ranks: each has a share of slot time while it has work.
#ifndef BALSAMHALL_DISPATCH_RANK_SHARES_H_
#define BALSAMHALL_DISPATCH_RANK_SHARES_H_

#include <array>
#include <cstdint>

#include "core/types.h"
#include "dispatch/rank_queue.h"

namespace balsamhall {

// Deficit accounting. A rank earns its floor of the slot time and pays for each
// request that is started ahead of more urgent work. Not thread-safe.
class RankShares {
 public:
  explicit RankShares(std::array<double, kRanks> floors);

  void set_floors(std::array<double, kRanks> floors) { floors_ = floors; }

  // Accounts for the time since the last call, during which the given numbers
  // were queued and running.
  void Advance(SteadyTime now, std::uint32_t slots,
               const std::array<std::size_t, kRanks>& queued,
               const std::array<std::uint32_t, kRanks>& running);

  // Returns true if the rank has earned a start ahead of more urgent work.
  bool HasCredit(std::size_t rank) const { return credit_[rank] > 0; }

  // Charges the expected slot time of a start ahead of more urgent work, or
  // corrects an earlier charge (negative: refund).
  void Charge(std::size_t rank, Microseconds cost);

  // Accounts for a start in the rank's own turn: it counts towards the floor
  // but causes only a small debt.
  void ChargeInTurn(std::size_t rank, Microseconds cost);

  double floor(std::size_t rank) const { return floors_[rank]; }
  // Returns the slot time that the rank has used in advance.
  Microseconds Debt(std::size_t rank) const;
  // Returns the share of slot time that more urgent ranks used lately.
  double UsedByHigherRanks(std::size_t rank) const;

 private:
  std::array<double, kRanks> floors_;
  std::array<double, kRanks> credit_{};       // microseconds of slot time
  std::array<double, kRanks> credit_rate_{};  // earned per second
  std::array<double, kRanks> recent_use_{};   // decayed share of slot time
  SteadyTime last_advance_{};
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_RANK_SHARES_H_
