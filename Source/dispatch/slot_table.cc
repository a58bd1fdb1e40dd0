#include "dispatch/slot_table.h"

#include <algorithm>

#include "core/invariant.h"

namespace balsamhall {

void SlotTable::set_slots(std::uint32_t slots) { slots_ = std::max(1U, slots); }

std::uint32_t SlotTable::LongRunningLimit(std::uint32_t open) const {
  return slots_ == 1 ? 1 : open - 1;
}

void SlotTable::Start(std::uint64_t ticket, const Work& work) {
  running_.emplace(ticket, work);
  ++running_by_rank_[work.rank];
  if (work.long_running) ++long_running_;
  BALSAMHALL_INVARIANT(running_.size() <= slots_, "slots_exceeded",
                       std::to_string(running_.size()));
  BALSAMHALL_INVARIANT(
      !work.long_running || long_running_ <= LongRunningLimit(slots_),
      "reservation_broken", std::to_string(long_running_));
}

std::optional<SlotTable::Work> SlotTable::Finish(std::uint64_t ticket) {
  const auto node = running_.extract(ticket);
  if (node.empty()) return std::nullopt;
  --running_by_rank_[node.mapped().rank];
  if (node.mapped().long_running) --long_running_;
  return node.mapped();
}

bool SlotTable::Cancel(std::uint64_t ticket) {
  const auto found = running_.find(ticket);
  if (found == running_.end() || found->second.cancelled) return false;
  found->second.cancelled = true;
  return true;
}

std::vector<std::uint64_t> SlotTable::Overdue(SteadyTime now) const {
  std::vector<std::uint64_t> overdue;
  for (const auto& [ticket, work] : running_) {
    if (work.deadline <= now && !work.cancelled) overdue.push_back(ticket);
  }
  return overdue;
}

std::map<PartitionId, SteadyTime> SlotTable::RunningUntil() const {
  std::map<PartitionId, SteadyTime> until;
  for (const auto& [ticket, work] : running_) {
    if (!work.partition) continue;
    auto& latest = until[*work.partition];
    latest = std::max(latest, work.deadline);
  }
  return until;
}

std::vector<Microseconds> SlotTable::Remaining(SteadyTime now,
                                               bool only_long_running) const {
  std::vector<Microseconds> remaining;
  for (const auto& [ticket, work] : running_) {
    if (only_long_running && !work.long_running) continue;
    const auto elapsed =
        std::chrono::duration_cast<Microseconds>(now - work.started);
    // Work that runs longer than its estimate is not assumed to end at once.
    remaining.push_back(std::max(work.estimate / 4, work.estimate - elapsed));
  }
  return remaining;
}

}  // namespace balsamhall
