#include "Ownership/fleet.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>

#include "Ownership/ownership_checks.h"
#include "Ownership/request_traffic.h"
#include "core/config_rules.h"
#include "core/partitioner.h"

namespace balsamhall::ownership_test {
namespace {

constexpr Milliseconds kTickInterval{30};
constexpr Milliseconds kPollInterval{1000};
constexpr Milliseconds kLogResponseTimeout{500};
constexpr Milliseconds kRestartDelay{2000};
// Shorter than most runs, so that records of joins and configurations expire
// from the log.
constexpr Milliseconds kLogRetention{90'000};

}  // namespace

std::string RouterProcess::label() const {
  return name() + "#" + std::to_string(generation());
}

// Performs one action of a router.
struct Fleet::ActionVisitor {
  Fleet& fleet;
  RouterProcess* router;

  void operator()(const SendPeerMessage& action) const {
    RouterProcess* const to = fleet.FindRouter(action.to);
    if (to == nullptr) return;
    fleet.checks_->OnPeerMessage(*router, action.message);
    fleet.network_.Send(*router, to,
                        [&fleet = fleet, to, message = action.message] {
                          fleet.Handle(to, PeerMessageReceived{message});
                        });
  }
  void operator()(const SendGrant& action) const {
    fleet.Grant(router, action);
  }
  void operator()(const SendHealthProbe& action) const {
    fleet.Probe(router, action.endpoint);
  }
  void operator()(const AppendLogRecord& action) const {
    fleet.Append(router, action);
  }
  void operator()(const ReadLog& action) const {
    fleet.Read(router, action.from);
  }
  void operator()(const RoutingChanged&) const {
    fleet.traffic_->OnRoutingChanged(router);
  }
  void operator()(const StopDispatch& action) const {
    DispatchStopped stopped{
        action.endpoint, action.term,
        fleet.traffic_->StopDispatch(router, action.endpoint, action.term)};
    router->DeliverAfter(Milliseconds(1), [&fleet = fleet, router = router,
                                           stopped = std::move(stopped)] {
      fleet.Handle(router, stopped);
    });
  }
  void operator()(const ReportEvent& action) const {
    std::string line = router->name() + " " + action.name;
    for (const auto& [key, value] : action.fields) {
      line.append(" ").append(key).append("=").append(value);
    }
    fleet.simulation_->Trace(line);
  }
  void operator()(const ShutdownReady&) const {
    router->DeliverAfter(Milliseconds(1), [&fleet = fleet, router = router] {
      fleet.Stop(router, false);
      // The VM starts the next process of the router.
      fleet.simulation_->ScheduleAfter(kRestartDelay, [&fleet, router] {
        if (!router->running() && !router->vm_lost) fleet.Start(router);
      });
    });
  }
};

Fleet::Fleet(Simulation* simulation, FleetOptions options)
    : simulation_(simulation),
      options_(std::move(options)),
      network_(simulation),
      log_(simulation, kLogRetention),
      vm_list_(simulation) {
  const std::vector<std::pair<const char*, const char*>> routers = {
      {"r1", "a1"}, {"r2", "a1"}, {"r3", "a2"},
      {"r4", "a2"}, {"r5", "b1"}, {"r6", "b2"}};
  for (const auto& [name, data_centre] : routers) {
    owned_routers_.push_back(
        std::make_unique<RouterProcess>(simulation, name, data_centre));
    routers_.push_back(owned_routers_.back().get());
  }
  AddService("lookup", 16, {"a1", "a1", "a2", "b1", "b2"});
  AddService("transfer", 8, {"a1", "a2", "b1"});
  config_.set_customer("test");
  *config_.mutable_policy() = DefaultPolicy();
  config_.mutable_policy()->set_churn_per_minute(1);
  config_.mutable_policy()->set_move_threshold(1.1);
}

void Fleet::AddService(const ServiceId& service, std::uint32_t partitions,
                       const std::vector<std::string>& data_centres) {
  schema::ServiceConfig* const config = config_.add_services();
  config->set_name(service);
  config->set_partitions(partitions);
  config->set_keyed(service == "lookup");
  schema::KindConfig* const kind = config->add_kinds();
  kind->set_name("post");
  kind->set_rank(schema::RANK_NORMAL);
  kind->set_target_ms(500);
  kind->set_deadline_ms(1000);
  services_[service] = partitions;
  for (const std::string& data_centre : data_centres) {
    const std::string name =
        service.substr(0, 1) + std::to_string(config->endpoints_size() + 1);
    schema::EndpointConfig* const endpoint = config->add_endpoints();
    endpoint->set_name(name);
    endpoint->set_vm(name);
    endpoint->set_data_centre(data_centre);
    endpoint->set_region(data_centre.substr(0, 1));
    endpoint->set_address("10.0.0." + std::to_string(endpoints_.size() + 1) +
                          ":80");
    endpoint->set_slots(3);
    endpoint->set_connections(100);
    endpoint->set_checks_fences(true);
    owned_endpoints_.push_back(
        std::make_unique<EndpointProcess>(simulation_, name, data_centre));
    endpoints_.push_back(owned_endpoints_.back().get());
    endpoints_.back()->service = service;
  }
}

std::string Fleet::ConfigBody(double churn_weight) const {
  schema::RoutingConfig config = config_;
  config.mutable_policy()->set_churn_weight(churn_weight);
  std::string body;
  const auto status =
      google::protobuf::util::MessageToJsonString(config, &body);
  if (!status.ok()) throw FailedCheck("configuration can't be written");
  return body;
}

void Fleet::Connect(OwnershipChecks* checks, RequestTraffic* traffic) {
  checks_ = checks;
  traffic_ = traffic;
}

void Fleet::StartAll() {
  for (EndpointProcess* const endpoint : endpoints_) Start(endpoint);
  for (RouterProcess* const router : routers_) Start(router);
}

void Fleet::Start(RouterProcess* router) {
  router->Start();
  router->vm_lost = false;
  router->checked_version = 0;
  router->checked_incarnation = 0;
  vm_list_.ScheduleChange(router->name(), true, true);
  schema::RouterJoined self;
  self.set_id(router->name());
  self.set_data_centre(router->data_centre());
  self.set_region(router->region());
  self.set_peer_address(router->name() + ":1");
  self.set_forward_address(router->name() + ":2");
  self.set_control_address(router->name() + ":3");
  OwnershipOptions options;
  options.removed_guards = options_.removed_guards;
  router->controller = std::make_unique<OwnershipController>(
      self, options, simulation_->RandomBits());
  simulation_->Trace("start " + router->label());
  Tick(router, router->generation());
  Poll(router, router->generation());
}

void Fleet::Start(EndpointProcess* endpoint) {
  endpoint->Start();
  endpoint->vm_lost = false;
  endpoint->in_flight = 0;
  vm_list_.ScheduleChange(endpoint->name(), true, false);
  const bool check_fences =
      !options_.removed_guards.contains(Guard::kFenceCheck);
  endpoint->holder = std::make_unique<LeaseHolder>(
      endpoint->name(), simulation_->RandomBits(), check_fences);
  simulation_->Trace("start " + endpoint->name());
}

void Fleet::Stop(RouterProcess* router, bool with_vm) {
  if (router->running()) {
    simulation_->Trace((with_vm ? "lose VM " : "stop ") + router->label());
  }
  router->Stop();
  traffic_->OnRouterStopped(router);
  if (!with_vm || router->vm_lost) return;
  router->vm_lost = true;
  loss_listed_at_[router->name()] =
      vm_list_.ScheduleChange(router->name(), false, true);
}

void Fleet::Stop(EndpointProcess* endpoint, bool with_vm) {
  simulation_->Trace((with_vm ? "lose VM " : "stop ") + endpoint->name());
  endpoint->Stop();
  if (!with_vm || endpoint->vm_lost) return;
  endpoint->vm_lost = true;
  loss_listed_at_[endpoint->name()] =
      vm_list_.ScheduleChange(endpoint->name(), false, false);
}

void Fleet::ShutDown(RouterProcess* router) {
  simulation_->Trace("shut down " + router->label());
  router->Deliver([this, router] { Handle(router, ShutdownRequested{}); });
}

void Fleet::Publish(RouterProcess* router, std::uint64_t based_on, bool valid) {
  schema::ConfigPublished publication;
  publication.set_based_on(based_on);
  publication.set_body(
      valid ? ConfigBody(static_cast<double>(simulation_->UniformInt(1, 1000)))
            : "{");
  publication.set_digest(Digest(publication.body()));
  publication.set_author("operator");
  router->Deliver([this, router, publication] {
    const auto submission =
        router->controller->Publish(publication, router->Clock());
    PerformActions(router, submission.actions);
  });
}

RouterProcess* Fleet::FindRouter(const RouterId& id) {
  const auto found = std::ranges::find(routers_, id, &RouterProcess::name);
  return found == routers_.end() ? nullptr : *found;
}

EndpointProcess* Fleet::FindEndpoint(const EndpointId& id) {
  const auto found = std::ranges::find(endpoints_, id, &EndpointProcess::name);
  return found == endpoints_.end() ? nullptr : *found;
}

VirtualTime Fleet::loss_listed_at(const std::string& vm) const {
  const auto found = loss_listed_at_.find(vm);
  return found == loss_listed_at_.end() ? VirtualTime(0) : found->second;
}

void Fleet::Handle(RouterProcess* router, const OwnershipEvent& event) {
  PerformActions(router, router->controller->Handle(event, router->Clock()));
}

void Fleet::PerformActions(RouterProcess* router,
                           const OwnershipActions& actions) {
  for (const OwnershipAction& action : actions) {
    std::visit(ActionVisitor{*this, router}, action);
  }
  checks_->AfterRouterEvent(router);
}

void Fleet::Tick(RouterProcess* router, std::uint64_t generation) {
  if (router->generation() != generation || !router->running()) return;
  if (router->active()) {
    Handle(router, TimerTick{});
  }
  simulation_->ScheduleAfter(
      kTickInterval, [this, router, generation] { Tick(router, generation); });
}

void Fleet::Poll(RouterProcess* router, std::uint64_t generation) {
  if (router->generation() != generation || !router->running()) return;
  if (vm_list_.available() && network_.CanReach("list", router->name())) {
    router->DeliverAfter(
        network_.Delay(router->region() == "a"),
        [this, router, list = vm_list_.Read()] { Handle(router, list); });
  }
  if (router->active()) {
    for (LoadMeasured& load : traffic_->Loads(*router)) {
      Handle(router, std::move(load));
    }
  }
  simulation_->ScheduleAfter(
      kPollInterval, [this, router, generation] { Poll(router, generation); });
}

bool Fleet::CanReachLog(const RouterProcess& router) const {
  return log_.available() && network_.CanReach(router.name(), "log");
}

void Fleet::AnswerAppend(RouterProcess* router, std::uint64_t generation,
                         VirtualTime delay, const LogAppendFinished& answer) {
  if (router->generation() != generation) return;
  router->DeliverAfter(delay,
                       [this, router, answer] { Handle(router, answer); });
}

void Fleet::Append(RouterProcess* router, const AppendLogRecord& action) {
  const std::uint64_t generation = router->generation();
  const auto append = [this, writer = router->controller->writer_id(), action] {
    return log_.Append(writer, action.sequence, action.record);
  };
  if (!CanReachLog(*router)) {
    AnswerAppend(router, generation, kLogResponseTimeout,
                 {action.sequence, {}});
    return;
  }
  if (simulation_->Chance(log_.lost_answer_probability / 2)) {
    // Takes effect after the writer has given up waiting.
    simulation_->ScheduleAfter(
        simulation_->RandomDuration(Milliseconds(600), Milliseconds(4000)),
        append);
    AnswerAppend(router, generation, kLogResponseTimeout,
                 {action.sequence, {}});
    return;
  }
  const VirtualTime delay = network_.Delay(router->region() == "a");
  simulation_->ScheduleAfter(delay, [this, router, generation, append, delay,
                                     sequence = action.sequence] {
    const std::uint64_t offset = append();
    const bool answer_lost =
        simulation_->Chance(log_.lost_answer_probability) ||
        !network_.CanReach("log", router->name());
    if (answer_lost) {
      AnswerAppend(router, generation, kLogResponseTimeout, {sequence, {}});
    } else {
      AnswerAppend(router, generation, delay, {sequence, offset});
    }
  });
}

void Fleet::Read(RouterProcess* router, std::uint64_t from) {
  if (!CanReachLog(*router) || !network_.CanReach("log", router->name())) {
    router->DeliverAfter(kLogResponseTimeout,
                         [this, router] { Handle(router, LogReadFinished{}); });
    return;
  }
  const std::vector<LogRecordRead> records = log_.Read(from);
  // A read that finds no records waits for one, as the log's interface allows.
  const VirtualTime wait =
      records.empty() ? VirtualTime(Milliseconds(50)) : VirtualTime(0);
  router->DeliverAfter(
      network_.Delay(router->region() == "a") + wait,
      [this, router, records, finish = log_.MakeReadFinished()] {
        for (const LogRecordRead& record : records) {
          Handle(router, record);
        }
        Handle(router, finish);
      });
}

void Fleet::Grant(RouterProcess* router, const SendGrant& action) {
  EndpointProcess* const endpoint = FindEndpoint(action.endpoint);
  if (endpoint == nullptr) return;
  const auto generation = router->generation();
  network_.Send(
      *router, endpoint,
      [this, router, endpoint, generation, request = action.request] {
        const schema::GrantResponse response = endpoint->holder->OnGrant(
            request, endpoint->Clock(), endpoint->in_flight);
        checks_->AfterGrant(endpoint, *router, request, response);
        if (router->generation() != generation) return;
        network_.Send(*endpoint, router,
                      [this, router, id = endpoint->name(), response] {
                        Handle(router, GrantResponseReceived{id, response});
                      });
      });
}

void Fleet::Probe(RouterProcess* router, const EndpointId& id) {
  EndpointProcess* const endpoint = FindEndpoint(id);
  if (endpoint == nullptr) return;
  const auto generation = router->generation();
  network_.Send(*router, endpoint, [this, router, endpoint, generation] {
    if (router->generation() != generation) return;
    schema::HealthReport report;
    report.set_endpoint(endpoint->name());
    report.set_incarnation(endpoint->holder->incarnation());
    report.set_in_flight(endpoint->in_flight);
    network_.Send(*endpoint, router, [this, router, report] {
      Handle(router, HealthReportReceived{report});
    });
  });
}

}  // namespace balsamhall::ownership_test
