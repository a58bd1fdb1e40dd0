#include "router/forward_client.h"

#include <utility>
#include <vector>

namespace balsamhall {
namespace {

// The primary replies at the deadline at the latest; this allows for the
// transfer of the reply.
constexpr Milliseconds kReplyAllowance{100};

}  // namespace

ForwardClient::ForwardClient(Sender send) : send_(std::move(send)) {}

void ForwardClient::Forward(const std::string& address,
                            schema::ForwardRequest request, SteadyTime deadline,
                            ReplyCallback done) {
  const std::uint64_t correlation = ++last_correlation_;
  request.set_correlation(correlation);
  schema::PeerMessage message;
  *message.mutable_sender() = ToProto(self_);
  *message.mutable_forward_request() = std::move(request);
  pending_.emplace(
      correlation,
      PendingForward{address, deadline + kReplyAllowance, std::move(done)});
  if (send_(address, message)) return;
  auto refused = pending_.extract(correlation);
  if (refused) {
    refused.mapped().done(ReplyOf(ResultCode::kNotRunRouterUnreachable));
  }
}

void ForwardClient::OnReply(schema::ForwardReply reply) {
  auto found = pending_.extract(reply.correlation());
  if (found) found.mapped().done(std::move(reply));
}

void ForwardClient::OnConnectionLost(const std::string& address, bool opened) {
  std::vector<ReplyCallback> lost;
  std::erase_if(pending_, [&](auto& item) {
    if (item.second.address != address) return false;
    lost.push_back(std::move(item.second.done));
    return true;
  });
  for (const ReplyCallback& done : lost) {
    done(ReplyOf(opened ? ResultCode::kUnknownRouterLost
                        : ResultCode::kNotRunRouterUnreachable));
  }
}

void ForwardClient::Tick(SteadyTime now) {
  std::vector<std::pair<std::uint64_t, PendingForward>> overdue;
  std::erase_if(pending_, [&](auto& item) {
    if (item.second.expires_at > now) return false;
    overdue.emplace_back(item.first, std::move(item.second));
    return true;
  });
  for (const auto& [correlation, pending] : overdue) {
    schema::PeerMessage cancel;
    *cancel.mutable_sender() = ToProto(self_);
    cancel.mutable_forward_cancel()->set_correlation(correlation);
    send_(pending.address, cancel);
    pending.done(ReplyOf(ResultCode::kUnknownTimeout));
  }
}

}  // namespace balsamhall
