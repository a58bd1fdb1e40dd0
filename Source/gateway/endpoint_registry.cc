#include "gateway/endpoint_registry.h"

#include <algorithm>
#include <ranges>

namespace balsamhall::gateway {
namespace {

// According to the users, lapsed entries return about two seconds after the
// store; the rest covers the poll interval.
constexpr Milliseconds kRemovalGrace{2'200};
// An entry that puts the end of the warm-up off by no more than this was
// delayed on its way; one that puts it off by more states another warm-up.
constexpr Milliseconds kWarmUpTolerance{1'000};

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

std::optional<SteadyTime> EndpointRegistry::RemovalDue(SteadyTime added,
                                                       SteadyTime now) const {
  if (!InGrace(now)) return std::nullopt;
  if (store_lost_) return SteadyTime::max();
  // An endpoint that became known after the store's return has not lapsed
  // before it.
  if (added > *store_regained_at_) return std::nullopt;
  return *store_regained_at_ + kRemovalGrace;
}

std::optional<EndpointRegistry::Change> EndpointRegistry::OnEntry(
    const EndpointId& id, std::optional<EndpointInfo> entry, SteadyTime now) {
  // Appended since the restore.
  held_.erase(id);
  return Apply(id, std::move(entry), now);
}

std::optional<EndpointInfo> EndpointRegistry::Hold(const EndpointInfo& entry) {
  const auto found = held_.find(entry.ref.id);
  if (found == held_.end()) return entry;
  Held& held = found->second;
  if (entry.ref.incarnation > held.incarnation) {
    held_.erase(found);
    return entry;
  }
  held.listed = entry;
  if (held.removed) return std::nullopt;
  EndpointInfo draining = entry;
  draining.draining = true;
  return draining;
}

std::size_t EndpointRegistry::OnStoreRestored(SteadyTime now) {
  std::erase_if(removed_, [&](const auto& entry) {
    return now - entry.second.at > kMaxCopyAge;
  });
  // What an earlier restore still holds stays held.
  for (const auto& [id, removed] : removed_) {
    held_.insert_or_assign(id, Held{removed.incarnation, true, {}});
  }
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.draining) continue;
    held_.insert_or_assign(id, Held{endpoint.ref.incarnation, false, {}});
  }
  held_until_ = now + kRestoreHold;
  if (!store_lost_) {
    OnStoreLost();
    OnStoreRegained(now);
  }
  return held_.size();
}

void EndpointRegistry::EndHold(SteadyTime now, std::vector<Change>& changes) {
  if (!held_until_ || now < *held_until_) return;
  held_until_.reset();
  for (auto& [id, held] : std::exchange(held_, {})) {
    if (!held.listed) continue;
    auto change = Apply(id, std::move(held.listed), now);
    if (change) changes.push_back(std::move(*change));
  }
}

std::optional<EndpointRegistry::Change> EndpointRegistry::Apply(
    const EndpointId& id, std::optional<EndpointInfo> entry, SteadyTime now) {
  if (!entry) return Remove(id, now);
  deferred_.erase(id);
  const bool turned_cold = RecordWarmUp(*entry, now);
  removed_.erase(id);
  const auto [position, added] = endpoints_.try_emplace(id, *entry);
  if (added) {
    added_.insert_or_assign(id, now);
    return Change{Change::Kind::kAdded, *entry};
  }
  const EndpointInfo before = std::exchange(position->second, *entry);
  if (!SameExceptDrain(before, *entry)) {
    return Change{Change::Kind::kChanged, *entry};
  }
  if (before.draining != entry->draining) {
    return Change{
        entry->draining ? Change::Kind::kDraining : Change::Kind::kChanged,
        *entry};
  }
  if (turned_cold) return Change{Change::Kind::kCold, *entry};
  return std::nullopt;
}

bool EndpointRegistry::RecordWarmUp(const EndpointInfo& entry, SteadyTime now) {
  WarmUp& warm_up = warm_ups_[entry.ref.id];
  // Only the first sight of an entry says when it was true.
  if (entry.entry_version != 0 &&
      warm_up.entry_version == entry.entry_version &&
      warm_up.ref == entry.ref && warm_up.stated == entry.warm_up_left) {
    return false;
  }
  const SteadyTime warm_at = now + entry.warm_up_left;
  const bool turned_cold =
      entry.warm_up_left > Milliseconds(0) &&
      (warm_up.warm_at <= now || warm_at > warm_up.warm_at + kWarmUpTolerance);
  warm_up = {entry.ref, entry.entry_version, entry.warm_up_left, warm_at};
  return turned_cold;
}

Milliseconds EndpointRegistry::WarmUpLeft(const EndpointId& id,
                                          SteadyTime now) const {
  const auto found = warm_ups_.find(id);
  if (found == warm_ups_.end() || found->second.warm_at <= now) {
    return Milliseconds(0);
  }
  return std::chrono::ceil<Milliseconds>(found->second.warm_at - now);
}

std::optional<EndpointRegistry::Change> EndpointRegistry::Remove(
    const EndpointId& id, SteadyTime now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return std::nullopt;
  const auto due_at = RemovalDue(added_.at(id), now);
  // A draining endpoint is not expected to return.
  if (!due_at || found->second.draining) return RemoveNow(found, now);
  if (!deferred_.emplace(id, *due_at).second) return std::nullopt;
  return Change{Change::Kind::kRemovalDeferred, found->second};
}

EndpointRegistry::Change EndpointRegistry::RemoveNow(
    std::map<EndpointId, EndpointInfo>::iterator position, SteadyTime now) {
  Change change{Change::Kind::kRemoved, std::move(position->second)};
  const EndpointRef& ref = change.endpoint.ref;
  endpoints_.erase(position);
  removed_.insert_or_assign(ref.id, Removed{ref.incarnation, now});
  added_.erase(ref.id);
  warm_ups_.erase(ref.id);
  deferred_.erase(ref.id);
  return change;
}

std::map<EndpointId, EndpointInfo> EndpointRegistry::Listed() const {
  std::map<EndpointId, EndpointInfo> listed = endpoints_;
  std::erase_if(listed, [this](const auto& entry) {
    return deferred_.contains(entry.first);
  });
  return listed;
}

std::vector<EndpointRegistry::Change> EndpointRegistry::OnListing(
    const std::map<EndpointId, EndpointInfo>& entries, SteadyTime now) {
  loaded_ = true;
  // An entry that was held back and is gone does not return after the hold.
  for (auto& [id, held] : held_) {
    if (!entries.contains(id)) held.listed.reset();
  }
  std::map<EndpointId, EndpointInfo> counted;
  for (const auto& [id, entry] : entries) {
    if (auto held = Hold(entry)) counted.emplace(id, std::move(*held));
  }
  // A held drain of an endpoint that the listing lacks has nothing to undo.
  std::vector<EndpointId> missing;
  for (const auto& id : endpoints_ | std::views::keys) {
    if (!counted.contains(id)) missing.push_back(id);
  }
  std::vector<Change> changes;
  const auto add = [&](std::optional<Change> change) {
    if (change) changes.push_back(std::move(*change));
  };
  for (const auto& id : missing) add(Remove(id, now));
  for (const auto& [id, entry] : counted) add(Apply(id, entry, now));
  return changes;
}

void EndpointRegistry::OnStoreLost() { store_lost_ = true; }

void EndpointRegistry::OnStoreRegained(SteadyTime now) {
  if (!store_lost_) return;
  store_lost_ = false;
  store_regained_at_ = now;
  for (auto& due : deferred_ | std::views::values) due = now + kRemovalGrace;
}

void EndpointRegistry::OnLogShown(BootTime as_of, ShownBy by, SteadyTime now) {
  // An older proof says nothing about the time since this one.
  if (as_of <= shown_as_of_) return;
  const BootTime before = std::exchange(shown_as_of_, as_of);
  if (by == ShownBy::kGateway) {
    store_lost_ = false;
    store_regained_at_.reset();
    for (auto& due : deferred_ | std::views::values) due = std::min(due, now);
  } else if (as_of - before > kMaxGap) {
    OnStoreLost();
    OnStoreRegained(now);
  }
}

bool EndpointRegistry::InGrace(SteadyTime now) const {
  return store_lost_ ||
         (store_regained_at_ && now < *store_regained_at_ + kRemovalGrace);
}

std::vector<EndpointRegistry::Change> EndpointRegistry::ApplyDeferredRemovals(
    SteadyTime now) {
  std::vector<EndpointId> due;
  for (const auto& [id, due_at] : deferred_) {
    if (due_at <= now) due.push_back(id);
  }
  std::vector<Change> changes;
  changes.reserve(due.size());
  for (const auto& id : due) {
    changes.push_back(RemoveNow(endpoints_.find(id), now));
  }
  EndHold(now, changes);
  std::erase_if(removed_, [&](const auto& entry) {
    return now - entry.second.at > kMaxCopyAge;
  });
  return changes;
}

}  // namespace balsamhall::gateway
