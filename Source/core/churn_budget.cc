#include "core/churn_budget.h"

#include <algorithm>

#include "core/invariant.h"

namespace balsamhall {

ChurnBudget::ChurnBudget(double moves_per_minute, SteadyTime now)
    : moves_per_minute_(std::max(0.0, moves_per_minute)),
      tokens_(moves_per_minute_),
      last_refill_(now) {}

void ChurnBudget::set_moves_per_minute(double moves_per_minute,
                                       SteadyTime now) {
  Refill(now);
  moves_per_minute_ = std::max(0.0, moves_per_minute);
  tokens_ = std::min(tokens_, std::max(1.0, moves_per_minute_));
}

std::size_t ChurnBudget::Available(SteadyTime now) {
  Refill(now);
  return static_cast<std::size_t>(tokens_);
}

void ChurnBudget::Take(std::size_t moves, SteadyTime now) {
  Refill(now);
  tokens_ -= static_cast<double>(moves);
  BALSAMHALL_INVARIANT(tokens_ >= 0, "churn_budget_exceeded",
                       std::to_string(tokens_));
}

void ChurnBudget::Refill(SteadyTime now) {
  if (now <= last_refill_) return;
  const double minutes =
      std::chrono::duration<double>(now - last_refill_).count() / 60;
  last_refill_ = now;
  if (moves_per_minute_ <= 0) return;
  // The capacity is at least one whole move, else a rate below one move per
  // minute would never allow any.
  tokens_ = std::min(std::max(1.0, moves_per_minute_),
                     tokens_ + moves_per_minute_ * minutes);
}

}  // namespace balsamhall
