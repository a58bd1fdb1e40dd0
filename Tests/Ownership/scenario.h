// Seeded runs: single faults with a bound on the outage, or many faults at
// once.
#ifndef BALSAMHALL_TESTS_OWNERSHIP_SCENARIO_H_
#define BALSAMHALL_TESTS_OWNERSHIP_SCENARIO_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "Ownership/fault_plan.h"
#include "Ownership/fleet.h"
#include "Ownership/ownership_checks.h"
#include "Ownership/request_traffic.h"
#include "Ownership/simulation.h"

namespace balsamhall::ownership_test {

class Scenario {
 public:
  Scenario(std::uint64_t seed, const FleetOptions& options);

  // Runs single faults for even seeds, many faults for odd ones. Throws
  // FailedCheck.
  void Run();

  const Simulation& simulation() const { return simulation_; }
  std::uint64_t answered() const { return traffic_.answered(); }
  // Longest time without service by kind of single fault.
  const std::map<std::string, Milliseconds>& outages() const {
    return outages_;
  }

 private:
  using EntryPartition = std::pair<std::string, PartitionKey>;

  void Bootstrap();
  void RunManyFaults();
  void RunSingleFaults();
  void RunSingleFault(std::int64_t kind);
  // Starts the fault and returns its name.
  std::string StartSingleFault(std::int64_t kind);
  // Partitions of endpoints that have lost at most one of their three parties:
  // the endpoint itself, its primary and its backup.
  std::set<PartitionKey> PartitionsExpectedServed();
  void MeasureOutage(const std::string& fault,
                     const std::set<PartitionKey>& partitions);
  // Waits until all partitions are served, all views are complete and all
  // routers have the latest configuration. Throws FailedCheck after the
  // timeout.
  void WaitUntilSettled(Milliseconds timeout);

  std::uint64_t seed_;
  Simulation simulation_;
  Fleet fleet_;
  OwnershipChecks checks_;
  RequestTraffic traffic_;
  FaultPlan faults_;
  std::string isolated_;
  std::map<std::string, Milliseconds> outages_;
};

}  // namespace balsamhall::ownership_test

#endif  // BALSAMHALL_TESTS_OWNERSHIP_SCENARIO_H_
