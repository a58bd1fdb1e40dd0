#include "dispatch/rank_queue.h"

#include <algorithm>
#include <numeric>

namespace balsamhall {
namespace {

std::size_t Share(double share, std::size_t total) {
  return static_cast<std::size_t>(share * static_cast<double>(total));
}

std::size_t Sum(const std::array<std::size_t, kRanks>& values,
                std::size_t ranks) {
  return std::accumulate(values.begin(),
                         values.begin() + static_cast<std::ptrdiff_t>(ranks),
                         std::size_t{0});
}

// Walks over the two lanes of a rank from the latest arrival backwards.
template <typename Lanes>
class YoungestFirst {
 public:
  explicit YoungestFirst(const Lanes& lanes)
      : lanes_(lanes), next_{lanes[0].rbegin(), lanes[1].rbegin()} {}

  // Precondition: an item is left.
  const RankQueue::Item& Next() {
    const bool second =
        next_[0] == lanes_[0].rend() ||
        (next_[1] != lanes_[1].rend() && next_[1]->first > next_[0]->first);
    return (next_[second ? 1 : 0]++)->second;
  }

 private:
  const Lanes& lanes_;
  std::array<typename Lanes::value_type::const_reverse_iterator, 2> next_;
};

}  // namespace

std::optional<std::vector<std::uint64_t>> RankQueue::MakeRoom(
    const Item& item, const QueueLimits& limits) {
  auto count = count_;
  auto bytes = bytes_;
  ++count[item.rank];
  bytes[item.rank] += item.bytes;

  // Ranks up to this one together may not use what lower ranks have reserved.
  std::size_t count_limit = limits.count;
  std::size_t byte_limit = limits.bytes;
  for (std::size_t rank = item.rank + 1; rank < kRanks; ++rank) {
    count_limit -= Share(limits.reserved[rank], limits.count);
    byte_limit -= Share(limits.reserved[rank], limits.bytes);
  }
  if (Sum(count, item.rank + 1) > count_limit ||
      Sum(bytes, item.rank + 1) > byte_limit) {
    return std::nullopt;
  }

  std::vector<std::uint64_t> dropped;
  for (std::size_t rank = kRanks; rank-- > item.rank + 1;) {
    YoungestFirst youngest(lanes_[rank]);
    while (count[rank] > 0 &&
           ((Sum(count, kRanks) > limits.count &&
             count[rank] > Share(limits.reserved[rank], limits.count)) ||
            (Sum(bytes, kRanks) > limits.bytes &&
             bytes[rank] > Share(limits.reserved[rank], limits.bytes)))) {
      const Item& victim = youngest.Next();
      dropped.push_back(victim.ticket);
      --count[rank];
      bytes[rank] -= victim.bytes;
    }
  }
  if (Sum(count, kRanks) > limits.count || Sum(bytes, kRanks) > limits.bytes) {
    return std::nullopt;
  }
  std::ranges::for_each(dropped, [this](auto ticket) { Remove(ticket); });
  return dropped;
}

void RankQueue::Push(const Item& item) {
  Lane& lane = LaneOf(item);
  const std::uint64_t arrival = next_arrival_++;
  lane.emplace(arrival, item);
  index_.emplace(item.ticket, std::pair{&lane, arrival});
  deadlines_.emplace(item.deadline, item.ticket);
  ++count_[item.rank];
  bytes_[item.rank] += item.bytes;
  work_[item.rank] += item.cost;
  if (item.long_running) long_work_[item.rank] += item.cost;
}

const RankQueue::Item* RankQueue::First(std::size_t rank,
                                        bool allow_long) const {
  const Lane& brief = lanes_[rank][0];
  const Lane& lengthy = lanes_[rank][1];
  if (!allow_long || lengthy.empty()) {
    return brief.empty() ? nullptr : &brief.begin()->second;
  }
  if (brief.empty() || lengthy.begin()->first < brief.begin()->first) {
    return &lengthy.begin()->second;
  }
  return &brief.begin()->second;
}

bool RankQueue::Remove(std::uint64_t ticket) {
  const auto found = index_.find(ticket);
  if (found == index_.end()) return false;
  const auto [lane, arrival] = found->second;
  const auto position = lane->find(arrival);
  const Item& item = position->second;
  --count_[item.rank];
  bytes_[item.rank] -= item.bytes;
  work_[item.rank] -= item.cost;
  if (item.long_running) long_work_[item.rank] -= item.cost;
  deadlines_.erase({item.deadline, ticket});
  lane->erase(position);
  index_.erase(found);
  return true;
}

std::vector<std::uint64_t> RankQueue::RemoveExpired(SteadyTime now) {
  std::vector<std::uint64_t> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    expired.push_back(deadlines_.begin()->second);
    Remove(expired.back());
  }
  return expired;
}

}  // namespace balsamhall
