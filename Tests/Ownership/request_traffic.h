// Non-idempotent requests with retries, and a model of dispatch and of
// duplicate detection by request id at the primary router.
#ifndef BALSAMHALL_TESTS_OWNERSHIP_REQUEST_TRAFFIC_H_
#define BALSAMHALL_TESTS_OWNERSHIP_REQUEST_TRAFFIC_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Ownership/fleet.h"
#include "Ownership/ownership_checks.h"

namespace balsamhall::ownership_test {

class RequestTraffic {
 public:
  RequestTraffic(Fleet* fleet, bool check_memory_start)
      : fleet_(fleet), check_memory_start_(check_memory_start) {}

  // Issues a request every 25 ms from now on.
  void Start();

  void OnRoutingChanged(RouterProcess* router);
  void OnRouterStopped(RouterProcess* router);
  // Stops dispatch under the term. Returns the latest deadline of work already
  // sent, by partition.
  std::map<PartitionId, SteadyTime> StopDispatch(RouterProcess* router,
                                                 const EndpointId& endpoint,
                                                 const Fence& term);
  // Load of the endpoints that the router dispatches to.
  std::vector<LoadMeasured> Loads(const RouterProcess& router);

  std::uint64_t answered() const { return answered_; }

 private:
  struct Request {
    std::string id;
    PartitionKey key;
    WallTime first_issued;
    int attempts = 0;
    bool succeeded = false;
    bool executed = false;
    std::set<int> executed_attempts;
    std::set<int> not_run_attempts;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Attempt {
    RequestPtr request;
    int number = 0;
    VirtualTime until{0};
  };

  // State of one primary for one endpoint.
  struct DispatchState {
    std::uint64_t tenure = 0;
    // Time from which all request ids are known, by partition.
    std::map<PartitionId, WallTime> memory_start;
    std::map<std::string, std::optional<ResultCode>> results;  // unset: running
    std::map<PartitionId, SteadyTime> running_until;
    std::optional<Fence> stopped_term;
  };
  struct RunningWork {
    const EndpointProcess* endpoint;
    std::uint64_t generation;
    VirtualTime until;
  };
  using Reply = std::function<void(ResultCode)>;

  void Issue();
  void SendAttempt(const RequestPtr& request);
  void HandleAtEntry(RouterProcess* entry, const Attempt& attempt);
  void DispatchAtPrimary(RouterProcess* primary, const EndpointId& id,
                         const Attempt& attempt, const Reply& reply);
  void SendWork(RouterProcess* primary, EndpointProcess* endpoint,
                const Fence& term, const Fence& epoch, const Attempt& attempt,
                const Reply& complete);
  ResultCode Execute(EndpointProcess* endpoint, const Fence& term,
                     const Fence& epoch, const Attempt& attempt,
                     const Reply& finished);
  void CheckExecution(const EndpointProcess& endpoint, const Attempt& attempt);
  void RecordAnswer(const Attempt& attempt, ResultCode code);

  Fleet* fleet_;
  bool check_memory_start_;
  std::uint64_t issued_ = 0;
  std::uint64_t answered_ = 0;
  std::map<RouterId, std::map<EndpointId, DispatchState>> dispatch_states_;
  std::map<PartitionKey, std::vector<RunningWork>> running_work_;
  std::map<PartitionKey, double> load_;
};

}  // namespace balsamhall::ownership_test

#endif  // BALSAMHALL_TESTS_OWNERSHIP_REQUEST_TRAFFIC_H_
