// Deduplicates requests by request id, so that no non-idempotent request runs
// twice: repeats wait for a queued or running request and get the stored
// response of a finished one.
#ifndef BALSAMHALL_DISPATCH_REQUEST_MEMORY_H_
#define BALSAMHALL_DISPATCH_REQUEST_MEMORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/types.h"
#include "dispatch/endpoint_dispatcher.h"

namespace balsamhall {

// Idempotent requests are remembered only while they are queued or running: it
// is safe to run them again, and their responses would displace those of
// non-idempotent requests. A wall clock that steps back counts as standing
// still. Not thread-safe.
class RequestMemory {
 public:
  struct Options {
    Milliseconds window{0};
    Milliseconds clock_skew{0};
    std::size_t max_stored_responses = 0;
    std::size_t max_stored_response_bytes = 0;
    bool check_memory_start = true;
  };

  enum class State { kQueued, kRunning, kFinished };

  // A repeat that waits for the response to the first request of its id.
  struct Waiter {
    Ticket ticket = 0;
    SteadyTime deadline;
  };

  struct Entry {
    State state = State::kQueued;
    Ticket ticket = 0;
    bool idempotent = false;
    std::uint64_t content_digest = 0;
    std::uint32_t start_count = 0;
    StoredResponsePtr response;
    std::vector<Waiter> waiters;
  };

  explicit RequestMemory(const Options& options);

  void set_options(const Options& options) { options_ = options; }

  // Moves the wall clock forward and removes responses older than the window.
  void Advance(WallTime wall_now);

  // Sets the owned partitions. A partition keeps the start of its memory only
  // under the same epoch, because its requests may have run elsewhere under
  // another one. Returns the partitions that were owned under the same epoch.
  std::set<PartitionId> SetPartitions(
      const std::map<PartitionId, Fence>& partitions);
  bool Owns(PartitionId partition) const;

  // Checks a request whose id is not remembered. Returns kOk if it is certain
  // that the request did not run before, else the code to reject it with.
  // Precondition: the partition is owned.
  ResultCode CheckFirstIssued(PartitionId partition,
                              WallTime first_issued) const;

  // Returns nullptr if the id is not remembered. The pointer is valid until
  // another method is called.
  Entry* Find(const std::string& request_id);

  // Precondition: the id is not remembered.
  void Add(const std::string& request_id, Entry entry);

  // Removes the id of a request that did not run or is idempotent.
  // Precondition: no response is stored for it.
  void Forget(const std::string& request_id);

  // Stores the response to a finished non-idempotent request. Evicts the oldest
  // responses if there are too many. Ignores an id that is not remembered.
  void StoreResponse(const std::string& request_id, StoredResponsePtr response);

  std::size_t size() const { return entries_.size(); }

 private:
  struct MemoryStart {
    Fence epoch;
    WallTime since;
  };
  struct Finished {
    std::string request_id;
    WallTime finished_at;
  };

  void RemoveOldest();

  Options options_;
  WallTime wall_now_{};
  // Responses were evicted within their window. An id first issued up to this
  // time may be among them.
  WallTime evicted_until_{};
  std::map<PartitionId, MemoryStart> memory_starts_;
  std::unordered_map<std::string, Entry> entries_;
  std::deque<Finished> finished_;
  std::size_t finished_bytes_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_REQUEST_MEMORY_H_
