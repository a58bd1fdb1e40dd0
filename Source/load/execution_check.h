// Compares what callers were told with what the backend stand-ins ran.
#ifndef BALSAMHALL_LOAD_EXECUTION_CHECK_H_
#define BALSAMHALL_LOAD_EXECUTION_CHECK_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"
#include "load/request_ledger.h"

namespace balsamhall {

// Runs by request id, over all backends that answered.
struct BackendExecutions {
  std::unordered_map<std::string, std::uint32_t> runs;
  std::uint64_t executions = 0;
  std::uint64_t above_slots = 0;   // started with all slots in use
  std::uint64_t refused_full = 0;  // refused because all slots were in use
  std::uint64_t unrecorded = 0;    // beyond the stand-ins' record
  std::vector<std::string> unreachable;
};

struct ExecutionFaults {
  std::uint64_t doubled = 0;      // non-idempotent, ran more than once
  std::uint64_t lost = 0;         // acknowledged, never ran
  std::uint64_t not_run_ran = 0;  // reported as not run, but ran
  std::uint64_t unverified = 0;   // acknowledged; a backend was unreachable
  std::uint64_t idempotent_again = 0;  // idempotent, ran more than once
  std::vector<std::string> examples;   // ids with the fault, bounded

  bool Any() const { return doubled + lost + not_run_ran > 0; }
};

// Asks each stand-in for its executions. Blocks; bounded in time by backend.
BackendExecutions FetchExecutions(const std::vector<std::string>& backends);

// Thread-safe.
ExecutionFaults CheckExecutions(const schema::LoadScenario& scenario,
                                const RequestLedger& ledger,
                                const BackendExecutions& executions);

}  // namespace balsamhall

#endif  // BALSAMHALL_LOAD_EXECUTION_CHECK_H_
