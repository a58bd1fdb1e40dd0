#include <algorithm>
#include <ranges>
#include <set>
#include <variant>

#include "gateway/gateway_impl.h"

namespace balsamhall::gateway {
namespace {

// Renewal and duration of the membership in the leader election: a failed
// leader has to be replaced before the leases that it granted expire.
constexpr Milliseconds kJoinInterval{400};
constexpr Milliseconds kJoinTimeToLive{1'200};
// A lease connection is used at each renewal; the others are closed after this
// time.
constexpr Milliseconds kMaxCallIdle{6'000};
constexpr Milliseconds kCallConnectTimeout{250};
// Lease calls are answered without a body, or with a short text.
constexpr std::size_t kMaxCallAnswerBytes = 64U << 10U;
// The requests that this gateway has in flight show that an endpoint has become
// slow before its responses do. Below this share of the capacity by reported
// speeds, which a single slow response cannot cause, they count instead.
constexpr double kMuchSlowerShare = 0.5;

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

std::string EncodeKeys(const std::vector<ShardKey>& keys) {
  std::string bytes;
  bytes.reserve(keys.size() * 2);
  for (const ShardKey key : keys) {
    bytes.push_back(static_cast<char>(key >> 8U));
    bytes.push_back(static_cast<char>(key & 0xffU));
  }
  return bytes;
}

}  // namespace

std::vector<EligibleEndpoint> Gateway::Impl::EligibleEndpoints(
    const ServiceId& service) const {
  const auto capacities = forwarder_.Capacities(service);
  const auto speeds = endpoint_speeds_.find(service);
  const BootTime now = BootClock::now();
  const auto steady_now = std::chrono::steady_clock::now();
  const bool limits_cold = forwarder_.LimitsColdEndpoints(service);
  std::vector<EligibleEndpoint> endpoints;
  for (const auto& endpoint : LiveEndpoints()) {
    if (endpoint.service != service || endpoint.draining ||
        notices_.Leaving(endpoint.ref) ||
        evacuations_.Contains(endpoint.data_centre)) {
      continue;
    }
    const auto learned = capacities.find(endpoint.ref);
    const double own_capacity = learned == capacities.end()
                                    ? static_cast<double>(endpoint.slots)
                                    : learned->second;
    double capacity = own_capacity;
    if (speeds != endpoint_speeds_.end()) {
      capacity = endpoint.slots * speeds->second.Speed(endpoint.ref, now);
      if (own_capacity < kMuchSlowerShare * capacity) capacity = own_capacity;
    }
    const bool cold =
        limits_cold &&
        registry_.WarmUpLeft(endpoint.ref.id, steady_now) > Milliseconds(0);
    endpoints.push_back({{endpoint.ref, endpoint.address}, capacity, cold});
  }
  return endpoints;
}

bool Gateway::Impl::IsShardedByKey(const ServiceId& service) const {
  const ServiceSpec* const spec = routes_ ? routes_->Service(service) : nullptr;
  return spec != nullptr && spec->sharded_by_key;
}

bool Gateway::Impl::UsesLeases() const {
  return routes_ &&
         std::ranges::any_of(routes_->config().services | std::views::values,
                             &ServiceSpec::sharded_by_key);
}

LeaseKeeper& Gateway::Impl::Keeper(const ServiceId& service) {
  auto& keeper = keepers_[service];
  if (!keeper) {
    keeper = std::make_unique<LeaseKeeper>(service, self_, started_);
    const BootTime now = BootClock::now();
    keeper->OnEra(store_.era(), now);
    keeper->OnStoreReachability(!store_lost_, now);
    keeper->OnElection(elected_);
    keeper->OnAddresses(address_holders_);
    keeper->OnEndpoints(EligibleEndpoints(service), now);
    std::vector<GatewayInstance> gateways;
    std::ranges::copy(gateways_ | std::views::values,
                      std::back_inserter(gateways));
    keeper->OnGateways(std::move(gateways));
    leases_follower_->ReadNow();
  }
  return *keeper;
}

void Gateway::Impl::AdoptTable(LeaseTable table, const char* source) {
  LeaseKeeper& keeper = Keeper(table.service);
  keeper.OnTable(std::move(table), BootClock::now());
  ApplyTable(keeper, source);
}

// Passes the table of a keeper to the forwarder if it has changed.
void Gateway::Impl::ApplyTable(LeaseKeeper& keeper, const char* source) {
  const LeaseTable& table = keeper.table();
  if (table.version == 0 || !IsShardedByKey(table.service)) return;
  if (std::exchange(applied_versions_[table.service], table.version) ==
      table.version) {
    return;
  }
  const auto moving =
      std::ranges::count(table.ranges, false, &RangeLease::OwnerHolds);
  LogInfo("lease_table", {{"service", table.service},
                          {"version", std::to_string(table.version)},
                          {"source", source},
                          {"mover", table.leader.id},
                          {"ranges", std::to_string(table.ranges.size())},
                          {"moving", std::to_string(moving)}});
  forwarder_.SetLeases(std::make_shared<const LeaseTable>(table));
  RespondToLongPolls(true);
}

void Gateway::Impl::JoinElection() {
  RunAfter(join_timer_, kJoinInterval, [this] { JoinElection(); });
  // A gateway that does not read the store itself cannot be the leader.
  if (!UsesLeases() || stopping_ || !reads_store_) return;
  store_.JoinLeaderElection(
      settings_.id, kJoinTimeToLive,
      [this, sent_at = BootClock::now()](ElectionResult result) {
        if (stopping_) return;
        OnStoreCall(result.reached, "join", sent_at);
        if (!result.reached ||
            std::exchange(elected_, result.elected) == result.elected) {
          return;
        }
        LogInfo(elected_ ? "duty_gained" : "duty_lost", {});
        for (auto& keeper : keepers_ | std::views::values) {
          keeper->OnElection(elected_);
        }
        if (elected_) {
          ReadDirectly("duty");
          leases_follower_->ReadNow();
        }
      });
}

void Gateway::Impl::OnEndpointLeaving(const EndpointRef& endpoint) {
  metrics_.Add("endpoints_leaving_total", "", 1);
  ApplyEndpoints();
  for (const auto& keeper : keepers_ | std::views::values) {
    ReportLeaving(*keeper, endpoint);
  }
}

void Gateway::Impl::ReportLeaving(const LeaseKeeper& keeper,
                                  const EndpointRef& endpoint) {
  const LeaseTable& table = keeper.table();
  const bool owns_keys = std::ranges::any_of(
      table.ranges,
      [&](const RangeLease& lease) { return lease.owner.ref == endpoint; });
  if (!owns_keys || table.leader == self_ || table.leader.address.empty()) {
    return;
  }
  ClientOf(peer_clients_, table.leader.address)
      .Send({"POST",
             kLeavingTarget,
             {},
             std::to_string(endpoint.incarnation) + " " + endpoint.id,
             0},
            kPeerTimeout, [](const HttpClient::Outcome&) {});
}

// Reports them again until they own no keys: a report, or the leader, may have
// been lost.
void Gateway::Impl::ReportLeavingOwners() {
  for (const auto& keeper : keepers_ | std::views::values) {
    std::set<EndpointRef> owners;
    for (const RangeLease& lease : keeper->table().ranges) {
      if (notices_.Leaving(lease.owner.ref)) owners.insert(lease.owner.ref);
    }
    for (const EndpointRef& owner : owners) ReportLeaving(*keeper, owner);
  }
}

void Gateway::Impl::ReportKeyLoad() {
  RunAfter(report_timer_, kReportInterval, [this] { ReportKeyLoad(); });
  forwarder_.Clean();
  ReportLeavingOwners();
  for (auto& client : call_clients_ | std::views::values) {
    client->CloseExpired();
  }
  const BootTime now = BootClock::now();
  // Endpoints that are warm by now may get keys again.
  for (auto& [service, keeper] : keepers_) {
    if (elected_ && forwarder_.LimitsColdEndpoints(service)) {
      keeper->OnEndpoints(EligibleEndpoints(service), now);
    }
  }
  for (auto& [service, keys] : forwarder_.TakeKeySamples()) {
    const auto found = keepers_.find(service);
    if (found == keepers_.end()) continue;
    LeaseKeeper& keeper = *found->second;
    const GatewayInstance& leader = keeper.table().leader;
    SpeedReport speeds = forwarder_.TakeSpeeds(service);
    if (elected_ || leader == self_) {
      keeper.load().Add(keys, now);
      endpoint_speeds_[service].Add(speeds, now);
      keeper.OnEndpoints(EligibleEndpoints(service), now);
    } else if (!leader.address.empty()) {
      // A lost report is not sent again; the next one follows soon.
      ClientOf(peer_clients_, leader.address)
          .Send({"POST",
                 "/load/" + service,
                 {{kSpeedsHeader, FormatSpeedReport(speeds)}},
                 EncodeKeys(keys),
                 0},
                kPeerTimeout, [](const HttpClient::Outcome&) {});
    }
  }
}

void Gateway::Impl::RecordLeaving(const EndpointRef& endpoint,
                                  const char* source) {
  const auto wall = std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
  if (!notices_.OnLeaving(endpoint, std::chrono::steady_clock::now(), wall)) {
    return;
  }
  LogInfo("endpoint_leaving",
          {{"endpoint", endpoint.ToString()}, {"source", source}});
  OnEndpointLeaving(endpoint);
}

HttpClient& Gateway::Impl::CallClientOf(const std::string& address) {
  auto& client = call_clients_[address];
  if (!client) {
    HttpClientOptions options;
    options.connect_timeout = kCallConnectTimeout;
    options.max_idle = kMaxCallIdle;
    options.max_body_bytes = kMaxCallAnswerBytes;
    // Each connection stands for the lease that was granted on it.
    options.close_older_after_failure = false;
    client = std::make_unique<HttpClient>(loop_, address, options);
  }
  return *client;
}

// name: of the call, for the metrics. endpoint: for which it was meant.
void Gateway::Impl::OnCallOutcome(LeaseKeeper& keeper, std::uint64_t call,
                                  const char* name, const EndpointRef& endpoint,
                                  const HttpClient::Outcome& outcome) {
  CallResult result;
  if (outcome.response) {
    result = dialect_.ReadCallResult(endpoint, *outcome.response);
  } else if (outcome.error.failure == HttpFailure::kNotSent) {
    result.outcome = CallOutcome::kNotSent;
  }
  metrics_.Add("lease_calls_total",
               std::string("call=\"") + name + "\",outcome=\"" +
                   std::string(CallOutcomeName(result.outcome)) + "\"",
               1);
  const bool leaving = result.leaving;
  keeper.OnCallResult(call, std::move(result), BootClock::now());
  if (leaving) RecordLeaving(endpoint, "lease call");
}

void Gateway::Impl::SendGrant(LeaseKeeper& keeper, const GrantCall& grant) {
  const auto done = [this, &keeper, call = grant.id, endpoint = grant.to.ref](
                        const HttpClient::Outcome& outcome) {
    OnCallOutcome(keeper, call, "grant", endpoint, outcome);
  };
  HttpRequest request = dialect_.ToGrant(grant);
  std::visit(Overloaded{[&](const LeaseConnection& connection) {
                          CallClientOf(grant.to.address)
                              .SendOn(connection.number, std::move(request),
                                      LeaseKeeper::kCallTimeout, done);
                        },
                        [&](const RequestConnection&) {
                          if (!forwarder_.SendOnRequestConnection(
                                  grant.to, grant.range, std::move(request),
                                  LeaseKeeper::kCallTimeout, done)) {
                            done({});
                          }
                        }},
             grant.connection);
}

void Gateway::Impl::SendRelease(LeaseKeeper& keeper,
                                const ReleaseCall& release) {
  CallClientOf(release.from.address)
      .SendOnNew(
          dialect_.ToRelease(release), LeaseKeeper::kReleaseTimeout,
          [this, &keeper, call = release.id,
           endpoint = release.from.ref](const HttpClient::Outcome& outcome) {
            OnCallOutcome(keeper, call, "release", endpoint, outcome);
          });
}

void Gateway::Impl::Apply(LeaseKeeper& keeper, const LeaseAction& action) {
  std::visit(
      Overloaded{
          [&](const AppendTable& append) {
            store_.Append(
                Log::kLeases, append.table.service,
                SerializeLeaseTable(append.table), append.expected_end,
                [this, &keeper](const AppendResult& result) {
                  const AppendOutcome outcome = result.outcome;
                  keeper.OnAppendResult(outcome, BootClock::now());
                  if (outcome == AppendOutcome::kDone) {
                    ApplyTable(keeper, "own append");
                    for (auto& other : keepers_ | std::views::values) {
                      other->OnLogEnd(keeper.table().version, BootTime{});
                    }
                    return;
                  }
                  LogInfo(
                      "lease_append_failed",
                      {{"outcome", std::to_string(static_cast<int>(outcome))}});
                  leases_follower_->ReadNow();
                });
          },
          [&](const OpenConnection& open) {
            CallClientOf(open.to.address)
                .Open([&keeper,
                       id = open.id](const HttpClient::Outcome& outcome) {
                  keeper.OnConnection(id, outcome.connection, BootClock::now());
                });
          },
          [&](const GrantCall& grant) { SendGrant(keeper, grant); },
          [&](const ReleaseCall& release) { SendRelease(keeper, release); },
          [&](const PublishTable& publish) {
            const std::string target = "/table/" + publish.table.service + "/" +
                                       std::to_string(publish.table.version);
            const std::string body = SerializeLeaseTable(publish.table);
            for (const GatewayInstance& gateway : publish.recipients) {
              ClientOf(peer_clients_, gateway.address)
                  .Send({"POST", target, {}, body, 0}, kPeerTimeout,
                        [&keeper, gateway, version = publish.table.version](
                            const HttpClient::Outcome& outcome) {
                          if (!outcome.response ||
                              outcome.response->status != 200) {
                            return;  // the table is published again later
                          }
                          const auto since = ParseUnsigned(FindHeader(
                              outcome.response->headers, kSinceRenewalHeader));
                          if (!since) return;
                          keeper.OnAdopted(gateway, version,
                                           Milliseconds(*since),
                                           BootClock::now());
                        });
            }
          },
          [&](const RereadLog&) { leases_follower_->ReadNow(); },
          [&](const AnnounceEra& announce) {
            const std::string target = kEraTarget + keeper.table().service +
                                       "/" + std::to_string(announce.era);
            for (const GatewayInstance& gateway : announce.recipients) {
              ClientOf(peer_clients_, gateway.address)
                  .Send({"POST", target, {}, "", 0}, kPeerTimeout,
                        [&keeper, gateway, era = announce.era](
                            const HttpClient::Outcome& outcome) {
                          if (!outcome.response ||
                              outcome.response->status != 200) {
                            return;  // it is announced again later
                          }
                          const auto since = ParseUnsigned(FindHeader(
                              outcome.response->headers, kSinceRenewalHeader));
                          if (!since) return;
                          keeper.OnEraAcknowledged(
                              gateway, era,
                              Milliseconds(static_cast<std::int64_t>(
                                  std::min<std::uint64_t>(*since, 1U << 30U))),
                              BootClock::now());
                        });
            }
          }},
      action);
}

}  // namespace balsamhall::gateway
