// Tracks since when each degraded condition has lasted.
#ifndef BALSAMHALL_ROUTER_DEGRADED_SINCE_H_
#define BALSAMHALL_ROUTER_DEGRADED_SINCE_H_

#include <map>
#include <string>

#include "core/types.h"

namespace balsamhall {

// Not thread-safe.
class DegradedSince {
 public:
  // Sets since_ms of every degraded item to the time of the first observation
  // since which it has been reported without interruption. Call about once a
  // second, and for each status that is returned to an operator.
  void Observe(schema::RouterStatus& status, WallTime now);

 private:
  std::map<std::string, WallTime> since_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_DEGRADED_SINCE_H_
