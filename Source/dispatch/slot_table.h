// Tracks the running work of an endpoint.
#ifndef BALSAMHALL_DISPATCH_SLOT_TABLE_H_
#define BALSAMHALL_DISPATCH_SLOT_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "core/types.h"
#include "dispatch/rank_queue.h"

namespace balsamhall {

// Holds one entry for each running request, so that the number of slots in use
// is exact. Not thread-safe.
class SlotTable {
 public:
  struct Work {
    std::size_t rank = 0;
    bool long_running = false;
    bool ahead_of_turn = false;  // charged to the floor of its rank
    bool cancelled = false;
    std::optional<PartitionId> partition;
    SteadyTime started;
    SteadyTime deadline;
    Microseconds estimate{0};
  };

  explicit SlotTable(std::uint32_t slots) { set_slots(slots); }

  // Sets the number of slots, at least one. Running work goes on if there are
  // fewer slots than before.
  void set_slots(std::uint32_t slots);

  // Returns how many of the open slots long-running work may use: one slot is
  // reserved for short work, unless the endpoint has only one slot.
  // Precondition: open > 0.
  std::uint32_t LongRunningLimit(std::uint32_t open) const;

  // Precondition: a slot is free.
  void Start(std::uint64_t ticket, const Work& work);

  // Frees the slot and returns the work; nullopt if the ticket is not running.
  std::optional<Work> Finish(std::uint64_t ticket);

  // Marks running work as cancelled. Returns true if it is running and was not
  // cancelled before.
  bool Cancel(std::uint64_t ticket);

  // Returns the running tickets whose deadline has passed and that are not
  // cancelled.
  std::vector<std::uint64_t> Overdue(SteadyTime now) const;

  // Returns the latest deadline of running work by partition.
  std::map<PartitionId, SteadyTime> RunningUntil() const;

  // Returns the expected remaining time of each running request, or only of the
  // long-running ones.
  std::vector<Microseconds> Remaining(SteadyTime now,
                                      bool only_long_running) const;

  std::uint32_t slots() const { return slots_; }
  std::uint32_t running() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::uint32_t long_running() const { return long_running_; }
  const std::array<std::uint32_t, kRanks>& running_by_rank() const {
    return running_by_rank_;
  }

 private:
  std::uint32_t slots_ = 1;
  std::map<std::uint64_t, Work> running_;
  std::array<std::uint32_t, kRanks> running_by_rank_{};
  std::uint32_t long_running_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_SLOT_TABLE_H_
