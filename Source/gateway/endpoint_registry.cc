#include "gateway/endpoint_registry.h"

#include <algorithm>
#include <ranges>

namespace balsamhall::gateway {
namespace {

// The users state that lapsed entries are back about two seconds after the
// store; the rest covers the poll interval.
constexpr Milliseconds kLapseGrace{2'200};

bool SameExceptDrain(const EndpointInfo& a, const EndpointInfo& b) {
  return a.ref == b.ref && a.service == b.service && a.address == b.address &&
         a.data_centre == b.data_centre && a.slots == b.slots;
}

}  // namespace

std::map<std::string, AddressHolder> AddressHolders(
    const std::map<EndpointId, EndpointInfo>& endpoints,
    const std::map<ServiceId, ServiceSpec>& services) {
  std::map<std::string, AddressHolder> holders;
  for (const auto& endpoint : endpoints | std::views::values) {
    const auto service = services.find(endpoint.service);
    if (service == services.end()) continue;
    AddressHolder& holder = holders[endpoint.address];
    if (holder.ref.incarnation <= endpoint.ref.incarnation) {
      holder = {endpoint.ref, service->second.sharded_by_key};
    }
  }
  return holders;
}

bool EndpointRegistry::HoldRemovals(SteadyTime now) const {
  return store_away_ || (store_back_ && now < *store_back_ + kLapseGrace);
}

std::optional<EndpointRegistry::Change> EndpointRegistry::OnEntry(
    const EndpointId& id, std::optional<EndpointInfo> entry, SteadyTime now) {
  if (!entry) return Remove(id, now, false);
  held_.erase(id);
  const auto [position, added] = endpoints_.try_emplace(id, *entry);
  if (added) return Change{Change::Kind::kAdded, *entry};
  const EndpointInfo before = std::exchange(position->second, *entry);
  if (!SameExceptDrain(before, *entry)) {
    return Change{Change::Kind::kChanged, *entry};
  }
  if (before.draining != entry->draining) {
    return Change{
        entry->draining ? Change::Kind::kDraining : Change::Kind::kChanged,
        *entry};
  }
  return std::nullopt;
}

std::optional<EndpointRegistry::Change> EndpointRegistry::Remove(
    const EndpointId& id, SteadyTime now, bool settled) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return std::nullopt;
  // A leaving endpoint is not expected back.
  if (!settled && HoldRemovals(now) && !found->second.draining) {
    const auto end =
        store_away_ ? SteadyTime::max() : *store_back_ + kLapseGrace;
    if (!held_.emplace(id, end).second) return std::nullopt;
    return Change{Change::Kind::kRemovalHeld, found->second};
  }
  Change change{Change::Kind::kRemoved, found->second};
  endpoints_.erase(found);
  held_.erase(id);
  return change;
}

std::vector<EndpointRegistry::Change> EndpointRegistry::OnListing(
    const std::map<EndpointId, EndpointInfo>& entries, SteadyTime now,
    bool settled) {
  loaded_ = true;
  std::vector<EndpointId> missing;
  for (const auto& id : endpoints_ | std::views::keys) {
    if (!entries.contains(id)) missing.push_back(id);
  }
  std::vector<Change> changes;
  const auto add = [&](std::optional<Change> change) {
    if (change) changes.push_back(std::move(*change));
  };
  for (const auto& id : missing) add(Remove(id, now, settled));
  for (const auto& [id, entry] : entries) add(OnEntry(id, entry, now));
  return changes;
}

void EndpointRegistry::OnStoreAway() { store_away_ = true; }

void EndpointRegistry::OnStoreBack(SteadyTime now) {
  if (!store_away_) return;
  store_away_ = false;
  store_back_ = now;
  for (auto& end : held_ | std::views::values) end = now + kLapseGrace;
}

std::vector<EndpointRegistry::Change> EndpointRegistry::Expire(SteadyTime now) {
  std::vector<EndpointId> due;
  for (const auto& [id, end] : held_) {
    if (end <= now) due.push_back(id);
  }
  std::vector<Change> changes;
  for (const auto& id : due) {
    held_.erase(id);
    auto change = Remove(id, now, true);
    if (change) changes.push_back(std::move(*change));
  }
  return changes;
}

}  // namespace balsamhall::gateway
