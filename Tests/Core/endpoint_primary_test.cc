#include "core/endpoint_primary.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "Core/fake_control_context.h"
#include "core/lease_holder.h"

namespace balsamhall {
namespace {

constexpr std::uint64_t kIncarnation = 5;

// Returns the failover grant by which r1 takes over e1, which has released
// partition 0 to e2.
schema::GrantRequest MakeFailoverRequest(const LeaseHolder& holder) {
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

// Delivers the grants that were sent to the endpoint and its responses to the
// primary. Returns the targets of the transfers that were sent.
std::vector<EndpointId> DeliverActions(FakeControlContext* context,
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

schema::TransferReply MakeRefusal(const Fence& term) {
  schema::TransferReply refusal;
  refusal.set_target_endpoint("e2");
  refusal.set_status(schema::TRANSFER_REFUSED);
  *refusal.add_partitions()->mutable_epoch() = ToProto(Fence{11, 2});
  *refusal.mutable_target_view()->mutable_term() = ToProto(term);
  return refusal;
}

// Guards against a partition that stays without an owner: its transfer was
// refused while no other endpoint could take it.
BOOST_AUTO_TEST_CASE(RefusedTransferFindsALaterTarget) {
  FakeControlContext context;
  LeaseHolder holder("e1", kIncarnation, true);
  context.NextGrantSequence();
  const auto response =
      holder.OnGrant(MakeFailoverRequest(holder), context.time, 0);
  BOOST_REQUIRE(response.full_state());
  EndpointPrimary primary = EndpointPrimary::AfterFailover(
      &context, "lookup", response, context.time);
  primary.OnTick();
  BOOST_REQUIRE(DeliverActions(&context, &holder, &primary) ==
                std::vector<EndpointId>{"e2"});

  primary.OnTransferReply(MakeRefusal(context.known_term));

  context.targets = {{0, "e3"}};
  std::vector<EndpointId> targets;
  for (int i = 0; i < 5 && targets.empty(); ++i) {
    context.time += Milliseconds(150);
    primary.OnTick();
    targets = DeliverActions(&context, &holder, &primary);
  }
  BOOST_CHECK(targets == std::vector<EndpointId>{"e3"});
}

// Guards against a lost partition: the epochs of refused transfers were used
// again by a later primary, which the target's record of them had overtaken.
BOOST_AUTO_TEST_CASE(EpochsOfRefusedTransfersAreNotUsedAgain) {
  FakeControlContext context;
  LeaseHolder holder("e1", kIncarnation, true);
  context.NextGrantSequence();
  schema::GrantRequest request = MakeFailoverRequest(holder);
  const auto response = holder.OnGrant(request, context.time, 0);
  EndpointPrimary primary = EndpointPrimary::AfterFailover(
      &context, "lookup", response, context.time);
  primary.OnTick();
  context.actions.clear();
  context.targets = {{0, "e2"}};
  primary.OnTransferReply(MakeRefusal(context.known_term));
  for (int i = 0; i < 5; ++i) {
    context.time += Milliseconds(150);
    primary.OnTick();
    DeliverActions(&context, &holder, &primary);
  }

  schema::GrantRequest failover;
  *failover.mutable_view() = request.view();
  *failover.mutable_view()->mutable_primary() = ToProto(RouterRef{"r2", 2});
  *failover.mutable_view()->mutable_term() = ToProto(Fence{10, 2});
  *failover.mutable_previous_term() = request.view().term();
  failover.set_sequence(1);
  context.router = {"r2", 2};
  EndpointPrimary later = EndpointPrimary::AfterFailover(
      &context, "lookup", holder.OnGrant(failover, context.time, 0),
      context.time);
  context.actions.clear();
  later.OnTick();
  std::vector<Fence> epochs;
  for (const OwnershipAction& action : context.actions) {
    const auto* send = std::get_if<SendPeerMessage>(&action);
    if (send == nullptr || !send->message.has_transfer()) continue;
    epochs.push_back(FromProto(send->message.transfer().partitions(0).epoch()));
  }
  BOOST_REQUIRE_EQUAL(epochs.size(), 1U);
  BOOST_CHECK(epochs.front() == (Fence{11, 3}));
}

// Guards against two owners: the old primary of the target refuses a transfer
// that its successor has accepted.
BOOST_AUTO_TEST_CASE(RefusalOfAnOlderViewIsIgnored) {
  FakeControlContext context;
  LeaseHolder holder("e1", kIncarnation, true);
  context.NextGrantSequence();
  const auto response =
      holder.OnGrant(MakeFailoverRequest(holder), context.time, 0);
  EndpointPrimary primary = EndpointPrimary::AfterFailover(
      &context, "lookup", response, context.time);
  primary.OnTick();
  const Fence old_term = context.known_term;
  context.known_term = old_term.Next();
  context.time += Milliseconds(200);
  primary.OnTick();
  context.actions.clear();
  context.targets = {{0, "e3"}};
  primary.OnTransferReply(MakeRefusal(old_term));
  for (int i = 0; i < 5; ++i) {
    context.time += Milliseconds(200);
    primary.OnTick();
    for (const EndpointId& target :
         DeliverActions(&context, &holder, &primary)) {
      BOOST_CHECK_EQUAL(target, "e2");
    }
  }
}

// Guards against a primary that was replaced without its knowledge: it must
// not grant its partitions to a new process of the endpoint, which knows no
// view, before the backup consents.
BOOST_AUTO_TEST_CASE(RestartedEndpointNeedsTheConsentOfTheBackup) {
  FakeControlContext context;
  LeaseHolder holder("e1", kIncarnation, true);
  context.NextGrantSequence();
  schema::GrantRequest request = MakeFailoverRequest(holder);
  const RouterRef backup{"r2", 2};
  *request.mutable_view()->mutable_backup() = ToProto(backup);
  const auto response = holder.OnGrant(request, context.time, 0);
  EndpointPrimary primary = EndpointPrimary::AfterFailover(
      &context, "lookup", response, context.time);
  LeaseHolder restarted("e1", kIncarnation + 1, true);
  for (int i = 0; i < 5; ++i) {
    context.time += Milliseconds(200);
    primary.OnTick();
    DeliverActions(&context, &restarted, &primary);
  }
  BOOST_CHECK(FromProto(restarted.view().term()).IsZero());
  BOOST_CHECK(!primary.Accepting());

  schema::StandDownReply consent;
  *consent.mutable_term() = request.view().term();
  consent.set_promised(true);
  primary.OnStandDownReply(backup, consent);
  for (int i = 0; i < 5; ++i) {
    context.time += Milliseconds(200);
    primary.OnTick();
    DeliverActions(&context, &restarted, &primary);
  }
  BOOST_CHECK(FromProto(restarted.view().term()) >
              FromProto(request.view().term()));
  BOOST_CHECK(primary.Accepting());
}

// Guards against a service that stays down after all its endpoints were lost at
// once, because each evicted endpoint waits for another to take its partitions.
BOOST_AUTO_TEST_CASE(EvictedEndpointReclaimsPartitionsWithoutTarget) {
  FakeControlContext context;
  LeaseHolder holder("e1", kIncarnation, true);
  context.NextGrantSequence();
  schema::GrantRequest request = MakeFailoverRequest(holder);
  request.clear_history();
  request.set_lease_ms(600);
  *request.add_add()->mutable_epoch() = ToProto(Fence{11, 1});
  const auto response = holder.OnGrant(request, context.time, 0);
  EndpointPrimary primary = EndpointPrimary::AfterFailover(
      &context, "lookup", response, context.time);
  for (int i = 0; i < 10; ++i) {
    context.time += Milliseconds(200);
    primary.OnTick();
    for (const OwnershipAction& action : std::exchange(context.actions, {})) {
      if (const auto* stop = std::get_if<StopDispatch>(&action)) {
        primary.OnDispatchStopped({stop->endpoint, stop->term, {}});
      }
    }
  }
  BOOST_REQUIRE(primary.phase() == EndpointPrimary::Phase::kEvicted);

  for (int i = 0; i < 5; ++i) {
    context.time += Milliseconds(200);
    primary.OnTick();
    DeliverActions(&context, &holder, &primary);
  }
  BOOST_CHECK(primary.Accepting());
  BOOST_CHECK(holder.Owns(0, context.time));
  schema::EndpointRouting routing;
  primary.FillRouting(&routing);
  BOOST_REQUIRE_EQUAL(routing.partitions_size(), 1);
  BOOST_CHECK(FromProto(routing.partitions(0).epoch()) == (Fence{11, 2}));
}

struct OtherEndpointCase {
  const char* name;
  Fence term;  // of its view; zero: it has none
};

std::ostream& operator<<(std::ostream& out, const OtherEndpointCase& test) {
  return out << test.name;
}

const OtherEndpointCase kOtherEndpoints[] = {
    {"without a view", {}},
    {"with a lower term", {9, 1}},
    {"with a higher term", {12, 1}},
};

// Guards against a lost endpoint that is never evicted because another one
// answers at its address.
BOOST_DATA_TEST_CASE(AnotherEndpointAtTheAddressIsNoAnswer,
                     boost::unit_test::data::make(kOtherEndpoints), test) {
  FakeControlContext context;
  LeaseHolder holder("e1", kIncarnation, true);
  context.NextGrantSequence();
  schema::GrantRequest request = MakeFailoverRequest(holder);
  request.set_lease_ms(600);
  const auto response = holder.OnGrant(request, context.time, 0);
  EndpointPrimary primary = EndpointPrimary::AfterFailover(
      &context, "lookup", response, context.time);
  LeaseHolder other("e9", kIncarnation + 1, true);
  if (!test.term.IsZero()) {
    schema::GrantRequest grant = MakeFailoverRequest(other);
    grant.mutable_view()->set_endpoint("e9");
    *grant.mutable_view()->mutable_term() = ToProto(test.term);
    grant.mutable_view()->mutable_primary()->set_id("r9");
    BOOST_REQUIRE(other.OnGrant(grant, context.time, 0).status() ==
                  schema::GRANT_ACCEPTED);
  }
  for (int i = 0; i < 10; ++i) {
    context.time += Milliseconds(200);
    primary.OnTick();
    DeliverActions(&context, &other, &primary);
  }
  BOOST_CHECK(!primary.demoted());
  BOOST_CHECK(primary.phase() == EndpointPrimary::Phase::kEvicting);
}

// Guards against two owners: the backup has failed over, and the promise of
// another router to stand down under the same term is taken as the backup's.
BOOST_AUTO_TEST_CASE(OnlyTheRouterThatFailedOverCanStandDown) {
  FakeControlContext context;
  const RouterRef old_backup{"r2", 2};
  const RouterRef new_backup{"r3", 3};
  context.endpoint_config.emplace().set_checks_fences(true);
  context.candidates = {{new_backup, "a", "a"}};
  LeaseHolder holder("e1", kIncarnation, true);
  context.NextGrantSequence();
  schema::GrantRequest request = MakeFailoverRequest(holder);
  *request.mutable_view()->mutable_backup() = ToProto(old_backup);
  const auto response = holder.OnGrant(request, context.time, 0);
  EndpointPrimary primary = EndpointPrimary::AfterFailover(
      &context, "lookup", response, context.time);

  // The primary proposes a view with another backup, which does not arrive.
  primary.OnTick();
  std::optional<schema::View> proposed;
  for (const OwnershipAction& action : std::exchange(context.actions, {})) {
    const auto* send = std::get_if<SendPeerMessage>(&action);
    if (send != nullptr && send->message.has_backup_request()) {
      proposed = send->message.backup_request().view();
    }
  }
  BOOST_REQUIRE(proposed);
  schema::BackupReply agreement;
  *agreement.mutable_view() = *proposed;
  agreement.set_agreed(true);
  primary.OnBackupReply(new_backup, agreement);

  // The old backup fails over under the same term.
  schema::GrantRequest failover;
  *failover.mutable_view() = request.view();
  *failover.mutable_view()->mutable_primary() = ToProto(old_backup);
  failover.mutable_view()->clear_backup();
  *failover.mutable_view()->mutable_term() = proposed->term();
  *failover.mutable_previous_term() = request.view().term();
  failover.set_sequence(1);
  BOOST_REQUIRE(holder.OnGrant(failover, context.time, 0).status() ==
                schema::GRANT_ACCEPTED);

  // The new backup stands down, and the primary reaches the endpoint again.
  context.time += Milliseconds(1'000);
  primary.OnTick();
  schema::StandDownReply promise;
  promise.set_promised(true);
  *promise.mutable_term() = proposed->term();
  primary.OnStandDownReply(new_backup, promise);
  context.actions.clear();
  for (int i = 0; i < 5; ++i) {
    context.time += Milliseconds(200);
    primary.OnTick();
    DeliverActions(&context, &holder, &primary);
  }
  BOOST_CHECK_EQUAL(holder.view().primary().id(), old_backup.id);
  BOOST_CHECK(primary.demoted());
}

}  // namespace
}  // namespace balsamhall
