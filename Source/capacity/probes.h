// Probes of balsamhall-capacity by part of the code.
#ifndef BALSAMHALL_CAPACITY_PROBES_H_
#define BALSAMHALL_CAPACITY_PROBES_H_

#include <vector>

#include "capacity/slope_table.h"

namespace balsamhall {

// Control state machine by routers, endpoints, roles and changes.
std::vector<Probe> ControlProbes();
// Routing table, snapshots, leases and messages by partitions.
std::vector<Probe> PartitionProbes();
// Reading of the log by records.
std::vector<Probe> LogProbes();
// Work on requests.
std::vector<Probe> RequestProbes();

std::vector<Probe> AllProbes();

}  // namespace balsamhall

#endif  // BALSAMHALL_CAPACITY_PROBES_H_
