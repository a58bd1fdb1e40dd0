// Input events of OwnershipController and the actions that it returns.
#ifndef BALSAMHALL_CORE_OWNERSHIP_EVENTS_H_
#define BALSAMHALL_CORE_OWNERSHIP_EVENTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// ---- Inputs ---------------------------------------------------------------

// Time has passed. Delivered every 20 to 50 ms.
struct TimerTick {};

// A control message from another router arrived.
struct PeerMessageReceived {
  schema::PeerMessage message;
};

// An endpoint answered a SendGrant action.
struct GrantResponseReceived {
  EndpointId endpoint;
  schema::GrantResponse response;
};

// An endpoint answered a SendHealthProbe action.
struct HealthReportReceived {
  schema::HealthReport report;
};

// A record was read from the log, in offset order. Repeats of one append
// (same writer and sequence) are dropped by the controller.
struct LogRecordRead {
  std::uint64_t offset = 0;
  std::string writer;
  std::uint64_t sequence = 0;
  Milliseconds age{0};  // time since the record was appended
  schema::LogRecord record;
  // Oldest offset that the log retained when the page was read; 0 if unknown.
  std::uint64_t first_offset = 0;
};

// A read reached the end of the log, or failed (reachable = false).
struct LogReadFinished {
  bool reachable = false;
  std::uint64_t first_offset = 0;  // oldest offset that the log retains
  std::uint64_t next_offset = 0;   // offset of the next record to be appended
  Milliseconds retention{0};       // retention period of the log
};

// An append ended. Without an offset it may still have taken effect.
struct LogAppendFinished {
  std::uint64_t sequence = 0;
  std::optional<std::uint64_t> offset;
};

// The platform's list of VMs was read.
struct VmListRead {
  struct Vm {
    std::string id;
    bool leaving = false;
    bool is_router = false;
  };
  std::vector<Vm> vms;
};

// Dispatch to an endpoint has stopped, as requested by StopDispatch.
// running_until holds the latest deadline of work already sent, by partition.
struct DispatchStopped {
  EndpointId endpoint;
  Fence term;
  std::map<PartitionId, SteadyTime> running_until;
};

// Load that the dispatcher measured, in total and by partition, as decayed work
// per second.
struct LoadMeasured {
  EndpointId endpoint;
  double load = 0;
  std::map<PartitionId, double> by_partition;
  bool drain_refused = false;  // the endpoint refused work because it drains
};

// The operator or SIGTERM asks this router to hand over its roles.
struct ShutdownRequested {};

using OwnershipEvent =
    std::variant<TimerTick, PeerMessageReceived, GrantResponseReceived,
                 HealthReportReceived, LogRecordRead, LogReadFinished,
                 LogAppendFinished, VmListRead, DispatchStopped, LoadMeasured,
                 ShutdownRequested>;

// ---- Outputs --------------------------------------------------------------

// Send a message to another router. It may get lost.
struct SendPeerMessage {
  RouterId to;
  schema::PeerMessage message;
};

// Send a grant to the endpoint and report GrantResponseReceived if it answers.
struct SendGrant {
  EndpointId endpoint;
  schema::GrantRequest request;
};

// Probe the endpoint's health and report HealthReportReceived if it answers.
struct SendHealthProbe {
  EndpointId endpoint;
};

// Append the record with the given sequence of this writer. The caller sends it
// once and reports LogAppendFinished; the controller decides on retries.
struct AppendLogRecord {
  std::uint64_t sequence = 0;
  schema::LogRecord record;
};

// Read the log from the given offset and deliver LogRecordRead events followed
// by LogReadFinished.
struct ReadLog {
  std::uint64_t from = 0;
};

// The routing state changed; the caller takes the new snapshot from routing().
struct RoutingChanged {};

// Stop dispatch to the endpoint under this term, cancel what is running, and
// report DispatchStopped.
struct StopDispatch {
  EndpointId endpoint;
  Fence term;
};

// Write an event to the log of the process, with its name and key=value pairs.
struct ReportEvent {
  std::string name;
  ResultCode code = ResultCode::kOk;
  std::vector<std::pair<std::string, std::string>> fields;
};

// The process may exit: all roles were handed over, or the shutdown has reached
// its time limit.
struct ShutdownReady {};

using OwnershipAction =
    std::variant<SendPeerMessage, SendGrant, SendHealthProbe, AppendLogRecord,
                 ReadLog, RoutingChanged, StopDispatch, ReportEvent,
                 ShutdownReady>;
using OwnershipActions = std::vector<OwnershipAction>;

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_OWNERSHIP_EVENTS_H_
