// Starts and ends the faults of a run.
#ifndef BALSAMHALL_TESTS_OWNERSHIP_FAULT_PLAN_H_
#define BALSAMHALL_TESTS_OWNERSHIP_FAULT_PLAN_H_

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Ownership/fleet.h"

namespace balsamhall::ownership_test {

class FaultPlan {
 public:
  explicit FaultPlan(Fleet* fleet) : fleet_(fleet) {}

  // Starts one random fault; most end by themselves.
  void InjectRandom();
  // Ends all faults and starts all stopped processes. A lost VM starts only
  // after the list has shown its loss: its name is given to a new VM only then.
  void HealAll();

  // Single faults; they last until HealAll.
  void Isolate(const std::string& name);
  void LoseDataCentre(const std::string& data_centre);

 private:
  using Links = std::vector<std::pair<std::string, std::string>>;

  template <typename ProcessType>
  void InjectProcessFault(ProcessType* process);
  template <typename ProcessType>
  void Restart(ProcessType* process, VirtualTime delay);
  void InjectNetworkPartition();
  void BlockTemporarily(const Links& links);
  void InjectLogFault();
  void PublishConcurrently();
  std::vector<std::string> NodeNames() const;

  Fleet* fleet_;
};

}  // namespace balsamhall::ownership_test

#endif  // BALSAMHALL_TESTS_OWNERSHIP_FAULT_PLAN_H_
