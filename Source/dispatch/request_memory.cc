#include "dispatch/request_memory.h"

#include <algorithm>

#include "core/invariant.h"

namespace balsamhall {
namespace {

// Bytes that an entry takes besides its id and its response.
constexpr std::size_t kEntryOverheadBytes = 256;

std::size_t EntrySize(const std::string& request_id,
                      const StoredResponsePtr& response) {
  return kEntryOverheadBytes + 2 * request_id.size() +
         (response ? response->body.size() + response->content_type.size() : 0);
}

}  // namespace

RequestMemory::RequestMemory(const Options& options) : options_(options) {}

void RequestMemory::Advance(WallTime wall_now) {
  wall_now_ = std::max(wall_now_, wall_now);
  // A caller's clock may be ahead by the skew, so that its repeats stay within
  // the window of their first-issued time for that much longer.
  const auto retention = options_.window + options_.clock_skew;
  while (!finished_.empty() &&
         finished_.front().finished_at + retention < wall_now_) {
    RemoveOldest();
  }
}

std::set<PartitionId> RequestMemory::SetPartitions(
    const std::map<PartitionId, Fence>& partitions) {
  std::set<PartitionId> kept;
  std::map<PartitionId, MemoryStart> memory_starts;
  for (const auto& [partition, epoch] : partitions) {
    const auto known = memory_starts_.find(partition);
    const bool same_epoch =
        known != memory_starts_.end() && known->second.epoch == epoch;
    if (same_epoch) kept.insert(partition);
    memory_starts.emplace(
        partition, same_epoch ? known->second : MemoryStart{epoch, wall_now_});
  }
  memory_starts_ = std::move(memory_starts);
  return kept;
}

bool RequestMemory::Owns(PartitionId partition) const {
  return memory_starts_.contains(partition);
}

ResultCode RequestMemory::CheckFirstIssued(PartitionId partition,
                                           WallTime first_issued) const {
  if (!options_.check_memory_start) return ResultCode::kOk;
  const auto start = memory_starts_.find(partition);
  if (start == memory_starts_.end()) return ResultCode::kNotRunMoved;
  if (first_issued <= start->second.since + options_.clock_skew) {
    return ResultCode::kUnknownRepeatBeforeMemory;
  }
  // A time in the future would still be in the window after its entry was
  // removed.
  const bool in_window = first_issued >= wall_now_ - options_.window &&
                         first_issued <= wall_now_ + options_.clock_skew &&
                         (evicted_until_ == WallTime{} ||
                          first_issued > evicted_until_ + options_.clock_skew);
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

void RequestMemory::StoreResponse(const std::string& request_id,
                                  StoredResponsePtr response) {
  const auto found = entries_.find(request_id);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  entry.state = State::kFinished;
  entry.response = std::move(response);
  entry.waiters.clear();
  finished_bytes_ += EntrySize(request_id, entry.response);
  finished_.push_back({request_id, wall_now_});
  while (finished_.size() > options_.max_stored_responses ||
         (finished_bytes_ > options_.max_stored_response_bytes &&
          !finished_.empty())) {
    // Evicted before the end of its window: its repeats must not be taken for
    // new requests.
    evicted_until_ = std::max(evicted_until_, finished_.front().finished_at);
    RemoveOldest();
  }
}

void RequestMemory::RemoveOldest() {
  const Finished& oldest = finished_.front();
  const auto found = entries_.find(oldest.request_id);
  if (found != entries_.end()) {
    finished_bytes_ -= EntrySize(oldest.request_id, found->second.response);
    entries_.erase(found);
  }
  finished_.pop_front();
}

}  // namespace balsamhall
