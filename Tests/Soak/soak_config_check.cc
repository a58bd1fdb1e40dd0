// Checks that each gateway has a configuration in force in time and never
// returns to an earlier one. Version N has the routes mark1 to markN.
#include <algorithm>
#include <numeric>
#include <ranges>

#include "Soak/soak_run.h"

namespace balsamhall::soak {
namespace {

using nlohmann::json;

// The users' bound until an accepted configuration is in force.
constexpr Milliseconds kApply{2'500};
constexpr Milliseconds kProbeInterval{150};
constexpr Milliseconds kLagTick{10};
// Shorter delays of this loop are usual.
constexpr Milliseconds kMinLag{50};
// Bytes that a narrow link carries in a millisecond, each way.
constexpr std::size_t kNarrowBytesPerMs = 500;
// Configurations of this time before one may still be under way.
constexpr Milliseconds kUnderWay{10'000};
// Further routes of some configurations.
constexpr int kMinBulk = 1'500;
constexpr int kMaxBulk = 4'300;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;

}  // namespace

void Soak::WriteConfiguration() {
  ++config_;
  json config = Config(config_);
  const json route = config["routes"]["read"];
  const auto add = [&](const std::string& name) {
    json& added = config["routes"][name] = route;
    added["path_prefix"] = "/" + name + "/";
  };
  for (int i = 1; i <= config_; ++i) add("mark" + std::to_string(i));
  const int bulk =
      Pick(4) == 0 ? static_cast<int>(Between(kMinBulk, kMaxBulk).count()) : 0;
  for (int i = 0; i < bulk; ++i) add("bulk" + std::to_string(i));
  // Callers keep connections idle for longer than the shorter limits.
  config["limits"]["idle_timeout"] =
      std::to_string(Between(500, 15'000).count()) + "ms";
  const std::string text = config.dump();
  versions_.resize(static_cast<std::size_t>(config_) + 1);
  versions_.back() = {std::chrono::steady_clock::now(), text.size()};
  Note("configuration " + std::to_string(config_) + " of " +
       std::to_string(text.size()) + " bytes");
  if (config_ == 1 || !options_.withhold_configurations) {
    store_.Put("keyed.op", "config", text);
  }
}

void Soak::Disturbed(Gateway& gateway, SteadyTime until) {
  const auto now = std::chrono::steady_clock::now();
  for (Gateway& other : gateways_) {
    if (other.zone != gateway.zone) continue;
    if (options_.stand_still && &other != &gateway) continue;
    other.undisturbed_since =
        std::max(other.undisturbed_since, &other == &gateway ? until : now);
  }
}

SteadyTime Soak::Due(const Gateway& gateway, int version) const {
  const Version& wanted = versions_.at(static_cast<std::size_t>(version));
  auto due =
      std::max({wanted.written, gateway.undisturbed_since, gateway.ready_by}) +
      kApply + LagSince(wanted.written);
  if (gateway.narrow_until > wanted.written) {
    std::size_t bytes = 0;
    for (const Version& other : versions_) {
      if (other.written + kUnderWay > wanted.written) bytes += other.bytes;
    }
    due += Milliseconds(bytes / kNarrowBytesPerMs);
  }
  return due;
}

void Soak::ProbeConfiguration(Gateway& gateway, int round) {
  if (!calling_) return;
  After(kProbeInterval,
        [this, &gateway, round] { ProbeConfiguration(gateway, round + 1); });
  const auto now = std::chrono::steady_clock::now();
  // By turns: the newest version, the newest that is due, the one seen before.
  int version = config_;
  if (round % 3 == 1) {
    while (version > 1 && Due(gateway, version) > now) --version;
  } else if (round % 3 == 2) {
    version = gateway.version;
  }
  if (version < 1 || gateway.restarting) return;
  HttpRequest request{
      "GET",
      "/mark" + std::to_string(version) + "/x",
      {{"Host", "host.example"},
       {"X-Balsamhall-Request-Id", "probe" + std::to_string(++last_id_)},
       {"X-Balsamhall-Deadline-Ms", "1000"}},
      "",
      0};
  gateway.client->Send(
      std::move(request), kCallerPatience,
      [this, &gateway, version, now, start = gateway.starts,
       seen = gateway.version](const HttpClient::Outcome& outcome) {
        if (!outcome.response || gateway.starts != start) return;
        const unsigned status = outcome.response->status;
        // A rejection may come before the route is looked up.
        if (status == kTooMany || status == kUnavailable) return;
        CheckProbe(gateway, version, seen, status != kNotFound, now);
      });
}

void Soak::CheckProbe(Gateway& gateway, int version, int seen, bool found,
                      SteadyTime sent) {
  const bool due = !gateway.paused && !gateway.stopping &&
                   !gateway.restarting && Due(gateway, version) <= sent;
  if (due) ++result_.checked_versions;
  if (found) {
    if (gateway.version == 0) {
      gateway.ready_by =
          std::min(gateway.ready_by, std::chrono::steady_clock::now());
    }
    gateway.version = std::max(gateway.version, version);
    return;
  }
  if (version <= seen) {
    Violation(gateway.id + " has lost configuration " +
              std::to_string(version));
  }
  if (!due || version <= gateway.reported_version) return;
  gateway.reported_version = version;
  const auto age = std::chrono::duration_cast<Milliseconds>(
      sent - versions_.at(static_cast<std::size_t>(version)).written);
  Violation(gateway.id + " has not configuration " + std::to_string(version) +
            " in force after " + std::to_string(age.count()) + "ms");
}

Milliseconds Soak::LagSince(SteadyTime since) const {
  auto late = lags_ | std::views::reverse |
              std::views::take_while(
                  [&](const auto& lag) { return lag.first >= since; }) |
              std::views::values | std::views::common;
  return std::accumulate(late.begin(), late.end(), Milliseconds(0));
}

void Soak::WatchLag(SteadyTime last) {
  After(kLagTick, [this, last] {
    const auto now = std::chrono::steady_clock::now();
    const auto lag =
        std::chrono::duration_cast<Milliseconds>(now - last) - kLagTick;
    if (lag >= kMinLag) lags_.emplace_back(now, lag);
    WatchLag(now);
  });
}

}  // namespace balsamhall::soak
