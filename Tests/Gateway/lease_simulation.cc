#include "Gateway/lease_simulation.h"

#include <algorithm>
#include <array>
#include <queue>
#include <ranges>
#include <set>

#include "gateway/log_position.h"
#include "gateway/store_era.h"

namespace balsamhall::gateway {
namespace {

using Ms = Milliseconds;

constexpr std::size_t kGateways = 5;
constexpr std::size_t kEndpoints = 4;
constexpr Ms kStep{20};
// Probability of a new fault per step. At a low rate, long faults run their
// course without another one.
constexpr std::array<double, 3> kFaultRates{0.002, 0.006, 0.02};
// Kinds of faults; those with hidden restarts come after the others.
constexpr std::size_t kFaults = 12;
constexpr std::size_t kHiddenRestartFaults = 6;
// Probability that an endpoint closes a connection after a grant.
constexpr double kCloseRate = 0.005;
// Probability of a request of a gateway per step.
constexpr double kRequestRate = 0.15;
constexpr Ms kFaultPhase{60'000};
// Longer than a gateway renews leases under an old view.
constexpr int kMaxRegistryDelayMs = 20'000;
// Maximum view age, lease time and margins, and time for a few rounds of moves.
constexpr Ms kRecoveryPhase{40'000};
// A key is served again within this time (the users' target): while it moves,
// it has no holder.
constexpr Ms kMaxUnservedTime{2'000};
// Share of restores of the store among the faults, where they happen.
constexpr double kRestoreShare = 0.25;
constexpr std::size_t kMaxLostRecords = 6;
// Probability that the response to a read arrives a second time, late.
constexpr double kLateReadRate = 0.1;
// Keys that are checked: the middle of each cell of 1,024 keys.
constexpr std::size_t kWatchedKeys = 64;

ShardKey WatchedKey(std::size_t index) {
  return static_cast<ShardKey>(index * 1024 + 512);
}

// The endpoint's clock is 2% slow.
Ms SimulatedLease(const GrantCall& grant) {
  return grant.lease_time + grant.lease_time / 50;
}

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

class Simulation {
 public:
  Simulation(std::uint32_t seed, LeaseKeeper::Guards guards,
             SimulationOptions options)
      : random_(seed),
        guards_(guards),
        options_(options),
        faults_(kFaults + (options.hidden_restarts ? kHiddenRestartFaults : 0)),
        // Each kind of fault keeps its rate.
        fault_rate_(kFaultRates.at(seed % kFaultRates.size()) *
                    static_cast<double>(faults_) / kFaults) {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      endpoints_.push_back(std::make_unique<SimulatedEndpoint>(
          LeaseHolder{{"e" + std::to_string(i), ++incarnation_},
                      "a" + std::to_string(i)},
          options_));
      registry_.push_back({endpoints_.back()->holder()});
    }
    if (options.restores) era_ = 1;
    gateways_.resize(kGateways);
    for (std::size_t i = 0; i < kGateways; ++i) StartGateway(i);
  }

  SimulationResult Run() {
    const BootTime fault_end = now_ + kFaultPhase;
    const BootTime end = fault_end + kRecoveryPhase;
    while (now_ < end && !result_.violation) {
      if (now_ < fault_end) {
        if (Chance(fault_rate_)) InjectFault();
      } else if (!faults_cleared_) {
        ClearFaults();
      }
      Step();
    }
    while (!result_.violation && now_ < end + kMaxUnservedTime &&
           !UnservedKeys().empty()) {
      Step();
    }
    if (!result_.violation) RecordUnservedKeys();
    return result_;
  }

 private:
  struct Gateway {
    std::unique_ptr<LeaseKeeper> keeper;
    std::uint64_t incarnation = 0;
    bool up = true;
    BootTime paused_until;
    bool store_cut = false;
    std::array<bool, kEndpoints> endpoint_cut{};
    bool believes_elected = false;
    std::size_t number = 0;
    std::size_t read_to = 0;     // number of log records read
    std::uint64_t read_era = 0;  // of the store, at the last read
    BootTime next_read;
    // The process that each lease connection leads to.
    std::map<std::uint64_t, EndpointRef> lease_connections;
    // By endpoint: the process that the connection for requests leads to, and
    // the keys for which it has executed requests.
    struct RequestConnectionState {
      EndpointRef process;
      std::set<ShardKey> keys;
    };
    std::array<RequestConnectionState, kEndpoints> request_connections;
  };
  // What the registry shows of an address: it may be out of date.
  struct RegistryEntry {
    LeaseHolder holder;
    bool listed = true;
  };
  // A grant that a process accepted.
  struct Taken {
    EndpointRef process;
    std::uint64_t fence = 0;
    bool operator==(const Taken&) const = default;
  };
  struct Event {
    BootTime at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  Ms Between(int low, int high) {
    return Ms(std::uniform_int_distribution<int>(low, high)(random_));
  }
  void After(Ms delay, std::function<void()> run) {
    events_.push({now_ + delay, ++last_sequence_, std::move(run)});
  }

  void StartGateway(std::size_t index) {
    Gateway& gateway = gateways_[index];
    gateway = {};
    gateway.incarnation = ++incarnation_;
    gateway.number = index;
    gateway.read_era = era_;
    gateway.keeper = std::make_unique<LeaseKeeper>("service", Instance(index),
                                                   now_, guards_);
    if (elected_ == index) elected_ = Pick(kGateways);
  }

  GatewayInstance Instance(std::size_t index) const {
    return {"r" + std::to_string(index), gateways_[index].incarnation,
            std::to_string(index), "a"};
  }

  std::vector<GatewayInstance> Gateways() const {
    std::vector<GatewayInstance> all;
    for (std::size_t i = 0; i < kGateways; ++i) all.push_back(Instance(i));
    return all;
  }

  std::vector<EligibleEndpoint> Registered() const {
    std::vector<EligibleEndpoint> all;
    for (const RegistryEntry& entry : registry_) {
      if (entry.listed) all.push_back({entry.holder, 2});
    }
    return all;
  }

  // Makes the registry show the process that runs at the address.
  void Publish(std::size_t endpoint) {
    registry_[endpoint].holder = endpoints_[endpoint]->holder();
  }

  // An id may also return after a process under another one.
  void RestartUnderSameId(std::size_t endpoint) {
    const EndpointId id = Chance(0.5) ? "e" + std::to_string(endpoint)
                                      : endpoints_[endpoint]->holder().ref.id;
    endpoints_[endpoint]->Restart({id, ++incarnation_});
  }

  void RestartUnderOtherId(std::size_t endpoint) {
    const std::int64_t incarnation = ++incarnation_;
    endpoints_[endpoint]->Restart(
        {"e" + std::to_string(endpoint) + "-" + std::to_string(incarnation),
         incarnation});
  }

  bool ReachesStore(const Gateway& gateway) const {
    return store_up_ && !gateway.store_cut;
  }

  void Step() {
    now_ += kStep;
    while (!events_.empty() && events_.top().at <= now_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
    for (std::size_t i = 0; i < kGateways; ++i) StepGateway(i);
    CheckHolders();
  }

  void StepGateway(std::size_t index) {
    Gateway& gateway = gateways_[index];
    if (!gateway.up || now_ < gateway.paused_until) return;
    LeaseKeeper& keeper = *gateway.keeper;
    if (now_ >= gateway.next_read) {
      gateway.next_read = now_ + Between(100, 300);
      keeper.OnStoreReachability(ReachesStore(gateway), now_);
      if (ReachesStore(gateway)) ReadLog(gateway);
    }
    if (ReachesStore(gateway) && Chance(0.1)) {
      gateway.believes_elected = elected_ == index;
      keeper.OnElection(gateway.believes_elected);
    }
    std::vector<ShardKey> keys(5);
    std::ranges::generate(keys, [this] {
      // Half of the load goes to one hot range, which changes.
      return static_cast<ShardKey>(Chance(0.5) ? hot_first_key_ + Pick(200)
                                               : Pick(kShardKeys));
    });
    keeper.load().Add(keys, now_);
    if (Chance(kRequestRate)) {
      SendRequest(index, WatchedKey(Pick(kWatchedKeys)));
    }
    for (const LeaseAction& action : keeper.Tick(now_)) Do(index, action);
    keeper.TakeEvents();
  }

  // Sends a request to the owner of the key.
  void SendRequest(std::size_t index, ShardKey key) {
    Gateway& gateway = gateways_[index];
    const RangeLease* const lease = gateway.keeper->table().Find(key);
    if (lease == nullptr || !lease->OwnerHolds() ||
        !Reachable(index, lease->owner)) {
      return;
    }
    const SimulatedEndpoint& endpoint = EndpointAt(lease->owner);
    if (endpoint.holder().ref.id != lease->owner.ref.id ||
        !endpoint.Holds(key, now_)) {
      return;
    }
    auto& connection = gateway.request_connections[NumberOf(lease->owner)];
    if (connection.process != endpoint.holder().ref) {
      connection = {endpoint.holder().ref, {}};
    }
    connection.keys.insert(key);
  }

  // Reads the log again if the store was restored since the last read.
  void ReadLog(Gateway& gateway) {
    LeaseKeeper& keeper = *gateway.keeper;
    keeper.OnEra(era_, now_);
    if (std::exchange(gateway.read_era, era_) != era_) gateway.read_to = 0;
    gateway.read_to = std::min(gateway.read_to, log_.size());
    for (; gateway.read_to < log_.size(); ++gateway.read_to) {
      LeaseTable table = log_[gateway.read_to];
      // As ParseStoredTable().
      const std::uint64_t era =
          options_.old_records_count_as_new ? era_ : EraOf(table.version);
      table.version = LogPosition(era, gateway.read_to + 1);
      keeper.OnTable(std::move(table), now_);
    }
    // The same response may also arrive late, once more.
    if (options_.restores && Chance(kLateReadRate)) {
      Deliver(gateway.number, gateway.incarnation, Between(100, 3'000),
              [end = LogPosition(era_, log_.size()),
               sent = now_](LeaseKeeper& late) { late.OnLogEnd(end, sent); });
    }
    keeper.OnLogEnd(LogPosition(era_, log_.size()), now_);
    gateway.keeper->OnGateways(Gateways());
    std::map<std::string, AddressHolder> addresses;
    for (const EligibleEndpoint& endpoint : Registered()) {
      addresses[endpoint.holder.address] = {endpoint.holder.ref, true};
    }
    gateway.keeper->OnAddresses(std::move(addresses));
    gateway.keeper->OnEndpoints(Registered(), now_);
  }

  // Runs the function after the delay if this process of the gateway is still
  // up.
  void Deliver(std::size_t index, std::uint64_t incarnation, Ms delay,
               std::function<void(LeaseKeeper&)> run) {
    After(delay, [this, index, incarnation, run = std::move(run)] {
      Gateway& target = gateways_[index];
      if (target.up && target.incarnation == incarnation) run(*target.keeper);
    });
  }

  void Do(std::size_t index, const LeaseAction& action) {
    std::visit(Overloaded{[&](const AppendTable& a) { DoAppend(index, a); },
                          [&](const OpenConnection& a) { DoOpen(index, a); },
                          [&](const GrantCall& a) { DoGrant(index, a); },
                          [&](const ReleaseCall& a) { DoRelease(index, a); },
                          [&](const PublishTable& a) { DoPublish(index, a); },
                          [&](const AnnounceEra& a) { DoAnnounce(index, a); },
                          [&](const RereadLog&) {
                            if (ReachesStore(gateways_[index])) {
                              ReadLog(gateways_[index]);
                            }
                          }},
               action);
  }

  void DoAppend(std::size_t index, const AppendTable& append) {
    const auto answer = [this, index,
                         incarnation = gateways_[index].incarnation](
                            Ms delay, AppendOutcome outcome) {
      Deliver(index, incarnation, delay, [this, outcome](LeaseKeeper& keeper) {
        keeper.OnAppendResult(outcome, now_);
      });
    };
    if (!ReachesStore(gateways_[index])) {
      return answer(Ms(40), AppendOutcome::kNotDone);
    }
    const bool lost = Chance(append_loss_rate_);
    const bool late = lost && Chance(0.5);
    After(late ? Between(500, 4'000) : Between(5, 40),
          [this, append, answer, lost] {
            // The store knows offsets only.
            const bool done = !append.expected_end ||
                              OffsetOf(*append.expected_end) == log_.size();
            if (done) {
              log_.push_back(append.table);
              ++result_.moves;
            }
            if (!lost) {
              const AppendResult result{
                  done ? AppendOutcome::kDone : AppendOutcome::kConflict, era_};
              answer(Ms(5), options_.trust_appends_of_any_era
                                ? result.outcome
                                : JudgeAppend(result, EraVerdict::kCurrent,
                                              append.expected_end));
            }
          });
    if (lost) answer(Ms(1'000), AppendOutcome::kUnknown);
  }

  static std::size_t NumberOf(const LeaseHolder& holder) {
    return static_cast<std::size_t>(holder.address[1] - '0');
  }

  SimulatedEndpoint& EndpointAt(const LeaseHolder& holder) {
    return *endpoints_.at(NumberOf(holder));
  }

  bool Reachable(std::size_t gateway, const LeaseHolder& holder) {
    const auto number = NumberOf(holder);
    return endpoints_[number]->up && !gateways_[gateway].endpoint_cut[number];
  }

  static bool Runs(const SimulatedEndpoint& endpoint,
                   const EndpointRef& process) {
    return endpoint.up && endpoint.holder().ref == process;
  }

  // Responds to the process of the gateway that sent the call.
  void Answer(std::size_t index, std::uint64_t incarnation, std::uint64_t call,
              CallOutcome outcome, Ms delay) {
    Deliver(index, incarnation, delay,
            [this, call, outcome](LeaseKeeper& keeper) {
              keeper.OnCallResult(call, {outcome, "handover"}, now_);
            });
  }

  void DoOpen(std::size_t index, const OpenConnection& open) {
    const auto incarnation = gateways_[index].incarnation;
    const auto report = [this, index, incarnation, id = open.id](
                            Ms delay, std::uint64_t connection) {
      Deliver(index, incarnation, delay,
              [this, id, connection](LeaseKeeper& keeper) {
                keeper.OnConnection(id, connection, now_);
              });
    };
    if (!Reachable(index, open.to)) return report(Between(1, 250), 0);
    After(Between(1, 50), [this, index, open, report, incarnation] {
      Gateway& gateway = gateways_[index];
      if (!Reachable(index, open.to) || gateway.incarnation != incarnation) {
        return report(Ms(1), 0);
      }
      gateway.lease_connections[++last_connection_] =
          EndpointAt(open.to).holder().ref;
      report(Between(1, 50), last_connection_);
    });
  }

  // Returns the process that the connection of a grant leads to; empty if there
  // is no such connection.
  EndpointRef ProcessOf(std::size_t index, const GrantCall& grant) {
    Gateway& gateway = gateways_[index];
    return std::visit(
        Overloaded{[&](const LeaseConnection& connection) {
                     const auto found =
                         gateway.lease_connections.find(connection.number);
                     return found == gateway.lease_connections.end()
                                ? EndpointRef{}
                                : found->second;
                   },
                   [&](const RequestConnection&) {
                     const auto& connection =
                         gateway.request_connections[NumberOf(grant.to)];
                     const bool known = std::ranges::any_of(
                         connection.keys, [&](ShardKey key) {
                           return grant.range.Contains(key);
                         });
                     return known ? connection.process : EndpointRef{};
                   }},
        grant.connection);
  }

  // Closes the connection of a grant.
  void CloseConnection(std::size_t index, const GrantCall& grant) {
    Gateway& gateway = gateways_[index];
    std::visit(
        Overloaded{[&](const LeaseConnection& connection) {
                     gateway.lease_connections.erase(connection.number);
                   },
                   [&](const RequestConnection&) {
                     gateway.request_connections[NumberOf(grant.to)] = {};
                   }},
        grant.connection);
  }

  void DoGrant(std::size_t index, const GrantCall& grant) {
    const auto incarnation = gateways_[index].incarnation;
    const EndpointRef process = ProcessOf(index, grant);
    if (process.empty()) {
      return Answer(index, incarnation, grant.id, CallOutcome::kNotSent, Ms(1));
    }
    if (!Reachable(index, grant.to) || !Runs(EndpointAt(grant.to), process)) {
      CloseConnection(index, grant);
      // A network partition may also drop calls that were sent.
      return Answer(
          index, incarnation, grant.id,
          Chance(0.5) ? CallOutcome::kNotSent : CallOutcome::kUnanswered,
          LeaseKeeper::kCallTimeout);
    }
    const bool late = Chance(late_call_rate_);
    // A call can be in transit until its connection is reset.
    const Ms transit = Between(1, 350);
    After(transit, [this, index, incarnation, grant, late, process] {
      const BootTime arrival = now_;
      After(late ? Between(2'000, 12'000) : Ms(0),
            [this, index, incarnation, grant, late, arrival, process] {
              SimulatedEndpoint& endpoint = EndpointAt(grant.to);
              // A call is lost when the process ends.
              const auto outcome = Runs(endpoint, process)
                                       ? endpoint.Grant(grant, arrival, now_)
                                       : CallOutcome::kUnanswered;
              if (outcome == CallOutcome::kDone) {
                CheckFences(endpoint, grant, arrival);
              }
              if (late) return;
              if (outcome == CallOutcome::kUnanswered || Chance(kCloseRate)) {
                CloseConnection(index, grant);
              }
              Answer(index, incarnation, grant.id, outcome, Ms(1));
            });
    });
    if (late) {
      CloseConnection(index, grant);
      Answer(index, incarnation, grant.id, CallOutcome::kUnanswered,
             LeaseKeeper::kCallTimeout);
    }
  }

  void DoRelease(std::size_t index, const ReleaseCall& release) {
    const auto incarnation = gateways_[index].incarnation;
    if (!Reachable(index, release.from)) {
      return Answer(index, incarnation, release.id, CallOutcome::kUnanswered,
                    LeaseKeeper::kReleaseTimeout);
    }
    const bool late = Chance(late_call_rate_);
    const EndpointRef target = EndpointAt(release.from).holder().ref;
    // Running requests on the keys have to finish first.
    After(late ? Between(2'000, 12'000) : Between(1, 1'000),
          [this, index, incarnation, release, late, target] {
            SimulatedEndpoint& endpoint = EndpointAt(release.from);
            // A call is lost when the process ends.
            const auto outcome = Runs(endpoint, target)
                                     ? endpoint.Release(release)
                                     : CallOutcome::kUnanswered;
            if (!late) Answer(index, incarnation, release.id, outcome, Ms(1));
          });
    if (late) {
      Answer(index, incarnation, release.id, CallOutcome::kUnanswered,
             LeaseKeeper::kReleaseTimeout);
    }
  }

  void DoPublish(std::size_t index, const PublishTable& publish) {
    for (const GatewayInstance& renewer : publish.recipients) {
      const auto number = static_cast<std::size_t>(renewer.address[0] - '0');
      Gateway& other = gateways_[number];
      // A gateway that is partitioned from the store often cannot be reached by
      // the others either.
      if (!other.up || now_ < other.paused_until ||
          other.incarnation != renewer.incarnation ||
          (other.store_cut && Chance(0.7))) {
        continue;
      }
      other.keeper->OnTable(publish.table, now_);
      if (other.keeper->table().version < publish.table.version) continue;
      const Ms since = other.keeper->SinceRenewal(now_);
      Deliver(index, gateways_[index].incarnation, Ms(20),
              [this, renewer, since,
               version = publish.table.version](LeaseKeeper& keeper) {
                keeper.OnAdopted(renewer, version, since, now_);
              });
    }
  }

  void DoAnnounce(std::size_t index, const AnnounceEra& announce) {
    for (const GatewayInstance& recipient : announce.recipients) {
      const auto number = static_cast<std::size_t>(recipient.address[0] - '0');
      Gateway& other = gateways_[number];
      if (!other.up || now_ < other.paused_until ||
          (other.store_cut && Chance(0.7))) {
        continue;
      }
      other.keeper->OnEra(announce.era, now_);
      // The response comes from whichever process serves at the address.
      Deliver(index, gateways_[index].incarnation, Ms(20),
              [this, process = Instance(number),
               since = other.keeper->SinceRenewal(now_),
               era = announce.era](LeaseKeeper& keeper) {
                keeper.OnEraAcknowledged(process, era, since, now_);
              });
    }
  }

  // The store is away for a moment and returns without its last records.
  void RestoreStore() {
    store_up_ = false;
    const std::size_t lost = Pick(kMaxLostRecords + 1);
    // Some gateways do not learn of it for a while.
    for (std::size_t i = 0; i < kGateways; ++i) {
      if (Chance(0.2)) CutFromStore(i);
    }
    After(Between(100, 3'000), [this, lost] {
      log_.resize(log_.size() - std::min(lost, log_.size()));
      ++era_;
      ++result_.restores;
      if (Chance(0.5)) elected_ = Pick(kGateways);
      store_up_ = true;
    });
  }

  void InjectFault() {
    if (options_.restores && Chance(kRestoreShare)) return RestoreStore();
    const std::size_t gateway = Pick(kGateways);
    const std::size_t endpoint = Pick(kEndpoints);
    const std::size_t fault = Pick(faults_);
    if (fault >= kFaults) {
      InjectHiddenRestart(fault - kFaults, gateway, endpoint);
      return;
    }
    switch (fault) {
      case 0:
        elected_ = Pick(kGateways);
        break;
      case 1:
        gateways_[gateway].paused_until = now_ + Between(500, 8'000);
        break;
      case 2:
        StartGateway(gateway);
        break;
      case 3:
        CutFromStore(gateway);
        break;
      case 4:
        gateways_[gateway].endpoint_cut[endpoint] = true;
        After(Between(500, 9'000), [this, gateway, endpoint] {
          gateways_[gateway].endpoint_cut[endpoint] = false;
        });
        break;
      case 5:
        store_up_ = false;
        After(Between(500, 12'000), [this] { store_up_ = true; });
        break;
      case 6:  // a crash, then a restart under the same id
        endpoints_[endpoint]->up = false;
        After(Between(200, 6'000), [this, endpoint] {
          RestartUnderSameId(endpoint);
          Publish(endpoint);
        });
        break;
      case 7:  // the registry entry lapses although the endpoint is up
        registry_[endpoint].listed = false;
        After(Between(1'000, 9'000),
              [this, endpoint] { registry_[endpoint].listed = true; });
        break;
      case 8:
        late_call_rate_ = 0.4;
        After(Between(2'000, 6'000), [this] { late_call_rate_ = 0; });
        break;
      case 9:
        append_loss_rate_ = 0.4;
        After(Between(2'000, 6'000), [this] { append_loss_rate_ = 0; });
        break;
      case 10:  // only one gateway, without the store, reaches an endpoint
        gateways_[gateway].store_cut = true;
        registry_[endpoint].listed = false;
        if (elected_ == gateway) elected_ = (gateway + 1) % kGateways;
        for (std::size_t i = 0; i < kGateways; ++i) {
          gateways_[i].endpoint_cut[endpoint] = i != gateway;
        }
        After(Between(10'000, 45'000), [this, gateway, endpoint] {
          gateways_[gateway].store_cut = false;
          registry_[endpoint].listed = true;
          for (Gateway& other : gateways_) other.endpoint_cut[endpoint] = false;
        });
        break;
      default:
        hot_first_key_ = Pick(kShardKeys - 200);
        break;
    }
  }

  void InjectHiddenRestart(std::size_t kind, std::size_t gateway,
                           std::size_t endpoint) {
    const bool same_id = kind == 0 || (kind > 1 && Chance(0.5));
    switch (kind) {
      case 2:  // a store outage for all gateways
        store_up_ = false;
        After(Between(500, 20'000), [this] { store_up_ = true; });
        break;
      case 3:  // a store outage for some gateways
        for (std::size_t i = 0; i < kGateways; ++i) {
          if (Chance(0.5)) CutFromStore(i);
        }
        break;
      case 4:
        late_call_rate_ = 0.4;
        After(Between(2'000, 6'000), [this] { late_call_rate_ = 0; });
        break;
      case 5: {  // the leader was lost just before
        const std::size_t leader = elected_;
        if (Chance(0.5)) {
          CutFromStore(leader);
        } else {
          gateways_[leader].paused_until = now_ + Between(500, 8'000);
        }
        elected_ = (leader + 1 + gateway % (kGateways - 1)) % kGateways;
        After(Between(0, 1'000),
              [this, endpoint, same_id] { RestartHidden(endpoint, same_id); });
        return;
      }
      default:
        break;
    }
    RestartHidden(endpoint, same_id);
  }

  void CutFromStore(std::size_t gateway) {
    gateways_[gateway].store_cut = true;
    if (elected_ == gateway) elected_ = Pick(kGateways);
    After(Between(1'000, 30'000),
          [this, gateway] { gateways_[gateway].store_cut = false; });
  }

  // Ends the endpoint's process and starts another one at its address. The
  // registry shows the ended process for a while.
  void RestartHidden(std::size_t endpoint, bool same_id) {
    if (faults_cleared_) return;
    endpoints_[endpoint]->up = false;
    After(Between(50, 3'000), [this, endpoint, same_id] {
      if (faults_cleared_) return;
      if (same_id) {
        RestartUnderSameId(endpoint);
      } else {
        RestartUnderOtherId(endpoint);
      }
      After(Between(0, kMaxRegistryDelayMs),
            [this, endpoint] { Publish(endpoint); });
    });
  }

  void ClearFaults() {
    faults_cleared_ = true;
    store_up_ = true;
    late_call_rate_ = 0;
    append_loss_rate_ = 0;
    for (Gateway& gateway : gateways_) {
      gateway.store_cut = false;
      gateway.endpoint_cut = {};
      gateway.paused_until = now_;
    }
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      if (!endpoints_[i]->up) RestartUnderSameId(i);
      registry_[i].listed = true;
      Publish(i);
    }
  }

  void CheckHolders() {
    for (std::size_t i = 0; i < kWatchedKeys; ++i) {
      const ShardKey key = WatchedKey(i);
      const auto holds = [&](const auto& endpoint) {
        return endpoint->up && endpoint->Holds(key, now_);
      };
      const auto holders = std::ranges::count_if(endpoints_, holds);
      if (holders == 0) ++result_.unserved_steps;
      if (holders > 1) {
        result_.violation =
            "key " + std::to_string(key) + " has two holders at " + Now();
        for (const auto& endpoint : endpoints_ | std::views::filter(holds)) {
          *result_.violation += ", " + endpoint->holder().ref.ToString() +
                                " with fence " +
                                std::to_string(endpoint->Fence(key));
        }
      }
    }
  }

  // Records that the process took the keys, and checks the fence against those
  // with which other processes had them. A late grant whose lease has ended
  // gives no keys.
  void CheckFences(const SimulatedEndpoint& endpoint, const GrantCall& grant,
                   BootTime arrival) {
    if (now_ >= arrival + SimulatedLease(grant)) return;
    const Taken taken{endpoint.holder().ref, grant.fence};
    for (std::size_t i = 0; i < kWatchedKeys; ++i) {
      const ShardKey key = WatchedKey(i);
      if (!grant.range.Contains(key)) continue;
      std::vector<Taken>& earlier = taken_[key];
      // The same process may take the same fence again.
      if (std::ranges::find(earlier, taken) != earlier.end()) continue;
      const auto other = std::ranges::find_if(earlier, [&](const Taken& had) {
        return had.process != taken.process && had.fence >= taken.fence;
      });
      if (other != earlier.end() && !result_.fence_violation) {
        result_.fence_violation = "key " + std::to_string(key) + " went to " +
                                  taken.process.ToString() + " with fence " +
                                  std::to_string(taken.fence) + " at " + Now() +
                                  "; " + other->process.ToString() +
                                  " had it with fence " +
                                  std::to_string(other->fence);
      }
      earlier.push_back(taken);
    }
  }

  std::string Now() const {
    const auto time = std::chrono::duration_cast<Ms>(now_.time_since_epoch());
    return std::to_string(time.count()) + " ms";
  }

  std::string Describe(ShardKey key) const {
    std::string text = "elected gateway " + std::to_string(elected_) +
                       ", log " + std::to_string(log_.size());
    for (const Gateway& gateway : gateways_) {
      const LeaseTable& table = gateway.keeper->table();
      const RangeLease* const lease = table.Find(key);
      text +=
          "; table " + std::to_string(table.version) + " by " + table.leader.id;
      if (lease == nullptr) continue;
      text +=
          " " + lease->range.ToString() + " to " + lease->owner.ref.ToString() +
          " fence " + std::to_string(lease->fence) +
          (lease->granted ? " granted"
                          : " moving from " + lease->previous.ref.ToString());
    }
    return text;
  }

  // Returns the watched keys without a holder, except those that had one at an
  // earlier call.
  const std::set<ShardKey>& UnservedKeys() {
    if (!unserved_keys_) {
      unserved_keys_.emplace();
      for (std::size_t i = 0; i < kWatchedKeys; ++i) {
        unserved_keys_->insert(WatchedKey(i));
      }
    }
    std::erase_if(*unserved_keys_, [this](ShardKey key) {
      return std::ranges::any_of(endpoints_, [&](const auto& endpoint) {
        return endpoint->up && endpoint->Holds(key, now_);
      });
    });
    return *unserved_keys_;
  }

  void RecordUnservedKeys() {
    for (const ShardKey key : UnservedKeys()) {
      result_.unserved =
          "key " + std::to_string(key) + " has no holder; " + Describe(key);
    }
  }

  std::mt19937 random_;
  LeaseKeeper::Guards guards_;
  SimulationOptions options_;
  std::size_t faults_;
  double fault_rate_;
  BootTime now_{std::chrono::seconds(1'000)};
  std::uint64_t last_sequence_ = 0;
  std::int64_t incarnation_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<SimulatedEndpoint>> endpoints_;
  std::vector<RegistryEntry> registry_;  // by the endpoint's number
  std::map<ShardKey, std::vector<Taken>> taken_;
  std::vector<Gateway> gateways_;
  std::vector<LeaseTable> log_;
  std::uint64_t era_ = 0;  // 0: the store states none
  std::uint64_t last_connection_ = 0;
  bool store_up_ = true;
  std::size_t elected_ = 0;
  std::size_t hot_first_key_ = 0;
  double late_call_rate_ = 0;
  double append_loss_rate_ = 0;
  bool faults_cleared_ = false;
  std::optional<std::set<ShardKey>> unserved_keys_;
  SimulationResult result_;
};

}  // namespace

// State per watched key is enough to detect two holders.
SimulatedEndpoint::KeyState& SimulatedEndpoint::StateOf(ShardKey key) {
  return keys_[key];
}

bool SimulatedEndpoint::IsForAnother(const LeaseHolder& named) const {
  return options_.calls_name_endpoint && named.ref.id != holder_.ref.id;
}

CallOutcome SimulatedEndpoint::Grant(const GrantCall& call, BootTime arrival,
                                     BootTime now) {
  // A call does not name an incarnation: a later one at the address accepts it
  // as well.
  if (IsForAnother(call.to)) return CallOutcome::kOtherEndpoint;
  std::vector<ShardKey> keys;
  for (std::size_t i = 0; i < kWatchedKeys; ++i) {
    if (call.range.Contains(WatchedKey(i))) keys.push_back(WatchedKey(i));
  }
  const bool refused = std::ranges::any_of(keys, [&](ShardKey key) {
    return StateOf(key).highest_fence > call.fence;
  });
  if (refused) return CallOutcome::kRefused;
  for (const ShardKey key : keys) {
    KeyState& state = StateOf(key);
    state.fence = state.highest_fence = call.fence;
    state.end = std::max(state.end, arrival + SimulatedLease(call));
    if (state.end <= now) state.end = now;
  }
  return CallOutcome::kDone;
}

CallOutcome SimulatedEndpoint::Release(const ReleaseCall& call) {
  if (IsForAnother(call.from)) return CallOutcome::kOtherEndpoint;
  for (std::size_t i = 0; i < kWatchedKeys; ++i) {
    const ShardKey key = WatchedKey(i);
    if (!call.range.Contains(key)) continue;
    KeyState& state = StateOf(key);
    state.highest_fence = std::max(state.highest_fence, call.fence);
    state.end = {};
  }
  return CallOutcome::kDone;
}

bool SimulatedEndpoint::Holds(ShardKey key, BootTime now) const {
  const auto found = keys_.find(key);
  return found != keys_.end() && now < found->second.end;
}

std::uint64_t SimulatedEndpoint::Fence(ShardKey key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? 0 : found->second.fence;
}

void SimulatedEndpoint::Restart(EndpointRef process) {
  holder_.ref = std::move(process);
  keys_.clear();
  up = true;
}

SimulationResult RunLeaseSimulation(std::uint32_t seed,
                                    LeaseKeeper::Guards guards,
                                    SimulationOptions options) {
  return Simulation(seed, guards, options).Run();
}

}  // namespace balsamhall::gateway
