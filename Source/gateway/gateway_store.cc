#include <algorithm>
#include <ranges>

#include "gateway/gateway_impl.h"

namespace balsamhall::gateway {
namespace {

// A configuration has to be in force within about two seconds of its
// publication; a read that waits at the store returns with it. The store was
// seen to answer a read that arrived together with an append only at the end of
// its wait, so the wait alone has to keep the bound.
constexpr Milliseconds kConfigWait{2'000};
constexpr Milliseconds kLeasesWait{4'000};
// A leaving endpoint may get no new work after 2.5 s (the users' bound).
constexpr Milliseconds kRegistryInterval{900};
constexpr Milliseconds kRoutersInterval{15'000};
// A store that is well answers sooner; a start must not wait for one that is
// not.
constexpr Milliseconds kRoutersPatience{500};
// Failures in a row after which the store counts as away; a single lost answer
// says little.
constexpr int kStoreLostAfter = 2;

std::string ChangeName(EndpointRegistry::Change::Kind kind) {
  using Kind = EndpointRegistry::Change::Kind;
  switch (kind) {
    case Kind::kAdded:
      return "endpoint_added";
    case Kind::kChanged:
      return "endpoint_changed";
    case Kind::kDraining:
      return "endpoint_draining";
    case Kind::kRemoved:
      return "endpoint_removed";
    case Kind::kRemovalDeferred:
      break;
  }
  return "endpoint_lapsed";
}

}  // namespace

void Gateway::Impl::FollowLogs() {
  const auto follow = [this](StoreFollower::Options options,
                             StoreFollower::PageHandler handler) {
    return std::make_unique<StoreFollower>(
        loop_, store_, options,
        [this, handler = std::move(handler)](const LogPage& page,
                                             BootTime as_of) {
          OnStoreAnswer(true, "");
          handler(page, as_of);
        },
        [this](const std::string& detail) { OnStoreAnswer(false, detail); });
  };
  config_follower_ =
      follow({Log::kOperatorConfig, kConfigWait, Milliseconds(0)},
             [this](const LogPage& page, BootTime) { OnConfigPage(page); });
  registry_follower_ =
      follow({Log::kEndpointRegistry, Milliseconds(0), kRegistryInterval},
             [this](const LogPage& page, BootTime) { OnRegistryPage(page); });
  leases_follower_ = follow({Log::kLeases, kLeasesWait, Milliseconds(0)},
                            [this](const LogPage& page, BootTime as_of) {
                              OnLeasesPage(page, as_of);
                            });
  routers_follower_ =
      follow({Log::kGateways, Milliseconds(0), kRoutersInterval},
             [this](const LogPage& page, BootTime) { OnRoutersPage(page); });
  // The other gateways are learned first: all that start together, as after a
  // loss of power, would otherwise read everything from the store at once, over
  // one link.
  routers_follower_->Resume();
  Every(follow_timer_, kRoutersPatience, [this] {
    if (routers_known_) return;
    ReadDirectly("other gateways not known in time");
    Follow();
  });
  Every(routers_timer_, kRoutersDelay,
        [this] { routers_follower_->ReadNow(); });
}

void Gateway::Impl::OnStoreAnswer(bool success, const std::string& detail) {
  const BootTime now = BootClock::now();
  const auto steady = std::chrono::steady_clock::now();
  if (success) {
    store_failures_ = 0;
    if (!std::exchange(store_away_, false)) return;
    registry_.OnStoreRegained(steady);
    LogState("store_regained", {});
  } else {
    metrics_.Add("store_failures_total", "", 1);
    // Those that follow this gateway have to look elsewhere.
    if (++store_failures_ == 1) AnswerHeldQuestions(true);
    AskPeer();
    if (store_failures_ < kStoreLostAfter || store_away_) return;
    store_away_ = true;
    registry_.OnStoreLost();
    LogEvent(
        EventLevel::kWarning, "store_lost",
        static_cast<unsigned>(ResultCode::kLogUnavailable),
        {{"detail", detail}, {"failures", std::to_string(store_failures_)}});
  }
  for (auto& keeper : keepers_ | std::views::values) {
    keeper->OnStoreReachability(success, now);
  }
}

void Gateway::Impl::OnConfigPage(const LogPage& page) {
  for (const KeyedRecord& record : page.records) {
    if (record.key == parsers_.config_key && record.value) {
      TakeConfig(*record.value);
    }
  }
}

void Gateway::Impl::TakeConfig(const std::string& text) {
  auto config = parsers_.config(text);
  if (!config) {
    metrics_.Add("configs_rejected_total", "", 1);
    return LogEvent(EventLevel::kError, "config_rejected",
                    static_cast<unsigned>(config.error().code),
                    {{"detail", config.error().detail}});
  }
  const auto version = config.value().version;
  const auto current = routes_ ? routes_->config().version : 0;
  if (routes_ && version <= current) {
    return LogState("config_ignored", {{"version", std::to_string(version)},
                                       {"current", std::to_string(current)}});
  }
  config_text_ = text;
  routes_ = std::make_shared<const RouteTable>(std::move(config.value()));
  ApplyLimits();
  forwarder_.SetRoutes(routes_);
  ShowEndpoints();
  for (const auto& name : routes_->config().services | std::views::keys) {
    if (DividedByKey(name)) ShowTable(Keeper(name), "config");
  }
  metrics_.Set("config_version", "", static_cast<double>(version));
  AnswerHeldQuestions(true);
  LogState("config_in_force",
           {{"version", std::to_string(version)},
            {"before", std::to_string(current)},
            {"routes", std::to_string(routes_->config().routes.size())}});
}

std::optional<EndpointInfo> Gateway::Impl::ReadEntry(
    const KeyedRecord& record) {
  if (!record.value) return std::nullopt;
  auto entry = parsers_.endpoint(record.key, *record.value);
  if (entry) return std::move(entry.value());
  // Each bad entry is reported once.
  if (bad_entries_.emplace(record.key, entry.error().detail).second) {
    LogEvent(EventLevel::kWarning, "endpoint_entry_rejected",
             static_cast<unsigned>(entry.error().code),
             {{"endpoint", record.key}, {"detail", entry.error().detail}});
  }
  return std::nullopt;
}

void Gateway::Impl::OnRegistryPage(const LogPage& page) {
  const auto now = std::chrono::steady_clock::now();
  std::vector<EndpointRegistry::Change> changes;
  if (page.is_snapshot) {
    std::map<EndpointId, EndpointInfo> entries;
    for (const KeyedRecord& record : page.records) {
      if (auto entry = ReadEntry(record)) {
        entries.insert_or_assign(record.key, std::move(*entry));
      }
    }
    changes = registry_.OnListing(entries, now);
  } else {
    for (const KeyedRecord& record : page.records) {
      if (auto change = registry_.OnEntry(record.key, ReadEntry(record), now)) {
        changes.push_back(std::move(*change));
      }
    }
  }
  registry_offset_ = page.next;
  OnRegistryChanges(changes);
}

void Gateway::Impl::OnRegistryChanges(
    const std::vector<EndpointRegistry::Change>& changes) {
  if (changes.empty()) return;
  for (const auto& change : changes) {
    LogState(ChangeName(change.kind),
             {{"endpoint", change.endpoint.ref.ToString()},
              {"service", change.endpoint.service},
              {"address", change.endpoint.address},
              {"data_centre", change.endpoint.data_centre}});
  }
  ShowEndpoints();
  AnswerHeldQuestions(true);
}

// Entries without those whose address has gone to a later endpoint.
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

// Hands the registered endpoints to those that decide.
void Gateway::Impl::ShowEndpoints() {
  if (routes_) {
    address_holders_ =
        AddressHolders(registry_.endpoints(), routes_->config().services);
  }
  const auto live = LiveEndpoints();
  if (live.size() != registry_.endpoints().size()) {
    LogState("endpoints_replaced",
             {{"count",
               std::to_string(registry_.endpoints().size() - live.size())}});
  }
  forwarder_.SetEndpoints(live);
  const BootTime now = BootClock::now();
  for (auto& [service, keeper] : keepers_) {
    keeper->OnAddresses(address_holders_);
    keeper->OnEndpoints(KeyHolders(service), now);
  }
}

void Gateway::Impl::OnLeasesPage(const LogPage& page, BootTime as_of) {
  for (const KeyedRecord& record : page.records) {
    if (!record.value) continue;
    auto table = ParseLeaseTable(*record.value);
    if (!table) {
      LogEvent(EventLevel::kError, "lease_table_rejected",
               static_cast<unsigned>(table.error().code),
               {{"service", record.key}, {"detail", table.error().detail}});
      continue;
    }
    table.value().service = record.key;
    table.value().version = record.offset + 1;
    TakeTable(std::move(table.value()), "store");
  }
  if (page.next < page.log_end) return;
  for (auto& keeper : keepers_ | std::views::values) {
    keeper->OnLogEnd(page.log_end, as_of);
  }
}

void Gateway::Impl::OnRoutersPage(const LogPage& page) {
  for (const KeyedRecord& record : page.records) {
    const auto router = record.value
                            ? ParseGatewayInstance(*record.value)
                            : Result<GatewayInstance>(Error{
                                  ResultCode::kLogRecordMalformed, "dropped"});
    if (router) routers_[router.value().id] = router.value();
  }
  forwarder_.SetGatewayCount(routers_.size());
  // Without them in time, this gateway follows already.
  if (!std::exchange(routers_known_, true) && !reads_store_) Follow();
  std::vector<GatewayInstance> routers;
  std::ranges::copy(routers_ | std::views::values, std::back_inserter(routers));
  for (auto& keeper : keepers_ | std::views::values) {
    keeper->OnGateways(routers);
  }
}

}  // namespace balsamhall::gateway
