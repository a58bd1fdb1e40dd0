#include "dispatch/overload_guard.h"

#include <algorithm>

namespace balsamhall {
namespace {

// A delay of twice the target or more raises the pressure by one rank within
// 10 updates (0.5 s). It falls at half that rate, which avoids oscillation.
constexpr double kPressureRaise = 0.1;
constexpr double kPressureDrop = 0.05;
// Some urgent requests are admitted even at the highest pressure, so that the
// guard detects the end of the overload.
constexpr double kMaxPressure = 2.95;
constexpr double kMaxFloorCredit = 5;
// Sums of steps of 0.1 are inexact; a shed fraction of 1e-16 must shed nothing.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

OverloadGuard::OverloadGuard(const OverloadOptions& options)
    : options_(options) {}

void OverloadGuard::Update(Microseconds loop_delay, std::size_t memory_bytes) {
  memory_exhausted_ = memory_bytes >= options_.hard_memory_bytes;
  const double excess = static_cast<double>(loop_delay.count()) /
                            static_cast<double>(options_.target_delay.count()) -
                        1;
  const bool over = excess > 0 || memory_bytes >= options_.soft_memory_bytes;
  const double raise = memory_bytes >= options_.soft_memory_bytes
                           ? kPressureRaise
                           : kPressureRaise * std::min(excess, 1.0);
  pressure_ = std::clamp(pressure_ + (over ? raise : -kPressureDrop), 0.0,
                         kMaxPressure);
}

bool OverloadGuard::Admit(schema::Rank rank) {
  if (memory_exhausted_) return false;
  const std::size_t index = RankIndex(rank);
  // Credits spread the shed requests evenly over time instead of at random.
  admit_credit_[index] += 1 - ShedFraction(rank);
  if (admit_credit_[index] >= 1 - kRoundingTolerance) {
    admit_credit_[index] -= 1;
  } else if (floor_credit_[index] >= 1) {
    floor_credit_[index] -= 1;
  } else {
    return false;
  }
  for (std::size_t lower = 0; lower < kRanks; ++lower) {
    floor_credit_[lower] = std::min(
        kMaxFloorCredit, floor_credit_[lower] + options_.floors[lower]);
  }
  return true;
}

double OverloadGuard::ShedFraction(schema::Rank rank) const {
  const auto steps = static_cast<double>(kRanks - 1 - RankIndex(rank));
  return std::clamp(pressure_ - steps, 0.0, 1.0);
}

}  // namespace balsamhall
