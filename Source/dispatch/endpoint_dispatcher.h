// Schedules the requests of one endpoint at its primary router.
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

// Identifies a request within one dispatcher. Chosen by the caller and never
// reused.
using Ticket = std::uint64_t;

// Response that is returned again to repeats of the same request id.
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
  std::optional<PartitionId> partition;  // unset: service without partitions
  std::optional<WallTime> first_issued;  // set for non-idempotent requests
  // Set if the caller has never sent this id before. No router can have
  // executed the request, so it is admitted even if the memory of request ids
  // does not reach back to its first issue.
  bool first_attempt = false;
  SteadyTime deadline;
  std::size_t bytes = 0;
  // Number of the request kind; admission uses the service time of this kind.
  // Any small number that stays the same for a kind.
  std::uint32_t kind = 0;
  // Digest of kind, key and body. A request id that is reused with another
  // digest is rejected, so that no caller gets the response to a different
  // request.
  std::uint64_t content_digest = 0;
};

// ---- Outputs --------------------------------------------------------------

// Send the request to the endpoint.
struct StartWork {
  Ticket ticket = 0;
};

// Respond to the caller without sending the request to the endpoint. The code
// states whether the request may already have been executed.
struct RejectRequest {
  Ticket ticket = 0;
  ResultCode code = ResultCode::kInternal;
};

// Respond to the caller with the response to an earlier ticket of the same
// request id.
struct SendStoredResponse {
  Ticket ticket = 0;
  StoredResponsePtr response;
};

// Tell the endpoint to cancel running work: the caller cancelled it or its
// deadline has passed.
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
  // Most repeats of one request id that wait for its response. Their bodies are
  // kept outside the queue, so max_queued_bytes does not bound them.
  std::size_t max_waiters = 8;
  Milliseconds clock_skew{2000};
  Milliseconds slow_start_time{10'000};
  bool check_memory_start = true;  // false only in the random test
};

// Queues requests by rank, limits the running ones to the slots of the endpoint
// and suppresses repeats by request id. The caller passes the clock readings
// and carries out the returned actions. Not thread-safe: owned by one traffic
// thread.
class EndpointDispatcher {
 public:
  // A cold endpoint gets its slots in a slow start that begins at
  // serving_since. With cold = false, all slots are open at once.
  EndpointDispatcher(DispatcherOptions options, SteadyTime serving_since,
                     bool cold);
  ~EndpointDispatcher();
  EndpointDispatcher(const EndpointDispatcher&) = delete;
  EndpointDispatcher& operator=(const EndpointDispatcher&) = delete;

  // Queues the request, makes it wait for a queued or running request of the
  // same id, returns the stored response, or rejects it.
  DispatchActions Submit(DispatchRequest request, SteadyTime now,
                         WallTime wall_now);

  // Removes a queued request or cancels a running one. A queued request and the
  // repeats that wait for it are rejected with kNotRunCancelled and never sent.
  // A waiting repeat is rejected with kUnknownTimeout, because its request may
  // run.
  DispatchActions Cancel(Ticket ticket, SteadyTime now);

  // Reports the end of a started ticket: frees its slot, responds to waiting
  // repeats and starts queued work. Without a response (nullptr), repeats get
  // kUnknownConnectionLost. Ignores a ticket that is not running.
  DispatchActions Finish(Ticket ticket, StoredResponsePtr response,
                         SteadyTime now, WallTime wall_now);

  // Rejects queued requests and waiting repeats whose deadline has passed,
  // cancels overdue work and starts queued work.
  DispatchActions Tick(SteadyTime now, WallTime wall_now);

  // Sets the partitions that may be dispatched, each with its epoch. The memory
  // of request ids of a new partition or epoch starts now; a partition with an
  // unchanged epoch keeps the start of its memory. Queued requests of all other
  // partitions are rejected with kNotRunMoved.
  DispatchActions SetPartitions(const std::map<PartitionId, Fence>& partitions,
                                SteadyTime now, WallTime wall_now);

  // Rejects all queued requests and all new requests submitted from now on.
  // Running work goes on.
  DispatchActions Stop(ResultCode code, SteadyTime now);

  // Applies changed options.
  DispatchActions SetOptions(DispatcherOptions options, SteadyTime now);

  // Returns the latest deadline of running work by partition.
  std::map<PartitionId, SteadyTime> RunningUntil() const;

  std::uint32_t running() const;
  std::size_t queued() const;
  // Returns the expected wait in the queue of a request of this rank that is
  // submitted now and is not long-running.
  Microseconds ExpectedWait(schema::Rank rank) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_ENDPOINT_DISPATCHER_H_
