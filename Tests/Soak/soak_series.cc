// Planned work and faults in series that overlap.
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "Soak/soak_run.h"

namespace balsamhall::soak {
namespace {

using stand_in::StoreFault;

constexpr Milliseconds kConfigurationInterval{330};
constexpr std::array<std::pair<LinkFault, const char*>, 5> kLinkFaults{
    {{LinkFault::kNarrow, "narrow"},
     {LinkFault::kDelay, "delayed"},
     {LinkFault::kReset, "reset"},
     {LinkFault::kSilent, "silent"},
     {LinkFault::kOneWay, "one way"}}};
constexpr std::array<StoreFault, 3> kStoreFaults{
    StoreFault::kBusy, StoreFault::kSilent, StoreFault::kLoseAppends};

}  // namespace

void Soak::InjectSeries() {
  // Faults would excuse each gateway that lacks a configuration.
  if (options_.withhold_configurations) return ChangeConfiguration(1);
  Gateway& gateway = gateways_[Pick(gateways_.size())];
  switch (Pick(12)) {
    case 0:
    case 1:
    case 2:
      StopSeries();
      break;
    case 3:
    case 4: {
      const int reloads = static_cast<int>(Between(1, 4).count());
      for (int i = 0; i < reloads; ++i) {
        After(Between(0, 600), [this, &gateway] { ReloadWithChange(gateway); });
      }
      break;
    }
    case 5:
    case 6:
    case 7:
      ChangeConfiguration(static_cast<int>(Between(1, 10).count()));
      break;
    case 8:
      Leave(servers_[Pick(servers_.size())]);
      break;
    case 9:
      DisturbLink();
      break;
    case 10:
      DisturbStore();
      break;
    default:
      if (Pick(2) == 0) {
        Pause(gateway, Between(200, 5'000));
      } else {
        Kill(gateway);
      }
  }
}

void Soak::StopSeries() {
  const std::size_t count = 1 + Pick((gateways_.size() + 1) / 2);
  const std::size_t first = Pick(gateways_.size());
  const bool at_once = Pick(2) == 0;
  for (std::size_t i = 0; i < count; ++i) {
    Gateway& gateway = gateways_[(first + i) % gateways_.size()];
    const Milliseconds delay = at_once ? Milliseconds(0) : Between(0, 2'000);
    // A reload right before, in the same moment or during the stop.
    if (Pick(2) == 0) {
      After(delay, [this, &gateway] { ReloadWithChange(gateway); });
    }
    After(delay, [this, &gateway] {
      if (!healed_ && gateway.version > 0) Stop(gateway);
    });
    if (Pick(3) == 0) {
      After(delay + Between(0, 3'000),
            [this, &gateway] { ReloadWithChange(gateway); });
    }
  }
}

void Soak::ReloadWithChange(Gateway& gateway) {
  // A signal before the process handles signals ends it.
  if (healed_ || gateway.restarting || gateway.version == 0) return;
  Note("reload " + gateway.id);
  gateway.settings["bounds"]["retry_budget_slack"] = 100 + ++reloads_;
  const std::string text = gateway.settings.dump();
  std::ofstream(gateway.settings_file + ".new") << text;
  std::filesystem::rename(gateway.settings_file + ".new",
                          gateway.settings_file);
  gateway.process->Signal(SIGHUP);
}

void Soak::ChangeConfiguration(int left) {
  if (left == 0 || healed_) return;
  WriteConfiguration();
  After(kConfigurationInterval,
        [this, left] { ChangeConfiguration(left - 1); });
}

void Soak::Leave(Server& server) {
  if (server.leaving) return;
  Note("leave " + server.endpoint->id());
  server.leaving = true;
  server.endpoint->set_leaving(true);
  const Milliseconds gone = Between(1'500, 4'000);
  const Milliseconds back = gone + Between(200, 2'500);
  After(Between(0, 500), [this, &server] {
    if (server.leaving) Register(server, "draining");
  });
  After(gone, [this, &server] {
    if (!server.leaving) return;
    Register(server, "");
    server.endpoint->Restart();
    server.endpoint->set_leaving(false);
  });
  After(back, [this, &server] {
    if (!server.leaving) return;
    server.leaving = false;
    Register(server, "ready");
  });
}

void Soak::DisturbLink() {
  const auto& [fault, text] = kLinkFaults.at(Pick(kLinkFaults.size()));
  const Milliseconds length = Between(200, 5'000);
  if (Pick(2) == 0) {
    Server& server = servers_[Pick(servers_.size())];
    Note("link to " + server.endpoint->id() + " " + text);
    server.link->Set(fault);
    After(length, [&server] { server.link->Set(LinkFault::kNone); });
    return;
  }
  // Some of the gateways, as behind a link between data centres.
  const std::size_t count = 1 + Pick(gateways_.size());
  const std::size_t first = Pick(gateways_.size());
  const auto until = std::chrono::steady_clock::now() + length;
  for (std::size_t i = 0; i < count; ++i) {
    Gateway& gateway = gateways_[(first + i) % gateways_.size()];
    Note("link " + gateway.id + " to the store " + text);
    gateway.store_link->Set(fault);
    if (fault == LinkFault::kNarrow) {
      gateway.narrow_until = until;
    } else if (fault != LinkFault::kDelay) {
      Disturbed(gateway, until);
    }
    After(length, [&gateway] { gateway.store_link->Set(LinkFault::kNone); });
  }
}

void Soak::DisturbStore() {
  const std::size_t kind = Pick(kStoreFaults.size());
  const Milliseconds length = Between(300, 5'000);
  Note("store fault " + std::to_string(kind));
  store_.set_fault(kStoreFaults.at(kind));
  for (Gateway& gateway : gateways_) {
    Disturbed(gateway, std::chrono::steady_clock::now() + length);
  }
  After(length, [this] { store_.set_fault(StoreFault::kNone); });
}

}  // namespace balsamhall::soak
