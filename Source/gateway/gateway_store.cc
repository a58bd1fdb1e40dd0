#include <algorithm>
#include <ranges>

#include "gateway/gateway_impl.h"

namespace balsamhall::gateway {
namespace {

// An accepted configuration has to be in force within 2.5 s (the users' limit).
// A read that waits at the store usually returns as soon as the configuration
// is appended. But the store may respond to a read that arrives together with
// an append only when its wait ends, and never to one that it lost. So the
// wait, the time-out after it and the pause before the next read together have
// to be within the limit.
constexpr Milliseconds kConfigWait{1'700};
// Above the wait and a round trip, so that only a late page shortens the wait.
constexpr Milliseconds kConfigMaxAge{1'800};
constexpr Milliseconds kLeasesWait{4'000};
// A draining endpoint must get no new requests after 2.5 s (the users' limit).
constexpr Milliseconds kRegistryInterval{900};
constexpr Milliseconds kGatewaysInterval{15'000};
// A healthy store returns the list of gateways sooner; a start must not wait
// for an unhealthy one.
constexpr Milliseconds kGatewaysTimeout{500};

// Entries of a configuration that are logged one by one.
constexpr std::size_t kMaxLoggedEntries = 20;

std::string FormatMicroseconds(SteadyTime::duration duration) {
  using std::chrono::microseconds;
  return std::to_string(
             std::chrono::duration_cast<microseconds>(duration).count()) +
         "us";
}

}  // namespace

void Gateway::Impl::FollowLogs() {
  using Times = StoreFollower::PageTimes;
  store_.set_restore_handler([this](std::uint64_t before, std::uint64_t now) {
    OnStoreRestored(before, now);
  });
  const auto follow = [this](StoreFollower::Options options,
                             StoreFollower::PageHandler handler) {
    return std::make_unique<StoreFollower>(
        loop_, store_, options,
        [this, log = options.log, handler = std::move(handler)](
            const LogPage& page, const StoreFollower::PageTimes& times) {
          log_failures_[log] = 0;
          OnStoreCall(true, "", times.sent);
          if (log == Log::kEndpointRegistry) {
            registry_.OnLogShown(times.as_of, EndpointRegistry::ShownBy::kStore,
                                 std::chrono::steady_clock::now());
          }
          // The answers that the handler gives to other gateways have both.
          if (page.next >= page.log_end) proofs_.Extend(log, {times.as_of, 0});
          handler(page, times);
          RespondToLongPolls(false);
          OnStoreAnswers();
        },
        [this, log = options.log](const std::string& detail, BootTime sent) {
          // Successes at other logs do not help those that follow this gateway.
          if (++log_failures_[log] == kStoreLostFailures) {
            RespondToLongPolls(true);
          }
          OnStoreCall(false, detail, sent);
        });
  };
  config_follower_ = follow(
      {Log::kOperatorConfig, kConfigWait, kConfigMaxAge, Milliseconds(0)},
      [this](const LogPage& page, const Times& times) {
        OnConfigPage(page, times.as_of);
      });
  registry_follower_ = follow({Log::kEndpointRegistry, Milliseconds(0),
                               Milliseconds(0), kRegistryInterval},
                              [this](const LogPage& page, const Times& times) {
                                OnRegistryPage(page, times.sent);
                              });
  leases_follower_ =
      follow({Log::kLeases, kLeasesWait, Milliseconds(0), Milliseconds(0)},
             [this](const LogPage& page, const Times& times) {
               OnLeasesPage(page, times.sent);
             });
  gateways_follower_ = follow(
      {Log::kGateways, Milliseconds(0), Milliseconds(0), kGatewaysInterval},
      [this](const LogPage& page, const Times& times) {
        OnGatewaysPage(page, times.sent);
      });
  // The list of gateways is read first. Otherwise all gateways that start
  // together, as after a power failure, would read everything from the store at
  // once, over one link.
  gateways_follower_->Resume();
  RunAfter(follow_timer_, kGatewaysTimeout, [this] {
    if (gateways_known_) return;
    RegisterGateway();
    ReadDirectly("list of gateways not read in time");
    FollowReader();
  });
  RunAfter(gateways_timer_, kGatewaysRereadDelay,
           [this] { gateways_follower_->ReadNow(); });
}

void Gateway::Impl::OnStoreCall(bool success, const std::string& detail,
                                BootTime sent_at) {
  const bool was_lost = store_lost_;
  // First, as OnStoreResult() reads the logs again.
  if (success) registry_.OnStoreRegained(std::chrono::steady_clock::now());
  OnStoreResult(success, detail, sent_at);
  if (!was_lost && store_lost_) registry_.OnStoreLost();
}

void Gateway::Impl::OnStoreResult(bool success, const std::string& detail,
                                  BootTime sent_at) {
  const BootTime now = BootClock::now();
  if (success) {
    store_failures_ = 0;
    store_response_at_ = now;
    if (!std::exchange(store_lost_, false)) return;
    LogInfo("store_regained", {});
    ReadAllLogsNow();
  } else {
    metrics_.Add("store_failures_total", "", 1);
    // The store has responded to a later call.
    if (sent_at < store_response_at_) return;
    ++store_failures_;
    WatchState(now);
    if (store_failures_ < kStoreLostFailures || store_lost_) return;
    store_lost_ = true;
    // Gateways that follow this one have to find another reader.
    RespondToLongPolls(true);
    LogEvent(
        EventLevel::kWarning, "store_lost",
        static_cast<unsigned>(ResultCode::kLogUnavailable),
        {{"detail", detail}, {"failures", std::to_string(store_failures_)}});
  }
  for (auto& keeper : keepers_ | std::views::values) {
    keeper->OnStoreReachability(success, now);
  }
}

// Reads that were sent while the store was away may never be answered.
void Gateway::Impl::ReadAllLogsNow() {
  if (!reads_store_) return;
  for (const auto* follower :
       {&config_follower_, &registry_follower_, &leases_follower_}) {
    (*follower)->ReadNow();
  }
}

void Gateway::Impl::OnStoreRestored(std::uint64_t before, std::uint64_t now) {
  const BootTime boot = BootClock::now();
  const std::size_t held =
      registry_.OnStoreRestored(std::chrono::steady_clock::now());
  evacuations_.OnStoreRestored(boot);
  for (auto& keeper : keepers_ | std::views::values) keeper->OnEra(now, boot);
  metrics_.Set("store_era", "", static_cast<double>(now));
  metrics_.Add("store_restores_total", "", 1);
  LogEvent(EventLevel::kWarning, "store_restored", 0,
           {{"before", std::to_string(before)},
            {"era", std::to_string(now)},
            {"read_again",
             reads_store_ ? "config,registry,leases,gateways" : "gateways"},
            {"held_endpoints", std::to_string(held)}});
  // The restored list may lack this gateway, which only itself writes again.
  if (registering_ && !stopping_) {
    RunAfter(register_timer_, Milliseconds(0), [this] { RegisterGateway(); });
  }
  // Not at once: this runs within the handling of a response.
  RunAfter(restore_timer_, Milliseconds(0), [this] {
    ReadAllLogsNow();
    gateways_follower_->ReadNow();
    RespondToLongPolls(true);
  });
}

void Gateway::Impl::OnConfigPage(const LogPage& page, BootTime as_of) {
  const LoopWatch::Step step(loop_watch_, "config");
  // First, so that no configuration or endpoint that it brings into use gets
  // requests in an evacuated data centre.
  const bool evacuations_changed = OnEvacuationRecords(page, as_of);
  // Only the newest version is applied. It need not be the last one.
  std::optional<ParsedConfig> newest;
  const std::string* text = nullptr;
  // A later gateway may understand what this one rejects, so that is not passed
  // on as read.
  bool last_is_valid = true;
  for (const KeyedRecord& record : page.records) {
    if (record.key != parsers_.config_key || !record.value) continue;
    auto parsed = ParseConfig(*record.value);
    last_is_valid = parsed.has_value();
    if (!parsed) continue;
    if (newest) {
      const auto versions =
          std::minmax(newest->config.version, parsed->config.version);
      LogInfo("config_ignored", {{"version", std::to_string(versions.first)},
                                 {"current", std::to_string(versions.second)}});
    }
    if (newest && parsed->config.version <= newest->config.version) continue;
    newest = std::move(parsed);
    text = &*record.value;
  }
  if (newest) ApplyConfig(std::move(*newest), *text, {"store", {as_of, 0}});
  if (last_is_valid) config_offset_ = std::max(config_offset_, page.next);
  // Not sooner, because the answers have the configuration of the page, too.
  if (evacuations_changed) RespondToLongPolls(true);
}

bool Gateway::Impl::OnEvacuationRecords(const LogPage& page, BootTime as_of) {
  if (!HasEvacuations()) return false;
  std::vector<Evacuations::Record> records;
  for (const KeyedRecord& record : page.records) {
    if (auto data_centre = parsers_.evacuated_data_centre(record.key)) {
      records.push_back({std::move(*data_centre),
                         record.value && !record.value->empty(),
                         record.offset});
    }
  }
  // A value that cannot be read is a value nevertheless.
  for (const UnreadableRecord& record : page.rejected) {
    if (auto data_centre = parsers_.evacuated_data_centre(record.key)) {
      records.push_back({std::move(*data_centre), true, page.next});
    }
  }
  const bool complete = page.next >= page.log_end;
  return ApplyEvacuations(
      evacuations_.OnPage(records, page.next, page.is_snapshot,
                          complete ? std::optional(as_of) : std::nullopt),
      "store");
}

bool Gateway::Impl::ApplyEvacuations(
    const std::vector<Evacuations::Change>& changes, const char* source) {
  if (changes.empty()) return false;
  const auto keys_until =
      KeysUntil(evacuations_, settings_.evacuate, BootClock::now(),
                std::chrono::steady_clock::now());
  for (const Evacuations::Change& change : changes) {
    const auto endpoints =
        std::ranges::count(registry_.endpoints() | std::views::values,
                           change.data_centre, &EndpointInfo::data_centre);
    LogInfo(change.begun ? "evacuation_begun" : "evacuation_ended",
            {{"data_centre", change.data_centre},
             {"source", source},
             {"offset", std::to_string(evacuations_.offset())},
             {"endpoints", std::to_string(endpoints)}});
    metrics_.Set("data_centre_evacuated",
                 "data_centre=\"" + change.data_centre + "\"",
                 change.begun ? 1 : 0);
  }
  metrics_.Add("evacuation_changes_total", "", changes.size());
  forwarder_.SetEvacuated(keys_until);
  ApplyEndpoints();
  return true;
}

std::optional<Gateway::Impl::ParsedConfig> Gateway::Impl::ParseConfig(
    const std::string& text) {
  const auto start = std::chrono::steady_clock::now();
  auto config = parsers_.config(text);
  if (!config) {
    metrics_.Add("configs_rejected_total", "", 1);
    LogEvent(EventLevel::kError, "config_rejected",
             static_cast<unsigned>(config.error().code),
             {{"detail", config.error().detail}});
    return std::nullopt;
  }
  return ParsedConfig{std::move(config.value()),
                      std::chrono::steady_clock::now() - start};
}

bool Gateway::Impl::ApplyConfig(const std::string& text,
                                const ConfigSource& source) {
  const LoopWatch::Step step(loop_watch_, "config");
  auto parsed = ParseConfig(text);
  if (!parsed) return false;
  ApplyConfig(std::move(*parsed), text, source);
  return true;
}

void Gateway::Impl::ApplyConfig(ParsedConfig parsed, const std::string& text,
                                const ConfigSource& source) {
  const auto start = std::chrono::steady_clock::now();
  const auto version = parsed.config.version;
  const auto current = routes_ ? routes_->config().version : 0;
  if (routes_ && version <= current) {
    return LogInfo("config_ignored", {{"version", std::to_string(version)},
                                      {"current", std::to_string(current)}});
  }
  configs_.Add(version, text);
  routes_ = std::make_shared<const RouteTable>(std::move(parsed.config));
  ApplyLimits();
  forwarder_.SetRoutes(routes_);
  ApplyEndpoints();
  for (const auto& name : routes_->config().services | std::views::keys) {
    if (IsShardedByKey(name)) ApplyTable(Keeper(name), "config");
  }
  metrics_.Set("config_version", "", static_cast<double>(version));
  ReportUnusableEntries();
  RespondToLongPolls(true);
  LogInfo("config_in_force",
          {{"version", std::to_string(version)},
           {"before", std::to_string(current)},
           {"source", source.name},
           {"store_age", FormatAge(source.proof, BootClock::now())},
           {"hops", std::to_string(source.proof.hops)},
           {"bytes", std::to_string(text.size())},
           {"routes", std::to_string(routes_->config().routes.size())},
           {"parsed_in", FormatMicroseconds(parsed.parsed_in)},
           {"applied_in",
            FormatMicroseconds(std::chrono::steady_clock::now() - start)}});
}

// The number is bounded in the log, not in the metric.
void Gateway::Impl::ReportUnusableEntries() {
  std::size_t unusable = 0;
  const auto report = [&](const char* entry, const std::string& name,
                          const std::string& reason) {
    if (reason.empty() || ++unusable > kMaxLoggedEntries) return;
    LogEvent(EventLevel::kWarning, "config_entry_unusable",
             static_cast<unsigned>(ResultCode::kConfigInvalid),
             {{"entry", entry}, {"name", name}, {"detail", reason}});
  };
  const RoutingConfig& config = routes_->config();
  for (const Route& route : config.routes) {
    report("route", route.name, route.unusable);
  }
  for (const auto& [name, service] : config.services) {
    report("service", name, service.unusable);
  }
  metrics_.Set("config_entries_unusable", "", static_cast<double>(unusable));
}

void Gateway::Impl::ReportStateAge(BootTime now) {
  if (store_.era() > 0) {
    metrics_.Set("store_era", "", static_cast<double>(store_.era()));
  }
  for (const Log log : StoreProofs::kLogs) {
    const LogProof& proof = proofs_.Of(log);
    if (proof.as_of == BootTime{}) continue;
    const std::string label = log == Log::kOperatorConfig
                                  ? R"(log="configuration")"
                                  : R"(log="endpoints")";
    metrics_.Set("state_age_seconds", label,
                 std::chrono::duration<double>(now - proof.as_of).count());
    metrics_.Set("state_hops", label, proof.hops);
  }
}

void Gateway::Impl::OnLeasesPage(const LogPage& page, BootTime as_of) {
  const LoopWatch::Step step(loop_watch_, "leases");
  for (const KeyedRecord& record : page.records) {
    const auto keeper = keepers_.find(record.key);
    const auto on_lost = [&] {
      if (keeper != keepers_.end()) {
        keeper->second->OnRecordLost(record.offset + 1);
      }
    };
    if (!record.value) {
      on_lost();
      continue;
    }
    auto table = ParseStoredTable(*record.value, record.key, record.offset + 1);
    if (!table) {
      if (rejected_records_.Add(Log::kLeases, record.key)) {
        LogEvent(EventLevel::kError, "lease_table_rejected",
                 static_cast<unsigned>(table.error().code),
                 {{"service", record.key}, {"detail", table.error().detail}});
      }
      on_lost();
      continue;
    }
    rejected_records_.Remove(Log::kLeases, record.key);
    AdoptTable(std::move(table.value()), "store");
  }
  if (page.next < page.log_end) return;
  for (auto& keeper : keepers_ | std::views::values) {
    keeper->OnEra(EraOf(page.log_end), BootClock::now());
    keeper->OnLogEnd(page.log_end, as_of);
  }
}

void Gateway::Impl::OnGatewaysPage(const LogPage& page, BootTime sent) {
  std::vector<KeyedRecord> records = page.records;
  std::ranges::sort(records, std::less{}, &KeyedRecord::offset);
  for (const KeyedRecord& record : records) {
    if (!record.value) continue;
    const auto gateway = ParseGatewayInstance(record.key, *record.value);
    if (!gateway) {
      if (rejected_records_.Add(Log::kGateways, record.key)) {
        LogEvent(EventLevel::kWarning, "gateway_record_rejected",
                 static_cast<unsigned>(gateway.error().code),
                 {{"router", record.key}, {"detail", gateway.error().detail}});
      }
      continue;
    }
    rejected_records_.Remove(Log::kGateways, record.key);
    const GatewayInstance& instance = gateway.value();
    // The last process to register at an address is the one that has it.
    std::erase_if(gateways_, [&](const auto& entry) {
      return entry.second.address == instance.address;
    });
    gateways_[instance.id] = instance;
  }
  std::erase_if(gateways_, [this](const auto& entry) {
    return entry.first != self_.id && entry.second.address == self_.address;
  });
  RegisterIfNeeded();
  std::optional<SteadyTime> complete_as_of;
  if (page.next >= page.log_end) {
    complete_as_of =
        std::chrono::steady_clock::now() - (BootClock::now() - sent);
  }
  std::vector<GatewayPlace> places;
  const bool first_list =
      complete_as_of && !std::exchange(gateways_listed_, true);
  for (const auto& [id, gateway] : gateways_) {
    // Other gateways need not have a record yet that this process has written.
    if (first_list && id == self_.id &&
        gateway.incarnation == self_.incarnation) {
      continue;
    }
    places.push_back({id, gateway.data_centre});
  }
  forwarder_.SetGateways(places, complete_as_of);
  // If the list arrives too late, following has already started.
  if (!std::exchange(gateways_known_, true) && !reads_store_) FollowReader();
  std::vector<GatewayInstance> gateways;
  std::ranges::copy(gateways_ | std::views::values,
                    std::back_inserter(gateways));
  for (auto& keeper : keepers_ | std::views::values) {
    keeper->OnGateways(gateways);
  }
}

}  // namespace balsamhall::gateway
