// Single random faults.
#include <array>
#include <csignal>

#include "Soak/soak_run.h"

namespace balsamhall::soak {
namespace {

using stand_in::EndpointFault;
using stand_in::StoreFault;

constexpr std::array<std::pair<LinkFault, const char*>, 4> kLinkFaults{
    {{LinkFault::kDelay, "delayed"},
     {LinkFault::kReset, "reset"},
     {LinkFault::kSilent, "silent"},
     {LinkFault::kOneWay, "one way"}}};
constexpr std::array<StoreFault, 3> kStoreFaults{
    StoreFault::kBusy, StoreFault::kSilent, StoreFault::kLoseAppends};
constexpr std::array<EndpointFault, 5> kEndpointFaults{
    EndpointFault::kShed, EndpointFault::kReset, EndpointFault::kError,
    EndpointFault::kForeign, EndpointFault::kSilent};

}  // namespace

void Soak::SetLink(LoopbackProxy& link, const std::string& name) {
  const auto& [fault, text] = kLinkFaults.at(Pick(kLinkFaults.size()));
  Note("link " + name + " " + text);
  link.Set(fault);
  After(Between(200, 4'000), [&link] { link.Set(LinkFault::kNone); });
}

void Soak::InjectFault() {
  Gateway& gateway = gateways_[Pick(gateways_.size())];
  Server& server = servers_[Pick(servers_.size())];
  switch (Pick(10)) {
    case 0:
      if (!gateway.restarting) Pause(gateway, Between(200, 5'000));
      break;
    case 1:
      Kill(gateway);
      break;
    case 2:
      Stop(gateway);
      break;
    case 3:
      if (!gateway.restarting) gateway.process->Signal(SIGHUP);
      Note("reload " + gateway.id);
      break;
    case 4: {
      const std::size_t kind = Pick(kStoreFaults.size());
      Note("store fault " + std::to_string(kind));
      store_.set_fault(kStoreFaults.at(kind));
      After(Between(300, 6'000),
            [this] { store_.set_fault(StoreFault::kNone); });
      break;
    }
    case 5:
      SetLink(*gateway.store_link, gateway.id + " to the store");
      break;
    case 6:
      SetLink(*server.link, "to " + server.endpoint->id());
      break;
    case 7: {
      const std::size_t kind = Pick(kEndpointFaults.size());
      Note("endpoint " + server.endpoint->id() + " fault " +
           std::to_string(kind));
      server.endpoint->set_fault(kEndpointFaults.at(kind));
      After(Between(200, 3'000),
            [&server] { server.endpoint->set_fault(EndpointFault::kNone); });
      break;
    }
    case 8:
      if (!server.registered) break;
      Note("restart " + server.endpoint->id());
      Register(server, "");
      server.endpoint->Restart();
      After(Between(200, 2'500),
            [this, &server] { Register(server, "ready"); });
      break;
    default:
      Note("configuration " + std::to_string(++config_));
      store_.Put("keyed.op", "config", Config(config_).dump());
  }
  if (options_.break_promises) {
    server.endpoint->set_fault(EndpointFault::kFalsePromise);
  }
}

}  // namespace balsamhall::soak
