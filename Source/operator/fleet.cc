#include "operator/fleet.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <tuple>

namespace balsamhall {
namespace {

constexpr std::size_t kMaxThreads = 16;

void Ask(ControlClient& client, std::vector<RouterAnswer*> routers) {
  RunInParallel(routers.size(), [&](std::size_t i) {
    RouterAnswer& router = *routers[i];
    auto status = client.Status(router.address);
    if (status) {
      router.id = status.value().router().id();
      router.status = std::move(status).value();
    } else {
      router.error = std::move(status).error();
    }
  });
}

}  // namespace

bool Fleet::IsLive(const RouterAnswer& router) {
  return router.status.has_value() || router.reachable_by_peers;
}

bool Fleet::AnyAnswer() const { return Best() != nullptr; }

const RouterAnswer* Fleet::Best() const {
  const RouterAnswer* best = nullptr;
  const auto order = [](const RouterAnswer& router) {
    return std::tuple(router.status->config_version(),
                      router.status->log_reachable(), router.status->ready());
  };
  for (const auto& router : routers) {
    if (!router.status) continue;
    if (best == nullptr || order(router) > order(*best)) best = &router;
  }
  return best;
}

std::map<EndpointId, EndpointReport> Fleet::Endpoints() const {
  std::map<EndpointId, EndpointReport> newest;
  const auto order = [](const schema::EndpointRouting& routing) {
    return std::tuple(FromProto(routing.view().term()), routing.revision());
  };
  for (const auto& router : routers) {
    if (!router.status) continue;
    for (const auto& routing : router.status->endpoints()) {
      const auto [found, inserted] = newest.try_emplace(
          routing.view().endpoint(), EndpointReport{routing, router.id});
      if (!inserted && order(routing) > order(found->second.routing)) {
        found->second = {routing, router.id};
      }
    }
  }
  return newest;
}

std::string Fleet::DescribeSilent() const {
  std::string text;
  for (const auto& router : routers) {
    if (router.status) continue;
    text += fmt::format(
        "Router {} does not answer{}: {}.\n",
        router.id.empty() ? router.address : router.id,
        router.reachable_by_peers ? ", but other routers reach it" : "",
        router.error.detail);
  }
  return text;
}

Fleet GatherFleet(ControlClient& client,
                  const std::vector<std::string>& addresses) {
  std::map<std::string, RouterAnswer> by_address;
  std::vector<RouterAnswer*> pending;
  const auto add = [&](const std::string& address) -> RouterAnswer& {
    const auto [found, inserted] = by_address.try_emplace(address);
    if (inserted) {
      found->second.address = address;
      pending.push_back(&found->second);
    }
    return found->second;
  };
  for (const auto& address : addresses) add(address);
  while (!pending.empty()) {
    const auto asked = std::exchange(pending, {});
    Ask(client, asked);
    for (const RouterAnswer* router : asked) {
      if (!router->status) continue;
      for (const auto& peer : router->status->peers()) {
        if (peer.join().control_address().empty()) continue;
        RouterAnswer& known = add(peer.join().control_address());
        if (known.id.empty()) known.id = peer.join().id();
        known.reachable_by_peers |= peer.reachable();
      }
    }
  }
  Fleet fleet;
  for (auto& [address, router] : by_address) {
    fleet.routers.push_back(std::move(router));
  }
  std::ranges::stable_sort(fleet.routers, {}, &RouterAnswer::id);
  return fleet;
}

void RunInParallel(std::size_t count,
                   const std::function<void(std::size_t)>& task) {
  std::atomic<std::size_t> next{0};
  std::vector<std::jthread> threads;
  for (std::size_t i = 0; i < std::min(count, kMaxThreads); ++i) {
    threads.emplace_back([&] {
      for (std::size_t j = next++; j < count; j = next++) task(j);
    });
  }
}

}  // namespace balsamhall
