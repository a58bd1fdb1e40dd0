#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "dispatch/link_shaper.h"
#include "dispatch/overload_guard.h"
#include "dispatch/retry_budget.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;
constexpr schema::Rank kRankOrder[] = {schema::RANK_URGENT, schema::RANK_NORMAL,
                                       schema::RANK_BACKGROUND};

struct LinkCase {
  std::string guards_against;
  std::array<bool, kRanks> sending;
  std::array<double, kRanks> shares;  // expected shares of the link
};

std::ostream& operator<<(std::ostream& out, const LinkCase& link) {
  return out << link.guards_against;
}

const LinkCase kLinkCases[] = {
    {"ranks that take each other's share", {true, true, true}, {0.6, 0.3, 0.1}},
    {"an idle share that is wasted", {false, true, true}, {0, 0.9, 0.1}},
    {"an unused share that goes to the lowest rank first",
     {true, false, true},
     {0.9, 0, 0.1}},
    {"a single rank that cannot use the link", {false, false, true}, {0, 0, 1}},
};

// Guards against the failure that each case names, and against more bytes than
// the capacity of the link.
BOOST_DATA_TEST_CASE(SharesOfTheLink, data::make(kLinkCases), link) {
  const SteadyTime start{std::chrono::hours{1}};
  LinkShaper shaper(LinkOptions{}, start);
  for (int milli = 0; milli < 20'000; ++milli) {
    for (const auto rank : kRankOrder) {
      while (link.sending[RankIndex(rank)] &&
             shaper.TrySend(rank, 1500, LinkCause::kResponse,
                            start + Milliseconds{milli})) {
      }
    }
  }
  for (const auto rank : kRankOrder) {
    const double share =
        static_cast<double>(shaper.bytes(rank)) / 3'750'000 / 20;
    BOOST_CHECK_SMALL(share - link.shares[RankIndex(rank)], 0.02);
  }
  BOOST_CHECK_LE(shaper.bytes(LinkCause::kResponse), 1.01 * 20 * 3'750'000);
}

// Guards against leases that expire because requests use the whole link, and
// against billed bytes that are not counted.
BOOST_AUTO_TEST_CASE(ControlTrafficIsNeverHeldBack) {
  const SteadyTime now{std::chrono::hours{1}};
  LinkShaper shaper(LinkOptions{}, now);
  while (
      shaper.TrySend(schema::RANK_URGENT, 100'000, LinkCause::kRequest, now)) {
  }
  BOOST_CHECK(
      shaper.TrySend(schema::RANK_BACKGROUND, 200, LinkCause::kControl, now));
  BOOST_CHECK_EQUAL(shaper.bytes(LinkCause::kControl), 200U);
  const auto delay = shaper.TimeUntilSend(schema::RANK_URGENT, now);
  BOOST_CHECK_GT(delay.count(), 0);
  BOOST_CHECK(shaper.TrySend(schema::RANK_URGENT, 200, LinkCause::kRequest,
                             now + delay + Microseconds{10}));
}

// Guards against a retry storm: retries are limited to 10% of the requests.
BOOST_DATA_TEST_CASE(RetriesStayWithinTheRatio,
                     data::make({100, 2000, 50'000}) * data::make(kRankOrder),
                     requests, rank) {
  RetryBudget budget(0.1);
  for (int i = 0; i < 1000; ++i) budget.OnRequest();  // before the failure
  for (int i = 0; i < requests; ++i) {
    budget.OnRequest();
    for (int attempt = 0; attempt < 3; ++attempt) budget.TryRetry(rank);
  }
  const auto allowed = static_cast<double>(budget.allowed());
  BOOST_CHECK_LE(allowed, 0.1 * requests + RetryBudget::kMaxTokens);
  if (requests >= 2000) BOOST_CHECK_LE(allowed, 0.1 * requests);
  BOOST_CHECK_GE(allowed, 0.09 * requests - 6);
}

struct GuardCase {
  std::string guards_against;
  Microseconds delay;
  std::size_t memory;
  int updates;
  // Lower and upper bound of the admitted fraction by rank.
  std::array<std::pair<double, double>, kRanks> admitted;
};

std::ostream& operator<<(std::ostream& out, const GuardCase& guard) {
  return out << guard.guards_against;
}

const GuardCase kGuardCases[] = {
    {"requests shed without overload",
     Microseconds{1000},
     1000,
     100,
     {{{1, 1}, {1, 1}, {1, 1}}}},
    {"background requests that take CPU time from others",
     Microseconds{10'000},
     1000,
     10,
     {{{1, 1}, {1, 1}, {0.08, 0.13}}}},
    {"normal requests that take CPU time from urgent ones",
     Microseconds{10'000},
     1000,
     20,
     {{{1, 1}, {0.10, 0.13}, {0.05, 0.08}}}},
    {"a lasting overload in which the lower ranks lose their floor",
     Microseconds{10'000},
     1000,
     100,
     {{{0.03, 0.08}, {0.004, 0.02}, {0.002, 0.02}}}},
    {"memory that grows without bound",
     Microseconds{0},
     800U << 20U,
     1,
     {{{0, 0}, {0, 0}, {0, 0}}}},
};

// Guards against the failure that each case names.
BOOST_DATA_TEST_CASE(OverloadShedsLowerRanksFirst, data::make(kGuardCases),
                     guard) {
  OverloadGuard overload{OverloadOptions{}};
  for (int i = 0; i < guard.updates; ++i) {
    overload.Update(guard.delay, guard.memory);
  }
  std::array<int, kRanks> admitted{};
  for (int i = 0; i < 10'000; ++i) {
    for (const auto rank : kRankOrder) {
      if (overload.Admit(rank)) ++admitted[RankIndex(rank)];
    }
  }
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    BOOST_CHECK_GE(admitted[rank] / 10'000.0, guard.admitted[rank].first);
    BOOST_CHECK_LE(admitted[rank] / 10'000.0, guard.admitted[rank].second);
  }
  // The guard recovers.
  for (int i = 0; i < 60; ++i) overload.Update(Microseconds{0}, 1000);
  BOOST_CHECK(overload.Admit(schema::RANK_BACKGROUND));
  BOOST_CHECK_EQUAL(overload.ShedFraction(schema::RANK_BACKGROUND), 0);
}

}  // namespace
}  // namespace balsamhall
