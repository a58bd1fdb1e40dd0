// Forwards requests to the primary routers of their endpoints.
#ifndef BALSAMHALL_ROUTER_FORWARD_CLIENT_H_
#define BALSAMHALL_ROUTER_FORWARD_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "core/routing_snapshot.h"
#include "core/types.h"
#include "router/dispatch_job.h"

namespace balsamhall {

// Matches replies to requests by their correlation number. Not thread-safe.
class ForwardClient {
 public:
  using Sender = std::function<bool(const std::string& address,
                                    const schema::PeerMessage& message)>;

  explicit ForwardClient(Sender send);

  void set_self(const RouterRef& self) { self_ = self; }

  // Sends the request. Calls done exactly once, possibly before it returns. If
  // no reply arrives by a short time after the deadline, the result is
  // kUnknownTimeout.
  void Forward(const std::string& address, schema::ForwardRequest request,
               SteadyTime deadline, ReplyCallback done);

  void OnReply(schema::ForwardReply reply);

  // Finishes the requests sent to an address whose connection was lost. opened
  // = false means that the connection was never established, so nothing was
  // sent.
  void OnConnectionLost(const std::string& address, bool opened);

  // Finishes requests whose reply is overdue and asks the primary to cancel
  // them. Call every 10 ms.
  void Tick(SteadyTime now);

  std::size_t pending() const { return pending_.size(); }

 private:
  struct PendingForward {
    std::string address;
    SteadyTime expires_at;
    ReplyCallback done;
  };

  Sender send_;
  RouterRef self_;
  std::uint64_t last_correlation_ = 0;
  std::unordered_map<std::uint64_t, PendingForward> pending_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_FORWARD_CLIENT_H_
