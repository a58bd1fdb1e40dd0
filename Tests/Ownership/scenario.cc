#include "Ownership/scenario.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace balsamhall::ownership_test {
namespace {

// Design target: a key is served again within 2 s.
constexpr Milliseconds kMaxOutage{2000};
constexpr Milliseconds kSampleInterval{50};
// The list of VMs lags by up to 8 s at the loss and at the return of a VM,
// which takes 1 s to start; a configuration is in force within 16 s.
constexpr Milliseconds kSettleTimeout{35'000};
constexpr int kSingleFaultKinds = 10;
constexpr int kSingleFaults = 5;  // per seed

}  // namespace

Scenario::Scenario(std::uint64_t seed, const FleetOptions& options)
    : seed_(seed),
      simulation_(seed),
      fleet_(&simulation_, options),
      checks_(&fleet_),
      traffic_(&fleet_, options.check_memory_start),
      faults_(&fleet_) {
  fleet_.Connect(&checks_, &traffic_);
}

void Scenario::Run() {
  Bootstrap();
  if (seed_ % 2 == 0) {
    RunSingleFaults();
  } else {
    RunManyFaults();
  }
}

void Scenario::Bootstrap() {
  fleet_.StartAll();
  simulation_.RunUntil(simulation_.now() + Milliseconds(2000));
  fleet_.Publish(fleet_.routers().front(), 0, true);
  WaitUntilSettled(kSettleTimeout);
  traffic_.Start();
}

void Scenario::RunManyFaults() {
  const VirtualTime end = simulation_.now() + Milliseconds(60'000);
  while (simulation_.now() < end) {
    faults_.InjectRandom();
    simulation_.RunUntil(
        simulation_.now() +
        simulation_.RandomDuration(Milliseconds(50), Milliseconds(3000)));
  }
  faults_.HealAll();
  // Faults in progress, such as planned shutdowns, end by themselves.
  simulation_.RunUntil(simulation_.now() + Milliseconds(15'000));
  WaitUntilSettled(kSettleTimeout);
}

void Scenario::RunSingleFaults() {
  for (int i = 0; i < kSingleFaults; ++i) {
    simulation_.RunUntil(simulation_.now() + Milliseconds(3000));
    RunSingleFault(simulation_.UniformInt(0, kSingleFaultKinds - 1));
    faults_.HealAll();
    isolated_.clear();
    simulation_.RunUntil(simulation_.now() + Milliseconds(1000));
    WaitUntilSettled(kSettleTimeout);
  }
}

void Scenario::RunSingleFault(std::int64_t kind) {
  const std::string fault = StartSingleFault(kind);
  simulation_.Trace("single fault: " + fault);
  MeasureOutage(fault, PartitionsExpectedServed());
}

std::string Scenario::StartSingleFault(std::int64_t kind) {
  RouterProcess* const router = simulation_.Pick(fleet_.routers());
  EndpointProcess* const endpoint = simulation_.Pick(fleet_.endpoints());
  switch (kind) {
    case 0:
      fleet_.Stop(endpoint, true);
      return "endpoint lost";
    case 1:
      endpoint->Pause();
      return "endpoint paused";
    case 2:
      fleet_.Stop(endpoint, false);
      fleet_.Start(endpoint);
      return "endpoint restarted";
    case 3:
      fleet_.Stop(router, true);
      return "router lost";
    case 4:
      router->Pause();
      return "router paused";
    case 5:
      isolated_ = router->name();
      faults_.Isolate(router->name());
      return "router isolated";
    case 6:
      fleet_.log().SetAvailable(false);
      fleet_.Stop(endpoint, true);
      return "log down and endpoint lost";
    case 7:
      fleet_.log().SetAvailable(false);
      fleet_.Stop(router, true);
      return "log down and router lost";
    case 8:
      fleet_.Stop(endpoint, true);
      fleet_.Stop(simulation_.Pick(fleet_.endpoints()), true);
      return "two endpoints lost";
    default:
      faults_.LoseDataCentre(router->data_centre());
      return "data centre lost";
  }
}

std::set<PartitionKey> Scenario::PartitionsExpectedServed() {
  std::set<PartitionKey> partitions;
  for (const EndpointProcess* const endpoint : fleet_.endpoints()) {
    const schema::View& view = endpoint->holder->view();
    int lost = endpoint->active() ? 0 : 1;
    for (const auto& party : {view.primary().id(), view.backup().id()}) {
      const RouterProcess* const router = fleet_.FindRouter(party);
      const bool reachable =
          router != nullptr && router->active() && router->name() != isolated_;
      lost += reachable ? 0 : 1;
    }
    const auto count = fleet_.services().at(endpoint->service);
    for (PartitionId i = 0; i < count; ++i) {
      const PartitionKey key{endpoint->service, i};
      if (checks_.OwnerOf(key) == endpoint->name() && lost <= 1) {
        partitions.insert(key);
      }
    }
  }
  return partitions;
}

void Scenario::MeasureOutage(const std::string& fault,
                             const std::set<PartitionKey>& partitions) {
  std::map<EntryPartition, VirtualTime> last_served;
  const VirtualTime start = simulation_.now();
  Milliseconds& longest = outages_[fault];
  while (simulation_.now() < start + Milliseconds(6000)) {
    for (const RouterProcess* const entry : fleet_.routers()) {
      if (!entry->active() || entry->name() == isolated_) continue;
      for (const PartitionKey& key : partitions) {
        VirtualTime& last =
            last_served.try_emplace({entry->name(), key}, start).first->second;
        const auto reason = checks_.UnservedReason(*entry, key);
        if (!reason) last = simulation_.now();
        const auto outage =
            std::chrono::duration_cast<Milliseconds>(simulation_.now() - last);
        longest = std::max(longest, outage);
        if (outage > kMaxOutage) {
          throw FailedCheck(
              fmt::format("bound: not served for {} ms after {}: {}",
                          outage.count(), fault, *reason));
        }
      }
    }
    simulation_.RunUntil(simulation_.now() + kSampleInterval);
  }
}

void Scenario::WaitUntilSettled(Milliseconds timeout) {
  const VirtualTime end = simulation_.now() + timeout;
  while (true) {
    auto reason = checks_.FirstUnservedReason();
    if (!reason) reason = checks_.IncompleteViewReason();
    if (!reason) reason = checks_.StaleConfigReason();
    if (!reason) return;
    if (simulation_.now() >= end) throw FailedCheck("not settled: " + *reason);
    simulation_.RunUntil(simulation_.now() + kSampleInterval);
  }
}

}  // namespace balsamhall::ownership_test
