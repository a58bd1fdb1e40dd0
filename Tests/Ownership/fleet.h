// Routers and endpoints of one run, with fakes of the network and the platform.
#ifndef BALSAMHALL_TESTS_OWNERSHIP_FLEET_H_
#define BALSAMHALL_TESTS_OWNERSHIP_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Ownership/fake_log.h"
#include "Ownership/network.h"
#include "Ownership/simulation.h"
#include "core/lease_holder.h"
#include "core/ownership_controller.h"

namespace balsamhall::ownership_test {

class OwnershipChecks;
class RequestTraffic;

struct RouterProcess : Process {
  using Process::Process;
  std::unique_ptr<OwnershipController> controller;
  std::uint64_t checked_version = 0;
  std::uint64_t checked_incarnation = 0;
  bool vm_lost = false;  // the VM is gone, not only the process

  std::string label() const;
};

struct EndpointProcess : Process {
  using Process::Process;
  ServiceId service;
  std::unique_ptr<LeaseHolder> holder;
  std::uint32_t in_flight = 0;
  bool vm_lost = false;
};

struct FleetOptions {
  std::set<Guard> removed_guards;
  bool check_memory_start = true;
};

class Fleet {
 public:
  Fleet(Simulation* simulation, FleetOptions options);

  void Connect(OwnershipChecks* checks, RequestTraffic* traffic);
  void StartAll();

  void Start(RouterProcess* router);
  void Start(EndpointProcess* endpoint);
  // Stops the process. If its VM is lost as well, the list drops the VM later.
  void Stop(RouterProcess* router, bool with_vm);
  void Stop(EndpointProcess* endpoint, bool with_vm);
  void ShutDown(RouterProcess* router);
  // Publishes a configuration through the router.
  void Publish(RouterProcess* router, std::uint64_t based_on, bool valid);

  std::vector<RouterProcess*>& routers() { return routers_; }
  std::vector<EndpointProcess*>& endpoints() { return endpoints_; }
  RouterProcess* FindRouter(const RouterId& id);
  EndpointProcess* FindEndpoint(const EndpointId& id);
  // Number of partitions by service.
  const std::map<ServiceId, std::uint32_t>& services() const {
    return services_;
  }
  // Time from which the list shows the last loss of the VM; 0 if there was
  // none.
  VirtualTime loss_listed_at(const std::string& vm) const;

  Simulation& simulation() { return *simulation_; }
  Network& network() { return network_; }
  FakeLog& log() { return log_; }
  FakeVmList& vm_list() { return vm_list_; }

 private:
  struct ActionVisitor;

  void AddService(const ServiceId& service, std::uint32_t partitions,
                  const std::vector<std::string>& data_centres);
  std::string ConfigBody(double churn_weight) const;
  void Handle(RouterProcess* router, const OwnershipEvent& event);
  void PerformActions(RouterProcess* router, const OwnershipActions& actions);
  void Tick(RouterProcess* router, std::uint64_t generation);
  void Poll(RouterProcess* router, std::uint64_t generation);
  void Append(RouterProcess* router, const AppendLogRecord& action);
  void Read(RouterProcess* router, std::uint64_t from);
  void Grant(RouterProcess* router, const SendGrant& action);
  void Probe(RouterProcess* router, const EndpointId& id);
  void AnswerAppend(RouterProcess* router, std::uint64_t generation,
                    VirtualTime delay, const LogAppendFinished& answer);
  bool CanReachLog(const RouterProcess& router) const;

  Simulation* simulation_;
  FleetOptions options_;
  Network network_;
  FakeLog log_;
  FakeVmList vm_list_;
  OwnershipChecks* checks_ = nullptr;
  RequestTraffic* traffic_ = nullptr;
  std::vector<std::unique_ptr<RouterProcess>> owned_routers_;
  std::vector<std::unique_ptr<EndpointProcess>> owned_endpoints_;
  std::vector<RouterProcess*> routers_;
  std::vector<EndpointProcess*> endpoints_;
  std::map<ServiceId, std::uint32_t> services_;
  schema::RoutingConfig config_;
  std::map<std::string, VirtualTime> loss_listed_at_;
};

}  // namespace balsamhall::ownership_test

#endif  // BALSAMHALL_TESTS_OWNERSHIP_FLEET_H_
