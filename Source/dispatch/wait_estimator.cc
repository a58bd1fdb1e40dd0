#include "dispatch/wait_estimator.h"

#include <algorithm>

namespace balsamhall {
namespace {

double Micros(Microseconds value) { return static_cast<double>(value.count()); }

Microseconds ToMicroseconds(double value) {
  // Longer waits are cut to one hour, so that sums with time points do not
  // overflow.
  return Microseconds{static_cast<std::int64_t>(std::min(value, 3.6e9))};
}

// Returns the time until a request with the given work ahead of it starts, in
// microseconds. Each slot takes up work when its running request ends: dividing
// the sum of all work by the slots would count one long request against every
// other slot.
double TimeToStart(double work, std::vector<Microseconds> busy,
                   std::uint32_t slots) {
  busy.resize(std::max<std::size_t>(1, slots));  // free slots: zero
  std::ranges::sort(busy);
  double start = Micros(busy[0]);
  for (std::size_t used = 1; used <= busy.size(); ++used) {
    const auto serving = static_cast<double>(used);
    const double until = used < busy.size() ? Micros(busy[used]) : start;
    const double done = (until - start) * serving;
    if (used == busy.size() || done >= work) return start + work / serving;
    work -= done;
    start = until;
  }
  return start;
}

// Returns the wait for a slot that all kinds may use, in microseconds.
double SlotWait(std::size_t rank, const SlotState& slots,
                const RankQueue& queue, const RankShares& shares) {
  const double own_work = Micros(queue.work(rank));
  double work_ahead = own_work;
  for (std::size_t above = 0; above < rank; ++above) {
    work_ahead += Micros(queue.work(above));
  }
  double reserved_for_lower = 0;
  for (std::size_t below = rank + 1; below < kRanks; ++below) {
    if (queue.size(below) > 0) reserved_for_lower += shares.floor(below);
  }
  const double open = slots.open;
  const double available_share = std::max(0.05, 1 - reserved_for_lower);
  const double by_queue =
      TimeToStart(work_ahead / available_share, slots.remaining, slots.open);
  const double floor = shares.floor(rank);
  if (rank == 0 || floor <= 0) return by_queue;
  // Under a lasting overload of more urgent work, later urgent arrivals
  // overtake this rank. Its rate is the share that recent urgent work left
  // unused. The floor is an upper bound of the wait.
  const double rate =
      std::max(floor, available_share - shares.UsedByHigherRanks(rank));
  const double by_rate = own_work / (open * rate);
  const double by_floor =
      (own_work + Micros(shares.Debt(rank))) / (open * floor) +
      TimeToStart(0, slots.remaining, slots.open);
  return std::min(std::max(by_queue, by_rate), by_floor);
}

// Returns the wait for a slot that long-running kinds may use, in microseconds.
double LongRunningWait(std::size_t rank, const SlotState& slots,
                       const RankQueue& queue) {
  if (slots.long_running_limit == 0) return Micros(slots.until_long_running);
  double work_ahead = 0;
  for (std::size_t above = 0; above <= rank; ++above) {
    work_ahead += Micros(queue.long_running_work(above));
  }
  return TimeToStart(work_ahead, slots.long_running_remaining,
                     slots.long_running_limit);
}

}  // namespace

Microseconds ExpectedQueueWait(std::size_t rank, bool long_running,
                               const SlotState& slots, const RankQueue& queue,
                               const RankShares& shares) {
  std::size_t queued_ahead = 0;
  for (std::size_t above = 0; above <= rank; ++above) {
    queued_ahead += queue.size(above);
  }
  const bool slot_free = slots.running < slots.open && queued_ahead == 0;
  const bool long_running_slot_free =
      !long_running || slots.long_running < slots.long_running_limit;
  if (slot_free && long_running_slot_free) return Microseconds{0};
  const double slot_wait = slot_free ? 0 : SlotWait(rank, slots, queue, shares);
  const double long_running_wait =
      long_running ? LongRunningWait(rank, slots, queue) : 0;
  // At least one microsecond, because zero means an immediate start.
  return ToMicroseconds(std::max({1.0, slot_wait, long_running_wait}));
}

}  // namespace balsamhall
