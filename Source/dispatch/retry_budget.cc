#include "dispatch/retry_budget.h"

#include <algorithm>
#include <array>

namespace balsamhall {
namespace {

// Tokens that a rank must leave to higher ranks.
constexpr std::array<double, kRanks> kReservedTokens{0, 2, 5};

// Part of the ratio that is not used. With it, the saved tokens do not raise
// the retries above the ratio in a failure of 2,000 requests or more.
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
