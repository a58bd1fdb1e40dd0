// Reports the state of the control thread to operators.
#ifndef BALSAMHALL_ROUTER_STATUS_REPORT_H_
#define BALSAMHALL_ROUTER_STATUS_REPORT_H_

#include <cstdint>
#include <string>

#include "core/ownership_controller.h"
#include "core/result_code.h"
#include "telemetry/metrics.h"

namespace balsamhall {

// Returns the owner of a key and the recorded moves of its partition. Fails
// with kOperatorUnknownService.
Result<schema::KeyExplanation> ExplainKey(const OwnershipController& controller,
                                          const std::string& service,
                                          const std::string& key);

// Adds the metrics of the control thread.
void AddControlMetrics(const schema::RouterStatus& status,
                       std::uint64_t bytes_sent, std::uint64_t bytes_received,
                       Metrics& metrics);

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_STATUS_REPORT_H_
