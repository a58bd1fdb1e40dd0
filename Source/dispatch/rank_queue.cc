#include "dispatch/rank_queue.h"

#include <algorithm>
#include <numeric>

namespace balsamhall {
namespace {

std::size_t ReservedAmount(double share, std::size_t total) {
  return static_cast<std::size_t>(share * static_cast<double>(total));
}

std::size_t Sum(const std::array<std::size_t, kRanks>& values,
                std::size_t ranks) {
  return std::accumulate(values.begin(),
                         values.begin() + static_cast<std::ptrdiff_t>(ranks),
                         std::size_t{0});
}

// Iterates over both lanes of a rank, from the latest to the earliest arrival.
template <typename Lanes>
class NewestFirst {
 public:
  explicit NewestFirst(const Lanes& lanes)
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

  // This rank and the higher ranks may not use what is reserved for lower
  // ranks.
  std::size_t count_limit = limits.count;
  std::size_t byte_limit = limits.bytes;
  for (std::size_t rank = item.rank + 1; rank < kRanks; ++rank) {
    count_limit -= ReservedAmount(limits.reserved[rank], limits.count);
    byte_limit -= ReservedAmount(limits.reserved[rank], limits.bytes);
  }
  if (Sum(count, item.rank + 1) > count_limit ||
      Sum(bytes, item.rank + 1) > byte_limit) {
    return std::nullopt;
  }

  std::vector<std::uint64_t> dropped;
  for (std::size_t rank = kRanks; rank-- > item.rank + 1;) {
    NewestFirst newest(lanes_[rank]);
    while (
        count[rank] > 0 &&
        ((Sum(count, kRanks) > limits.count &&
          count[rank] > ReservedAmount(limits.reserved[rank], limits.count)) ||
         (Sum(bytes, kRanks) > limits.bytes &&
          bytes[rank] > ReservedAmount(limits.reserved[rank], limits.bytes)))) {
      const Item& victim = newest.Next();
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
  work_[item.rank] += item.service_time;
  if (item.long_running) long_running_work_[item.rank] += item.service_time;
}

const RankQueue::Item* RankQueue::Oldest(std::size_t rank,
                                         bool allow_long) const {
  const Lane& short_lane = lanes_[rank][0];
  const Lane& long_lane = lanes_[rank][1];
  if (!allow_long || long_lane.empty()) {
    return short_lane.empty() ? nullptr : &short_lane.begin()->second;
  }
  if (short_lane.empty() ||
      long_lane.begin()->first < short_lane.begin()->first) {
    return &long_lane.begin()->second;
  }
  return &short_lane.begin()->second;
}

bool RankQueue::Remove(std::uint64_t ticket) {
  const auto found = index_.find(ticket);
  if (found == index_.end()) return false;
  const auto [lane, arrival] = found->second;
  const auto position = lane->find(arrival);
  const Item& item = position->second;
  --count_[item.rank];
  bytes_[item.rank] -= item.bytes;
  work_[item.rank] -= item.service_time;
  if (item.long_running) long_running_work_[item.rank] -= item.service_time;
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
