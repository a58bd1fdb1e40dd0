#include "core/config_register.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <stdexcept>
#include <variant>
#include <vector>

#include "core/invariant.h"
#include "core/partitioner.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

Result<schema::RoutingConfig> ParseBody(const std::string& body) {
  if (body.starts_with("invalid")) {
    return Error{ResultCode::kConfigInvalid, body};
  }
  schema::RoutingConfig config;
  config.set_customer(body);
  return config;
}

// Makes violated invariants fail the test case.
struct ThrowOnViolation {
  ThrowOnViolation() {
    SetInvariantHandler([](const std::string& name, const std::string& detail) {
      throw std::runtime_error(name + ": " + detail);
    });
  }
  ~ThrowOnViolation() { SetInvariantHandler({}); }
};

// ---- Steps of a case: one call of the register each -----------------------

struct Published {
  std::uint64_t offset;
  std::uint64_t based_on;
  std::string body;
  bool corrupt = false;
};
struct Snapshot {
  std::uint64_t version;
  std::string body;
  bool corrupt = false;
};
struct Peer {
  std::uint64_t version;
  std::string body;
  bool corrupt = false;
};
struct End {};
struct Truncated {};
using Step = std::variant<Published, Snapshot, Peer, End, Truncated>;

std::string DigestOf(const std::string& body, bool corrupt) {
  return Digest(corrupt ? body + " changed" : body);
}

schema::ConfigSnapshot ToSnapshot(std::uint64_t version,
                                  const std::string& body, bool corrupt) {
  schema::ConfigSnapshot snapshot;
  snapshot.set_version(version);
  snapshot.set_body(body);
  snapshot.set_digest(DigestOf(body, corrupt));
  return snapshot;
}

struct Apply {
  ConfigRegister& target;

  void operator()(const Published& step) const {
    schema::ConfigPublished publication;
    publication.set_based_on(step.based_on);
    publication.set_body(step.body);
    publication.set_digest(DigestOf(step.body, step.corrupt));
    target.OnPublished(step.offset, publication);
  }
  void operator()(const Snapshot& step) const {
    target.OnSnapshot(ToSnapshot(step.version, step.body, step.corrupt));
  }
  void operator()(const Peer& step) const {
    const std::uint64_t before = target.current().version();
    const bool adopted = target.OnPeerSnapshot(
        ToSnapshot(step.version, step.body, step.corrupt));
    BOOST_CHECK_EQUAL(adopted, target.current().version() != before);
  }
  void operator()(const End& step) const { target.OnReachedEnd(); }
  void operator()(const Truncated& step) const { target.OnTruncated(); }
};

struct RegisterCase {
  const char* name;
  std::vector<Step> steps;
  std::uint64_t version;
  std::string body;
  std::map<std::uint64_t, ConfigVerdict> verdicts;
};

std::ostream& operator<<(std::ostream& out, const RegisterCase& test) {
  return out << test.name;
}

using enum ConfigVerdict;

const std::vector<RegisterCase> kCases = {
    {"empty log", {End{}}, 0, "", {}},
    {"first publication",
     {End{}, Published{4, 0, "a"}},
     4,
     "a",
     {{4, kAccepted}}},
    {"two operators publish concurrently: the first in log order wins",
     {End{}, Published{4, 0, "a"}, Published{5, 4, "b"}, Published{6, 4, "c"}},
     5,
     "b",
     {{4, kAccepted}, {5, kAccepted}, {6, kStaleVersion}}},
    {"append repeated after its response was lost",
     {End{}, Published{4, 0, "a"}, Published{5, 0, "a"}},
     4,
     "a",
     {{4, kAccepted}, {5, kStaleVersion}}},
    {"record read twice",
     {End{}, Published{4, 0, "a"}, Published{5, 4, "b"}, Published{4, 0, "a"},
      Published{5, 4, "b"}},
     5,
     "b",
     {{4, kAccepted}, {5, kAccepted}}},
    {"based on a rejected publication",
     {End{}, Published{4, 0, "a"}, Published{5, 0, "b"}, Published{6, 5, "c"}},
     4,
     "a",
     {{5, kStaleVersion}, {6, kStaleVersion}}},
    {"invalid body",
     {End{}, Published{4, 0, "invalid"}, Published{5, 0, "b"}},
     5,
     "b",
     {{4, kInvalid}, {5, kAccepted}}},
    {"digest mismatch",
     {End{}, Published{4, 0, "a", true}, Published{5, 0, "b"}},
     5,
     "b",
     {{4, kDigestMismatch}, {5, kAccepted}}},
    {"publications before the end are evaluated in order",
     {Published{4, 0, "a"}, Published{5, 4, "b"}, Published{6, 4, "c"}, End{}},
     5,
     "b",
     {{4, kAccepted}, {5, kAccepted}, {6, kStaleVersion}}},
    {"late snapshot of an old version while following",
     {End{}, Published{4, 0, "a"}, Published{5, 4, "b"}, Snapshot{4, "a"}},
     5,
     "b",
     {}},
    {"late snapshot of an old version before the end",
     {Published{5, 4, "b"}, Snapshot{4, "a"}, End{}},
     5,
     "b",
     {{5, kAccepted}}},
    {"highest of several snapshots, in any order",
     {Snapshot{5, "b"}, Snapshot{4, "a"}, Published{7, 5, "c"}, End{}},
     7,
     "c",
     {{7, kAccepted}}},
    {"truncated log: snapshot follows a publication based on it",
     {Truncated{}, Published{20, 15, "stale"}, Published{21, 9, "c"},
      Snapshot{9, "b"}, Published{30, 21, "d"}, End{}},
     30,
     "d",
     {{20, kStaleVersion}, {21, kAccepted}, {30, kAccepted}}},
    {"truncated log without a snapshot waits for one",
     {Truncated{}, Published{20, 0, "a"}, End{}, Published{30, 9, "c"}},
     0,
     "",
     {}},
    {"a snapshot of a peer ends the wait for one",
     {Truncated{}, Published{20, 0, "a"}, End{}, Published{30, 9, "c"},
      Peer{9, "b"}},
     30,
     "c",
     {{20, kStaleVersion}, {30, kAccepted}}},
    {"truncated while following: a missed version arrives as snapshot",
     {End{}, Published{4, 0, "a"}, Truncated{}, Published{30, 20, "c"},
      Published{31, 4, "d"}, Snapshot{20, "b"}, End{}},
     30,
     "c",
     {{30, kAccepted}, {31, kStaleVersion}}},
    {"version missed without OnTruncated: stale publications are evaluated "
     "again",
     {End{}, Published{4, 0, "a"}, Published{30, 20, "c"}, Snapshot{20, "b"}},
     30,
     "c",
     {{30, kAccepted}}},
    {"peer ahead of the log: covered publications are ignored",
     {End{}, Published{4, 0, "a"}, Peer{6, "c"}, Published{5, 4, "b"},
      Published{6, 5, "c"}, Published{7, 5, "d"}, Published{8, 6, "e"}},
     8,
     "e",
     {{5, kIgnored}, {6, kAccepted}, {7, kStaleVersion}, {8, kAccepted}}},
    {"peer before the end of the log",
     {Peer{6, "c"}, Published{5, 4, "b"}, Published{6, 5, "c"},
      Published{8, 6, "e"}, End{}},
     8,
     "e",
     {{8, kAccepted}}},
    {"peer with a lower version",
     {End{}, Published{4, 0, "a"}, Published{5, 4, "b"}, Peer{4, "a"}},
     5,
     "b",
     {}},
    {"peer with a digest mismatch", {End{}, Peer{6, "c", true}}, 0, "", {}},
    {"peer with an invalid body", {End{}, Peer{6, "invalid"}}, 0, "", {}},
    {"snapshot with a digest mismatch",
     {Snapshot{6, "c", true}, Snapshot{4, "a"}, End{}},
     4,
     "a",
     {}},
    {"snapshot with an invalid body",
     {Snapshot{6, "invalid"}, Snapshot{4, "a"}, End{}},
     4,
     "a",
     {}},
};

// Guards against readers of one log that put different configurations in
// force, and against a configuration that reverts.
BOOST_DATA_TEST_CASE(RegisterFollowsTheLog, data::make(kCases), test) {
  const ThrowOnViolation guard;
  ConfigRegister target(ParseBody);
  std::uint64_t previous = 0;
  for (const Step& step : test.steps) {
    std::visit(Apply{target}, step);
    BOOST_REQUIRE_GE(target.current().version(), previous);
    previous = target.current().version();
  }
  BOOST_CHECK_EQUAL(target.current().version(), test.version);
  BOOST_CHECK_EQUAL(target.current().body(), test.body);
  BOOST_CHECK_EQUAL(target.config().customer(), test.body);
  for (const auto& [offset, verdict] : test.verdicts) {
    BOOST_TEST_CONTEXT("offset " << offset) {
      BOOST_REQUIRE(target.VerdictOf(offset).has_value());
      BOOST_CHECK(target.VerdictOf(offset) == verdict);
    }
  }
}

// A log with concurrent publications, an invalid body, and snapshots.
const std::vector<Step> kLog = {
    Published{1, 0, "a"},       Published{2, 0, "b"},  Published{3, 1, "c"},
    Snapshot{1, "a"},           Published{5, 3, "d"},  Published{6, 3, "e"},
    Published{7, 5, "invalid"}, Snapshot{5, "d"},      Published{9, 5, "f"},
    Snapshot{9, "f"},           Published{11, 9, "g"}, Snapshot{5, "d"},
    Published{13, 11, "h"},
};

// Guards against a verdict that depends on when a reader reaches the end of the
// log, or on the snapshot of a peer. Each reader reaches the end at one step of
// the log, and may receive a peer's version there.
BOOST_DATA_TEST_CASE(EveryReaderEndsAtTheSameVersion,
                     data::xrange(kLog.size() + 1) *
                         data::make({0, 1, 3, 5, 9}),
                     end_at, peer_version) {
  const ThrowOnViolation guard;
  const std::map<int, std::string> bodies = {
      {1, "a"}, {3, "c"}, {5, "d"}, {9, "f"}};
  ConfigRegister target(ParseBody);
  for (std::size_t i = 0; i < kLog.size(); ++i) {
    if (i == end_at) target.OnReachedEnd();
    if (i == end_at && peer_version != 0) {
      Apply{target}(Peer{static_cast<std::uint64_t>(peer_version),
                         bodies.at(peer_version)});
    }
    std::visit(Apply{target}, kLog[i]);
  }
  target.OnReachedEnd();
  BOOST_CHECK_EQUAL(target.current().version(), 13U);
  BOOST_CHECK_EQUAL(target.current().body(), "h");
}

// Guards against a reader that starts after truncation and falls behind the
// others. A truncated log still holds a snapshot of the version in force.
BOOST_DATA_TEST_CASE(TruncatedReaderEndsAtTheSameVersion, data::xrange(1, 10),
                     first) {
  const ThrowOnViolation guard;
  ConfigRegister target(ParseBody);
  target.OnTruncated();
  for (auto i = static_cast<std::size_t>(first); i < kLog.size(); ++i) {
    std::visit(Apply{target}, kLog[i]);
  }
  target.OnReachedEnd();
  BOOST_CHECK_EQUAL(target.current().version(), 13U);
}

// Guards against a publication that changes the partitions of a service in
// force: keys would have two owners during the change. The publication bypasses
// the operator commands, which reject it as well.
BOOST_AUTO_TEST_CASE(PartitionsOfAServiceAreFixed) {
  ConfigRegister target(
      [](const std::string& body) -> Result<schema::RoutingConfig> {
        schema::RoutingConfig config;
        config.add_services()->set_name("lookup");
        config.mutable_services(0)->set_partitions(std::stoul(body));
        return config;
      });
  target.OnReachedEnd();
  const auto publish = [&](std::uint64_t offset, const std::string& body) {
    schema::ConfigPublished publication;
    publication.set_based_on(target.current().version());
    publication.set_body(body);
    publication.set_digest(Digest(body));
    return target.OnPublished(offset, publication);
  };
  BOOST_CHECK(publish(5, "64") == ConfigVerdict::kAccepted);
  BOOST_CHECK(publish(6, "128") == ConfigVerdict::kInvalid);
  BOOST_CHECK(publish(7, "064") == ConfigVerdict::kAccepted);
  BOOST_TEST(target.current().version() == 7U);
}

// Guards against a history of verdicts that grows without bound.
BOOST_AUTO_TEST_CASE(HistoryOfVerdictsIsBounded) {
  ConfigRegister target(ParseBody);
  target.OnReachedEnd();
  for (std::uint64_t offset = 1; offset <= 1000; ++offset) {
    Apply{target}(Published{offset, offset - 1, "a"});
  }
  BOOST_CHECK(!target.VerdictOf(1).has_value());
  BOOST_CHECK(target.VerdictOf(1000) == kAccepted);
}

// Guards against two different bodies with one version that go undetected.
BOOST_AUTO_TEST_CASE(TwoBodiesOfOneVersionViolateAnInvariant) {
  const ThrowOnViolation guard;
  ConfigRegister target(ParseBody);
  Apply{target}(Snapshot{4, "a"});
  BOOST_CHECK_THROW(Apply{target}(Snapshot{4, "b"}), std::runtime_error);
}

}  // namespace
}  // namespace balsamhall
