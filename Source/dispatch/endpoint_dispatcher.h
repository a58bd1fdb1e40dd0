// Dispatch of requests to one endpoint, at its primary router.
#ifndef BALSAMHALL_DISPATCH_ENDPOINT_DISPATCHER_H_
#define BALSAMHALL_DISPATCH_ENDPOINT_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// Identifies a request within one dispatcher; given by the caller, never
// reused.
using Ticket = std::uint64_t;

// An answer that repeats of the same request id receive again.
struct StoredResponse {
  ResultCode code = ResultCode::kInternal;
  std::uint32_t http_status = 0;
  std::string content_type;
  std::string body;
};
using StoredResponsePtr = std::shared_ptr<const StoredResponse>;

struct DispatchRequest {
  Ticket ticket = 0;
  std::string request_id;
  schema::Rank rank = schema::RANK_NORMAL;
  bool idempotent = false;
  bool long_running = false;
  std::optional<PartitionId> partition;  // unset: not owned by partition
  std::optional<WallTime> first_issued;  // set for non-idempotent requests
  // The caller declares that it never sent this id before. Nobody can have
  // executed it, so it needs no memory that reaches back to its first issue.
  bool first_attempt = false;
  SteadyTime deadline;
  std::size_t bytes = 0;
  // Selects the service time used for admission; any stable small number.
  std::uint32_t kind = 0;
  // Digest of kind, key and body. A request id that is used again with another
  // digest is rejected, so that no caller gets the answer to other content.
  std::uint64_t content_digest = 0;
};

// ---- Outputs --------------------------------------------------------------

// Send the request to the endpoint now.
struct StartWork {
  Ticket ticket = 0;
};

// Answer the caller; nothing is sent. The code tells whether it ran before.
struct RejectRequest {
  Ticket ticket = 0;
  ResultCode code = ResultCode::kInternal;
};

// Answer the caller from memory: another ticket with the same id has ended.
struct SendStoredResponse {
  Ticket ticket = 0;
  StoredResponsePtr response;
};

// Tell the endpoint to cancel work whose deadline passed.
struct CancelWork {
  Ticket ticket = 0;
};

using DispatchAction =
    std::variant<StartWork, RejectRequest, SendStoredResponse, CancelWork>;
using DispatchActions = std::vector<DispatchAction>;

struct DispatcherOptions {
  std::uint32_t slots = 1;
  double floor_normal = 0.10;
  double floor_background = 0.05;
  std::size_t max_queued = 1024;
  std::size_t max_queued_bytes = 16U << 20U;
  Milliseconds memory_window{600'000};
  std::size_t max_stored_responses = 200'000;
  std::size_t max_stored_response_bytes = 64U << 20U;
  // Waiting repeats of one request id. Their bodies are held outside the queue,
  // so its byte bound does not cover them.
  std::size_t max_waiters = 8;
  Milliseconds clock_skew{2000};
  Milliseconds slow_start_time{10'000};
  bool check_memory_start = true;  // removed only by the random test
};

// Queue by rank, exact slots and memory of request ids. Not thread-safe: one
// traffic thread owns it. Clock readings come from the caller.
class EndpointDispatcher {
 public:
  // serving_since starts the ramp of a cold endpoint; cold = false skips it.
  EndpointDispatcher(DispatcherOptions options, SteadyTime serving_since,
                     bool cold);
  ~EndpointDispatcher();
  EndpointDispatcher(const EndpointDispatcher&) = delete;
  EndpointDispatcher& operator=(const EndpointDispatcher&) = delete;

  // Admits, attaches to a running repeat, answers from memory or rejects.
  DispatchActions Submit(DispatchRequest request, SteadyTime now,
                         WallTime wall_now);

  // Removes a queued request, or cancels a running one. A cancelled queued
  // request is rejected with kNotRunCancelled and is never sent.
  DispatchActions Cancel(Ticket ticket, SteadyTime now);

  // The work of a started ticket ended; frees its slot, answers attached
  // repeats and starts queued work.
  DispatchActions Finish(Ticket ticket, StoredResponsePtr response,
                         SteadyTime now, WallTime wall_now);

  // Drops queued requests past their deadline and cancels overdue work.
  DispatchActions Tick(SteadyTime now, WallTime wall_now);

  // Sets the partitions that may be dispatched, with the wall-clock start of
  // this router's memory for each. Queued requests of other partitions are
  // rejected with kNotRunMoved. A partition that stays keeps its memory start.
  DispatchActions SetPartitions(const std::map<PartitionId, Fence>& partitions,
                                SteadyTime now, WallTime wall_now);

  // Rejects everything queued and everything submitted from now on.
  DispatchActions Stop(ResultCode code, SteadyTime now);

  // Changes slots and floors after a configuration change.
  DispatchActions SetOptions(DispatcherOptions options, SteadyTime now);

  // Latest deadline of running work by partition.
  std::map<PartitionId, SteadyTime> RunningUntil() const;

  std::uint32_t running() const;
  std::size_t queued() const;
  // Expected wait of a request of this rank that is submitted now.
  Microseconds ExpectedWait(schema::Rank rank) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_ENDPOINT_DISPATCHER_H_
