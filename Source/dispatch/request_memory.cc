#include "dispatch/request_memory.h"

#include <algorithm>

#include "core/invariant.h"

namespace balsamhall {
namespace {

// Bytes that an entry takes besides its id and its answer's body.
constexpr std::size_t kEntryBytes = 256;

std::size_t Size(const std::string& request_id, const StoredAnswerPtr& answer) {
  return kEntryBytes + 2 * request_id.size() +
         (answer ? answer->body.size() + answer->content_type.size() : 0);
}

}  // namespace

RequestMemory::RequestMemory(const Options& options) : options_(options) {}

void RequestMemory::Advance(WallTime wall_now) {
  wall_now_ = std::max(wall_now_, wall_now);
  // A caller's clock may be ahead by the skew, so its request may be repeated
  // within the window of its own first-issued time for that much longer.
  const auto keep = options_.window + options_.clock_skew;
  while (!finished_.empty() && finished_.front().at + keep < wall_now_) {
    DropOldest();
  }
}

std::set<PartitionId> RequestMemory::SetPartitions(
    const std::map<PartitionId, Fence>& partitions) {
  std::set<PartitionId> staying;
  std::map<PartitionId, Start> starts;
  for (const auto& [partition, epoch] : partitions) {
    const auto known = starts_.find(partition);
    const bool stays = known != starts_.end() && known->second.epoch == epoch;
    if (stays) staying.insert(partition);
    starts.emplace(partition, stays ? known->second : Start{epoch, wall_now_});
  }
  starts_ = std::move(starts);
  return staying;
}

bool RequestMemory::Owns(PartitionId partition) const {
  return starts_.contains(partition);
}

ResultCode RequestMemory::CheckFirstIssued(PartitionId partition,
                                           WallTime first_issued) const {
  if (!options_.check_start) return ResultCode::kOk;
  const auto start = starts_.find(partition);
  if (start == starts_.end()) return ResultCode::kNotRunMoved;
  if (first_issued <= start->second.wall + options_.clock_skew) {
    return ResultCode::kUnknownRepeatBeforeMemory;
  }
  // A time from the future would stay valid after its entry was forgotten.
  const bool in_window =
      first_issued >= wall_now_ - options_.window &&
      first_issued <= wall_now_ + options_.clock_skew &&
      (forgotten_until_ == WallTime{} ||
       first_issued > forgotten_until_ + options_.clock_skew);
  return in_window ? ResultCode::kOk : ResultCode::kUnknownRepeatOutsideWindow;
}

RequestMemory::Entry* RequestMemory::Find(const std::string& request_id) {
  const auto found = entries_.find(request_id);
  return found == entries_.end() ? nullptr : &found->second;
}

void RequestMemory::Add(const std::string& request_id, Entry entry) {
  const bool added = entries_.emplace(request_id, std::move(entry)).second;
  BALSAMHALL_INVARIANT(added, "request_id_added_twice", request_id);
}

void RequestMemory::Forget(const std::string& request_id) {
  const auto found = entries_.find(request_id);
  if (found == entries_.end()) return;
  BALSAMHALL_INVARIANT(found->second.state != State::kFinished,
                       "finished_request_forgotten", request_id);
  entries_.erase(found);
}

void RequestMemory::Store(const std::string& request_id,
                          StoredAnswerPtr answer) {
  const auto found = entries_.find(request_id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.state = State::kFinished;
  entry.answer = std::move(answer);
  entry.waiters.clear();
  finished_bytes_ += Size(request_id, entry.answer);
  finished_.push_back({request_id, wall_now_});
  while (
      finished_.size() > options_.max_finished ||
      (finished_bytes_ > options_.max_finished_bytes && !finished_.empty())) {
    // Forgotten before its window: its repeats must not be taken for new.
    forgotten_until_ = std::max(forgotten_until_, finished_.front().at);
    DropOldest();
  }
}

void RequestMemory::DropOldest() {
  const Finished& oldest = finished_.front();
  const auto found = entries_.find(oldest.request_id);
  if (found != entries_.end()) {
    finished_bytes_ -= Size(oldest.request_id, found->second.answer);
    entries_.erase(found);
  }
  finished_.pop_front();
}

}  // namespace balsamhall
