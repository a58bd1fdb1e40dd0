// Handles requests that other routers forward to this one.
#ifndef BALSAMHALL_ROUTER_FORWARD_SERVER_H_
#define BALSAMHALL_ROUTER_FORWARD_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "core/routing_snapshot.h"
#include "router/dispatch_job.h"

namespace balsamhall {

// Not thread-safe: one traffic thread owns it.
class ForwardServer {
 public:
  using Connection = std::uint64_t;
  using Reply = std::function<void(Connection, schema::ForwardReply)>;
  using Dispatch = std::function<Ticket(DispatchJob)>;
  using Cancel = std::function<void(const EndpointId&, Ticket)>;

  ForwardServer(Dispatch dispatch, Cancel cancel, Reply reply);

  // Dispatches the request to its endpoint. The kind and the partition are
  // taken from this router's configuration, not from the sender.
  void OnRequest(Connection connection, schema::ForwardRequest request,
                 const RoutingSnapshot& snapshot, SteadyTime now);

  void OnCancel(Connection connection, std::uint64_t correlation);

  std::size_t pending() const { return pending_.size(); }

 private:
  using ForwardId = std::pair<Connection, std::uint64_t>;

  Dispatch dispatch_;
  Cancel cancel_;
  Reply reply_;
  std::map<ForwardId, std::pair<EndpointId, Ticket>> pending_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_FORWARD_SERVER_H_
