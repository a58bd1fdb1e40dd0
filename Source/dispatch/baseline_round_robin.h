// Baseline: round robin over the endpoints, regardless of their load.
#ifndef BALSAMHALL_DISPATCH_BASELINE_ROUND_ROBIN_H_
#define BALSAMHALL_DISPATCH_BASELINE_ROUND_ROBIN_H_

#include <utility>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// For comparison only. Not thread-safe.
class RoundRobin {
 public:
  // Precondition: endpoints is not empty.
  explicit RoundRobin(std::vector<EndpointId> endpoints)
      : endpoints_(std::move(endpoints)) {}

  const EndpointId& Pick() { return endpoints_[next_++ % endpoints_.size()]; }

 private:
  std::vector<EndpointId> endpoints_;
  std::size_t next_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_DISPATCH_BASELINE_ROUND_ROBIN_H_
