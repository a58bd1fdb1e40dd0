// Priority queue of an endpoint, ordered by rank and then by arrival.
#ifndef BALSAMHALL_DISPATCH_RANK_QUEUE_H_
#define BALSAMHALL_DISPATCH_RANK_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/types.h"

namespace balsamhall {

constexpr std::size_t kRanks = 3;

// Returns the index of a rank; values outside the enumeration count as
// background.
constexpr std::size_t RankIndex(schema::Rank rank) {
  return rank == schema::RANK_URGENT ? 0 : rank == schema::RANK_NORMAL ? 1 : 2;
}

struct QueueLimits {
  std::size_t count = 0;
  std::size_t bytes = 0;
  // Share of the queue that is reserved for a rank against higher ranks.
  std::array<double, kRanks> reserved{};
};

// Bounded queue of tickets with their deadlines, sizes and expected service
// times. Not thread-safe.
class RankQueue {
 public:
  struct Item {
    std::uint64_t ticket = 0;
    std::size_t rank = 0;
    bool long_running = false;
    SteadyTime deadline;
    std::size_t bytes = 0;
    Microseconds service_time{0};  // estimated
    // Least time between the start and the deadline.
    Microseconds required_time{0};
  };

  // Frees space for the item by dropping the newest items of lower ranks that
  // exceed their reserved share. Returns the dropped tickets. If there is not
  // enough space, drops nothing and returns nullopt.
  std::optional<std::vector<std::uint64_t>> MakeRoom(const Item& item,
                                                     const QueueLimits& limits);

  // Precondition: the ticket is not queued.
  void Push(const Item& item);

  // Returns the oldest item of the rank, or nullptr if there is none. Skips
  // long-running items unless allow_long is set.
  const Item* Oldest(std::size_t rank, bool allow_long) const;

  // Returns false if the ticket was not queued.
  bool Remove(std::uint64_t ticket);

  bool Contains(std::uint64_t ticket) const { return index_.contains(ticket); }

  // Removes and returns the tickets whose deadline has passed.
  std::vector<std::uint64_t> RemoveExpired(SteadyTime now);

  std::size_t size() const { return index_.size(); }
  std::size_t size(std::size_t rank) const { return count_[rank]; }
  // Returns the estimated service time of all queued items of a rank.
  Microseconds work(std::size_t rank) const { return work_[rank]; }
  Microseconds long_running_work(std::size_t rank) const {
    return long_running_work_[rank];
  }

 private:
  using Lane = std::map<std::uint64_t, Item>;  // by arrival

  Lane& LaneOf(const Item& item) {
    return lanes_[item.rank][item.long_running ? 1 : 0];
  }

  std::uint64_t next_arrival_ = 0;
  std::array<std::array<Lane, 2>, kRanks> lanes_;
  std::array<std::size_t, kRanks> count_{};
  std::array<std::size_t, kRanks> bytes_{};
  std::array<Microseconds, kRanks> work_{};
  std::array<Microseconds, kRanks> long_running_work_{};
  std::unordered_map<std::uint64_t, std::pair<Lane*, std::uint64_t>> index_;
  std::set<std::pair<SteadyTime, std::uint64_t>> deadlines_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_RANK_QUEUE_H_
