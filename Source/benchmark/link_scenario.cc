// Shares of the link between regions.
#include <array>
#include <deque>
#include <random>

#include "dispatch/link_shaper.h"
#include "scenario.h"

namespace balsamhall {
namespace {

constexpr double kBytesPerMilli = 3750;  // 30 Mbit/s
constexpr int kMillis = 20'000;
constexpr std::size_t kQueueMillis = 200;  // older messages are dropped

struct Message {
  std::size_t rank;
  std::size_t bytes;
  int arrived;
};

using Shares = std::array<double, kRanks>;

// Offers each rank's share of the link in messages of 200 to 3800 bytes and
// returns the delivered share of the link by rank.
Shares RunLink(const Shares& offered, bool shaped, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<std::size_t> size(200, 3800);
  const auto at = [](int milli) {
    return SteadyTime{std::chrono::hours{1}} + Milliseconds{milli};
  };
  LinkShaper shaper(LinkOptions{}, at(0));
  std::array<std::deque<Message>, kRanks> queues;  // baseline: only the first
  Shares delivered{};
  Shares pending{};
  double line = 0;
  for (int milli = 0; milli < kMillis; ++milli) {
    for (std::size_t rank = 0; rank < kRanks; ++rank) {
      pending[rank] += offered[rank] * kBytesPerMilli;
      while (pending[rank] > 0) {
        const Message message{rank, size(random), milli};
        pending[rank] -= static_cast<double>(message.bytes);
        queues[shaped ? rank : 0].push_back(message);
      }
    }
    line = std::min(line + kBytesPerMilli, 10 * kBytesPerMilli);
    for (auto& queue : queues) {
      while (!queue.empty()) {
        const Message message = queue.front();
        if (milli - message.arrived > static_cast<int>(kQueueMillis)) {
          queue.pop_front();
          continue;
        }
        const auto rank = static_cast<schema::Rank>(message.rank);
        const bool sent = shaped
                              ? shaper.TrySend(rank, message.bytes,
                                               LinkCause::kRequest, at(milli))
                              : line > 0;
        if (!sent) break;
        if (!shaped) line -= static_cast<double>(message.bytes);
        delivered[message.rank] += static_cast<double>(message.bytes);
        queue.pop_front();
      }
    }
  }
  for (auto& bytes : delivered) bytes /= kBytesPerMilli * kMillis;
  return delivered;
}

std::vector<Sample> RunLinkCases(std::uint64_t seed) {
  std::vector<Sample> samples;
  for (const bool shaped : {true, false}) {
    const std::string variant = shaped ? "policy" : "first in first out";
    const Shares full = RunLink({2, 2, 2}, shaped, seed);
    samples.push_back({variant, "all saturated: urgent share", full[0]});
    samples.push_back({variant, "all saturated: normal share", full[1]});
    samples.push_back({variant, "all saturated: background share", full[2]});
    const Shares flood = RunLink({0.5, 0.2, 10}, shaped, seed);
    samples.push_back({variant, "background at 10x: urgent delivered / offered",
                       flood[0] / 0.5});
    samples.push_back({variant, "background at 10x: normal delivered / offered",
                       flood[1] / 0.2});
    const Shares lent = RunLink({0, 2, 2}, shaped, seed);
    samples.push_back({variant, "urgent idle: normal share", lent[1]});
    samples.push_back({variant, "urgent idle: background share", lent[2]});
    samples.push_back(
        {variant, "urgent idle: use of the link", lent[1] + lent[2]});
  }
  return samples;
}

}  // namespace

// Bounds are the configured shares less 2 points for the burst and the
// granularity of messages.
Scenario LinkScenario() {
  return {"link-shares",
          RunLinkCases,
          {{"all saturated: urgent share", 0.58, true},
           {"all saturated: normal share", 0.28, true},
           {"all saturated: background share", 0.08, true},
           {"background at 10x: urgent delivered / offered", 0.98, true},
           {"background at 10x: normal delivered / offered", 0.98, true},
           {"urgent idle: normal share", 0.88, true},
           {"urgent idle: background share", 0.08, true}}};
}

}  // namespace balsamhall
