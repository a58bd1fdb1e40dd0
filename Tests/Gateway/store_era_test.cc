// Unit tests of what responses of the store prove after it came back from an
// older copy.
#include "gateway/store_era.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

#include "gateway/endpoint_registry.h"
#include "gateway/lease_table.h"

namespace balsamhall::gateway {
namespace {

namespace data = boost::unit_test::data;

struct EraCase {
  const char* name;
  std::vector<std::uint64_t> before;
  std::uint64_t era;
  EraVerdict expected;
  std::uint64_t known;
};

std::ostream& operator<<(std::ostream& out, const EraCase& c) {
  return out << c.name;
}

const EraCase kEras[] = {
    {"the first one", {}, 7, EraVerdict::kCurrent, 7},
    {"a store without eras", {0}, 0, EraVerdict::kCurrent, 0},
    {"the same one", {7}, 7, EraVerdict::kCurrent, 7},
    {"a restore", {7}, 8, EraVerdict::kNew, 8},
    {"two restores at once", {7}, 9, EraVerdict::kNew, 9},
    {"a late response", {7, 8}, 7, EraVerdict::kEarlier, 8},
    {"a response without an era", {7}, 0, EraVerdict::kEarlier, 7},
    {"eras are introduced", {0}, 1, EraVerdict::kNew, 1},
    {"out of range", {7}, kMaxEra + 1, EraVerdict::kInvalid, 7},
};

// Guards against a late response of an earlier era that proves something.
BOOST_DATA_TEST_CASE(an_era_never_goes_back, data::make(kEras), c) {
  KnownEra era;
  for (const std::uint64_t earlier : c.before) era.Observe(earlier);
  BOOST_TEST((era.Observe(c.era) == c.expected));
  BOOST_TEST(era.value() == c.known);
}

// Guards against fences that are reused, fall, differ from earlier ones without
// eras, or are too large for a JSON number.
BOOST_AUTO_TEST_CASE(positions_rise_over_eras) {
  static_assert(LogPosition(0, 5) == 5);
  static_assert(LogPosition(1, 0) > LogPosition(0, kMaxOffset + 1));
  static_assert(EraOf(LogPosition(3, kMaxOffset + 1)) == 3);
  static_assert(OffsetOf(LogPosition(3, 9)) == 9);
  static_assert(LogPosition(kMaxEra, kMaxOffset + 1) < std::uint64_t{1} << 53U);
  BOOST_TEST(LogPosition(2, 1) > LogPosition(1, 1'000));
}

struct AppendCase {
  const char* name;
  AppendOutcome outcome;
  std::uint64_t era;
  EraVerdict verdict;
  std::optional<std::uint64_t> expected_end;
  AppendOutcome expected;
};

std::ostream& operator<<(std::ostream& out, const AppendCase& c) {
  return out << c.name;
}

const AppendCase kAppends[] = {
    {"without eras", AppendOutcome::kDone, 0, EraVerdict::kCurrent, 4,
     AppendOutcome::kDone},
    {"in the era of its end", AppendOutcome::kDone, 2, EraVerdict::kCurrent,
     LogPosition(2, 4), AppendOutcome::kDone},
    {"done in a later era", AppendOutcome::kDone, 3, EraVerdict::kNew,
     LogPosition(2, 4), AppendOutcome::kUnknown},
    {"conflict in a later era", AppendOutcome::kConflict, 3, EraVerdict::kNew,
     LogPosition(2, 4), AppendOutcome::kUnknown},
    {"done in an era that is over", AppendOutcome::kDone, 2,
     EraVerdict::kEarlier, LogPosition(2, 4), AppendOutcome::kUnknown},
    {"not sent", AppendOutcome::kNotDone, 0, EraVerdict::kCurrent,
     LogPosition(2, 4), AppendOutcome::kNotDone},
    {"without a condition, in a new era", AppendOutcome::kDone, 3,
     EraVerdict::kNew, std::nullopt, AppendOutcome::kDone},
};

// Guards against a move that is carried out although its record is not in the
// log of the era in which its condition was read.
BOOST_DATA_TEST_CASE(an_append_counts_in_the_era_of_its_condition,
                     data::make(kAppends), c) {
  BOOST_TEST((JudgeAppend({c.outcome, c.era}, c.verdict, c.expected_end) ==
              c.expected));
}

LeaseTable Table(std::uint64_t version) {
  LeaseTable table;
  table.version = version;
  table.leader = {"g1", 1, "127.0.0.1:1", "a"};
  table.ranges = {{{0, 65'535},
                   {{"e1", 1}, "127.0.0.1:2"},
                   version,
                   true,
                   {},
                   Milliseconds(0)}};
  return table;
}

// Guards against an old table that comes back with the store and is taken for
// newer than the lost ones.
BOOST_AUTO_TEST_CASE(a_table_keeps_the_era_in_which_it_was_written) {
  const std::string old = SerializeLeaseTable(Table(LogPosition(1, 8)));
  const auto table = ParseStoredTable(old, "s", LogPosition(2, 8));
  BOOST_REQUIRE(table);
  BOOST_TEST(table.value().version == LogPosition(1, 8));
  BOOST_TEST(!ParseStoredTable(old, "s", LogPosition(0, 8)));
  // Without eras, the record has no further bytes.
  BOOST_TEST(
      ParseStoredTable(SerializeLeaseTable(Table(8)), "s", 8).value().version ==
      8U);
}

struct HoldCase {
  const char* name;
  std::int64_t incarnation;  // of the record that comes back
  bool removed;              // before the restore; otherwise drained
  int seconds;               // from the restore to the listing and the check
  bool appended;             // the record was appended after the listing
  bool usable;               // expected: listed and not draining
};

std::ostream& operator<<(std::ostream& out, const HoldCase& c) {
  return out << c.name;
}

const HoldCase kHolds[] = {
    {"a drain that the copy lacks", 1, false, 0, false, false},
    {"a removal that the copy lacks", 1, true, 0, false, false},
    {"a later process of a drained endpoint", 2, false, 0, false, true},
    {"a later process of a removed endpoint", 2, true, 0, false, true},
    {"a drain that ends after the restore", 1, false, 0, true, true},
    {"a drain that was not written again", 1, false, 31, false, true},
    {"a removal that was not written again", 1, true, 31, false, true},
};

// Guards against a drain or a removal that is undone by an old record.
BOOST_DATA_TEST_CASE(old_records_do_not_undo_drains, data::make(kHolds), c) {
  EndpointRegistry registry;
  const SteadyTime start{std::chrono::hours(1)};
  EndpointInfo endpoint;
  endpoint.ref = {"e1", 1};
  registry.OnListing({{"e1", endpoint}}, start);
  if (c.removed) {
    registry.OnEntry("e1", std::nullopt, start);
  } else {
    EndpointInfo draining = endpoint;
    draining.draining = true;
    registry.OnEntry("e1", draining, start);
  }
  registry.OnStoreRestored(start);
  endpoint.ref.incarnation = c.incarnation;
  registry.OnListing({{"e1", endpoint}}, start + Milliseconds(500));
  if (c.appended) registry.OnEntry("e1", endpoint, start + Milliseconds(600));
  registry.ApplyDeferredRemovals(start + std::chrono::seconds(c.seconds));
  const auto found = registry.endpoints().find("e1");
  BOOST_TEST((found != registry.endpoints().end() && !found->second.draining) ==
             c.usable);
}

// Guards against an endpoint that returns after the hold although its record is
// gone by then.
BOOST_AUTO_TEST_CASE(a_record_that_is_gone_does_not_return_after_the_hold) {
  EndpointRegistry registry;
  const SteadyTime start{std::chrono::hours(1)};
  EndpointInfo endpoint;
  endpoint.ref = {"e1", 1};
  registry.OnListing({{"e1", endpoint}}, start);
  registry.OnEntry("e1", std::nullopt, start);
  registry.OnStoreRestored(start);
  registry.OnListing({{"e1", endpoint}}, start + Milliseconds(500));
  registry.OnListing({}, start + Milliseconds(900));
  registry.ApplyDeferredRemovals(start + std::chrono::seconds(31));
  BOOST_TEST(registry.endpoints().empty());
}

// A store with one response for the next call of each kind.
class ScriptedStore : public CoordinationStore {
 public:
  void ReadNewest(Log, std::function<void(ReadResult)> done) override {
    ++newest_reads;
    done(read);
  }
  void ReadFrom(Log, std::uint64_t offset, Milliseconds,
                std::function<void(ReadResult)> done) override {
    last_offset = offset;
    done(read);
  }
  bool IsReceiving(Log) const override { return false; }
  void Append(Log, const std::string&, const std::string&,
              std::optional<std::uint64_t>,
              std::function<void(AppendResult)> done) override {
    done({AppendOutcome::kDone, read.era});
  }
  void JoinLeaderElection(const RouterId&, Milliseconds,
                          std::function<void(ElectionResult)> done) override {
    done({true, true, read.era});
  }
  void LeaveLeaderElection(const RouterId&,
                           std::function<void()> done) override {
    done();
  }

  void Respond(std::uint64_t era, std::uint64_t end) {
    read.era = era;
    read.page.emplace();
    read.page->next = read.page->log_end = end;
  }

  ReadResult read;
  int newest_reads = 0;
  std::uint64_t last_offset = 0;
};

struct StoreFixture {
  ReadResult ReadFrom(std::uint64_t position) {
    ReadResult got;
    store.ReadFrom(Log::kLeases, position, Milliseconds(0),
                   [&](ReadResult result) { got = std::move(result); });
    return got;
  }
  std::uint64_t LogEnd(std::uint64_t position) {
    const auto got = ReadFrom(position);
    return got.page ? got.page->log_end : 0;
  }
  bool Elected() {
    bool elected = false;
    store.JoinLeaderElection("g", Milliseconds(1), [&](ElectionResult result) {
      elected = result.reached && result.elected;
    });
    return elected;
  }

  ScriptedStore raw;
  EraStore store{raw};
};

// Guards against an offset of an earlier era that is read on from, and against
// late reads and joins.
BOOST_FIXTURE_TEST_CASE(a_new_era_reads_the_newest_records_again,
                        StoreFixture) {
  int restores = 0;
  store.set_restore_handler([&](std::uint64_t, std::uint64_t) { ++restores; });
  store.Observe(1);
  raw.Respond(1, 5);
  BOOST_TEST(LogEnd(LogPosition(1, 4)) == LogPosition(1, 5));
  BOOST_TEST(Elected());
  raw.Respond(2, 9);
  const auto restored = ReadFrom(LogPosition(1, 5));
  BOOST_TEST(raw.last_offset == 5U);
  BOOST_TEST(!restored.page);
  BOOST_TEST((restored.failure == ReadFailure::kTruncated));
  BOOST_TEST(restores == 1);
  BOOST_TEST(raw.newest_reads == 0);
  BOOST_TEST(LogEnd(LogPosition(1, 5)) == LogPosition(2, 9));
  BOOST_TEST(raw.newest_reads == 1);
  raw.Respond(1, 6);
  const auto late = ReadFrom(LogPosition(2, 9));
  BOOST_TEST(!late.page);
  BOOST_TEST((late.failure == ReadFailure::kUnavailable));
  BOOST_TEST(!Elected());
}

// Guards against any change for a store that states no era.
BOOST_FIXTURE_TEST_CASE(without_eras_offsets_stay_as_they_are, StoreFixture) {
  const std::uint64_t high = (std::uint64_t{1} << 40U) + 3;
  raw.Respond(0, high);
  BOOST_TEST(LogEnd(high) == high);
  BOOST_TEST(raw.last_offset == high);
}

}  // namespace
}  // namespace balsamhall::gateway
