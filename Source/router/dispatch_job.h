// One request on its way to an endpoint.
#ifndef BALSAMHALL_ROUTER_DISPATCH_JOB_H_
#define BALSAMHALL_ROUTER_DISPATCH_JOB_H_

#include <functional>
#include <optional>

#include "core/types.h"
#include "dispatch/endpoint_dispatcher.h"

namespace balsamhall {

// Runs exactly once, on the thread that submitted the job.
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

// Returns a reply that carries only a code.
schema::ForwardReply ReplyOf(ResultCode code);

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_DISPATCH_JOB_H_
