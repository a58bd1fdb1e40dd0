// Ordering and retries of the log appends of this process.
#ifndef BALSAMHALL_CORE_LOG_WRITER_H_
#define BALSAMHALL_CORE_LOG_WRITER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "core/ownership_events.h"
#include "core/types.h"

namespace balsamhall {

// Sends one append at a time, in sequence order. If the outcome of an append is
// unknown, the log is read to its end to look for the record before the append
// is retried with the same sequence. Not thread-safe.
class LogWriter {
 public:
  // Queues a record and returns its sequence.
  std::uint64_t Enqueue(schema::LogRecord record);

  // Returns the append to send now, if any.
  std::optional<AppendLogRecord> NextAppend(SteadyTime now);

  // Handles the result of the append that was sent last.
  void OnAppendFinished(const LogAppendFinished& result, SteadyTime now);

  // Handles a record of this writer that was read from the log: its append has
  // taken effect.
  void OnOwnRecordRead(std::uint64_t sequence);

  // Handles a read that reached the end of the log. An uncertain append that
  // was not found may then be retried.
  void OnReachedEnd(SteadyTime now);

  // Returns true if no append is queued or in flight.
  bool idle() const { return pending_.empty(); }

 private:
  // kUncertain: the append ended without an offset and may have taken effect.
  enum class State { kReady, kSent, kUncertain };
  struct Pending {
    std::uint64_t sequence = 0;
    schema::LogRecord record;
    State state = State::kReady;
    SteadyTime since;  // when the append was last sent or ended
  };

  std::uint64_t next_sequence_ = 1;
  std::deque<Pending> pending_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_LOG_WRITER_H_
