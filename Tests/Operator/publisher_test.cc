#include "operator/publisher.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Operator/fake_routers.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;
using Publishing = FakeRouters::Publishing;

BOOST_AUTO_TEST_SUITE(PublisherSuite)

PublisherOptions ShortOptions(std::string author) {
  PublisherOptions options;
  options.routers = {FakeRouters::Address(1)};
  options.author = std::move(author);
  options.in_force_timeout = Milliseconds(60);
  options.resolve_timeout = Milliseconds(60);
  options.poll_interval = Milliseconds(5);
  return options;
}

PublishReport Publish(FakeRouters& routers, const std::string& author,
                      int endpoints, std::uint64_t based_on) {
  Publisher publisher(routers, ShortOptions(author));
  return publisher.Publish(SmallConfig(endpoints), based_on);
}

// Guards against a publication that is reported before every router has it.
BOOST_AUTO_TEST_CASE(AcceptedConfigurationIsInForceEverywhere) {
  FakeRouters routers(3);
  const auto report = Publish(routers, "ann", 2, 0);
  BOOST_TEST(static_cast<int>(report.outcome.code) == 0);
  BOOST_TEST(report.version == routers.version());
  BOOST_TEST(report.missing.empty());
  BOOST_TEST(routers.publications() == 1);
}

// Guards against two operators who both believe that they won: the second is
// told the winner and what differs.
BOOST_AUTO_TEST_CASE(LoserOfARaceIsToldTheWinner) {
  FakeRouters routers(3);
  routers.set_before_append([&] {
    routers.Append({0, "bob", ConfigToJson(SmallConfig(3), false)});
  });
  const auto report = Publish(routers, "ann", 2, 0);
  BOOST_TEST(static_cast<int>(report.outcome.code) ==
             static_cast<int>(ResultCode::kConfigStaleVersion));
  BOOST_TEST(report.version == routers.version());
  BOOST_TEST(report.outcome.detail.find("bob") != std::string::npos);
  BOOST_TEST(report.outcome.detail.find("lookup-3") != std::string::npos);
}

// Guards against work lost to an operator who did not see the newer version.
BOOST_AUTO_TEST_CASE(OldBaseIsNotSent) {
  FakeRouters routers(2);
  routers.Append({0, "bob", ConfigToJson(SmallConfig(3), false)});
  const auto report = Publish(routers, "ann", 2, 0);
  BOOST_TEST(static_cast<int>(report.outcome.code) ==
             static_cast<int>(ResultCode::kConfigStaleVersion));
  BOOST_TEST(routers.publications() == 0);
}

// Guards against a base that never existed, such as a typing error.
BOOST_AUTO_TEST_CASE(UnknownBaseIsNotSent) {
  FakeRouters routers(2);
  const auto report = Publish(routers, "ann", 2, 999);
  BOOST_TEST(static_cast<int>(report.outcome.code) ==
             static_cast<int>(ResultCode::kConfigStaleVersion));
  BOOST_TEST(routers.publications() == 0);
}

// Guards against a second publication of the same sheet after the first took
// effect: repeating the command changes nothing.
BOOST_AUTO_TEST_CASE(RepeatedCommandChangesNothing) {
  FakeRouters routers(2);
  const auto first = Publish(routers, "ann", 2, 0);
  const auto second = Publish(routers, "ann", 2, 0);
  BOOST_TEST(static_cast<int>(second.outcome.code) == 0);
  BOOST_TEST(second.version == first.version);
  BOOST_TEST(routers.publications() == 1);
}

struct LostAnswer {
  const char* name;
  Publishing publishing;
  ResultCode outcome;
  int publications;
};

std::ostream& operator<<(std::ostream& stream, const LostAnswer& lost) {
  return stream << lost.name;
}

// Guards against a publication that is sent again although the first may have
// taken effect, and against a report that says otherwise than what happened.
const LostAnswer kLostAnswers[] = {
    {"answer lost after the write", Publishing::kAnswerLostAfterWrite,
     ResultCode::kOk, 1},
    {"answer lost before the write", Publishing::kAnswerLostBeforeWrite,
     ResultCode::kLogAnswerLost, 1},
    {"nothing sent by any router", Publishing::kNothingSent,
     ResultCode::kOperatorUnreachable, 3},
    {"log down at every router", Publishing::kLogDown,
     ResultCode::kLogUnavailable, 3},
    {"wrong key", Publishing::kWrongKey, ResultCode::kOperatorKeyWrong, 1},
};

BOOST_DATA_TEST_CASE(LostAnswerIsNeverDoubled, data::make(kLostAnswers), lost) {
  FakeRouters routers(3);
  routers.set_publishing(lost.publishing);
  const auto report = Publish(routers, "ann", 2, 0);
  BOOST_TEST(static_cast<int>(report.outcome.code) ==
             static_cast<int>(lost.outcome));
  BOOST_TEST(routers.publications() == lost.publications);
}

// Guards against a loser whose answer was lost and who takes the winner's
// version for his own.
BOOST_AUTO_TEST_CASE(LostAnswerAndLostRace) {
  FakeRouters routers(3);
  routers.set_publishing(Publishing::kAnswerLostAfterWrite);
  routers.set_before_append([&] {
    routers.Append({0, "bob", ConfigToJson(SmallConfig(3), false)});
  });
  const auto report = Publish(routers, "ann", 2, 0);
  BOOST_TEST(static_cast<int>(report.outcome.code) ==
             static_cast<int>(ResultCode::kConfigStaleVersion));
  BOOST_TEST(routers.publications() == 1);
}

// Guards against a publication sent while the log is known to be down, whose
// outcome would stay open.
BOOST_AUTO_TEST_CASE(NothingIsSentWithoutTheLog) {
  FakeRouters routers(2);
  for (int i = 1; i <= 2; ++i) {
    routers.router(i).status.set_log_reachable(false);
  }
  const auto report = Publish(routers, "ann", 2, 0);
  BOOST_TEST(static_cast<int>(report.outcome.code) ==
             static_cast<int>(ResultCode::kLogUnavailable));
  BOOST_TEST(routers.publications() == 0);
}

// Guards against a change that every reader of the log would have to refuse.
BOOST_AUTO_TEST_CASE(ForbiddenChangeIsNotSent) {
  FakeRouters routers(2);
  BOOST_REQUIRE(
      routers.Append({0, "bob", ConfigToJson(SmallConfig(2), false)}));
  auto config = SmallConfig(2);
  config.mutable_services(0)->set_partitions(128);
  Publisher publisher(routers, ShortOptions("ann"));
  const auto report = publisher.Publish(config, routers.version());
  BOOST_TEST(static_cast<int>(report.outcome.code) ==
             static_cast<int>(ResultCode::kConfigInvalid));
  BOOST_TEST(routers.publications() == 0);
}

struct Laggard {
  const char* name;
  void (*prepare)(FakeRouters::Router&);
  bool missing;
};

std::ostream& operator<<(std::ostream& stream, const Laggard& laggard) {
  return stream << laggard.name;
}

// Guards against a configuration reported in force while a live router lacks
// it, and against a wait for a router that is gone or leaving.
const Laggard kLaggards[] = {
    {"lags", [](FakeRouters::Router& router) { router.follows = false; }, true},
    {"silent but reached by peers",
     [](FakeRouters::Router& router) { router.answers = false; }, true},
    {"leaving",
     [](FakeRouters::Router& router) {
       router.follows = false;
       router.status.set_leaving(true);
     },
     false},
};

BOOST_DATA_TEST_CASE(MissingRoutersAreNamed, data::make(kLaggards), laggard) {
  FakeRouters routers(3);
  laggard.prepare(routers.router(2));
  const auto report = Publish(routers, "ann", 2, 0);
  const bool named =
      !report.missing.empty() && report.missing.front().starts_with("router-2");
  BOOST_TEST(named == laggard.missing);
  BOOST_TEST(
      static_cast<int>(report.outcome.code) ==
      (laggard.missing ? static_cast<int>(ResultCode::kConfigNotInForce) : 0));
}

// Guards against a wait for a router that no longer exists.
BOOST_AUTO_TEST_CASE(GoneRouterIsNotWaitedFor) {
  FakeRouters routers(3);
  routers.router(2).answers = false;
  for (const int other : {1, 3}) {
    for (auto& peer : *routers.router(other).status.mutable_peers()) {
      if (peer.join().id() == "router-2") peer.set_reachable(false);
    }
  }
  const auto report = Publish(routers, "ann", 2, 0);
  BOOST_TEST(static_cast<int>(report.outcome.code) == 0, report.outcome.detail);
}

// Guards against a declaration whose lost answer is reported as a success or
// repeated by itself.
BOOST_AUTO_TEST_CASE(DeclarationReportsALostAnswer) {
  FakeRouters routers(3);
  Publisher publisher(routers, ShortOptions("ann"));
  BOOST_TEST(static_cast<int>(publisher.DeclareLost("vm-1").outcome.code) == 0);
  routers.set_publishing(Publishing::kAnswerLostAfterWrite);
  const auto report = publisher.DeclareLost("vm-1");
  BOOST_TEST(static_cast<int>(report.outcome.code) ==
             static_cast<int>(ResultCode::kLogAnswerLost));
  BOOST_TEST(routers.publications() == 2);
}

struct Declaration {
  const char* name;
  const char* vm;
  bool router_answers;
  bool router_reached;
  ResultCode outcome;
};

std::ostream& operator<<(std::ostream& stream, const Declaration& test) {
  return stream << test.name;
}

// Guards against a live VM declared lost, whose roles would be given to others
// while it still acts, and against a mistyped name that proves nothing.
const Declaration kDeclarations[] = {
    {"VM of an endpoint", "lookup-1", true, true, ResultCode::kOk},
    {"unknown VM", "lookup-9", true, true, ResultCode::kOperatorNotFound},
    {"router that answers", "router-2", true, true, ResultCode::kOperatorUsage},
    {"router that others reach", "router-2", false, true,
     ResultCode::kOperatorUsage},
    {"router that nobody reaches", "router-2", false, false, ResultCode::kOk},
};

BOOST_DATA_TEST_CASE(OnlyLostVmsAreDeclared, data::make(kDeclarations), test) {
  FakeRouters routers(2);
  BOOST_REQUIRE(
      routers.Append({0, "bob", ConfigToJson(SmallConfig(2), false)}));
  routers.router(2).answers = test.router_answers;
  routers.router(1).status.mutable_peers(0)->set_reachable(test.router_reached);
  Publisher publisher(routers, ShortOptions("ann"));
  const auto report = publisher.DeclareLost(test.vm);
  BOOST_TEST(
      static_cast<int>(report.outcome.code) == static_cast<int>(test.outcome),
      report.outcome.detail);
  BOOST_TEST(routers.publications() ==
             (test.outcome == ResultCode::kOk ? 1 : 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
