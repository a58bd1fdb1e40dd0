// Memory of request ids: attaches repeats to running requests and answers
// repeats of finished ones, so that no non-idempotent request runs twice.
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

// Idempotent requests are remembered only while they are queued or running: a
// further run does no harm, and their answers would displace those that matter.
// Not thread-safe. Wall times that step back are treated as not having moved.
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

  // A repeat that waits for the answer of the first request of its id.
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

  // Moves the wall clock forward and forgets what is older than the window.
  void Advance(WallTime wall_now);

  // Sets the owned partitions. A partition keeps the start of its memory only
  // under the same epoch; under another one, requests may have run elsewhere.
  // Returns the partitions that stay.
  std::set<PartitionId> SetPartitions(
      const std::map<PartitionId, Fence>& partitions);
  bool Owns(PartitionId partition) const;

  // Returns kOk if a request with an id that is not remembered is known not to
  // have run before, else the code to answer with. Precondition: the partition
  // is owned.
  ResultCode CheckFirstIssued(PartitionId partition,
                              WallTime first_issued) const;

  // Returns nullptr if the id is not remembered. The pointer is valid until the
  // next call of another method.
  Entry* Find(const std::string& request_id);

  // Precondition: the id is not remembered.
  void Add(const std::string& request_id, Entry entry);

  // Forgets an id that was not run, or need not be remembered.
  void Forget(const std::string& request_id);

  // Keeps the answer of a finished non-idempotent request.
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
  // First-issued times up to this one were possibly forgotten early.
  WallTime evicted_until_{};
  std::map<PartitionId, MemoryStart> memory_starts_;
  std::unordered_map<std::string, Entry> entries_;
  std::deque<Finished> finished_;
  std::size_t finished_bytes_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_REQUEST_MEMORY_H_
