// State of all routers, gathered from those that the operator names.
#ifndef BALSAMHALL_OPERATOR_FLEET_H_
#define BALSAMHALL_OPERATOR_FLEET_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"
#include "operator/control_client.h"

namespace balsamhall {

struct RouterAnswer {
  std::string address;  // control address
  RouterId id;          // empty: never learned
  std::optional<schema::RouterStatus> status;
  Error error;  // set if status is empty
  bool reachable_by_peers = false;
};

// An endpoint as its primary reports it.
struct EndpointReport {
  schema::EndpointRouting routing;
  RouterId router;
};

struct Fleet {
  std::vector<RouterAnswer> routers;  // by id, then by address

  // Returns true if a router answers or another one reaches it.
  static bool IsLive(const RouterAnswer& router);

  bool AnyAnswer() const;

  // Returns the answering router with the highest configuration version that
  // reaches the log if possible; null if no router answers.
  const RouterAnswer* Best() const;

  // Returns the newest report of each endpoint, by name.
  std::map<EndpointId, EndpointReport> Endpoints() const;

  // Returns the reasons why routers do not answer, one line each.
  std::string DescribeSilent() const;
};

// Asks the given control addresses, and then every router that an answer
// names. Requests run in parallel.
Fleet GatherFleet(ControlClient& client,
                  const std::vector<std::string>& addresses);

// Calls task(i) for i in 0..count-1 on up to 16 threads and waits for all.
void RunInParallel(std::size_t count,
                   const std::function<void(std::size_t)>& task);

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_FLEET_H_
