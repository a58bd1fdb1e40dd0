// Records and states that gateways read from the store and from each other,
// with odd values and with random changes.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <ostream>

#include "StandIn/mutation.h"
#include "gateway.pb.h"
#include "gateway/lease_keeper.h"
#include "gateway/lease_table.h"
#include "gateway/peer_state.h"
#include "gateway/rejected_records.h"

namespace balsamhall::gateway {
namespace {

namespace data = boost::unit_test::data;
using stand_in::Mutation;
using stand_in::Nested;
using stand_in::OddSeeds;

constexpr int kSeeds = 20;
constexpr int kChangesPerSeed = 200;

const GatewayInstance kLeader{"r1", 7, "10.0.0.1:1", "a"};
const LeaseHolder kOwner{{"e", 1}, "10.0.0.3:1"};

LeaseTable MakeTable() {
  LeaseTable table;
  table.leader = kLeader;
  table.renewers = {kLeader, {"r2", 8, "10.0.0.2:1", "b"}};
  table.ranges = {{{0, 9}, kOwner, 3, true, {}, Milliseconds(0)},
                  {{10, 65'535}, kOwner, 4, false, kOwner, Milliseconds(150)}};
  return table;
}

PeerState MakeState() {
  PeerState state;
  state.store_reachable = true;
  state.config = "text";
  state.registry_offset = 9;
  state.endpoints.emplace();
  state.endpoints->emplace(
      "e", EndpointInfo{{"e", 1}, "s", "10.0.0.3:1", "a", 2, false, {}});
  state.tables = {MakeTable()};
  state.tables[0].service = "s";
  state.tables[0].version = 5;
  state.leases_end = 5;
  state.leases_age = Milliseconds(120);
  state.config_age = ProofAge{Milliseconds(900), 1};
  state.registry_age = ProofAge{Milliseconds(-900), 0};
  return state;
}

// Bytes of groups that are nested this deep.
std::string NestedGroups(std::size_t depth) {
  return std::string(depth, '\x7b') + std::string(depth, '\x7c');
}

struct OddBytes {
  std::string name;
  std::string bytes;
};

std::ostream& operator<<(std::ostream& out, const OddBytes& odd) {
  return out << odd.name;
}

std::string TableWithout(void (*change)(LeaseTable&)) {
  LeaseTable table = MakeTable();
  change(table);
  return SerializeLeaseTable(table);
}

const std::vector<OddBytes> kOddTables = {
    {"text", "{\"a\":1}"},
    {"nested JSON", Nested(300'000)},
    {"nested groups", NestedGroups(300'000)},
    {"other fields only", "\x78\x01"},
    {"not UTF-8", "\x0a\x04\x0a\x02\xff\xfe"},
    {"no leader", TableWithout([](LeaseTable& t) { t.leader = {}; })},
    {"no owner", TableWithout([](LeaseTable& t) { t.ranges[0].owner = {}; })},
    {"no fence", TableWithout([](LeaseTable& t) { t.ranges[0].fence = 0; })},
    {"fence above the version",
     TableWithout([](LeaseTable& t) { t.ranges[0].fence = 6; })},
    {"fence too large for int64", TableWithout([](LeaseTable& t) {
       t.ranges[0].fence = std::numeric_limits<std::uint64_t>::max();
     })},
};

// The bytes replaced the table in force: its holders were unknown, so their
// keys were granted to others at once.
BOOST_DATA_TEST_CASE(odd_lease_table_is_rejected, data::make(kOddTables), odd) {
  BOOST_TEST(
      ParseLeaseTable(SerializeLeaseTable(MakeTable()), "s", 5).has_value());
  BOOST_TEST(!ParseLeaseTable(odd.bytes, "s", 5));
}

const std::vector<OddBytes> kOddGateways = {
    {"text", "{\"a\":1}"},
    {"nested groups", NestedGroups(300'000)},
    {"other fields only", "\x78\x01"},
    {"key of another gateway",
     SerializeGatewayInstance({"r2", 7, "10.0.0.1:1", "a"})},
    {"no address", SerializeGatewayInstance({"r1", 7, "", "a"})},
    {"port 99999", SerializeGatewayInstance({"r1", 7, "10.0.0.1:99999", "a"})},
};

BOOST_DATA_TEST_CASE(odd_record_of_a_gateway_is_rejected,
                     data::make(kOddGateways), odd) {
  BOOST_TEST(ParseGatewayInstance("r1", SerializeGatewayInstance(kLeader))
                 .has_value());
  BOOST_TEST(!ParseGatewayInstance("r1", odd.bytes));
}

const std::uint64_t kOddAges[] = {
    std::numeric_limits<std::uint64_t>::max(),
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()),
    // As nanoseconds, 146 years in the future.
    13'835'058'055'282,
};

// A confirmation in the future let a gateway renew leases without end.
BOOST_DATA_TEST_CASE(odd_age_of_a_peer_state_confirms_nothing,
                     data::make(kOddAges), age) {
  schema::PeerStateRecord record;
  record.set_store_reachable(true);
  record.set_leases_age_ms(age);
  const auto state = ParsePeerState(record.SerializeAsString());
  BOOST_REQUIRE(state);
  const BootTime now{std::chrono::hours(1)};
  BOOST_TEST(
      (now - state.value().leases_age <= now - LeaseKeeper::kMaxViewAge));
}

// The leader waited without end for the leases of this gateway.
BOOST_DATA_TEST_CASE(odd_time_since_a_renewal_does_not_stop_a_move,
                     data::make(kOddAges), since) {
  const BootTime start{std::chrono::hours(1)};
  const GatewayInstance other{"r2", 1, "10.0.0.2:1", "b"};
  LeaseKeeper keeper("s", kLeader, start - std::chrono::minutes(5));
  LeaseTable table = MakeTable();
  table.version = 5;
  table.renewers = {kLeader, other};
  const LeaseHolder next{{"n", 1}, "10.0.0.4:1"};
  table.ranges = {{{0, 65'535}, next, 5, false, kOwner, Milliseconds(0)}};
  keeper.OnEndpoints({{next, 2}}, start);
  keeper.OnTable(table, start);
  keeper.OnElection(true);
  keeper.OnAdopted(other, 5, Milliseconds{static_cast<std::int64_t>(since)},
                   start);
  const BootTime later =
      start + LeaseKeeper::kMaxViewAge + 2 * LeaseKeeper::kLeaseTime;
  keeper.OnLogEnd(5, later);
  for (const LeaseAction& action : keeper.Tick(later)) {
    if (const auto* open = std::get_if<OpenConnection>(&action)) {
      keeper.OnConnection(open->id, 1, later);
    }
  }
  bool granted = false;
  for (const LeaseAction& action : keeper.Tick(later)) {
    granted = granted || std::holds_alternative<GrantCall>(action);
  }
  BOOST_TEST(granted);
}

BOOST_AUTO_TEST_CASE(warm_up_too_long_for_its_field_stays_long) {
  PeerState state = MakeState();
  state.endpoints->at("e").warm_up_left = Milliseconds(std::int64_t{1} << 32U);
  const auto parsed = ParsePeerState(SerializePeerState(state));
  BOOST_REQUIRE(parsed);
  BOOST_TEST((parsed.value().endpoints->at("e").warm_up_left >
              std::chrono::hours(24)));
}

BOOST_AUTO_TEST_CASE(rejected_record_is_logged_once) {
  RejectedRecords rejected;
  BOOST_TEST(rejected.Add(Log::kEndpointRegistry, "a"));
  BOOST_TEST(!rejected.Add(Log::kEndpointRegistry, "a"));
  BOOST_TEST(rejected.Add(Log::kLeases, "a"));
  rejected.Remove(Log::kEndpointRegistry, "a");
  BOOST_TEST(rejected.Add(Log::kEndpointRegistry, "a"));
}

// Each text of an error was remembered without end.
BOOST_AUTO_TEST_CASE(rejected_records_are_bounded) {
  RejectedRecords rejected;
  std::size_t logged = 0;
  for (std::size_t i = 0; i < 2 * RejectedRecords::kMaxRecords; ++i) {
    if (rejected.Add(Log::kEndpointRegistry, std::to_string(i))) ++logged;
  }
  BOOST_TEST(logged == RejectedRecords::kMaxRecords);
  BOOST_TEST(rejected.size() == RejectedRecords::kMaxRecords);
}

void CheckTable(const LeaseTable& table) {
  BOOST_TEST(!table.leader.id.empty());
  std::int64_t last = -1;
  for (const RangeLease& lease : table.ranges) {
    BOOST_TEST(lease.range.first > last);
    BOOST_TEST(lease.range.first <= lease.range.last);
    BOOST_TEST(!lease.owner.ref.empty());
    BOOST_TEST(lease.fence <= table.version);
    last = lease.range.last;
  }
}

BOOST_DATA_TEST_CASE(random_lease_tables,
                     data::xrange(OddSeeds(kSeeds).first,
                                  OddSeeds(kSeeds).second),
                     seed) {
  Mutation mutate(seed);
  const std::string good = SerializeLeaseTable(MakeTable());
  const std::string gateway = SerializeGatewayInstance(kLeader);
  for (int i = 0; i < kChangesPerSeed; ++i) {
    const auto table = ParseLeaseTable(mutate(good), "s", 5);
    if (table) CheckTable(table.value());
    const auto instance = ParseGatewayInstance("r1", mutate(gateway));
    if (instance) BOOST_TEST(instance.value().id == "r1");
  }
}

BOOST_DATA_TEST_CASE(random_peer_states,
                     data::xrange(OddSeeds(kSeeds).first,
                                  OddSeeds(kSeeds).second),
                     seed) {
  Mutation mutate(seed);
  const std::string good = SerializePeerState(MakeState());
  for (int i = 0; i < kChangesPerSeed; ++i) {
    const auto state = ParsePeerState(mutate(good));
    ParsePeerStateRequest(mutate("/follow/12/34/56"));
    if (!state) continue;
    BOOST_TEST(state.value().leases_age.count() >= 0);
    for (const LeaseTable& table : state.value().tables) CheckTable(table);
  }
}

}  // namespace
}  // namespace balsamhall::gateway
