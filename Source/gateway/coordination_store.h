// The store in which gateways agree, as the gateway sees it.
#ifndef BALSAMHALL_GATEWAY_COORDINATION_STORE_H_
#define BALSAMHALL_GATEWAY_COORDINATION_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"
#include "gateway/boot_clock.h"
#include "gateway/fleet_view.h"
#include "gateway/lease_keeper.h"

namespace balsamhall::gateway {

struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;  // empty: the key was dropped
  std::uint64_t offset = 0;
};

// Result of a read. The records are in log order.
struct LogPage {
  bool is_snapshot = false;  // newest record of each key
  std::vector<KeyedRecord> records;
  std::uint64_t next = 0;     // where to go on
  std::uint64_t log_end = 0;  // where the log ended
};

enum class ReadFailure {
  kUnavailable,  // no answer, or the store refused
  kTruncated,    // the records are gone: read the newest ones instead
};

struct ReadResult {
  std::optional<LogPage> page;  // empty on failure
  ReadFailure failure = ReadFailure::kUnavailable;
  std::string detail;
};

struct ElectionResult {
  bool reached = false;
  bool elected = false;
};

// The logs that a gateway reads. The first two are written by others.
enum class Log { kOperatorConfig, kEndpointRegistry, kLeases, kGateways };

// Not thread-safe: calls and callbacks on the loop's thread. A callback runs
// exactly once, never inside the call.
class CoordinationStore {
 public:
  virtual ~CoordinationStore() = default;

  // Reads the newest record of each key.
  virtual void ReadNewest(Log log, std::function<void(ReadResult)> done) = 0;
  // Reads from an offset on; waits up to the given time for a record.
  virtual void ReadFrom(Log log, std::uint64_t offset, Milliseconds wait,
                        std::function<void(ReadResult)> done) = 0;
  // Appends a record; with expected_end only if the log ends there.
  virtual void Append(Log log, const std::string& key, const std::string& value,
                      std::optional<std::uint64_t> expected_end,
                      std::function<void(AppendOutcome)> done) = 0;
  // Joins the group of movers, or stays in it.
  virtual void JoinLeaderElection(const RouterId& gateway,
                                  Milliseconds time_to_live,
                                  std::function<void(ElectionResult)> done) = 0;
  virtual void LeaveLeaderElection(const RouterId& gateway,
                                   std::function<void()> done) = 0;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_COORDINATION_STORE_H_
