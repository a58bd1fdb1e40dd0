#include "dispatch/link_shaper.h"

#include <algorithm>

namespace balsamhall {

LinkShaper::LinkShaper(const LinkOptions& options, SteadyTime now)
    : options_(options), last_refill_(now) {
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    tokens_[rank] = Capacity(rank);
  }
}

void LinkShaper::set_options(const LinkOptions& options, SteadyTime now) {
  Refill(now);
  options_ = options;
}

bool LinkShaper::TrySend(schema::Rank rank, std::size_t bytes, LinkCause cause,
                         SteadyTime now) {
  Refill(now);
  const bool control = cause == LinkCause::kControl;
  const std::size_t index = control ? 0 : RankIndex(rank);
  if (!control && tokens_[index] <= 0) return false;
  tokens_[index] -= static_cast<double>(bytes);
  bytes_by_cause_[static_cast<std::size_t>(cause)] += bytes;
  bytes_by_rank_[index] += bytes;
  return true;
}

Microseconds LinkShaper::TimeUntilSend(schema::Rank rank, SteadyTime now) {
  Refill(now);
  const std::size_t index = RankIndex(rank);
  if (tokens_[index] > 0) return Microseconds{0};
  const double rate = options_.shares[index] *
                      static_cast<double>(options_.bytes_per_second) / 1e6;
  // A rank without a share only gets the tokens that the others leave over, so
  // that the time is unknown. The caller tries again after this interval.
  if (rate <= 0) return options_.burst;
  return Microseconds{static_cast<std::int64_t>(-tokens_[index] / rate) + 1};
}

double LinkShaper::Capacity(std::size_t rank) const {
  // At least one packet (1500 bytes), also for a rank without a share.
  return std::max(1500.0,
                  options_.shares[rank] *
                      static_cast<double>(options_.bytes_per_second) *
                      std::chrono::duration<double>(options_.burst).count());
}

void LinkShaper::Refill(SteadyTime now) {
  if (now <= last_refill_) return;
  const double earned =
      static_cast<double>(options_.bytes_per_second) *
      std::chrono::duration<double>(now - last_refill_).count();
  last_refill_ = now;
  double spare = 0;
  const auto fill = [&](std::size_t rank, double tokens) {
    const double free_space = std::max(0.0, Capacity(rank) - tokens_[rank]);
    const double taken = std::min(tokens, free_space);
    tokens_[rank] += taken;
    return tokens - taken;
  };
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    spare += fill(rank, earned * options_.shares[rank]);
  }
  for (std::size_t rank = 0; rank < kRanks; ++rank) spare = fill(rank, spare);
}

}  // namespace balsamhall
