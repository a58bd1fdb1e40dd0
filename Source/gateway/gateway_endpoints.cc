#include <algorithm>
#include <ranges>

#include "gateway/gateway_impl.h"

namespace balsamhall::gateway {
namespace {

std::string ChangeName(EndpointRegistry::Change::Kind kind) {
  using Kind = EndpointRegistry::Change::Kind;
  switch (kind) {
    case Kind::kAdded:
      return "endpoint_added";
    case Kind::kChanged:
      return "endpoint_changed";
    case Kind::kDraining:
      return "endpoint_draining";
    case Kind::kCold:
      return "endpoint_turned_cold";
    case Kind::kRemoved:
      return "endpoint_removed";
    case Kind::kRemovalDeferred:
      break;
  }
  return "endpoint_lapsed";
}

}  // namespace

void Gateway::Impl::OnEntryRejected(const EndpointId& id, const Error& error) {
  metrics_.Add("endpoint_entries_rejected_total", "", 1);
  if (!rejected_records_.Add(Log::kEndpointRegistry, id)) return;
  LogEvent(EventLevel::kWarning, "endpoint_entry_rejected",
           static_cast<unsigned>(error.code),
           {{"endpoint", id}, {"detail", error.detail}});
}

std::optional<EndpointInfo> Gateway::Impl::ParseEntry(
    const KeyedRecord& record) {
  if (!record.value) {
    rejected_records_.Remove(Log::kEndpointRegistry, record.key);
    return std::nullopt;
  }
  auto entry = parsers_.endpoint(record.key, *record.value);
  if (entry) {
    rejected_records_.Remove(Log::kEndpointRegistry, record.key);
    entry.value().entry_version = record.offset + 1;
    return std::move(entry.value());
  }
  OnEntryRejected(record.key, entry.error());
  return std::nullopt;
}

void Gateway::Impl::OnRegistryPage(const LogPage& page, BootTime sent) {
  const LoopWatch::Step step(loop_watch_, "registry");
  // Another gateway's list may have more than a page that was requested before
  // it. Old records would bring back endpoints that have left since.
  if (page.is_snapshot &&
      !registry_position_.AcceptsListing(page.next, sent, store_.era() > 0)) {
    return;
  }
  if (page.is_snapshot) {
    for (const UnreadableRecord& record : page.rejected) {
      OnEntryRejected(record.key,
                      {ResultCode::kLogRecordMalformed, record.detail});
    }
  }
  std::map<EndpointId, std::optional<EndpointInfo>> entries;
  for (const KeyedRecord& record : page.records) {
    if (!page.is_snapshot && registry_position_.Covers(record.offset)) continue;
    entries.insert_or_assign(record.key, ParseEntry(record));
  }
  const auto now = std::chrono::steady_clock::now();
  std::vector<EndpointRegistry::Change> changes;
  if (page.is_snapshot) {
    std::map<EndpointId, EndpointInfo> listed;
    for (auto& [id, entry] : entries) {
      if (entry) listed.emplace(id, std::move(*entry));
    }
    changes = registry_.OnListing(listed, now);
  } else {
    // Only the newest entry under an id counts: an endpoint that has come and
    // gone within the page is not known in between.
    for (auto& [id, entry] : entries) {
      if (auto change = registry_.OnEntry(id, std::move(entry), now)) {
        changes.push_back(std::move(*change));
      }
    }
  }
  registry_read_ = true;
  if (page.is_snapshot || page.next >= registry_position_.value()) {
    registry_position_.Set(page.next, BootClock::now());
  }
  OnRegistryChanges(std::move(changes), "store");
}

void Gateway::Impl::OnRegistryChanges(
    std::vector<EndpointRegistry::Change> changes, const char* source) {
  using Kind = EndpointRegistry::Change::Kind;
  std::erase_if(changes, [this](const auto& change) {
    return change.kind == Kind::kCold &&
           !forwarder_.LimitsColdEndpoints(change.endpoint.service);
  });
  if (changes.empty()) return;
  const bool turned_cold =
      std::ranges::find(changes, Kind::kCold,
                        &EndpointRegistry::Change::kind) != changes.end();
  if (turned_cold) last_turned_cold_ = BootClock::now();
  for (const auto& change : changes) {
    LogInfo(ChangeName(change.kind),
            {{"endpoint", change.endpoint.ref.ToString()},
             {"service", change.endpoint.service},
             {"address", change.endpoint.address},
             {"data_centre", change.endpoint.data_centre},
             {"source", source}});
  }
  ApplyEndpoints();
  RespondToLongPolls(true);
}

// Returns the registered endpoints without those whose address now belongs to a
// later incarnation.
std::vector<EndpointInfo> Gateway::Impl::LiveEndpoints() const {
  std::vector<EndpointInfo> live;
  std::ranges::copy_if(
      registry_.endpoints() | std::views::values, std::back_inserter(live),
      [this](const EndpointInfo& endpoint) {
        const auto holder = address_holders_.find(endpoint.address);
        return holder == address_holders_.end() ||
               holder->second.ref.incarnation <= endpoint.ref.incarnation;
      });
  return live;
}

// Replaces the warm-up time that the entry stated by what is left of it, if
// requests to cold endpoints of the service are limited.
void Gateway::Impl::UpdateWarmUp(EndpointInfo& endpoint, SteadyTime now) const {
  if (!forwarder_.LimitsColdEndpoints(endpoint.service)) return;
  endpoint.warm_up_left = registry_.WarmUpLeft(endpoint.ref.id, now);
}

// Passes the registered endpoints to the forwarder and the lease keepers.
void Gateway::Impl::ApplyEndpoints() {
  if (routes_) {
    address_holders_ =
        AddressHolders(registry_.endpoints(), routes_->config().services);
  }
  auto live = LiveEndpoints();
  if (live.size() != registry_.endpoints().size()) {
    LogInfo("endpoints_replaced",
            {{"count",
              std::to_string(registry_.endpoints().size() - live.size())}});
  }
  const auto steady_now = std::chrono::steady_clock::now();
  for (EndpointInfo& endpoint : live) UpdateWarmUp(endpoint, steady_now);
  forwarder_.SetEndpoints(live);
  const BootTime now = BootClock::now();
  for (auto& [service, keeper] : keepers_) {
    keeper->OnAddresses(address_holders_);
    keeper->OnEndpoints(EligibleEndpoints(service), now);
  }
}

}  // namespace balsamhall::gateway
