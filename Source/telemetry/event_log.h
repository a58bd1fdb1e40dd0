// Events of the process: one line of key=value pairs each.
#ifndef BALSAMHALL_TELEMETRY_EVENT_LOG_H_
#define BALSAMHALL_TELEMETRY_EVENT_LOG_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsamhall {

enum class EventLevel { kDebug, kInfo, kWarning, kError };

using EventFields = std::vector<std::pair<std::string, std::string>>;

// Returns "event=NAME code=N key=value ..."; values that hold spaces, quotes,
// equals signs or control characters are quoted and escaped, and longer ones
// end after 1,024 bytes with "...". Thread-safe.
std::string FormatEvent(std::string_view event, unsigned code,
                        const EventFields& fields);

// Parses trace, debug, info, warn or error, as in the settings; info for any
// other text.
EventLevel ParseEventLevel(std::string_view text);

enum class EventStream { kStandardError, kStandardOutput };

// Starts the writer thread and sets the least level that is written. Call once
// before other threads start; without it events go to standard error directly.
void StartEventLog(EventLevel level,
                   EventStream stream = EventStream::kStandardError);

// Writes what is queued and stops the writer thread.
void StopEventLog();

// Queues one line with time and level. Never blocks: the oldest queued line is
// dropped when the queue is full. Thread-safe.
void LogEvent(EventLevel level, std::string_view event, unsigned code,
              const EventFields& fields);

}  // namespace balsamhall

#endif  // BALSAMHALL_TELEMETRY_EVENT_LOG_H_
