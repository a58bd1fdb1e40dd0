// Remembers since when each degraded state lasts.
#ifndef BALSAMHALL_ROUTER_DEGRADED_SINCE_H_
#define BALSAMHALL_ROUTER_DEGRADED_SINCE_H_

#include <map>
#include <string>

#include "core/types.h"

namespace balsamhall {

// Not thread-safe.
class DegradedSince {
 public:
  // Sets since_ms of every degraded item to the time at which it was first
  // observed without a pause. Call about once a second, and for each status
  // that is shown.
  void Observe(schema::RouterStatus& status, WallTime now);

 private:
  std::map<std::string, WallTime> since_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_DEGRADED_SINCE_H_
