#include "router/forward_server.h"

#include <algorithm>

#include "router/caller_request.h"

namespace balsamhall {
namespace {

// Limits the remaining time that the sender states.
constexpr Milliseconds kMaxRemaining{600'000};

}  // namespace

ForwardServer::ForwardServer(Dispatch dispatch, Cancel cancel, Reply reply)
    : dispatch_(std::move(dispatch)),
      cancel_(std::move(cancel)),
      reply_(std::move(reply)) {}

void ForwardServer::OnRequest(Connection connection,
                              schema::ForwardRequest request,
                              const RoutingSnapshot& snapshot, SteadyTime now) {
  const ForwardId id{connection, request.correlation()};
  const auto refuse = [&](ResultCode code) {
    schema::ForwardReply reply = ReplyOf(code);
    reply.set_correlation(request.correlation());
    reply_(connection, std::move(reply));
  };
  const auto service = snapshot.services.find(request.service());
  if (service == snapshot.services.end()) {
    // The configuration of this router may be older than that of the sender.
    refuse(ResultCode::kNotRunMoved);
    return;
  }
  const auto match = FindKind(service->second, request.kind());
  const auto endpoint = snapshot.endpoints.find(request.endpoint());
  if (!match || endpoint == snapshot.endpoints.end() ||
      endpoint->second.service != request.service() ||
      endpoint->second.primary != snapshot.self.id) {
    refuse(ResultCode::kNotRunMoved);
    return;
  }
  if (request.request_id().empty() ||
      (!match->kind->idempotent() && request.first_issued_ms() <= 0)) {
    refuse(ResultCode::kNotRunMissingHeader);
    return;
  }
  DispatchJob job;
  job.kind = *match->kind;
  job.kind_number = match->number;
  job.partition = RoutingPartition(service->second, job.kind, request.key());
  job.deadline =
      now + std::min(Milliseconds(request.remaining_ms()), kMaxRemaining);
  const EndpointId name = request.endpoint();
  const std::uint64_t correlation = request.correlation();
  job.request = std::move(request);
  pending_.emplace(id, std::pair{name, Ticket{0}});
  job.done = [this, id, correlation](schema::ForwardReply reply) {
    pending_.erase(id);
    reply.set_correlation(correlation);
    reply_(id.first, std::move(reply));
  };
  const Ticket ticket = dispatch_(std::move(job));
  const auto pending = pending_.find(id);
  if (pending != pending_.end()) pending->second.second = ticket;
}

void ForwardServer::OnCancel(Connection connection, std::uint64_t correlation) {
  const auto found = pending_.find({connection, correlation});
  if (found == pending_.end()) return;
  const auto [endpoint, ticket] = found->second;
  cancel_(endpoint, ticket);
}

}  // namespace balsamhall
