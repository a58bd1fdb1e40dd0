// Table-driven tests of the endpoint registry, and of how far its log is known.
#include "gateway/endpoint_registry.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>

#include "Gateway/endpoint_info.h"
#include "gateway/known_position.h"

namespace balsamhall::gateway {
namespace {

namespace data = boost::unit_test::data;
using Ms = Milliseconds;

const SteadyTime kStart{std::chrono::hours(1)};

struct LapseCase {
  const char* name;
  bool store_was_lost;
  bool draining;
  Ms removal_read_after;  // time from the store's return to the removal
  bool removed_at_once;
};

std::ostream& operator<<(std::ostream& out, const LapseCase& c) {
  return out << c.name;
}

const LapseCase kLapses[] = {
    {"the store was reachable", false, false, Ms(0), true},
    {"the store has just become reachable again", true, false, Ms(0), false},
    {"the store has been reachable for longer", true, false, Ms(2'500), true},
    {"an endpoint that was draining", true, true, Ms(0), true},
};

BOOST_DATA_TEST_CASE(lapsed_entries_are_removed_after_the_grace,
                     data::make(kLapses), lapse) {
  EndpointRegistry registry;
  registry.OnEntry("e", Endpoint("e", lapse.draining), kStart);
  if (lapse.store_was_lost) {
    registry.OnStoreLost();
    registry.OnStoreRegained(kStart);
  }
  const SteadyTime read = kStart + lapse.removal_read_after;
  registry.OnEntry("e", std::nullopt, read);
  BOOST_TEST(registry.endpoints().empty() == lapse.removed_at_once);
  // Deferred removals are due about two seconds after the store's return.
  registry.ApplyDeferredRemovals(kStart + Ms(2'300));
  BOOST_TEST(registry.endpoints().empty());
}

BOOST_AUTO_TEST_CASE(a_lapsed_entry_that_returns_is_kept) {
  EndpointRegistry registry;
  registry.OnEntry("e", Endpoint("e"), kStart);
  registry.OnStoreLost();
  registry.OnEntry("e", std::nullopt, kStart);
  registry.OnStoreRegained(kStart + Ms(5'000));
  registry.OnEntry("e", Endpoint("e"), kStart + Ms(6'500));
  registry.ApplyDeferredRemovals(kStart + Ms(20'000));
  BOOST_TEST(registry.endpoints().size() == 1U);
}

using ShownBy = EndpointRegistry::ShownBy;

struct ShownCase {
  const char* name;
  bool calls_fail;        // before the store is shown again
  std::optional<Ms> gap;  // since the log was shown before
  ShownBy by;
  bool removed_at_once;
};

std::ostream& operator<<(std::ostream& out, const ShownCase& c) {
  return out << c.name;
}

const BootTime kShownBefore{std::chrono::hours(2)};

const ShownCase kShown[] = {
    {"the store, in time", false, Ms(2'300), ShownBy::kStore, true},
    {"the store, after a gap", false, Ms(4'000), ShownBy::kStore, false},
    {"the store, for the first time", false, std::nullopt, ShownBy::kStore,
     false},
    {"another gateway, after a gap here alone", false, Ms(4'000),
     ShownBy::kGateway, true},
    {"another gateway, while the store fails here", true, Ms(500),
     ShownBy::kGateway, true},
    {"a gateway that is back itself, in time", false, Ms(2'300),
     ShownBy::kGatewayInGrace, true},
    {"a gateway that is back itself, after a gap", false, Ms(4'000),
     ShownBy::kGatewayInGrace, false},
    {"a gateway that is back itself, while the store fails here", true, Ms(500),
     ShownBy::kGatewayInGrace, false},
};

// Guards against a removal that is delayed although the store was well, because
// only this gateway, or the one that it follows, was cut off.
BOOST_DATA_TEST_CASE(removals_are_deferred_only_after_an_outage,
                     data::make(kShown), shown) {
  EndpointRegistry registry;
  registry.OnEntry("e", Endpoint("e"), kStart);
  if (shown.gap) registry.OnLogShown(kShownBefore, ShownBy::kGateway, kStart);
  if (shown.calls_fail) registry.OnStoreLost();
  registry.OnLogShown(kShownBefore + shown.gap.value_or(Ms(0)), shown.by,
                      kStart);
  registry.OnListing({}, kStart);
  BOOST_TEST(registry.endpoints().empty() == shown.removed_at_once);
  BOOST_TEST(registry.InGrace(kStart) == !shown.removed_at_once);
  // Either way it is not passed on.
  BOOST_TEST(registry.Listed().empty());
}

// Guards against an endpoint that is used although it has come and gone before
// this gateway was back, within the pages that it reads then.
BOOST_AUTO_TEST_CASE(an_endpoint_of_the_time_after_an_outage_has_not_lapsed) {
  EndpointRegistry registry;
  registry.OnLogShown(kShownBefore, ShownBy::kGateway, kStart);
  const BootTime back = kShownBefore + Ms(5'000);
  registry.OnLogShown(back, ShownBy::kStore, kStart + Ms(5'000));
  registry.OnEntry("e", Endpoint("e"), kStart + Ms(5'001));
  registry.OnLogShown(back + Ms(2), ShownBy::kStore, kStart + Ms(5'002));
  registry.OnEntry("e", std::nullopt, kStart + Ms(5'002));
  BOOST_TEST(registry.endpoints().empty());
  BOOST_TEST(registry.InGrace(kStart + Ms(5'002)));
}

// Guards against an endpoint that stays in use for good, because its removal
// was deferred until this gateway reaches the store, which only others do.
BOOST_AUTO_TEST_CASE(another_gateway_confirms_a_deferred_removal) {
  EndpointRegistry registry;
  registry.OnEntry("e", Endpoint("e"), kStart);
  registry.OnStoreLost();
  registry.OnListing({}, kStart);
  BOOST_TEST(!registry.endpoints().empty());
  registry.OnLogShown(kShownBefore, ShownBy::kGateway, kStart + Ms(100));
  registry.ApplyDeferredRemovals(kStart + Ms(100));
  BOOST_TEST(registry.endpoints().empty());
}

struct AddressCase {
  const char* name;
  const char* service;  // of the other entry at the address
  std::int64_t incarnation;
  const char* holder;
};

std::ostream& operator<<(std::ostream& out, const AddressCase& c) {
  return out << c.name;
}

const AddressCase kAddresses[] = {
    {"an endpoint of a later incarnation", "other", 2, "f"},
    {"an endpoint of an earlier incarnation whose entry remains", "other", 0,
     "e"},
    {"an entry of a service that is not configured", "unknown", 2, "e"},
};

BOOST_DATA_TEST_CASE(address_holders, data::make(kAddresses), address) {
  EndpointInfo other = Endpoint("f");
  other.service = address.service;
  other.ref.incarnation = address.incarnation;
  const auto holders = AddressHolders({{"e", Endpoint("e")}, {"f", other}},
                                      {{"service", {}}, {"other", {}}});
  BOOST_TEST(holders.at("10.0.0.1:80").ref.id == address.holder);
}

struct ListingCase {
  const char* name;
  std::uint64_t ends_at;  // the position is 100
  Ms requested_after;     // the position became known
  bool has_eras;
  bool accepted;
};

std::ostream& operator<<(std::ostream& out, const ListingCase& c) {
  return out << c.name;
}

const ListingCase kListings[] = {
    {"ahead, requested before", 101, Ms(-1), true, true},
    {"at the position", 100, Ms(-1), true, true},
    {"behind, requested before", 99, Ms(-1), false, false},
    {"behind, requested before, with eras", 99, Ms(-1), true, false},
    {"behind, requested later, with eras", 99, Ms(1), true, false},
    {"behind, requested later, without eras", 99, Ms(1), false, true},
};

// Guards against a listing that arrives late and brings back endpoints that
// have left since, and against a registry that a shorter log never changes
// again.
BOOST_DATA_TEST_CASE(late_listings_are_dropped, data::make(kListings),
                     listing) {
  KnownPosition position;
  position.Set(100, kShownBefore);
  BOOST_TEST(position.AcceptsListing(listing.ends_at,
                                     kShownBefore + listing.requested_after,
                                     listing.has_eras) == listing.accepted);
  BOOST_TEST(position.Covers(99));
  BOOST_TEST(!position.Covers(100));
}

}  // namespace
}  // namespace balsamhall::gateway
