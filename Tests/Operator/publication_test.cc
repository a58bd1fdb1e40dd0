// Publications to router processes with stand-ins on loopback.
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <set>

#include "Operator/process_fleet.h"
#include "core/config_rules.h"
#include "net/http_client.h"
#include "operator/exit_status.h"

namespace balsamhall {
namespace {

BOOST_AUTO_TEST_SUITE(Publication)

// P8: an accepted configuration is in force everywhere within 16 s.
constexpr Milliseconds kInForceBound{16'000};

constexpr int kStale = static_cast<int>(ExitStatus::kStaleVersion);

bool AllReport(const ProcessFleet& fleet, std::uint64_t version) {
  for (int i = 0; i < fleet.routers(); ++i) {
    const auto status = fleet.Status(i);
    if (!status || status->config_version() != version) return false;
  }
  return true;
}

std::vector<schema::ConfigPublished> Publications(const ProcessFleet& fleet) {
  std::vector<schema::ConfigPublished> publications;
  for (const auto& [offset, record] : fleet.LogRecords()) {
    if (record.has_config_published()) {
      publications.push_back(record.config_published());
    }
  }
  return publications;
}

// Guards against two operators who both believe that their sheet is in force,
// and against a configuration that takes longer than the bound.
BOOST_AUTO_TEST_CASE(RaceHasOneWinnerInForceInTime) {
  ProcessFleet fleet(3);
  BOOST_REQUIRE_EQUAL(fleet.Publish(fleet.WriteSheet(1), 0), 0);
  const std::uint64_t base = fleet.Version();
  const auto publish = [&](int percent, const char* author) {
    ::setenv("BALSAMHALL_OPERATOR_KEY", ProcessFleet::kOperatorKey, 1);
    return fleet.Start("balsamhall-publish",
                       {fleet.WriteSheet(percent), "--based-on",
                        std::to_string(base), "--author", author});
  };
  const auto begin = std::chrono::steady_clock::now();
  const auto ann = publish(2, "ann");
  const auto bob = publish(3, "bob");
  const auto ann_status = ann->Wait(Milliseconds(60'000)).value_or(-1);
  const auto bob_status = bob->Wait(Milliseconds(60'000)).value_or(-1);
  const auto taken = std::chrono::steady_clock::now() - begin;
  ::unsetenv("BALSAMHALL_OPERATOR_KEY");
  BOOST_TEST_INFO("ann: " << ann->Output() << "bob: " << bob->Output());
  BOOST_TEST((std::set{ann_status, bob_status} == std::set{0, kStale}));
  BOOST_TEST((taken < kInForceBound));
  const std::string loser = ann_status == 0 ? bob->Output() : ann->Output();
  const char* const winner = ann_status == 0 ? "ann" : "bob";
  BOOST_TEST(loser.find(winner) != std::string::npos, loser);
  BOOST_TEST(loser.find("retry ratio") != std::string::npos, loser);
  BOOST_TEST(AllReport(fleet, fleet.Version()));
}

// Guards against an append that is doubled because its answer was lost after
// the write, and against a publication reported lost that took effect.
BOOST_AUTO_TEST_CASE(LostAppendAnswerIsNotDoubled) {
  ProcessFleet fleet(3);
  BOOST_REQUIRE_EQUAL(fleet.Publish(fleet.WriteSheet(1), 0), 0);
  const std::uint64_t base = fleet.Version();
  // The first assignment appends too and would use up the fault.
  BOOST_REQUIRE(ProcessFleet::WaitUntil(
      [&] { return fleet.ServedPartitions() == 64; }, Milliseconds(20'000)));
  fleet.SetLogFault(R"({"lose_append_answers":1})");
  BOOST_TEST(fleet.Publish(fleet.WriteSheet(2), base) == 0);
  BOOST_TEST(AllReport(fleet, fleet.Version()));
  std::map<std::string, int> copies;
  for (const auto& publication : Publications(fleet)) {
    ++copies[publication.digest()];
  }
  BOOST_TEST(copies.size() == 2U);
  for (const auto& [digest, count] : copies) BOOST_TEST(count == 1, digest);
}

// Guards against an older version that comes back: from a router that
// restarts, or from the log that it reads from its start.
BOOST_AUTO_TEST_CASE(VersionNeverRevertsOverRestarts) {
  ProcessFleet fleet(3);
  BOOST_REQUIRE_EQUAL(fleet.Publish(fleet.WriteSheet(1), 0), 0);
  BOOST_REQUIRE_EQUAL(fleet.Publish(fleet.WriteSheet(2), fleet.Version()), 0);
  BOOST_REQUIRE_EQUAL(fleet.Publish(fleet.WriteSheet(3), fleet.Version()), 0);
  const std::uint64_t accepted = fleet.Version();
  fleet.StopRouter(1, SIGTERM);
  fleet.StopRouter(2, SIGKILL);
  fleet.StartRouter(1);
  fleet.StartRouter(2);
  bool reverted = false;
  const bool in_force = ProcessFleet::WaitUntil(
      [&] {
        for (int i = 0; i < fleet.routers(); ++i) {
          const auto status = fleet.Status(i);
          // A router that has not read the log yet reports version 0.
          reverted |= status && status->config_version() != accepted &&
                      (i == 0 || status->config_version() != 0);
        }
        return AllReport(fleet, accepted);
      },
      kInForceBound);
  BOOST_TEST(in_force);
  BOOST_TEST(!reverted);
}

// Guards against a command that hides a log outage or changes something
// during it, and against a wrong key that changes anything.
BOOST_AUTO_TEST_CASE(OutageAndWrongKeyChangeNothing) {
  ProcessFleet fleet(2);
  BOOST_REQUIRE_EQUAL(fleet.Publish(fleet.WriteSheet(1), 0), 0);
  const std::uint64_t base = fleet.Version();
  ::setenv("BALSAMHALL_OPERATOR_KEY", "wrong", 1);
  const auto command =
      fleet.Start("balsamhall-publish",
                  {fleet.WriteSheet(2), "--based-on", std::to_string(base)});
  BOOST_TEST(command->Wait(Milliseconds(30'000)).value_or(-1) ==
             static_cast<int>(ExitStatus::kWrongKey));
  ::unsetenv("BALSAMHALL_OPERATOR_KEY");
  fleet.SetLogFault(R"({"outage":true})");
  BOOST_REQUIRE(ProcessFleet::WaitUntil(
      [&] {
        const auto first = fleet.Status(0);
        const auto second = fleet.Status(1);
        return first && second && !first->log_reachable() &&
               !second->log_reachable();
      },
      Milliseconds(10'000)));
  BOOST_TEST(fleet.Publish(fleet.WriteSheet(3), base) ==
             static_cast<int>(ExitStatus::kLogDown));
  const auto degraded = fleet.Status(0).value();
  BOOST_TEST(std::ranges::any_of(degraded.degraded(), [](const auto& item) {
    return item.what() == "log unreachable" && item.since_ms() > 0;
  }));
  fleet.SetLogFault(R"({"outage":false})");
  BOOST_TEST(Publications(fleet).size() == 1U);
  BOOST_TEST(fleet.Version() == base);
}

// Guards against a lost VM that counts as present after an operator declared it
// lost, and against a live one that is declared lost by mistake. The list of
// VMs still names both.
BOOST_AUTO_TEST_CASE(DeclaredRouterIsNoLongerAPeer) {
  ProcessFleet fleet(3);
  BOOST_REQUIRE_EQUAL(fleet.Publish(fleet.WriteSheet(1), 0), 0);
  const auto declare = [&](const char* vm) {
    ::setenv("BALSAMHALL_OPERATOR_KEY", ProcessFleet::kOperatorKey, 1);
    const auto command =
        fleet.Start("balsamhall-publish", {"--declare-lost", vm});
    const int status = command->Wait(Milliseconds(30'000)).value_or(-1);
    ::unsetenv("BALSAMHALL_OPERATOR_KEY");
    return status;
  };
  const auto peers = [&] {
    std::set<std::string> names;
    const auto status = fleet.Status(0).value();
    for (const auto& peer : status.peers()) names.insert(peer.join().id());
    return names;
  };
  BOOST_REQUIRE(ProcessFleet::WaitUntil([&] { return peers().size() == 2; },
                                        Milliseconds(10'000)));
  BOOST_TEST(declare("router-2") == static_cast<int>(ExitStatus::kUsage));
  BOOST_TEST(declare("router-9") == static_cast<int>(ExitStatus::kNotFound));
  fleet.StopRouter(2, SIGKILL);
  BOOST_TEST(ProcessFleet::WaitUntil([&] { return declare("router-3") == 0; },
                                     Milliseconds(10'000)));
  BOOST_TEST(ProcessFleet::WaitUntil(
      [&] { return peers() == std::set<std::string>{"router-2"}; },
      Milliseconds(10'000)));
}

// Guards against explanations that do not fit what the routers did.
BOOST_AUTO_TEST_CASE(CommandsExplainKeysAndRequests) {
  ProcessFleet fleet(3);
  BOOST_REQUIRE_EQUAL(fleet.Publish(fleet.WriteSheet(1), 0), 0);
  const HttpRequest request{"GET",
                            "/v1/lookup/read/asset-1",
                            {{"Balsamhall-Request-Id", "request-1"}},
                            ""};
  BOOST_REQUIRE(ProcessFleet::WaitUntil(
      [&] {
        const auto answer = SendHttpAndWait(fleet.CallerAddress(0), request,
                                            Milliseconds(2000));
        return answer.response && answer.response->status == 200;
      },
      Milliseconds(10'000)));
  const auto run = [&](const char* command,
                       std::vector<std::string> arguments) {
    const auto process = fleet.Start(command, std::move(arguments));
    const int status = process->Wait(Milliseconds(20'000)).value_or(-1);
    return std::pair(status, process->Output());
  };
  const auto [key_status, key] =
      run("balsamhall-explain", {"asset-1", "--service", "lookup"});
  BOOST_TEST(key_status == 0, key);
  BOOST_TEST(key.find("Owner: endpoint lookup-") != std::string::npos, key);
  const auto [request_status, spans] =
      run("balsamhall-explain", {"--request", "request-1"});
  BOOST_TEST(request_status == 0, spans);
  for (const char* hop : {"entry", "queue", "backend"}) {
    BOOST_TEST(spans.find(hop) != std::string::npos, spans);
  }
  const int not_found = static_cast<int>(ExitStatus::kNotFound);
  BOOST_TEST(run("balsamhall-explain", {"--request", "other"}).first ==
             not_found);
  BOOST_TEST(run("balsamhall-explain", {"a", "--service", "other"}).first ==
             not_found);
  const auto [status, overview] = run("balsamhall-status", {});
  BOOST_TEST(status == 0);
  BOOST_TEST(overview.find("in force on all") != std::string::npos, overview);
  const auto [json_status, json] = run("balsamhall-status", {"--json"});
  BOOST_TEST(json_status == 0);
  BOOST_TEST(json.find("\"router-3\"") != std::string::npos, json);
  const auto [diff_status, diff] =
      run("balsamhall-sheet", {"diff", fleet.WriteSheet(2)});
  BOOST_TEST(diff_status == 0, diff);
  BOOST_TEST(
      diff.find("changes retry ratio from 0.01 to 0.02") != std::string::npos,
      diff);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
