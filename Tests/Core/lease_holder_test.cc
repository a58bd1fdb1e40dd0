#include "core/lease_holder.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

const SteadyTime kStart{std::chrono::seconds(100)};

std::int64_t ToMicros(SteadyTime time) {
  return std::chrono::duration_cast<Microseconds>(time.time_since_epoch())
      .count();
}

schema::GrantRequest MakeGrant(const Fence& term, const Fence& previous_term,
                               const std::string& primary,
                               std::uint64_t sequence) {
  schema::GrantRequest request;
  schema::View* view = request.mutable_view();
  view->set_endpoint("e1");
  view->set_endpoint_incarnation(7);
  *view->mutable_term() = ToProto(term);
  view->mutable_primary()->set_id(primary);
  *request.mutable_previous_term() = ToProto(previous_term);
  request.set_sequence(sequence);
  request.set_lease_ms(600);
  request.set_lease_from_us(ToMicros(kStart));
  return request;
}

void AddPartition(schema::GrantRequest* request, PartitionId partition,
                  const Fence& epoch) {
  auto* add = request->add_add();
  add->set_partition(partition);
  *add->mutable_epoch() = ToProto(epoch);
}

void ReleasePartition(schema::GrantRequest* request, PartitionId partition,
                      const Fence& epoch) {
  auto* release = request->add_release();
  release->set_partition(partition);
  *release->mutable_epoch() = ToProto(epoch);
  release->set_target_endpoint("e2");
}

struct TermCase {
  const char* name;
  Fence requested_term;
  Fence previous_term;
  const char* primary;
  std::uint64_t sequence;
  std::uint64_t incarnation;
  schema::GrantStatus status;
};

std::ostream& operator<<(std::ostream& out, const TermCase& test) {
  return out << test.name;
}

// The endpoint is at term 5.2 of r1, sequence 10, incarnation 7.
const TermCase kTermCases[] = {
    {"renewal", {5, 2}, {}, "r1", 11, 7, schema::GRANT_ACCEPTED},
    {"repeated renewal", {5, 2}, {}, "r1", 10, 7, schema::GRANT_STALE_TERM},
    {"same term of another router",
     {5, 2},
     {},
     "r2",
     11,
     7,
     schema::GRANT_STALE_TERM},
    {"older term", {5, 1}, {5, 0}, "r2", 11, 7, schema::GRANT_STALE_TERM},
    {"next term over the known one",
     {5, 3},
     {5, 2},
     "r2",
     1,
     7,
     schema::GRANT_ACCEPTED},
    {"next term over an older one",
     {5, 3},
     {5, 1},
     "r2",
     1,
     7,
     schema::GRANT_TERM_MISMATCH},
    {"term of a log reset", {9, 0}, {5, 0}, "r3", 1, 7, schema::GRANT_ACCEPTED},
    {"another incarnation",
     {5, 3},
     {5, 2},
     "r2",
     1,
     6,
     schema::GRANT_WRONG_INCARNATION},
    {"no term", {0, 0}, {}, "r1", 11, 7, schema::GRANT_MALFORMED},
};

// Guards against two routers that both act as the primary.
BOOST_DATA_TEST_CASE(TermsAreComparedAndSet, data::make(kTermCases), test) {
  LeaseHolder holder("e1", 7, true);
  holder.OnGrant(MakeGrant({5, 2}, {}, "r1", 10), kStart, 0);
  auto request = MakeGrant(test.requested_term, test.previous_term,
                           test.primary, test.sequence);
  request.mutable_view()->set_endpoint_incarnation(test.incarnation);
  BOOST_CHECK_EQUAL(holder.OnGrant(request, kStart, 0).status(), test.status);
}

struct WorkCase {
  const char* name;
  Fence term;
  PartitionId partition;
  Fence epoch;
  Milliseconds elapsed;
  ResultCode code;
};

std::ostream& operator<<(std::ostream& out, const WorkCase& test) {
  return out << test.name;
}

// Partition 1 is held under epoch 4.1 and term 5.2; the lease ends at 600 ms.
const WorkCase kWorkCases[] = {
    {"current", {5, 2}, 1, {4, 1}, Milliseconds{599}, ResultCode::kOk},
    {"lapsed lease",
     {5, 2},
     1,
     {4, 1},
     Milliseconds{600},
     ResultCode::kNotRunNoOwner},
    {"old term",
     {5, 1},
     1,
     {4, 1},
     Milliseconds{0},
     ResultCode::kNotRunStaleFence},
    {"later term",
     {5, 3},
     1,
     {4, 1},
     Milliseconds{0},
     ResultCode::kNotRunStaleFence},
    {"old epoch",
     {5, 2},
     1,
     {4, 0},
     Milliseconds{0},
     ResultCode::kNotRunStaleFence},
    {"other partition",
     {5, 2},
     2,
     {4, 1},
     Milliseconds{0},
     ResultCode::kNotRunNoOwner},
};

// Guards against work that starts under an expired lease or a stale fence.
BOOST_DATA_TEST_CASE(WorkNeedsLeaseAndFence, data::make(kWorkCases), test) {
  LeaseHolder holder("e1", 7, true);
  auto request = MakeGrant({5, 2}, {}, "r1", 1);
  AddPartition(&request, 1, {4, 1});
  holder.OnGrant(request, kStart, 0);
  BOOST_CHECK(holder.TryStartWork(test.partition, test.term, test.epoch,
                                  kStart + test.elapsed) == test.code);
}

// Guards against a lease that outlasts the router's estimate because its grant
// was delayed.
BOOST_AUTO_TEST_CASE(LeaseRunsFromTheEchoedClockReading) {
  LeaseHolder holder("e1", 7, true);
  const SteadyTime arrival = kStart + Milliseconds{500};
  holder.OnGrant(MakeGrant({5, 2}, {}, "r1", 1), arrival, 0);
  BOOST_CHECK(holder.LeaseValid(kStart + Milliseconds{599}));
  BOOST_CHECK(!holder.LeaseValid(kStart + Milliseconds{600}));
}

// Guards against a release that is confirmed while work of the partition still
// runs, also when a reset dropped the partition and granted it again in
// between.
BOOST_DATA_TEST_CASE(ReleaseWaitsForRunningWork, data::make({false, true}),
                     reset_in_between) {
  LeaseHolder holder("e1", 7, true);
  auto request = MakeGrant({5, 2}, {}, "r1", 1);
  AddPartition(&request, 1, {4, 1});
  holder.OnGrant(request, kStart, 0);
  const int work_count = reset_in_between ? 2 : 1;
  BOOST_REQUIRE(holder.TryStartWork(1, {5, 2}, {4, 1}, kStart) ==
                ResultCode::kOk);
  Fence epoch{4, 1};
  Fence term{5, 2};
  if (reset_in_between) {
    auto reset = MakeGrant({9, 0}, {}, "r2", 1);
    reset.set_release_all_unlisted(true);
    AddPartition(&reset, 1, {9, 0});
    holder.OnGrant(reset, kStart, 1);
    epoch = term = Fence{9, 0};
    BOOST_REQUIRE(holder.TryStartWork(1, term, epoch, kStart) ==
                  ResultCode::kOk);
  }
  auto release = MakeGrant(term, {}, reset_in_between ? "r2" : "r1", 2);
  ReleasePartition(&release, 1, epoch);
  auto response = holder.OnGrant(release, kStart, 1);
  for (int i = 0; i < work_count; ++i) {
    BOOST_CHECK_EQUAL(response.releasing_size(), 1);
    BOOST_CHECK(holder.TryStartWork(1, term, epoch, kStart) ==
                ResultCode::kNotRunNoOwner);
    holder.FinishWork(1);
    auto probe = release;
    probe.set_read_only(true);
    response = holder.OnGrant(probe, kStart, 0);
  }
  BOOST_CHECK_EQUAL(response.releasing_size(), 0);
  BOOST_CHECK_EQUAL(response.held_size(), 0);
  BOOST_REQUIRE_EQUAL(response.released_size(), 1);
  BOOST_CHECK_EQUAL(response.released(0).target_endpoint(), "e2");
}

// Guards against a delayed grant that grants a released partition again.
BOOST_AUTO_TEST_CASE(ReleasedPartitionIsNotGrantedAgainUnderItsEpoch) {
  LeaseHolder holder("e1", 7, true);
  auto request = MakeGrant({5, 2}, {}, "r1", 1);
  AddPartition(&request, 1, {4, 1});
  holder.OnGrant(request, kStart, 0);
  auto release = MakeGrant({5, 2}, {}, "r1", 2);
  ReleasePartition(&release, 1, {4, 1});
  holder.OnGrant(release, kStart, 0);
  auto again = MakeGrant({5, 2}, {}, "r1", 3);
  AddPartition(&again, 1, {4, 1});
  holder.OnGrant(again, kStart, 0);
  BOOST_CHECK(!holder.Owns(1, kStart));
  auto newer = MakeGrant({5, 2}, {}, "r1", 4);
  AddPartition(&newer, 1, {4, 2});
  holder.OnGrant(newer, kStart, 0);
  BOOST_CHECK(holder.Owns(1, kStart));
}

}  // namespace
}  // namespace balsamhall
