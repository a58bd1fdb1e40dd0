#include "dispatch/retry_budget.h"

#include <algorithm>
#include <array>

namespace balsamhall {
namespace {

// Tokens that a rank leaves to more urgent ones.
constexpr std::array<double, kRanks> kReservedTokens{0, 2, 5};

// With this part of the ratio held back, the saved tokens do not lift the
// retries of a fault of 2,000 requests or more above the ratio.
constexpr double kHeldBackFraction = 0.05;

}  // namespace

void RetryBudget::OnRequest() {
  tokens_ = std::min(kMaxTokens, tokens_ + ratio_ * (1 - kHeldBackFraction));
}

bool RetryBudget::TryRetry(schema::Rank rank) {
  if (tokens_ < 1 + kReservedTokens[RankIndex(rank)]) {
    ++refused_;
    return false;
  }
  tokens_ -= 1;
  ++allowed_;
  return true;
}

}  // namespace balsamhall
