#include "gateway/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <ranges>

namespace balsamhall::gateway {
namespace {

std::string NormalizedHost(std::string_view host) {
  std::string name(host.substr(0, host.rfind(':')));
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

bool SameServices(const std::vector<WeightedService>& a,
                  const std::vector<WeightedService>& b) {
  return std::ranges::equal(a, b, [](const auto& x, const auto& y) {
    return x.service == y.service && x.weight == y.weight;
  });
}

}  // namespace

RouteTable::RouteTable(RoutingConfig config) : config_(std::move(config)) {
  for (std::size_t i = 0; i < config_.routes.size(); ++i) {
    by_host_[NormalizedHost(config_.routes[i].host)].push_back(i);
  }
  const auto prefix_length = [this](std::size_t i) {
    return config_.routes[i].path_prefix.size();
  };
  for (auto& indices : by_host_ | std::views::values) {
    std::ranges::sort(indices, std::greater{}, prefix_length);
  }
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view target) const {
  const auto found = by_host_.find(NormalizedHost(host));
  if (found == by_host_.end()) return nullptr;
  const auto path = target.substr(0, target.find('?'));
  const auto match =
      std::ranges::find_if(found->second, [&](std::size_t index) {
        return path.starts_with(config_.routes[index].path_prefix);
      });
  return match == found->second.end() ? nullptr : &config_.routes[*match];
}

const ServiceSpec* RouteTable::Service(const ServiceId& name) const {
  const auto found = config_.services.find(name);
  return found == config_.services.end() ? nullptr : &found->second;
}

const ServiceId& SplitPicker::Pick(const Route& route) {
  if (route.services.size() == 1) return route.services.front().service;
  State& state = states_[route.name];
  if (!SameServices(state.services, route.services)) {
    state = {route.services,
             std::vector<std::int64_t>(route.services.size(), 0)};
  }
  std::int64_t total = 0;
  for (std::size_t i = 0; i < route.services.size(); ++i) {
    state.current_weights[i] += route.services[i].weight;
    total += route.services[i].weight;
  }
  const auto best = std::ranges::max_element(state.current_weights);
  *best -= total;
  return route.services[best - state.current_weights.begin()].service;
}

}  // namespace balsamhall::gateway
