// A request to be dispatched to an endpoint.
#ifndef BALSAMHALL_ROUTER_DISPATCH_JOB_H_
#define BALSAMHALL_ROUTER_DISPATCH_JOB_H_

#include <functional>
#include <optional>

#include "core/types.h"
#include "dispatch/endpoint_dispatcher.h"

namespace balsamhall {

// Called exactly once, on the thread that submitted the job.
using ReplyCallback = std::function<void(schema::ForwardReply)>;

struct DispatchJob {
  Ticket ticket = 0;  // unique in this process
  schema::ForwardRequest request;
  schema::KindConfig kind;
  std::uint32_t kind_number = 0;         // position of the kind in its service
  std::optional<PartitionId> partition;  // unset: any endpoint may run it
  SteadyTime deadline;
  ReplyCallback done;
};

// Returns a reply with this result code and no other field set.
schema::ForwardReply ReplyOf(ResultCode code);

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_DISPATCH_JOB_H_
