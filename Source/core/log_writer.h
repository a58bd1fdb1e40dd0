// Order and repetition of this process's appends.
#ifndef BALSAMHALL_CORE_LOG_WRITER_H_
#define BALSAMHALL_CORE_LOG_WRITER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "core/ownership_events.h"
#include "core/types.h"

namespace balsamhall {

// Sends one append at a time, in sequence order. An append whose answer was
// lost is looked for by reading to the end of the log before it is repeated
// with the same sequence. Not thread-safe.
class LogWriter {
 public:
  // Queues a record and returns its sequence.
  std::uint64_t Enqueue(schema::LogRecord record);

  // Returns the append to send now, if any.
  std::optional<AppendLogRecord> NextAppend(SteadyTime now);

  void OnAppendFinished(const LogAppendFinished& result, SteadyTime now);

  // A record of this writer was read.
  void OnOwnRecordRead(std::uint64_t sequence);

  // A read reached the end of the log.
  void OnReachedEnd(SteadyTime now);

  bool idle() const { return pending_.empty(); }

 private:
  enum class State { kReady, kSent, kUncertain };
  struct Pending {
    std::uint64_t sequence = 0;
    schema::LogRecord record;
    State state = State::kReady;
    SteadyTime since;
  };

  std::uint64_t next_sequence_ = 1;
  std::deque<Pending> pending_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_LOG_WRITER_H_
