// Status of the fleet for balsamhall-status.
#ifndef BALSAMHALL_OPERATOR_FLEET_REPORT_H_
#define BALSAMHALL_OPERATOR_FLEET_REPORT_H_

#include <cstdint>
#include <string>

#include "core/types.h"
#include "operator/fleet.h"

namespace balsamhall {

// Returns the tables of routers, endpoints, ranks and degraded states.
// in_force is the configuration of the newest version; endpoints that it lists
// and no primary reports are shown as such. Thread-safe.
std::string DescribeFleet(const Fleet& fleet,
                          const schema::RoutingConfig& in_force, WallTime now);

// Returns one JSON object: config_version, config_digest, routers (each a
// RouterStatus) and unreachable (address, id, reason). Thread-safe.
std::string FleetToJson(const Fleet& fleet);

// Returns "2026-01-31 10:00:00 UTC (5 min ago)". Thread-safe.
std::string DescribeTime(std::int64_t unix_ms, WallTime now);

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_FLEET_REPORT_H_
