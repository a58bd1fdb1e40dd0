#include "Ownership/fault_plan.h"

#include <algorithm>
#include <type_traits>

namespace balsamhall::ownership_test {

void FaultPlan::InjectRandom() {
  Simulation& simulation = fleet_->simulation();
  switch (simulation.UniformInt(0, 9)) {
    case 0:
    case 1:
    case 2:
      InjectProcessFault(simulation.Pick(fleet_->routers()));
      break;
    case 3:
    case 4:
      InjectProcessFault(simulation.Pick(fleet_->endpoints()));
      break;
    case 5:
    case 6:
      InjectNetworkPartition();
      break;
    case 7:
      InjectLogFault();
      break;
    case 8:
      PublishConcurrently();
      break;
    default:
      simulation.Trace("noise");
      fleet_->network().SetMessageFaults({0.05, 0.05, 0.1});
      simulation.ScheduleAfter(
          simulation.RandomDuration(Milliseconds(500), Milliseconds(8000)),
          [this] { fleet_->network().SetMessageFaults({}); });
  }
}

template <typename ProcessType>
void FaultPlan::InjectProcessFault(ProcessType* process) {
  Simulation& simulation = fleet_->simulation();
  if (!process->running()) return;
  switch (simulation.UniformInt(0, 3)) {
    case 0:
      fleet_->Stop(process, false);
      Restart(process,
              simulation.RandomDuration(Milliseconds(50), Milliseconds(4000)));
      break;
    case 1:
      fleet_->Stop(process, true);
      Restart(process, fleet_->loss_listed_at(process->name()) +
                           Milliseconds(1000) - simulation.now());
      break;
    case 2:
      if constexpr (std::is_same_v<ProcessType, RouterProcess>) {
        fleet_->ShutDown(process);
        break;
      }
      [[fallthrough]];
    default:
      simulation.Trace("pause " + process->name());
      process->Pause();
      simulation.ScheduleAfter(
          simulation.RandomDuration(Milliseconds(100), Milliseconds(5000)),
          [&simulation, process] {
            simulation.Trace("resume " + process->name());
            process->Resume();
          });
  }
}

template <typename ProcessType>
void FaultPlan::Restart(ProcessType* process, VirtualTime delay) {
  fleet_->simulation().ScheduleAfter(delay, [this, process] {
    const VirtualTime listed_at =
        fleet_->loss_listed_at(process->name()) + Milliseconds(1000);
    if (process->running()) return;
    if (process->vm_lost && fleet_->simulation().now() < listed_at) {
      Restart(process, listed_at - fleet_->simulation().now());
      return;
    }
    fleet_->Start(process);
  });
}

std::vector<std::string> FaultPlan::NodeNames() const {
  std::vector<std::string> names = {"log", "list"};
  for (const auto* router : fleet_->routers()) names.push_back(router->name());
  for (const auto* endpoint : fleet_->endpoints()) {
    names.push_back(endpoint->name());
  }
  return names;
}

void FaultPlan::InjectNetworkPartition() {
  Simulation& simulation = fleet_->simulation();
  std::vector<std::string> names = NodeNames();
  std::set<std::string> side;
  const auto kind = simulation.UniformInt(0, 3);
  if (kind == 0) {  // between the regions; the log is in region a
    for (const auto* router : fleet_->routers()) {
      if (router->region() == "b") side.insert(router->name());
    }
    for (const auto* endpoint : fleet_->endpoints()) {
      if (endpoint->region() == "b") side.insert(endpoint->name());
    }
  } else if (kind == 1) {  // any split
    for (const std::string& name : names) {
      if (simulation.Chance(0.5)) side.insert(name);
    }
  } else {  // one process against some or all others
    side.insert(simulation.Pick(names));
  }
  const double share = kind == 3 ? 0.5 : 1.0;
  const bool one_way = simulation.Chance(0.25);
  Links links;
  for (const std::string& a : names) {
    for (const std::string& b : names) {
      if (!side.contains(a) || side.contains(b) || !simulation.Chance(share)) {
        continue;
      }
      links.emplace_back(a, b);
      if (!one_way) links.emplace_back(b, a);
    }
  }
  BlockTemporarily(links);
}

void FaultPlan::BlockTemporarily(const Links& links) {
  Simulation& simulation = fleet_->simulation();
  std::string trace = "cut";
  for (const auto& [from, to] : links) {
    fleet_->network().Block(from, to);
    trace.append(" ").append(from).append(">").append(to);
  }
  simulation.Trace(trace);
  simulation.ScheduleAfter(
      simulation.RandomDuration(Milliseconds(200), Milliseconds(8000)),
      [this, links] {
        fleet_->simulation().Trace("mend");
        for (const auto& [from, to] : links) {
          fleet_->network().Unblock(from, to);
        }
      });
}

void FaultPlan::InjectLogFault() {
  Simulation& simulation = fleet_->simulation();
  const auto kind = simulation.UniformInt(0, 2);
  simulation.Trace("log fault " + std::to_string(kind));
  if (kind == 0) fleet_->log().SetAvailable(false);
  if (kind == 1) fleet_->vm_list().SetAvailable(false);
  if (kind == 2) fleet_->log().lost_answer_probability = 0.5;
  simulation.ScheduleAfter(
      simulation.RandomDuration(Milliseconds(500), Milliseconds(15'000)),
      [this, kind] {
        if (kind == 0) fleet_->log().SetAvailable(true);
        if (kind == 1) fleet_->vm_list().SetAvailable(true);
        if (kind == 2) fleet_->log().lost_answer_probability = 0;
      });
}

void FaultPlan::PublishConcurrently() {
  Simulation& simulation = fleet_->simulation();
  RouterProcess* const first = simulation.Pick(fleet_->routers());
  if (!first->active()) return;
  const std::uint64_t based_on = first->controller->configuration().version();
  const bool valid = simulation.Chance(0.8);
  fleet_->Publish(first, based_on, valid);
  // A second operator acts concurrently.
  RouterProcess* const second = simulation.Pick(fleet_->routers());
  if (second->active()) fleet_->Publish(second, based_on, true);
}

void FaultPlan::HealAll() {
  Simulation& simulation = fleet_->simulation();
  simulation.Trace("heal all");
  fleet_->network().HealAll();
  fleet_->network().SetMessageFaults({});
  fleet_->log().SetAvailable(true);
  fleet_->log().lost_answer_probability = 0;
  fleet_->vm_list().SetAvailable(true);
  for (RouterProcess* const router : fleet_->routers()) {
    router->Resume();
    if (!router->running()) Restart(router, VirtualTime(0));
  }
  for (EndpointProcess* const endpoint : fleet_->endpoints()) {
    endpoint->Resume();
    if (!endpoint->running()) Restart(endpoint, VirtualTime(0));
  }
}

void FaultPlan::Isolate(const std::string& name) {
  for (const std::string& other : NodeNames()) {
    fleet_->network().Block(name, other);
    fleet_->network().Block(other, name);
  }
}

void FaultPlan::LoseDataCentre(const std::string& data_centre) {
  for (RouterProcess* const router : fleet_->routers()) {
    if (router->data_centre() == data_centre) fleet_->Stop(router, true);
  }
  for (EndpointProcess* const endpoint : fleet_->endpoints()) {
    if (endpoint->data_centre() == data_centre) fleet_->Stop(endpoint, true);
  }
}

}  // namespace balsamhall::ownership_test
