#include "core/log_writer.h"

#include <utility>

namespace balsamhall {
namespace {

// Limits the rate of retries while the log is unavailable.
constexpr Milliseconds kRetryInterval{500};

}  // namespace

std::uint64_t LogWriter::Enqueue(schema::LogRecord record) {
  pending_.push_back(
      {next_sequence_, std::move(record), State::kReady, SteadyTime{}});
  return next_sequence_++;
}

std::optional<AppendLogRecord> LogWriter::NextAppend(SteadyTime now) {
  if (pending_.empty()) return std::nullopt;
  Pending& front = pending_.front();
  if (front.state != State::kReady || now < front.since) return std::nullopt;
  front.state = State::kSent;
  front.since = now;
  return AppendLogRecord{front.sequence, front.record};
}

void LogWriter::OnAppendFinished(const LogAppendFinished& result,
                                 SteadyTime now) {
  if (pending_.empty() || pending_.front().sequence != result.sequence) return;
  if (result.offset) {
    pending_.pop_front();
    return;
  }
  pending_.front().state = State::kUncertain;
  pending_.front().since = now;
}

void LogWriter::OnOwnRecordRead(std::uint64_t sequence) {
  if (!pending_.empty() && pending_.front().sequence == sequence) {
    pending_.pop_front();
  }
}

void LogWriter::OnReachedEnd(SteadyTime now) {
  if (pending_.empty() || pending_.front().state != State::kUncertain) return;
  // The read may have been sent before the append ended; wait for a later read.
  if (now < pending_.front().since + kRetryInterval) return;
  pending_.front().state = State::kReady;
}

}  // namespace balsamhall
