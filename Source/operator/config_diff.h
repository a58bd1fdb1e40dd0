// Differences between two configurations, in words for operators.
#ifndef BALSAMHALL_OPERATOR_CONFIG_DIFF_H_
#define BALSAMHALL_OPERATOR_CONFIG_DIFF_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/types.h"

namespace balsamhall {

// Partitions that each endpoint owns. An empty map stands for an even
// distribution.
using OwnedPartitions = std::map<EndpointId, std::uint32_t>;

// Returns one sentence per difference; empty if the configurations mean the
// same. Thread-safe.
std::vector<std::string> DescribeDifferences(const schema::RoutingConfig& from,
                                             const schema::RoutingConfig& to);

// Partitions of one endpoint before and after a change.
struct EndpointMove {
  EndpointId endpoint;
  std::uint32_t before = 0;
  std::uint32_t after = 0;
};

struct ServiceMove {
  ServiceId service;
  std::uint32_t partitions = 0;
  std::uint32_t moved = 0;  // at least; load may move more later
  double minutes = 0;       // of added endpoints to receive their share
  std::vector<EndpointMove> endpoints;
};

// Returns what the change would move, for each service whose set of endpoints
// differs. Removed endpoints lose all partitions; the others approach an even
// distribution with the fewest moves. Precondition: both are valid, and
// partitions of a service are the same in both. Thread-safe.
std::vector<ServiceMove> EstimateMoves(const schema::RoutingConfig& from,
                                       const schema::RoutingConfig& to,
                                       const OwnedPartitions& owned);

// Returns the moves as a table with partitions and share per endpoint.
// Thread-safe.
std::string DescribeMoves(const std::vector<ServiceMove>& moves);

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_CONFIG_DIFF_H_
