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

enum class Kind { kNothing, kHeld, kReleased };

// What a router answers about one partition as the primary of an endpoint.
struct ClaimCase {
  EndpointId endpoint;
  Kind kind = Kind::kHeld;
  EndpointId target;
};

struct ResetCase {
  const char* name;
  std::vector<std::vector<ClaimCase>> answers;  // of the other router, in order
  std::map<EndpointId, std::uint64_t> chains;   // of other endpoints
  bool applied_by_all = false;
  bool held_at_endpoint = false;
  EndpointId expected_owner;
  bool resolved = true;
  bool taken = false;  // the partition is granted to the endpoint
};

std::ostream& operator<<(std::ostream& out, const ResetCase& test) {
  return out << test.name;
}

// e1 is reset; partition 0 is in question.
const std::vector<ResetCase> kCases = {
    {"held by another endpoint",
     {{{"e2", Kind::kHeld, {}}}},
     {{"e2", 10}},
     false,
     true,
     "e1",
     true,
     false},
    {"released to an endpoint that left the configuration",
     {{{"e2", Kind::kReleased, "e9"}}},
     {},
     false,
     true,
     "e1",
     true,
     false},
    {"released to the endpoint",
     {{{"e2", Kind::kReleased, "e1"}}},
     {{"e2", 10}},
     false,
     false,
     "e2",
     true,
     true},
    {"handed over between two answers",
     {{{"e2", Kind::kHeld, {}}}, {}},
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
    {"later reset decides about what it is expected to own",
     {{}},
     {{"e2", 40}},
     true,
     false,
     "e2",
     true,
     false},
    {"the last reset takes what nobody claims",
     {{{"e2", Kind::kNothing, {}}}},
     {{"e2", 10}},
     false,
     false,
     "e2",
     true,
     true},
};

schema::LocateReply Answer(const std::vector<ClaimCase>& claims) {
  schema::LocateReply reply;
  reply.set_query(1);
  for (const ClaimCase& item : claims) {
    schema::EndpointClaims* const entry = reply.add_claims();
    entry->mutable_view()->set_endpoint(item.endpoint);
    entry->mutable_view()->mutable_primary()->set_id("r2");
    if (item.kind == Kind::kHeld) {
      *entry->add_held()->mutable_epoch() = ToProto(Fence{11, 2});
    } else if (item.kind == Kind::kReleased) {
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
BOOST_DATA_TEST_CASE(ResetTakesOnlyWhatNobodyClaims, data::make(kCases), test) {
  FakeControlContext context;
  const RouterRef other{"r2", 2};
  context.others = {other};
  context.endpoints = {"e1", "e2"};
  context.base_view_offsets = test.chains;
  context.applied_by_all = test.applied_by_all;
  schema::View view;
  view.set_endpoint("e1");
  *view.mutable_term() = ToProto(Fence{kResetOffset, 0});
  const Milliseconds lapse{1700};
  EndpointReset reset(&context, "lookup", view, 1, lapse);
  reset.SetOwnClaims(schema::LocateReply());
  if (test.held_at_endpoint) {
    schema::GrantResponse state;
    state.set_full_state(true);
    *state.add_held()->mutable_epoch() = ToProto(Fence{11, 1});
    reset.OnGrantResponse(state);
  }
  for (const auto& answer : test.answers) {
    reset.OnLocateReply(other, Answer(answer));
  }
  reset.OnTick();
  context.time += lapse - Milliseconds(1);
  BOOST_CHECK(!reset.Resolve({test.expected_owner}));
  context.time += Milliseconds(1);
  const auto start = reset.Resolve({test.expected_owner});
  BOOST_REQUIRE_EQUAL(start.has_value(), test.resolved);
  if (!start) return;
  BOOST_CHECK_EQUAL(start->partitions.contains(0), test.taken);
}

}  // namespace
}  // namespace balsamhall
