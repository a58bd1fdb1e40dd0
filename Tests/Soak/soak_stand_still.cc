// Gateways that stand still and a store that turns some gateways away, while
// the configuration changes.
#include <array>

#include "Soak/soak_run.h"

namespace balsamhall::soak {
namespace {

// One gateway of so many is spared from pauses and cuts.
constexpr std::size_t kSparedInterval = 4;
// How the store turns a gateway away.
constexpr std::array<std::pair<LinkFault, const char*>, 3> kTurnedAway{
    {{LinkFault::kReset, "reset"},
     {LinkFault::kSilent, "silent"},
     {LinkFault::kOneWay, "one way"}}};

}  // namespace

void Soak::InjectStandStill() {
  switch (Pick(10)) {
    case 0:
      return StopSeries();
    case 1:
      return ReloadWithChange(gateways_[Pick(gateways_.size())]);
    case 2:
      return Leave(servers_[Pick(servers_.size())]);
    default:
      return StandStillSeries();
  }
}

void Soak::StandStillSeries() {
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    const std::size_t kind = Pick(8);
    // With one spared gateway only, it would become the leader, which reads the
    // store in any case.
    if (i % kSparedInterval == seed_ % kSparedInterval) continue;
    Gateway& gateway = gateways_[i];
    const Milliseconds length = Between(1'500, 4'000);
    if (kind < 5) {
      After(Between(300, 1'200), [this, &gateway, length] {
        if (!healed_ && !gateway.paused) Pause(gateway, length);
      });
    } else if (kind < 7) {
      // First, so that it has noticed when the others stand still.
      After(Between(0, 300),
            [this, &gateway, length] { TurnAway(gateway, length); });
    }
  }
  const int changes = static_cast<int>(Between(1, 3).count());
  After(Between(300, 1'500), [this, changes] { ChangeConfiguration(changes); });
}

void Soak::TurnAway(Gateway& gateway, Milliseconds length) {
  if (healed_) return;
  const auto& [fault, text] = kTurnedAway.at(Pick(kTurnedAway.size()));
  Note("link " + gateway.id + " to the store " + text);
  gateway.store_link->Set(fault);
  Disturbed(gateway, std::chrono::steady_clock::now() + length);
  After(length, [&gateway] { gateway.store_link->Set(LinkFault::kNone); });
}

}  // namespace balsamhall::soak
