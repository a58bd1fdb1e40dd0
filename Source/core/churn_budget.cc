#include "core/churn_budget.h"

#include <algorithm>

#include "core/invariant.h"

namespace balsamhall {

ChurnBudget::ChurnBudget(double per_minute, SteadyTime now)
    : per_minute_(std::max(0.0, per_minute)),
      tokens_(per_minute_),
      last_(now) {}

void ChurnBudget::set_per_minute(double per_minute, SteadyTime now) {
  Refill(now);
  per_minute_ = std::max(0.0, per_minute);
  tokens_ = std::min(tokens_, std::max(1.0, per_minute_));
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
  if (now <= last_) return;
  const double minutes =
      std::chrono::duration<double>(now - last_).count() / 60;
  last_ = now;
  if (per_minute_ <= 0) return;
  // A rate below one move per minute still saves up to a whole move.
  tokens_ =
      std::min(std::max(1.0, per_minute_), tokens_ + per_minute_ * minutes);
}

}  // namespace balsamhall
