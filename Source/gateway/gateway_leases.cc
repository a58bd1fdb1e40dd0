#include <algorithm>
#include <ranges>
#include <variant>

#include "gateway/gateway_impl.h"

namespace balsamhall::gateway {
namespace {

// Membership in the group of movers: a lost mover has to be replaced before
// the leases that it sent run out.
constexpr Milliseconds kJoinInterval{400};
constexpr Milliseconds kJoinTimeToLive{1'200};

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

std::vector<EligibleEndpoint> Gateway::Impl::KeyHolders(
    const ServiceId& service) const {
  const auto capacities = forwarder_.Capacities(service);
  std::vector<EligibleEndpoint> holders;
  for (const auto& endpoint : LiveEndpoints()) {
    if (endpoint.service != service || endpoint.draining) continue;
    const auto learned = capacities.find(endpoint.ref);
    holders.push_back({{endpoint.ref, endpoint.address},
                       learned == capacities.end()
                           ? static_cast<double>(endpoint.slots)
                           : learned->second});
  }
  return holders;
}

bool Gateway::Impl::DividedByKey(const ServiceId& service) const {
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
    keeper->OnStoreReachability(!store_away_, now);
    keeper->OnElection(on_duty_);
    keeper->OnAddresses(address_holders_);
    keeper->OnEndpoints(KeyHolders(service), now);
    std::vector<GatewayInstance> routers;
    std::ranges::copy(routers_ | std::views::values,
                      std::back_inserter(routers));
    keeper->OnGateways(std::move(routers));
    leases_follower_->ReadNow();
  }
  return *keeper;
}

void Gateway::Impl::TakeTable(LeaseTable table, const char* source) {
  LeaseKeeper& keeper = Keeper(table.service);
  keeper.OnTable(std::move(table), BootClock::now());
  ShowTable(keeper, source);
}

// Hands a changed table to the forwarder.
void Gateway::Impl::ShowTable(LeaseKeeper& keeper, const char* source) {
  const LeaseTable& table = keeper.table();
  if (table.version == 0 || !DividedByKey(table.service)) return;
  if (std::exchange(shown_versions_[table.service], table.version) ==
      table.version) {
    return;
  }
  const auto moving =
      std::ranges::count(table.ranges, false, &RangeLease::granted);
  LogState("lease_table", {{"service", table.service},
                           {"version", std::to_string(table.version)},
                           {"source", source},
                           {"mover", table.leader.id},
                           {"ranges", std::to_string(table.ranges.size())},
                           {"moving", std::to_string(moving)}});
  forwarder_.SetLeases(std::make_shared<const LeaseTable>(table));
  AnswerHeldQuestions(true);
}

void Gateway::Impl::Join() {
  Every(join_timer_, kJoinInterval, [this] { Join(); });
  // A gateway that does not read the store itself takes no duty.
  if (!UsesLeases() || stopping_ || !reads_store_) return;
  store_.JoinLeaderElection(
      settings_.id, kJoinTimeToLive, [this](ElectionResult answer) {
        if (stopping_) return;
        OnStoreAnswer(answer.reached, "join");
        if (!answer.reached ||
            std::exchange(on_duty_, answer.elected) == answer.elected) {
          return;
        }
        LogState(on_duty_ ? "duty_gained" : "duty_lost", {});
        for (auto& keeper : keepers_ | std::views::values) {
          keeper->OnElection(on_duty_);
        }
        if (on_duty_) {
          ReadDirectly("duty");
          leases_follower_->ReadNow();
        }
      });
}

void Gateway::Impl::Report() {
  Every(report_timer_, kReportInterval, [this] { Report(); });
  forwarder_.Clean();
  const BootTime now = BootClock::now();
  for (auto& [service, keys] : forwarder_.TakeKeySamples()) {
    const auto found = keepers_.find(service);
    if (found == keepers_.end()) continue;
    LeaseKeeper& keeper = *found->second;
    const GatewayInstance& mover = keeper.table().leader;
    if (on_duty_ || mover == self_) {
      keeper.load().Add(keys, now);
      keeper.OnEndpoints(KeyHolders(service), now);
    } else if (!mover.address.empty()) {
      // A report that is lost is followed by the next one.
      ClientOf(peer_clients_, mover.address)
          .Send({"POST", "/load/" + service, {}, EncodeKeys(keys), 0},
                kPeerTimeout, [](const HttpClient::Outcome&) {});
    }
  }
}

void Gateway::Impl::SendCall(LeaseKeeper& keeper, std::uint64_t call,
                             const std::string& address, HttpRequest request,
                             Milliseconds timeout) {
  ClientOf(call_clients_, address)
      .Send(std::move(request), timeout,
            [this, &keeper, call](const HttpClient::Outcome& outcome) {
              BackendDialect::CallAnswer answer;
              if (outcome.response) {
                answer = dialect_.ReadCallAnswer(*outcome.response);
              } else if (outcome.error.failure == HttpFailure::kNotSent) {
                answer.outcome = CallOutcome::kNotSent;
              }
              keeper.OnCallResult(call, answer.outcome,
                                  std::move(answer.handover), BootClock::now());
            });
}

void Gateway::Impl::Do(LeaseKeeper& keeper, const LeaseAction& action) {
  std::visit(
      Overloaded{
          [&](const AppendTable& append) {
            store_.Append(
                Log::kLeases, append.table.service,
                SerializeLeaseTable(append.table), append.expected_end,
                [this, &keeper](AppendOutcome outcome) {
                  keeper.OnAppendResult(outcome, BootClock::now());
                  if (outcome == AppendOutcome::kDone) {
                    ShowTable(keeper, "own append");
                    for (auto& other : keepers_ | std::views::values) {
                      other->OnLogEnd(keeper.table().version, BootTime{});
                    }
                    return;
                  }
                  LogState(
                      "lease_append_failed",
                      {{"outcome", std::to_string(static_cast<int>(outcome))}});
                  leases_follower_->ReadNow();
                });
          },
          [&](const GrantCall& grant) {
            SendCall(keeper, grant.id, grant.to.address,
                     dialect_.ToGrant(grant), LeaseKeeper::kCallTimeout);
          },
          [&](const ReleaseCall& release) {
            SendCall(keeper, release.id, release.from.address,
                     dialect_.ToRelease(release), LeaseKeeper::kReleaseTimeout);
          },
          [&](const PublishTable& publish) {
            const std::string target = "/table/" + publish.table.service + "/" +
                                       std::to_string(publish.table.version);
            const std::string body = SerializeLeaseTable(publish.table);
            for (const GatewayInstance& router : publish.recipients) {
              ClientOf(peer_clients_, router.address)
                  .Send({"POST", target, {}, body, 0}, kPeerTimeout,
                        [&keeper, router, version = publish.table.version](
                            const HttpClient::Outcome& outcome) {
                          if (!outcome.response ||
                              outcome.response->status != 200) {
                            return;  // asked again by the next publication
                          }
                          const auto since = ParseWhole(FindHeader(
                              outcome.response->headers, kSinceRenewal));
                          if (!since) return;
                          keeper.OnAdopted(router, version,
                                           Milliseconds(*since),
                                           BootClock::now());
                        });
            }
          },
          [&](const RereadLog&) { leases_follower_->ReadNow(); }},
      action);
}

}  // namespace balsamhall::gateway
