// Interface of the store through which gateways coordinate.
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
  std::optional<std::string> value;  // empty: the key was deleted
  std::uint64_t offset = 0;
};

// A record that the store's client could not read.
struct UnreadableRecord {
  std::string key;  // empty if the key is unreadable too
  std::string detail;
};

// Result of a read. The records are in log order.
struct LogPage {
  bool is_snapshot = false;  // newest record of each key
  std::vector<KeyedRecord> records;
  std::vector<UnreadableRecord> rejected;
  std::uint64_t next = 0;     // offset of the next read
  std::uint64_t log_end = 0;  // offset at which the log ended
};

enum class ReadFailure {
  kUnavailable,  // no response, or the store refused
  kTruncated,    // the records no longer exist: read the newest ones
};

struct ReadResult {
  std::optional<LogPage> page;  // empty on failure
  ReadFailure failure = ReadFailure::kUnavailable;
  std::string detail;
  // Rises when the store was restored from an older copy; 0: it states none, or
  // did not respond.
  std::uint64_t era = 0;
};

struct AppendResult {
  AppendOutcome outcome = AppendOutcome::kUnknown;
  std::uint64_t era = 0;  // as in ReadResult
};

struct ElectionResult {
  bool reached = false;  // the store responded
  bool elected = false;
  std::uint64_t era = 0;  // as in ReadResult
};

// The logs that a gateway reads. Gateways do not write the first two.
enum class Log { kOperatorConfig, kEndpointRegistry, kLeases, kGateways };

// Not thread-safe: all calls and callbacks run on the event loop's thread. Each
// callback runs exactly once, never inside the call.
class CoordinationStore {
 public:
  virtual ~CoordinationStore() = default;

  // Reads the newest record of each key.
  virtual void ReadNewest(Log log, std::function<void(ReadResult)> done) = 0;
  // Reads from an offset on; the store waits up to the given time for a record.
  virtual void ReadFrom(Log log, std::uint64_t offset, Milliseconds wait,
                        std::function<void(ReadResult)> done) = 0;
  // Returns whether bytes of the response to a ReadFrom of the log arrive.
  virtual bool IsReceiving(Log log) const = 0;
  // Appends a record; with expected_end only if the log ends there.
  virtual void Append(Log log, const std::string& key, const std::string& value,
                      std::optional<std::uint64_t> expected_end,
                      std::function<void(AppendResult)> done) = 0;
  // Joins the group from which the store elects the leader, or renews the
  // membership, which ends after time_to_live without renewal.
  virtual void JoinLeaderElection(const RouterId& gateway,
                                  Milliseconds time_to_live,
                                  std::function<void(ElectionResult)> done) = 0;
  // Leaves that group.
  virtual void LeaveLeaderElection(const RouterId& gateway,
                                   std::function<void()> done) = 0;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_COORDINATION_STORE_H_
