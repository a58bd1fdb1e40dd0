#include "core/endpoint_reset.h"

#include <algorithm>
#include <utility>

namespace balsamhall {
namespace {

constexpr Milliseconds kRepeatInterval{200};

}  // namespace

EndpointReset::EndpointReset(ControlContext* context, ServiceId service,
                             schema::View view, std::uint64_t query,
                             Milliseconds lapse)
    : context_(context),
      service_(std::move(service)),
      view_(std::move(view)),
      query_(query),
      lapse_(lapse) {}

void EndpointReset::OnTick() {
  if (CensusComplete()) {
    if (!complete_at_) complete_at_ = context_->now();
  } else {
    complete_at_.reset();
  }
  if (context_->now() < last_sent_ + kRepeatInterval) return;
  last_sent_ = context_->now();
  for (const RouterRef& router : context_->OtherRouters()) {
    if (replies_.contains(router)) continue;
    schema::PeerMessage message = MakePeerMessage(context_->self());
    auto* request = message.mutable_locate_request();
    request->set_service(service_);
    request->set_endpoint(view_.endpoint());
    request->set_query(query_);
    *request->mutable_term() = view_.term();
    context_->Emit(SendPeerMessage{router.id, std::move(message)});
  }
  schema::GrantRequest probe;
  *probe.mutable_view() = view_;
  probe.set_read_only(true);
  probe.set_sequence(context_->NextGrantSequence());
  context_->Emit(SendGrant{view_.endpoint(), std::move(probe)});
}

void EndpointReset::OnLocateReply(const RouterRef& from,
                                  const schema::LocateReply& reply) {
  if (reply.query() != query_ || reply.resolving()) return;
  const bool still_primary = std::ranges::any_of(
      reply.claims(), [&](const schema::EndpointClaims& claims) {
        return claims.view().endpoint() == view_.endpoint() &&
               !claims.view().primary().id().empty();
      });
  if (!still_primary) replies_[from] = reply;
}

void EndpointReset::SetOwnClaims(const schema::LocateReply& reply) {
  own_.reset();
  if (!reply.resolving()) own_ = reply;
}

void EndpointReset::OnGrantResponse(const schema::GrantResponse& response) {
  if (response.full_state()) endpoint_state_ = response;
}

bool EndpointReset::CensusComplete() const {
  const std::vector<RouterRef> routers = context_->OtherRouters();
  return own_ && std::ranges::all_of(routers, [&](const RouterRef& router) {
           return replies_.contains(router);
         });
}

std::map<PartitionId, EndpointReset::Claim> EndpointReset::HighestClaims()
    const {
  std::map<PartitionId, Claim> highest;
  const auto note = [&](PartitionId partition, const Fence& epoch,
                        const EndpointId& endpoint) {
    Claim& best = highest[partition];
    if (best.epoch < epoch) best = {epoch, endpoint};
  };
  const auto merge = [&](const schema::LocateReply& reply) {
    for (const auto& claims : reply.claims()) {
      for (const auto& entry : claims.held()) {
        note(entry.partition(), FromProto(entry.epoch()),
             claims.view().endpoint());
      }
      // A partition that left one endpoint may have moved to one whose primary
      // answered before.
      for (const auto& record : claims.released()) {
        if (record.target_endpoint().empty()) continue;
        note(record.partition(), FromProto(record.epoch()).Next(),
             record.target_endpoint());
      }
    }
  };
  for (const auto& [router, reply] : replies_) merge(reply);
  merge(*own_);
  if (endpoint_state_) {
    for (const auto& entry : endpoint_state_->held()) {
      note(entry.partition(), FromProto(entry.epoch()), view_.endpoint());
    }
    for (const auto& record : endpoint_state_->released()) {
      if (record.target_endpoint().empty()) continue;
      note(record.partition(), FromProto(record.epoch()).Next(),
           record.target_endpoint());
    }
  }
  return highest;
}

std::optional<EndpointPrimary::Start> EndpointReset::Resolve(
    const std::vector<EndpointId>& expected_owner) const {
  if (!complete_at_ || context_->now() < *complete_at_ + lapse_) {
    return std::nullopt;
  }
  const std::map<PartitionId, Claim> claims = HighestClaims();
  EndpointPrimary::Start start;
  start.service = service_;
  start.view = view_;
  start.replace_all = true;
  std::map<PartitionId, Fence> at_endpoint;
  if (endpoint_state_) {
    for (const auto& entry : endpoint_state_->held()) {
      at_endpoint[entry.partition()] = FromProto(entry.epoch());
    }
    for (const auto& record : endpoint_state_->released()) {
      start.history.push_back(record);
    }
  } else {
    // Nobody renews the lease, so the endpoint's partitions can move.
    start.evict_at = context_->now();
  }
  for (PartitionId partition = 0; partition < expected_owner.size();
       ++partition) {
    const auto claim = claims.find(partition);
    const EndpointId& owner = claim == claims.end() ? expected_owner[partition]
                                                    : claim->second.endpoint;
    if (owner == view_.endpoint()) {
      start.partitions[partition] = term();
      continue;
    }
    const auto held = at_endpoint.find(partition);
    if (held == at_endpoint.end()) continue;
    schema::ReleasedPartition record;
    record.set_partition(partition);
    *record.mutable_epoch() = ToProto(held->second);
    record.set_target_endpoint(owner);
    start.history.push_back(record);
  }
  return start;
}

}  // namespace balsamhall
