#include "core/endpoint_primary.h"

#include <boost/test/unit_test.hpp>

#include "Core/fake_control_context.h"
#include "core/lease_holder.h"

namespace balsamhall {
namespace {

constexpr std::uint64_t kIncarnation = 5;

// The endpoint e1 released partition 0 to e2 and was taken over by r1.
schema::GrantRequest Failover(const LeaseHolder& holder) {
  schema::GrantRequest request;
  schema::View* const view = request.mutable_view();
  view->set_endpoint("e1");
  view->set_endpoint_incarnation(holder.incarnation());
  *view->mutable_term() = ToProto(Fence{10, 1});
  *view->mutable_primary() = ToProto(RouterRef{"r1", 1});
  request.set_sequence(1);
  schema::ReleasedPartition* const record = request.add_history();
  *record->mutable_epoch() = ToProto(Fence{11, 1});
  record->set_target_endpoint("e2");
  return request;
}

// Lets the endpoint answer the grants that were sent, and returns the targets
// of the transfers that were sent.
std::vector<EndpointId> Exchange(FakeControlContext* context,
                                 LeaseHolder* holder,
                                 EndpointPrimary* primary) {
  std::vector<EndpointId> targets;
  for (const OwnershipAction& action : std::exchange(context->actions, {})) {
    if (const auto* grant = std::get_if<SendGrant>(&action)) {
      primary->OnGrantResponse(
          holder->OnGrant(grant->request, context->time, 0));
    } else if (const auto* send = std::get_if<SendPeerMessage>(&action)) {
      if (send->message.has_transfer()) {
        targets.push_back(send->message.transfer().target_endpoint());
      }
    }
  }
  return targets;
}

// Guards against a partition that stays without an owner: its transfer was
// refused while no other endpoint could take it.
BOOST_AUTO_TEST_CASE(RefusedTransferFindsALaterTarget) {
  FakeControlContext context;
  LeaseHolder holder("e1", kIncarnation, true);
  context.NextGrantSequence();
  const auto response = holder.OnGrant(Failover(holder), context.time, 0);
  BOOST_REQUIRE(response.full_state());
  EndpointPrimary primary = EndpointPrimary::AfterFailover(
      &context, "lookup", response, context.time);
  primary.OnTick();
  BOOST_REQUIRE(Exchange(&context, &holder, &primary) ==
                std::vector<EndpointId>{"e2"});

  schema::TransferReply refusal;
  refusal.set_target_endpoint("e2");
  refusal.set_status(schema::TRANSFER_REFUSED);
  *refusal.add_partitions()->mutable_epoch() = ToProto(Fence{11, 2});
  primary.OnTransferReply(refusal);

  context.targets = {{0, "e3"}};
  std::vector<EndpointId> targets;
  for (int i = 0; i < 5 && targets.empty(); ++i) {
    context.time += Milliseconds(150);
    primary.OnTick();
    targets = Exchange(&context, &holder, &primary);
  }
  BOOST_CHECK(targets == std::vector<EndpointId>{"e3"});
}

}  // namespace
}  // namespace balsamhall
