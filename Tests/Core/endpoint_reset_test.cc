#include "core/endpoint_reset.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>

#include "Core/fake_control_context.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

constexpr std::uint64_t kResetOffset = 30;

enum class ClaimKind { kNothing, kHeld, kReleased };

// Claim of a router, as the primary of an endpoint, about partition 0.
struct ClaimCase {
  EndpointId endpoint;
  ClaimKind kind = ClaimKind::kHeld;
  EndpointId target;
};

struct ResetCase {
  const char* name;
  std::vector<std::vector<ClaimCase>> replies;  // of the other router, in order
  std::map<EndpointId, std::uint64_t> base_view_offsets;  // of other endpoints
  bool applied_by_all = false;
  bool held_at_endpoint = false;
  EndpointId expected_owner;
  bool resolved = true;
  bool granted = false;  // the partition is granted to the endpoint
};

std::ostream& operator<<(std::ostream& out, const ResetCase& test) {
  return out << test.name;
}

// e1 is reset; the cases vary what is known about partition 0.
const std::vector<ResetCase> kResetCases = {
    {"held by another endpoint",
     {{{"e2", ClaimKind::kHeld, {}}}},
     {{"e2", 10}},
     false,
     true,
     "e1",
     true,
     false},
    {"released to an endpoint that left the configuration",
     {{{"e2", ClaimKind::kReleased, "e9"}}},
     {},
     false,
     true,
     "e1",
     true,
     false},
    {"released to the endpoint",
     {{{"e2", ClaimKind::kReleased, "e1"}}},
     {{"e2", 10}},
     false,
     false,
     "e2",
     true,
     true},
    {"handed over between two replies",
     {{{"e2", ClaimKind::kHeld, {}}}, {}},
     {{"e2", 10}},
     false,
     true,
     "e1",
     true,
     false},
    {"another endpoint without a primary: a failover may follow",
     {{}},
     {{"e2", 10}},
     false,
     true,
     "e1",
     false,
     false},
    {"later reset that not every router applied",
     {{}},
     {{"e2", 40}},
     false,
     true,
     "e1",
     false,
     false},
    {"later reset that every router applied",
     {{}},
     {{"e2", 40}},
     true,
     true,
     "e1",
     true,
     true},
    {"later reset decides about a partition that its endpoint is expected to "
     "own",
     {{}},
     {{"e2", 40}},
     true,
     false,
     "e2",
     true,
     false},
    {"the last reset takes partitions that no endpoint claims",
     {{{"e2", ClaimKind::kNothing, {}}}},
     {{"e2", 10}},
     false,
     false,
     "e2",
     true,
     true},
};

schema::LocateReply MakeLocateReply(const std::vector<ClaimCase>& claims) {
  schema::LocateReply reply;
  reply.set_query(1);
  for (const ClaimCase& item : claims) {
    schema::EndpointClaims* const entry = reply.add_claims();
    entry->mutable_view()->set_endpoint(item.endpoint);
    entry->mutable_view()->mutable_primary()->set_id("r2");
    if (item.kind == ClaimKind::kHeld) {
      *entry->add_held()->mutable_epoch() = ToProto(Fence{11, 2});
    } else if (item.kind == ClaimKind::kReleased) {
      schema::ReleasedPartition* const released = entry->add_released();
      *released->mutable_epoch() = ToProto(Fence{11, 2});
      released->set_target_endpoint(item.target);
    }
  }
  return reply;
}

// Guards against a reset that grants a partition which another endpoint still
// owns, or may come to own by a failover, and against one that leaves a
// partition without an owner.
BOOST_DATA_TEST_CASE(ResetTakesOnlyUnclaimedPartitions, data::make(kResetCases),
                     test) {
  FakeControlContext context;
  const RouterRef other{"r2", 2};
  context.others = {other};
  context.endpoints = {"e1", "e2"};
  context.base_view_offsets = test.base_view_offsets;
  context.applied_by_all = test.applied_by_all;
  schema::View view;
  view.set_endpoint("e1");
  *view.mutable_term() = ToProto(Fence{kResetOffset, 0});
  const Milliseconds expiry_wait{1700};
  EndpointReset reset(&context, "lookup", view, 1, expiry_wait);
  reset.SetOwnClaims(schema::LocateReply());
  if (test.held_at_endpoint) {
    schema::GrantResponse state;
    state.mutable_view()->set_endpoint("e1");
    state.set_full_state(true);
    *state.add_held()->mutable_epoch() = ToProto(Fence{11, 1});
    reset.OnGrantResponse(state);
  }
  for (const auto& reply : test.replies) {
    reset.OnLocateReply(other, MakeLocateReply(reply));
  }
  reset.OnTick();
  context.time += expiry_wait - Milliseconds(1);
  BOOST_CHECK(!reset.Resolve({test.expected_owner}));
  context.time += Milliseconds(1);
  const auto initial_state = reset.Resolve({test.expected_owner});
  BOOST_REQUIRE_EQUAL(initial_state.has_value(), test.resolved);
  if (!initial_state) return;
  BOOST_CHECK_EQUAL(initial_state->partitions.contains(0), test.granted);
}

// Guards against a reset that takes the partitions of another endpoint, which
// answers at the address of the lost one.
BOOST_AUTO_TEST_CASE(AnotherEndpointAtTheAddressIsNotReset) {
  FakeControlContext context;
  schema::View view;
  view.set_endpoint("e1");
  *view.mutable_term() = ToProto(Fence{kResetOffset, 0});
  EndpointReset reset(&context, "lookup", view, 1, Milliseconds(0));
  reset.SetOwnClaims(schema::LocateReply());
  schema::GrantResponse state;
  state.mutable_view()->set_endpoint("e9");
  state.set_full_state(true);
  *state.add_held()->mutable_epoch() = ToProto(Fence{11, 1});
  reset.OnGrantResponse(state);
  reset.OnTick();
  context.time += Milliseconds(1);
  context.endpoints = {"e1", "e2"};
  const auto initial_state = reset.Resolve({"e2"});
  BOOST_REQUIRE(initial_state);
  BOOST_CHECK(initial_state->evict_at.has_value());
  BOOST_CHECK(!initial_state->partitions.contains(0));
}

}  // namespace
}  // namespace balsamhall
