#include "operator/publisher.h"

#include <google/protobuf/util/message_differencer.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "config/sheet.h"
#include "core/config_rules.h"
#include "operator/config_diff.h"

namespace balsamhall {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t kMaxConfigurationReads = 16;

std::string Author(const schema::ConfigSnapshot& snapshot) {
  return snapshot.author().empty() ? "an unknown author" : snapshot.author();
}

bool SameMeaning(const schema::RoutingConfig& config,
                 const schema::ConfigSnapshot& snapshot) {
  const auto other = ParseConfig(snapshot.body());
  return other && google::protobuf::util::MessageDifferencer::Equals(
                      config, other.value());
}

// A refusal that proves that this publication was not appended, so that
// another router may be asked.
bool MayAskAnother(ResultCode code) {
  return code == ResultCode::kOperatorUnreachable ||
         code == ResultCode::kLogUnavailable;
}

}  // namespace

Publisher::Publisher(ControlClient& client, PublisherOptions options)
    : client_(client), options_(std::move(options)) {}

PublishReport Publisher::Publish(const schema::RoutingConfig& config,
                                 std::uint64_t based_on) {
  report_ = {};
  fleet_ = GatherFleet(client_, options_.routers);
  if (CheckBase(config, based_on)) {
    Send({based_on, options_.author, ConfigToJson(config, false)});
    const ResultCode code = report_.outcome.code;
    if (code == ResultCode::kLogAnswerLost ||
        code == ResultCode::kConfigStaleVersion) {
      Resolve(config, based_on);
    }
  }
  if (report_.outcome.code == ResultCode::kOk) WaitUntilInForce();
  return std::move(report_);
}

bool Publisher::CheckBase(const schema::RoutingConfig& config,
                          std::uint64_t based_on) {
  if (!fleet_.AnyAnswer()) {
    Fail(
        ResultCode::kOperatorUnreachable,
        "nothing was published: no router answers\n" + fleet_.DescribeSilent());
    return false;
  }
  const auto in_force = NewestConfiguration();
  if (!in_force) {
    Fail(in_force.error().code,
         "nothing was published: the configuration in "
         "force can't be read: " +
             in_force.error().detail);
    return false;
  }
  const auto& snapshot = in_force.value();
  if (snapshot.version() < based_on) {
    report_.version = snapshot.version();
    Fail(ResultCode::kConfigStaleVersion,
         fmt::format("nothing was published: no router knows version {}; "
                     "version {} is in force",
                     based_on, snapshot.version()));
    return false;
  }
  if (snapshot.version() > based_on) {
    JudgeSuccessor(config, snapshot);
    return false;
  }
  if (snapshot.version() == 0) return true;
  const auto current = ParseConfig(snapshot.body());
  if (!current) return true;
  const auto faults = CheckConfigChange(current.value(), config);
  if (faults.empty()) return true;
  Fail(ResultCode::kConfigInvalid,
       "nothing was published: " + DescribeConfigErrors(faults));
  return false;
}

void Publisher::Send(const Publication& publication) {
  if (!LogReachable()) {
    Fail(ResultCode::kLogUnavailable,
         "nothing was published: no answering router reaches the log. The "
         "configuration in force stays in force; publish again when "
         "balsamhall-status shows the log up");
    return;
  }
  for (const auto& address : AnsweringRouters()) {
    auto result = client_.Publish(address, publication);
    if (result) {
      report_.sent = true;
      report_.version = result.value();
      report_.outcome = {ResultCode::kOk, {}};
      report_.notes.push_back(
          fmt::format("Accepted as version {}.", report_.version));
      return;
    }
    const Error& error = result.error();
    if (MayAskAnother(error.code)) {
      report_.notes.push_back(
          fmt::format("Nothing was appended by {}.", error.detail));
      Fail(error.code, "nothing was published: " + error.detail);
      continue;
    }
    report_.sent = true;
    Fail(error.code, error.code == ResultCode::kLogAnswerLost
                         ? error.detail
                         : "nothing was published: " + error.detail);
    return;
  }
}

void Publisher::Resolve(const schema::RoutingConfig& config,
                        std::uint64_t based_on) {
  if (report_.outcome.code == ResultCode::kLogAnswerLost) {
    report_.notes.push_back(fmt::format(
        "The answer was lost ({}); reading the configuration in force.",
        report_.outcome.detail));
  }
  const auto end = steady_clock::now() + options_.resolve_timeout;
  while (true) {
    const auto in_force = NewestConfiguration();
    if (in_force && in_force.value().version() > based_on) {
      JudgeSuccessor(config, in_force.value());
      return;
    }
    if (steady_clock::now() >= end) break;
    std::this_thread::sleep_for(options_.poll_interval);
  }
  if (report_.outcome.code != ResultCode::kLogAnswerLost) return;
  Fail(ResultCode::kLogAnswerLost,
       fmt::format(
           "the publication was sent and may still take effect, but version "
           "{} is still in force after {} s. Repeating the same command is "
           "safe: at most one publication based on version {} is accepted",
           based_on,
           std::chrono::duration_cast<std::chrono::seconds>(
               options_.resolve_timeout)
               .count(),
           based_on));
}

void Publisher::JudgeSuccessor(const schema::RoutingConfig& config,
                               const schema::ConfigSnapshot& in_force) {
  report_.version = in_force.version();
  if (SameMeaning(config, in_force)) {
    report_.outcome = {ResultCode::kOk, {}};
    report_.notes.push_back(
        fmt::format("Version {}, published by {}, holds this configuration{}.",
                    in_force.version(), Author(in_force),
                    report_.sent ? "" : "; nothing was published"));
    return;
  }
  const bool unknown = report_.outcome.code == ResultCode::kLogAnswerLost;
  std::string detail = fmt::format(
      "{}: version {}, published by {}, is in force",
      unknown ? "this configuration is not in force; it was not accepted or "
                "was replaced already"
              : "nothing was published",
      in_force.version(), Author(in_force));
  if (const auto winner = ParseConfig(in_force.body())) {
    detail += ". To change it into this configuration:\n";
    for (const auto& line : DescribeDifferences(winner.value(), config)) {
      detail += "  " + line + "\n";
    }
    detail += fmt::format("Check the sheet, then publish --based-on {}",
                          in_force.version());
  }
  Fail(ResultCode::kConfigStaleVersion, std::move(detail));
}

void Publisher::WaitUntilInForce() {
  const auto end = steady_clock::now() + options_.in_force_timeout;
  while (true) {
    fleet_ = GatherFleet(client_, options_.routers);
    report_.missing.clear();
    for (const auto& router : fleet_.routers) {
      if (!Fleet::IsLive(router)) continue;
      const auto name = router.id.empty() ? router.address : router.id;
      if (!router.status) {
        report_.missing.push_back(name + " (does not answer)");
      } else if (router.status->config_version() < report_.version &&
                 !router.status->leaving()) {
        report_.missing.push_back(fmt::format("{} (version {})", name,
                                              router.status->config_version()));
      }
    }
    if (report_.missing.empty() && fleet_.AnyAnswer()) return;
    if (steady_clock::now() >= end) break;
    std::this_thread::sleep_for(options_.poll_interval);
  }
  Fail(ResultCode::kConfigNotInForce,
       fmt::format("version {} is accepted, but not in force on: {}. They "
                   "follow when they reach the log or another router; nothing "
                   "has to be published again",
                   report_.version,
                   report_.missing.empty()
                       ? "any router, because none answers"
                       : fmt::format("{}", fmt::join(report_.missing, ", "))));
}

PublishReport Publisher::DeclareLost(const std::string& vm) {
  report_ = {};
  fleet_ = GatherFleet(client_, options_.routers);
  if (!fleet_.AnyAnswer()) {
    Fail(ResultCode::kOperatorUnreachable,
         "nothing was declared: no router answers\n" + fleet_.DescribeSilent());
    return std::move(report_);
  }
  if (!LogReachable()) {
    Fail(ResultCode::kLogUnavailable,
         "nothing was declared: no answering router reaches the log");
    return std::move(report_);
  }
  if (!CheckLost(vm)) return std::move(report_);
  for (const auto& address : AnsweringRouters()) {
    const auto result = client_.DeclareLost(address, vm, options_.author);
    if (result) {
      report_.sent = true;
      report_.outcome = {ResultCode::kOk, {}};
      report_.notes.push_back(fmt::format("{} is declared lost.", vm));
      break;
    }
    const Error& error = result.error();
    if (error.code == ResultCode::kLogAnswerLost) {
      report_.sent = true;
      Fail(error.code,
           fmt::format("the declaration may have taken effect: {}. Repeating "
                       "the same command is safe",
                       error.detail));
      break;
    }
    Fail(error.code, "nothing was declared: " + error.detail);
    if (!MayAskAnother(error.code)) break;
  }
  return std::move(report_);
}

bool Publisher::CheckLost(const std::string& vm) {
  bool known = false;
  for (const auto& router : fleet_.routers) {
    if (router.id != vm) continue;
    known = true;
    if (Fleet::IsLive(router)) {
      Fail(
          ResultCode::kOperatorUsage,
          fmt::format("nothing was declared: router {} is not lost, because "
                      "{}",
                      vm, router.status ? "it answers" : "another reaches it"));
      return false;
    }
  }
  if (known) return true;
  const auto in_force = NewestConfiguration();
  // Without a configuration a wrong name can't be told from a right one.
  if (!in_force || in_force.value().version() == 0) return true;
  const auto config = ParseConfig(in_force.value().body());
  if (!config) return true;
  for (const auto& service : config.value().services()) {
    for (const auto& endpoint : service.endpoints()) {
      const auto& name =
          endpoint.vm().empty() ? endpoint.name() : endpoint.vm();
      if (name == vm) return true;
    }
  }
  Fail(ResultCode::kOperatorNotFound,
       fmt::format("nothing was declared: {} is neither a known router nor the "
                   "VM of an endpoint in force",
                   vm));
  return false;
}

bool Publisher::LogReachable() const {
  return std::ranges::any_of(fleet_.routers, [](const RouterAnswer& router) {
    return router.status && router.status->log_reachable();
  });
}

Result<schema::ConfigSnapshot> Publisher::NewestConfiguration() {
  auto addresses = AnsweringRouters();
  // An accepted version spreads to all routers within seconds, so a few of
  // them are enough.
  addresses.resize(std::min(addresses.size(), kMaxConfigurationReads));
  std::vector<Result<schema::ConfigSnapshot>> answers(
      addresses.size(), Error{ResultCode::kOperatorUnreachable, {}});
  RunInParallel(addresses.size(), [&](std::size_t i) {
    answers[i] = client_.Configuration(addresses[i]);
  });
  std::optional<schema::ConfigSnapshot> newest;
  Error error{ResultCode::kOperatorUnreachable, "no router answers"};
  for (auto& answer : answers) {
    if (!answer) {
      error = answer.error();
    } else if (!newest || answer.value().version() > newest->version()) {
      newest = std::move(answer).value();
    }
  }
  if (newest) return *std::move(newest);
  return error;
}

std::vector<std::string> Publisher::AnsweringRouters() const {
  std::vector<std::string> addresses;
  for (const auto& router : fleet_.routers) {
    if (router.status) addresses.push_back(router.address);
  }
  // The one with the newest configuration and a working log comes first.
  const RouterAnswer* const best = fleet_.Best();
  std::ranges::stable_partition(addresses, [&](const std::string& address) {
    return best != nullptr && address == best->address;
  });
  return addresses;
}

void Publisher::Fail(ResultCode code, std::string detail) {
  report_.outcome = {code, std::move(detail)};
}

}  // namespace balsamhall
