#include "dispatch/rank_shares.h"

#include <algorithm>
#include <cmath>

namespace balsamhall {
namespace {

// Upper bound of the credit, so that a rank whose work could not start for a
// while does not take all slots afterwards.
constexpr double kMaxCreditSeconds = 1;
// Upper bound of the debt by starts in order of rank: a rank that used more
// than its floor without contention waits at most this long for its floor when
// contention begins.
constexpr double kMaxInTurnDebtSeconds = 0.2;
// A floor is a minimum. The margin makes up for work that is cancelled at its
// deadline and for the debt from the time before an overload.
constexpr double kFloorMargin = 1.05;
// Time constant of the mean use of the slots.
constexpr double kUseTimeConstantSeconds = 1;

}  // namespace

RankShares::RankShares(std::array<double, kRanks> floors) : floors_(floors) {}

void RankShares::Advance(SteadyTime now, std::uint32_t slots,
                         const std::array<std::size_t, kRanks>& queued,
                         const std::array<std::uint32_t, kRanks>& running) {
  if (last_advance_ == SteadyTime{}) last_advance_ = now;
  const double seconds =
      std::chrono::duration<double>(now - last_advance_).count();
  if (seconds <= 0) return;
  last_advance_ = now;
  const double decay = 1 - std::exp(-seconds / kUseTimeConstantSeconds);
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    const double share = std::min(
        1.0, static_cast<double>(running[rank]) / static_cast<double>(slots));
    recent_use_[rank] += decay * (share - recent_use_[rank]);
    const double rate = floors_[rank] * kFloorMargin * slots * 1e6;
    credit_rate_[rank] = rate;
    const double earned = credit_[rank] + rate * seconds;
    // An idle rank repays its debt but accumulates no credit.
    credit_[rank] = queued[rank] + running[rank] > 0
                        ? std::min(earned, std::max(credit_[rank],
                                                    rate * kMaxCreditSeconds))
                        : std::min(earned, 0.0);
  }
}

void RankShares::Charge(std::size_t rank, Microseconds cost) {
  credit_[rank] -= static_cast<double>(cost.count());
}

void RankShares::ChargeInTurn(std::size_t rank, Microseconds cost) {
  const double min_credit =
      std::min(credit_[rank], -credit_rate_[rank] * kMaxInTurnDebtSeconds);
  credit_[rank] =
      std::max(min_credit, credit_[rank] - static_cast<double>(cost.count()));
}

Microseconds RankShares::Debt(std::size_t rank) const {
  return Microseconds{static_cast<std::int64_t>(std::max(0.0, -credit_[rank]))};
}

double RankShares::UsedByHigherRanks(std::size_t rank) const {
  double used = 0;
  for (std::size_t above = 0; above < rank; ++above) used += recent_use_[above];
  return std::min(1.0, used);
}

}  // namespace balsamhall
