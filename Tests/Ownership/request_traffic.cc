#include "Ownership/request_traffic.h"

#include <algorithm>

namespace balsamhall::ownership_test {
namespace {

constexpr Milliseconds kRequestInterval{25};
constexpr Milliseconds kDeadline{1000};
constexpr Milliseconds kClockSkew{2000};
constexpr int kMaxAttempts = 5;

}  // namespace

void RequestTraffic::Start() {
  fleet_->simulation().ScheduleAfter(kRequestInterval, [this] {
    Issue();
    Start();
  });
}

void RequestTraffic::Issue() {
  Simulation& simulation = fleet_->simulation();
  auto request = std::make_shared<Request>();
  request->id = "q" + std::to_string(++issued_);
  const bool lookup = simulation.Chance(0.5);
  request->key.first = lookup ? "lookup" : "transfer";
  request->key.second = static_cast<PartitionId>(
      simulation.UniformInt(0, fleet_->services().at(request->key.first) - 1));
  // The clock of the caller differs from those of the routers.
  request->first_issued =
      fleet_->routers().front()->WallClock() +
      simulation.RandomDuration(Milliseconds(-200), Milliseconds(200));
  SendAttempt(request);
}

void RequestTraffic::SendAttempt(const RequestPtr& request) {
  if (request->succeeded || request->attempts == kMaxAttempts) return;
  Simulation& simulation = fleet_->simulation();
  const Attempt attempt{request, ++request->attempts,
                        simulation.now() + simulation.RandomDuration(
                                               Milliseconds(200), kDeadline)};
  RouterProcess* const entry = simulation.Pick(fleet_->routers());
  entry->Deliver([this, entry, attempt] { HandleAtEntry(entry, attempt); });
  // Retries whatever the answer was, often after a change of owner.
  simulation.ScheduleAfter(
      simulation.RandomDuration(Milliseconds(500), Milliseconds(6000)),
      [this, request] { SendAttempt(request); });
}

void RequestTraffic::HandleAtEntry(RouterProcess* entry,
                                   const Attempt& attempt) {
  const auto table = entry->controller->routing();
  const auto service = table->services.find(attempt.request->key.first);
  if (service == table->services.end()) {
    RecordAnswer(attempt, ResultCode::kNotRunUnknownService);
    return;
  }
  const EndpointId endpoint =
      service->second.partitions.at(attempt.request->key.second).owner;
  const auto route = table->endpoints.find(endpoint);
  RouterProcess* const primary =
      route == table->endpoints.end()
          ? nullptr
          : fleet_->FindRouter(route->second.primary);
  if (primary == nullptr) {
    RecordAnswer(attempt, ResultCode::kNotRunNoOwner);
    return;
  }
  const auto answer = [this, attempt](ResultCode code) {
    RecordAnswer(attempt, code);
  };
  if (primary == entry) {
    DispatchAtPrimary(primary, endpoint, attempt, answer);
    return;
  }
  // Forwarded requests and their answers go over one connection.
  Network& network = fleet_->network();
  network.SendOnce(*entry, primary, [=, this, &network] {
    DispatchAtPrimary(
        primary, endpoint, attempt, [=, &network](ResultCode code) {
          network.SendOnce(*primary, entry, [answer, code] { answer(code); });
        });
  });
}

void RequestTraffic::DispatchAtPrimary(RouterProcess* primary,
                                       const EndpointId& id,
                                       const Attempt& attempt,
                                       const Reply& reply) {
  const auto table = primary->controller->routing();
  const auto& [service, partition] = attempt.request->key;
  const auto route = table->endpoints.find(id);
  auto& dispatches = dispatch_states_[primary->name()];
  const auto found = dispatches.find(id);
  if (route == table->endpoints.end() || found == dispatches.end() ||
      route->second.primary != primary->name() || !route->second.accepting ||
      table->services.at(service).partitions.at(partition).owner != id ||
      !found->second.memory_start.contains(partition) ||
      found->second.stopped_term == route->second.term) {
    reply(ResultCode::kNotRunMoved);
    return;
  }
  DispatchState& dispatch = found->second;
  const std::string& request_id = attempt.request->id;
  const auto known = dispatch.results.find(request_id);
  if (known != dispatch.results.end()) {
    reply(known->second.value_or(ResultCode::kUnknownTimeout));
    return;
  }
  if (check_memory_start_ &&
      attempt.request->first_issued <
          dispatch.memory_start.at(partition) + kClockSkew) {
    reply(ResultCode::kUnknownRepeatBeforeMemory);
    return;
  }
  const VirtualTime remaining = attempt.until - fleet_->simulation().now();
  if (remaining <= VirtualTime(0)) {
    reply(ResultCode::kNotRunDeadline);
    return;
  }
  dispatch.results[request_id] = std::nullopt;
  SteadyTime& until = dispatch.running_until[partition];
  until = std::max(until, primary->Clock() + remaining);
  const auto complete = [this, primary, id, request_id,
                         reply](ResultCode code) {
    auto& results = dispatch_states_[primary->name()][id].results;
    const auto entry = results.find(request_id);
    if (entry == results.end() || entry->second) return;
    if (IsNotRun(code)) {
      results.erase(entry);
    } else {
      entry->second = code;
    }
    reply(code);
  };
  primary->DeliverAfter(remaining,
                        [complete] { complete(ResultCode::kUnknownTimeout); });
  SendWork(primary, fleet_->FindEndpoint(id), route->second.term,
           table->services.at(service).partitions.at(partition).epoch, attempt,
           complete);
}

void RequestTraffic::SendWork(RouterProcess* primary, EndpointProcess* endpoint,
                              const Fence& term, const Fence& epoch,
                              const Attempt& attempt, const Reply& complete) {
  Network& network = fleet_->network();
  // The endpoint receives the remaining time, not a point in time.
  const VirtualTime remaining = attempt.until - fleet_->simulation().now();
  network.SendOnce(*primary, endpoint, [=, this, &network] {
    Attempt received = attempt;
    received.until = fleet_->simulation().now() + remaining;
    const auto answer = [=, &network](ResultCode code) {
      network.SendOnce(*endpoint, primary,
                       [complete, code] { complete(code); });
    };
    const ResultCode code = Execute(endpoint, term, epoch, received, answer);
    if (code != ResultCode::kOk) answer(code);
  });
}

ResultCode RequestTraffic::Execute(EndpointProcess* endpoint, const Fence& term,
                                   const Fence& epoch, const Attempt& attempt,
                                   const Reply& finished) {
  const PartitionId partition = attempt.request->key.second;
  const ResultCode code =
      endpoint->holder->TryStartWork(partition, term, epoch, endpoint->Clock());
  if (code != ResultCode::kOk) return code;
  CheckExecution(*endpoint, attempt);
  attempt.request->executed = true;
  attempt.request->executed_attempts.insert(attempt.number);
  running_work_[attempt.request->key].push_back(
      {endpoint, endpoint->generation(), attempt.until});
  ++endpoint->in_flight;
  Simulation& simulation = fleet_->simulation();
  const VirtualTime duration = std::min(
      simulation.Chance(0.05)
          ? simulation.RandomDuration(Milliseconds(200), kDeadline)
          : simulation.RandomDuration(Milliseconds(1), Milliseconds(20)),
      attempt.until - simulation.now());
  endpoint->DeliverAfter(duration, [this, endpoint, partition, finished,
                                    key = attempt.request->key] {
    endpoint->holder->FinishWork(partition);
    --endpoint->in_flight;
    auto& running = running_work_[key];
    const auto own =
        std::ranges::find(running, endpoint, &RunningWork::endpoint);
    if (own != running.end()) running.erase(own);
    finished(ResultCode::kOk);
  });
  return ResultCode::kOk;
}

void RequestTraffic::CheckExecution(const EndpointProcess& endpoint,
                                    const Attempt& attempt) {
  const Request& request = *attempt.request;
  const std::string what = request.id + " on " + request.key.first + "/" +
                           std::to_string(request.key.second) + " at " +
                           endpoint.name();
  if (request.executed) throw FailedCheck("P5: second execution of " + what);
  if (request.not_run_attempts.contains(attempt.number)) {
    throw FailedCheck("P4: reported as not run: " + what);
  }
  auto& running = running_work_[request.key];
  std::erase_if(running, [&](const RunningWork& work) {
    return work.until <= fleet_->simulation().now() ||
           work.generation != work.endpoint->generation() ||
           !work.endpoint->running();
  });
  for (const RunningWork& work : running) {
    if (work.endpoint != &endpoint) {
      throw FailedCheck("P1: " + what + " while " + work.endpoint->name() +
                        " works on the partition");
    }
  }
}

void RequestTraffic::RecordAnswer(const Attempt& attempt, ResultCode code) {
  Request& request = *attempt.request;
  if (IsNotRun(code)) {
    if (request.executed_attempts.contains(attempt.number)) {
      throw FailedCheck("P4: reported as not run after execution: " +
                        request.id);
    }
    request.not_run_attempts.insert(attempt.number);
  }
  if (code == ResultCode::kOk && !request.succeeded) {
    request.succeeded = true;
    ++answered_;
    if (!request.executed) {
      throw FailedCheck("P3: answered without execution: " + request.id);
    }
  }
}

void RequestTraffic::OnRoutingChanged(RouterProcess* router) {
  const auto table = router->controller->routing();
  auto& dispatches = dispatch_states_[router->name()];
  std::erase_if(dispatches, [&](const auto& entry) {
    const auto route = table->endpoints.find(entry.first);
    return route == table->endpoints.end() ||
           route->second.primary != router->name();
  });
  for (const auto& [id, route] : table->endpoints) {
    if (route.primary != router->name()) continue;
    DispatchState& dispatch = dispatches[id];
    if (dispatch.tenure != route.tenure) dispatch = DispatchState{};
    dispatch.tenure = route.tenure;
    const auto& partitions = table->services.at(route.service).partitions;
    for (PartitionId i = 0; i < partitions.size(); ++i) {
      if (partitions[i].owner == id) {
        dispatch.memory_start.try_emplace(i, router->WallClock());
      } else {
        dispatch.memory_start.erase(i);
      }
    }
  }
}

void RequestTraffic::OnRouterStopped(RouterProcess* router) {
  dispatch_states_.erase(router->name());
}

std::map<PartitionId, SteadyTime> RequestTraffic::StopDispatch(
    RouterProcess* router, const EndpointId& endpoint, const Fence& term) {
  DispatchState& dispatch = dispatch_states_[router->name()][endpoint];
  dispatch.stopped_term = term;
  return dispatch.running_until;
}

std::vector<LoadMeasured> RequestTraffic::Loads(const RouterProcess& router) {
  Simulation& simulation = fleet_->simulation();
  std::vector<LoadMeasured> loads;
  const auto table = router.controller->routing();
  for (const auto& [id, route] : table->endpoints) {
    if (route.primary != router.name()) continue;
    LoadMeasured measured;
    measured.endpoint = id;
    const auto& partitions = table->services.at(route.service).partitions;
    for (PartitionId i = 0; i < partitions.size(); ++i) {
      if (partitions[i].owner != id) continue;
      double& load = load_[{route.service, i}];
      // Partitions become hot within seconds, and cool down again.
      if (load == 0 || simulation.Chance(0.02)) {
        load = simulation.Chance(0.2) ? 10 : 1;
      }
      measured.by_partition[i] = load;
      measured.load += load;
    }
    loads.push_back(std::move(measured));
  }
  return loads;
}

}  // namespace balsamhall::ownership_test
