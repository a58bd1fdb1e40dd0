// Gateways of one fleet beside each other: what one of them learns from the
// process at another one's address, and from its own record in the store.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <ostream>

#include "UsersFleet/fleet_fixture.h"
#include "gateway/lease_keeper.h"
#include "gateway/peer_state.h"

namespace balsamhall::platform {
namespace {

namespace data = boost::unit_test::data;
using gateway::GatewayInstance;
using gateway::LeaseTable;
using gateway::PeerState;

constexpr const char* kGatewaysTopic = "keyed.balsamhall-routers";
constexpr const char* kLeasesTopic = "keyed.balsamhall-leases";

// Guards against a gateway that goes on renewing an old lease table because a
// restarted one at its reader's address confirmed it without having read any.
BOOST_FIXTURE_TEST_CASE(a_reader_confirms_no_leases_that_it_has_not_read,
                        FleetFixture) {
  BOOST_REQUIRE(RunUntil([this] { return keyed.Holds(77); }));
  store.set_silent_topics({"keyed.op", kLeasesTopic});
  Other reader(*this, "gateway-0");
  BOOST_REQUIRE(reader.process.Start());
  PeerState state;
  BOOST_REQUIRE(RunUntil([&] {
    state = StateOf(reader);
    return state.store_reachable;
  }));
  BOOST_TEST(state.tables.empty());
  BOOST_TEST(state.leases_age.count() >
             gateway::LeaseKeeper::kMaxViewAge.count());
}

// Guards against an old table of one service that counts as confirmed because a
// newer table of another service is known.
BOOST_FIXTURE_TEST_CASE(tables_of_all_services_reach_a_follower, FleetFixture) {
  BOOST_REQUIRE(RunUntil([this] { return keyed.Holds(77); }));
  Other follower(*this, "gateway-2");
  BOOST_REQUIRE(follower.process.Start());
  const auto table_of =
      [&](const ServiceId& service) -> std::optional<LeaseTable> {
    for (LeaseTable& table : StateOf(follower).tables) {
      if (table.service == service) return std::move(table);
    }
    return std::nullopt;
  };
  std::optional<LeaseTable> published;
  BOOST_REQUIRE(RunUntil([&] {
    published = table_of("keyed");
    return published.has_value();
  }));
  // Published by a leader, whose record is later than the next one below.
  const auto response = Ask(follower, {"POST",
                                       "/table/keyed/1000",
                                       {},
                                       gateway::SerializeLeaseTable(*published),
                                       0});
  BOOST_REQUIRE(response);
  BOOST_REQUIRE(response->status == 200U);
  store.Put(kLeasesTopic, "other", gateway::SerializeLeaseTable(*published));
  BOOST_TEST(RunUntil([&] { return table_of("other").has_value(); }));
}

// Guards against a gateway that follows itself, because its VM got the address
// of a removed one, whose record remains.
BOOST_FIXTURE_TEST_CASE(a_gateway_at_a_used_address_follows_another_one,
                        FleetFixture) {
  Other replacement(*this, "gateway-2");
  store.Put(kGatewaysTopic, "gateway-0",
            gateway::SerializeGatewayInstance(
                {"gateway-0", 1, replacement.settings.peer_address, "a"}));
  const std::size_t before = store.calls("log-newest");
  BOOST_REQUIRE(replacement.process.Start());
  HttpClient replacement_ready(loop, replacement.settings.ready_address,
                               HttpClientOptions{});
  BOOST_REQUIRE(RunUntil([&] { return Ready(replacement_ready); }));
  // The list of gateways; all else comes from the gateway under test.
  BOOST_TEST(store.calls("log-newest") - before == 1U);
}

struct EarlierProcessCase {
  const char* name;
  bool late;                 // its record is appended after the later process's
  std::chrono::hours clock;  // its time of day, relative to the later process's
};

std::ostream& operator<<(std::ostream& out, const EarlierProcessCase& c) {
  return out << c.name;
}

const EarlierProcessCase kEarlierProcesses[] = {
    {"the time of day jumped back between the starts", false,
     std::chrono::hours(1)},
    {"the append of the earlier process was carried out late", true,
     std::chrono::hours(-1)},
};

// Guards against a gateway that no other one takes for the current process:
// its record was replaced by, or seems older than, that of its earlier process.
BOOST_DATA_TEST_CASE_F(FleetFixture,
                       the_later_process_of_a_gateway_is_registered,
                       data::make(kEarlierProcesses), earlier) {
  const auto clock = std::chrono::duration_cast<Milliseconds>(
      (std::chrono::system_clock::now() + earlier.clock).time_since_epoch());
  Other later(*this, "gateway-2");
  const GatewayInstance record{"gateway-2",
                               static_cast<std::uint64_t>(clock.count()),
                               later.settings.peer_address, "a"};
  const auto put_record = [&] {
    store.Put(kGatewaysTopic, record.id,
              gateway::SerializeGatewayInstance(record));
  };
  if (!earlier.late) put_record();
  BOOST_REQUIRE(later.process.Start());
  if (earlier.late) {
    BOOST_REQUIRE(RunUntil([&] { return Registered(record.id).has_value(); }));
    put_record();
  }
  BOOST_TEST(RunUntil([&] {
    const auto registered = Registered(record.id);
    return registered && registered->incarnation > record.incarnation;
  }));
}

}  // namespace
}  // namespace balsamhall::platform
