#include "core/endpoint_reset.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace balsamhall {
namespace {

constexpr Milliseconds kLocateInterval{200};

// Returns the highest fence below the given one. A partition in transfer is
// claimed under the epoch that its next owner gets, which may be the endpoint
// of the reset.
Fence Predecessor(const Fence& fence) {
  if (fence.counter > 0) return {fence.offset, fence.counter - 1};
  return {fence.offset - 1, std::numeric_limits<std::uint32_t>::max()};
}

}  // namespace

EndpointReset::EndpointReset(ControlContext* context, ServiceId service,
                             schema::View view, std::uint64_t query,
                             Milliseconds expiry_wait)
    : context_(context),
      service_(std::move(service)),
      view_(std::move(view)),
      query_(query),
      expiry_wait_(expiry_wait) {}

void EndpointReset::OnTick() {
  if (LocateQueryComplete() && OtherEndpointsAccountedFor()) {
    if (!query_complete_at_) query_complete_at_ = context_->now();
  } else {
    query_complete_at_.reset();
  }
  if (context_->now() < last_sent_ + kLocateInterval) return;
  last_sent_ = context_->now();
  for (const RouterRef& router : context_->OtherRouters()) {
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
  if (still_primary) return;
  replied_routers_.insert(from);
  MergeClaims(reply);
}

void EndpointReset::SetOwnClaims(const schema::LocateReply& reply) {
  has_own_claims_ = !reply.resolving();
  if (has_own_claims_) MergeClaims(reply);
}

void EndpointReset::OnGrantResponse(const schema::GrantResponse& response) {
  if (response.view().endpoint() != view_.endpoint()) return;
  if (response.full_state()) endpoint_state_ = response;
}

void EndpointReset::MergeClaims(const schema::LocateReply& reply) {
  const auto claim = [&](PartitionId partition, const Claim& found) {
    Claim& best = claims_[partition];
    if (best.epoch < found.epoch || (best.epoch == found.epoch && found.held)) {
      best = found;
    }
  };
  for (const auto& claims : reply.claims()) {
    const EndpointId& endpoint = claims.view().endpoint();
    if (!claims.view().primary().id().empty()) with_primary_.insert(endpoint);
    for (const auto& entry : claims.held()) {
      claim(entry.partition(), {FromProto(entry.epoch()), endpoint, true});
    }
    for (const auto& record : claims.released()) {
      claim(record.partition(), {FromProto(record.epoch()).Next(),
                                 record.target_endpoint(), false});
    }
  }
}

bool EndpointReset::LocateQueryComplete() const {
  const std::vector<RouterRef> routers = context_->OtherRouters();
  return has_own_claims_ &&
         std::ranges::all_of(routers, [&](const RouterRef& router) {
           return replied_routers_.contains(router);
         });
}

bool EndpointReset::OtherEndpointsAccountedFor() const {
  const std::vector<EndpointId> endpoints = context_->EndpointsOf(service_);
  return std::ranges::all_of(endpoints, [&](const EndpointId& endpoint) {
    if (endpoint == view_.endpoint() || with_primary_.contains(endpoint)) {
      return true;
    }
    const std::uint64_t base_view_offset = context_->BaseViewOffset(endpoint);
    // Earlier resets of the service finish first; see LocateReply.resolving.
    return base_view_offset == 0 || (base_view_offset > term().offset &&
                                     context_->AppliedByAll(base_view_offset));
  });
}

bool EndpointReset::HeldByEndpoint(PartitionId partition,
                                   const Claim& claim) const {
  return endpoint_state_ &&
         std::ranges::any_of(endpoint_state_->held(), [&](const auto& held) {
           return held.partition() == partition &&
                  FromProto(held.epoch()) >= claim.epoch;
         });
}

bool EndpointReset::ClaimedElsewhere(PartitionId partition) const {
  const auto claim = claims_.find(partition);
  // An epoch has one owner: the endpoint itself is the target of a transfer
  // that its source still reports as open.
  if (claim != claims_.end() && HeldByEndpoint(partition, claim->second)) {
    return false;
  }
  return claim != claims_.end() &&
         (claim->second.held || claim->second.endpoint != view_.endpoint());
}

bool EndpointReset::IsLastReset() const {
  const std::vector<EndpointId> endpoints = context_->EndpointsOf(service_);
  return std::ranges::all_of(endpoints, [&](const EndpointId& endpoint) {
    return endpoint == view_.endpoint() || with_primary_.contains(endpoint);
  });
}

std::optional<EndpointPrimary::InitialState> EndpointReset::Resolve(
    const std::vector<EndpointId>& expected_owner) const {
  if (!query_complete_at_ ||
      context_->now() < *query_complete_at_ + expiry_wait_) {
    return std::nullopt;
  }
  EndpointPrimary::InitialState initial_state;
  initial_state.service = service_;
  initial_state.view = view_;
  initial_state.replace_all = true;
  std::map<PartitionId, Fence> held_epochs;
  if (endpoint_state_) {
    for (const auto& entry : endpoint_state_->held()) {
      held_epochs[entry.partition()] = FromProto(entry.epoch());
    }
    for (const auto& record : endpoint_state_->released()) {
      initial_state.history.push_back(record);
    }
  } else {
    // No router renews the lease, so the endpoint's partitions can move.
    initial_state.evict_at = context_->now();
  }
  // A retry of an old transfer to the endpoint must not bring back a partition
  // that is claimed elsewhere. The records name no target, so that nothing is
  // sent to the claim's owner, which may have moved the partition since.
  for (const auto& [partition, claim] : claims_) {
    if (!ClaimedElsewhere(partition)) continue;
    const auto held = held_epochs.find(partition);
    const Fence previous_epoch = Predecessor(claim.epoch);
    const Fence epoch = held == held_epochs.end()
                            ? previous_epoch
                            : std::max(previous_epoch, held->second);
    schema::ReleasedPartition record;
    record.set_partition(partition);
    *record.mutable_epoch() = ToProto(epoch);
    initial_state.history.push_back(record);
  }
  const bool is_last_reset = IsLastReset();
  for (PartitionId partition = 0; partition < expected_owner.size();
       ++partition) {
    if (ClaimedElsewhere(partition)) continue;
    // The last reset of the service takes the partitions that no endpoint
    // claims.
    if (is_last_reset || claims_.contains(partition) ||
        held_epochs.contains(partition) ||
        expected_owner[partition] == view_.endpoint()) {
      initial_state.partitions[partition] = term();
    }
  }
  return initial_state;
}

}  // namespace balsamhall
