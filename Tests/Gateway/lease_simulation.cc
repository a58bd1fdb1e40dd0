#include "Gateway/lease_simulation.h"

#include <algorithm>
#include <array>
#include <queue>
#include <ranges>

namespace balsamhall::gateway {
namespace {

using Ms = Milliseconds;

constexpr std::size_t kRouters = 5;
constexpr std::size_t kEndpoints = 4;
constexpr Ms kStep{20};
// Faults per step: few leave long ones undisturbed.
constexpr std::array<double, 3> kFaultRates{0.002, 0.006, 0.02};
constexpr Ms kFaultTime{60'000};
// Authority, lease and margins, and time for a few rounds of moves.
constexpr Ms kQuietTime{40'000};
// Keys that are looked at: the middles of the cells of 1,024 keys.
constexpr std::size_t kWatchedKeys = 64;

ShardKey WatchedKey(std::size_t index) {
  return static_cast<ShardKey>(index * 1024 + 512);
}

template <class... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

class Simulation {
 public:
  Simulation(std::uint32_t seed, LeaseKeeper::Guards guards)
      : random_(seed),
        guards_(guards),
        fault_rate_(kFaultRates.at(seed % kFaultRates.size())) {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      endpoints_.push_back(std::make_unique<SimulatedEndpoint>(LeaseHolder{
          {"e" + std::to_string(i), ++incarnation_}, "a" + std::to_string(i)}));
    }
    routers_.resize(kRouters);
    for (std::size_t i = 0; i < kRouters; ++i) StartRouter(i);
  }

  SimulationResult Run() {
    const BootTime fault_end = now_ + kFaultTime;
    const BootTime end = fault_end + kQuietTime;
    while (now_ < end && !result_.violation) {
      if (now_ < fault_end) {
        if (Chance(fault_rate_)) InjectFault();
      } else if (!healed_) {
        Heal();
      }
      Step();
    }
    if (!result_.violation) CheckServed();
    return result_;
  }

 private:
  struct Router {
    std::unique_ptr<LeaseKeeper> keeper;
    std::uint64_t incarnation = 0;
    bool up = true;
    BootTime frozen_until;
    bool store_cut = false;
    std::array<bool, kEndpoints> endpoint_cut{};
    bool believes_elected = false;
    std::size_t read_to = 0;  // records of the log
    BootTime next_read;
  };
  struct Event {
    BootTime at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
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
    events_.push({now_ + delay, ++order_, std::move(run)});
  }

  void StartRouter(std::size_t index) {
    Router& router = routers_[index];
    router = {};
    router.incarnation = ++incarnation_;
    router.keeper =
        std::make_unique<LeaseKeeper>("service", Self(index), now_, guards_);
    if (elected_gateway_ == index) elected_gateway_ = Pick(kRouters);
  }

  GatewayInstance Self(std::size_t index) const {
    return {"r" + std::to_string(index), routers_[index].incarnation,
            std::to_string(index), "a"};
  }

  std::vector<GatewayInstance> Routers() const {
    std::vector<GatewayInstance> all;
    for (std::size_t i = 0; i < kRouters; ++i) all.push_back(Self(i));
    return all;
  }

  std::vector<EligibleEndpoint> Registered() const {
    std::vector<EligibleEndpoint> all;
    for (const auto& endpoint : endpoints_) {
      if (endpoint->registered) all.push_back({endpoint->holder(), 2});
    }
    return all;
  }

  bool Reaches(const Router& router) const {
    return store_up_ && !router.store_cut;
  }

  void Step() {
    now_ += kStep;
    while (!events_.empty() && events_.top().at <= now_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
    for (std::size_t i = 0; i < kRouters; ++i) StepRouter(i);
    CheckOwners();
  }

  void StepRouter(std::size_t index) {
    Router& router = routers_[index];
    if (!router.up || now_ < router.frozen_until) return;
    LeaseKeeper& keeper = *router.keeper;
    if (now_ >= router.next_read) {
      router.next_read = now_ + Between(100, 300);
      keeper.OnStoreReachability(Reaches(router), now_);
      if (Reaches(router)) ReadLog(router);
    }
    if (Reaches(router) && Chance(0.1)) {
      router.believes_elected = elected_gateway_ == index;
      keeper.OnElection(router.believes_elected);
    }
    std::vector<ShardKey> keys(5);
    std::ranges::generate(keys, [this] {
      // Half of the load on one stretch, which changes.
      return static_cast<ShardKey>(Chance(0.5) ? hot_ + Pick(200)
                                               : Pick(kShardKeys));
    });
    keeper.load().Add(keys, now_);
    for (const LeaseAction& action : keeper.Tick(now_)) Do(index, action);
    keeper.TakeEvents();
  }

  void ReadLog(Router& router) {
    for (; router.read_to < log_.size(); ++router.read_to) {
      LeaseTable table = log_[router.read_to];
      table.version = router.read_to + 1;
      router.keeper->OnTable(std::move(table), now_);
    }
    router.keeper->OnLogEnd(log_.size(), now_);
    router.keeper->OnGateways(Routers());
    std::map<std::string, AddressHolder> addresses;
    for (const EligibleEndpoint& endpoint : Registered()) {
      addresses[endpoint.holder.address] = {endpoint.holder.ref, true};
    }
    router.keeper->OnAddresses(std::move(addresses));
    router.keeper->OnEndpoints(Registered(), now_);
  }

  // Runs only if the same process still lives.
  void Deliver(std::size_t index, Ms delay,
               std::function<void(LeaseKeeper&)> run) {
    const auto incarnation = routers_[index].incarnation;
    After(delay, [this, index, incarnation, run = std::move(run)] {
      Router& router = routers_[index];
      if (router.up && router.incarnation == incarnation) run(*router.keeper);
    });
  }

  void Do(std::size_t index, const LeaseAction& action) {
    std::visit(Overloaded{[&](const AppendTable& a) { DoAppend(index, a); },
                          [&](const GrantCall& a) { DoGrant(index, a); },
                          [&](const ReleaseCall& a) { DoRelease(index, a); },
                          [&](const PublishTable& a) { DoPublish(index, a); },
                          [&](const RereadLog&) {
                            if (Reaches(routers_[index])) {
                              ReadLog(routers_[index]);
                            }
                          }},
               action);
  }

  void DoAppend(std::size_t index, const AppendTable& append) {
    const auto answer = [this, index](Ms delay, AppendOutcome outcome) {
      Deliver(index, delay, [this, outcome](LeaseKeeper& keeper) {
        keeper.OnAppendResult(outcome, now_);
      });
    };
    if (!Reaches(routers_[index])) {
      return answer(Ms(40), AppendOutcome::kNotDone);
    }
    const bool lost = Chance(append_loss_);
    const bool late = lost && Chance(0.5);
    After(late ? Between(500, 4'000) : Between(5, 40), [this, append, answer,
                                                        lost] {
      const bool done =
          !append.expected_end || *append.expected_end == log_.size();
      if (done) {
        log_.push_back(append.table);
        ++result_.moves;
      }
      if (!lost) {
        answer(Ms(5), done ? AppendOutcome::kDone : AppendOutcome::kConflict);
      }
    });
    if (lost) answer(Ms(1'000), AppendOutcome::kUnknown);
  }

  SimulatedEndpoint& EndpointAt(const LeaseHolder& holder) {
    return *endpoints_.at(static_cast<std::size_t>(holder.address[1] - '0'));
  }

  bool Reachable(std::size_t router, const LeaseHolder& holder) {
    const auto number = static_cast<std::size_t>(holder.address[1] - '0');
    return endpoints_[number]->up && !routers_[router].endpoint_cut[number];
  }

  void Answer(std::size_t index, std::uint64_t call, CallOutcome outcome,
              Ms delay) {
    Deliver(index, delay, [this, call, outcome](LeaseKeeper& keeper) {
      keeper.OnCallResult(call, outcome, "handover", now_);
    });
  }

  void DoGrant(std::size_t index, const GrantCall& grant) {
    if (!Reachable(index, grant.to)) {
      // A cut may also swallow what was sent.
      return Answer(
          index, grant.id,
          Chance(0.5) ? CallOutcome::kNotSent : CallOutcome::kUnanswered,
          LeaseKeeper::kCallTimeout);
    }
    const bool late = Chance(late_orders_);
    // A call can be under way until its connection is reset.
    const Ms way = Between(1, 350);
    After(way, [this, index, grant, late] {
      const BootTime arrival = now_;
      const EndpointRef life = EndpointAt(grant.to).holder().ref;
      After(late ? Between(2'000, 12'000) : Ms(0),
            [this, index, grant, late, arrival, life] {
              SimulatedEndpoint& endpoint = EndpointAt(grant.to);
              // What is to be carried out later ends with the process.
              if (!endpoint.up || endpoint.holder().ref != life) return;
              const auto outcome = endpoint.Grant(grant, arrival, now_);
              if (!late) Answer(index, grant.id, outcome, Ms(1));
            });
    });
    if (late) {
      Answer(index, grant.id, CallOutcome::kUnanswered,
             LeaseKeeper::kCallTimeout);
    }
  }

  void DoRelease(std::size_t index, const ReleaseCall& release) {
    if (!Reachable(index, release.from)) {
      return Answer(index, release.id, CallOutcome::kUnanswered,
                    LeaseKeeper::kReleaseTimeout);
    }
    const bool late = Chance(late_orders_);
    // Running work on the keys has to end first.
    After(late ? Between(2'000, 12'000) : Between(1, 1'000),
          [this, index, release, late] {
            SimulatedEndpoint& endpoint = EndpointAt(release.from);
            if (endpoint.up) endpoint.Release(release);
            if (late) return;
            Answer(index, release.id,
                   endpoint.up ? CallOutcome::kDone : CallOutcome::kUnanswered,
                   Ms(1));
          });
    if (late) {
      Answer(index, release.id, CallOutcome::kUnanswered,
             LeaseKeeper::kReleaseTimeout);
    }
  }

  void DoPublish(std::size_t index, const PublishTable& publish) {
    for (const GatewayInstance& renewer : publish.recipients) {
      const auto number = static_cast<std::size_t>(renewer.address[0] - '0');
      Router& other = routers_[number];
      // A cut from the store often cuts the routers from each other as well.
      if (!other.up || now_ < other.frozen_until ||
          other.incarnation != renewer.incarnation ||
          (other.store_cut && Chance(0.7))) {
        continue;
      }
      other.keeper->OnTable(publish.table, now_);
      if (other.keeper->table().version < publish.table.version) continue;
      const Ms since = other.keeper->SinceRenewal(now_);
      Deliver(index, Ms(20),
              [this, renewer, since,
               version = publish.table.version](LeaseKeeper& keeper) {
                keeper.OnAdopted(renewer, version, since, now_);
              });
    }
  }

  void InjectFault() {
    const std::size_t router = Pick(kRouters);
    const std::size_t endpoint = Pick(kEndpoints);
    switch (Pick(12)) {
      case 0:
        elected_gateway_ = Pick(kRouters);
        break;
      case 1:
        routers_[router].frozen_until = now_ + Between(500, 8'000);
        break;
      case 2:
        StartRouter(router);
        break;
      case 3:
        routers_[router].store_cut = true;
        if (elected_gateway_ == router) elected_gateway_ = Pick(kRouters);
        After(Between(1'000, 30'000),
              [this, router] { routers_[router].store_cut = false; });
        break;
      case 4:
        routers_[router].endpoint_cut[endpoint] = true;
        After(Between(500, 9'000), [this, router, endpoint] {
          routers_[router].endpoint_cut[endpoint] = false;
        });
        break;
      case 5:
        store_up_ = false;
        After(Between(500, 12'000), [this] { store_up_ = true; });
        break;
      case 6:  // a crash; another life under the same id follows
        endpoints_[endpoint]->up = false;
        After(Between(200, 6'000), [this, endpoint] {
          endpoints_[endpoint]->Restart(++incarnation_);
        });
        break;
      case 7:  // the entry lapses although the endpoint lives
        endpoints_[endpoint]->registered = false;
        After(Between(1'000, 9'000),
              [this, endpoint] { endpoints_[endpoint]->registered = true; });
        break;
      case 8:
        late_orders_ = 0.4;
        After(Between(2'000, 6'000), [this] { late_orders_ = 0; });
        break;
      case 9:
        append_loss_ = 0.4;
        After(Between(2'000, 6'000), [this] { append_loss_ = 0; });
        break;
      case 10:  // an endpoint and one router are cut off together
        routers_[router].store_cut = true;
        endpoints_[endpoint]->registered = false;
        if (elected_gateway_ == router)
          elected_gateway_ = (router + 1) % kRouters;
        for (std::size_t i = 0; i < kRouters; ++i) {
          routers_[i].endpoint_cut[endpoint] = i != router;
        }
        After(Between(10'000, 45'000), [this, router, endpoint] {
          routers_[router].store_cut = false;
          endpoints_[endpoint]->registered = true;
          for (Router& other : routers_) other.endpoint_cut[endpoint] = false;
        });
        break;
      default:
        hot_ = Pick(kShardKeys - 200);
        break;
    }
  }

  void Heal() {
    healed_ = true;
    store_up_ = true;
    late_orders_ = 0;
    append_loss_ = 0;
    for (Router& router : routers_) {
      router.store_cut = false;
      router.endpoint_cut = {};
      router.frozen_until = now_;
    }
    for (auto& endpoint : endpoints_) {
      if (!endpoint->up) endpoint->Restart(++incarnation_);
      endpoint->registered = true;
    }
  }

  void CheckOwners() {
    for (std::size_t i = 0; i < kWatchedKeys; ++i) {
      const ShardKey key = WatchedKey(i);
      const auto holds = [&](const auto& endpoint) {
        return endpoint->up && endpoint->Holds(key, now_);
      };
      if (std::ranges::count_if(endpoints_, holds) > 1) {
        result_.violation =
            "key " + std::to_string(key) + " has two holders at " +
            std::to_string(
                std::chrono::duration_cast<Ms>(now_.time_since_epoch())
                    .count()) +
            " ms";
      }
    }
  }

  std::string Describe(ShardKey key) const {
    std::string text = "duty " + std::to_string(elected_gateway_) + ", log " +
                       std::to_string(log_.size());
    for (const Router& router : routers_) {
      const LeaseTable& table = router.keeper->table();
      const RangeLease* const lease = table.Find(key);
      text +=
          "; table " + std::to_string(table.version) + " of " + table.leader.id;
      if (lease == nullptr) continue;
      text +=
          " " + lease->range.ToString() + " to " + lease->owner.ref.ToString() +
          " fence " + std::to_string(lease->fence) +
          (lease->granted ? " granted"
                          : " moving from " + lease->previous.ref.ToString());
    }
    return text;
  }

  void CheckServed() {
    for (std::size_t i = 0; i < kWatchedKeys; ++i) {
      const ShardKey key = WatchedKey(i);
      if (std::ranges::none_of(endpoints_, [&](const auto& endpoint) {
            return endpoint->up && endpoint->Holds(key, now_);
          })) {
        result_.unserved =
            "key " + std::to_string(key) + " has no holder; " + Describe(key);
      }
    }
  }

  std::mt19937 random_;
  LeaseKeeper::Guards guards_;
  double fault_rate_;
  BootTime now_{std::chrono::seconds(1'000)};
  std::uint64_t order_ = 0;
  std::int64_t incarnation_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<SimulatedEndpoint>> endpoints_;
  std::vector<Router> routers_;
  std::vector<LeaseTable> log_;
  bool store_up_ = true;
  std::size_t elected_gateway_ = 0;
  std::size_t hot_ = 0;
  double late_orders_ = 0;
  double append_loss_ = 0;
  bool healed_ = false;
  SimulationResult result_;
};

}  // namespace

// State is kept per watched key: enough to see two holders.
SimulatedEndpoint::KeyState& SimulatedEndpoint::At(ShardKey key) {
  return keys_[key];
}

CallOutcome SimulatedEndpoint::Grant(const GrantCall& call, BootTime arrival,
                                     BootTime now) {
  // A call names no life: a later one at the address takes it as well.
  std::vector<ShardKey> keys;
  for (std::size_t i = 0; i < kWatchedKeys; ++i) {
    if (call.range.Contains(WatchedKey(i))) keys.push_back(WatchedKey(i));
  }
  const bool refused = std::ranges::any_of(
      keys, [&](ShardKey key) { return At(key).highest_fence > call.fence; });
  if (refused) return CallOutcome::kRefused;
  const auto lease = call.lease_time + call.lease_time / 50;  // a slow clock
  for (const ShardKey key : keys) {
    KeyState& state = At(key);
    state.fence = state.highest_fence = call.fence;
    state.end = std::max(state.end, arrival + lease);
    if (state.end <= now) state.end = now;
  }
  return CallOutcome::kDone;
}

void SimulatedEndpoint::Release(const ReleaseCall& call) {
  for (std::size_t i = 0; i < kWatchedKeys; ++i) {
    const ShardKey key = WatchedKey(i);
    if (!call.range.Contains(key)) continue;
    KeyState& state = At(key);
    state.highest_fence = std::max(state.highest_fence, call.fence);
    state.end = {};
  }
}

bool SimulatedEndpoint::Holds(ShardKey key, BootTime now) const {
  const auto found = keys_.find(key);
  return found != keys_.end() && now < found->second.end;
}

void SimulatedEndpoint::Restart(std::int64_t incarnation) {
  holder_.ref.incarnation = incarnation;
  keys_.clear();
  up = true;
}

SimulationResult RunLeaseSimulation(std::uint32_t seed,
                                    LeaseKeeper::Guards guards) {
  return Simulation(seed, guards).Run();
}

}  // namespace balsamhall::gateway
