#include "router/log_follower.h"

#include <algorithm>
#include <utility>

#include "telemetry/event_log.h"

namespace balsamhall {
namespace {

constexpr std::size_t kMaxPageSize = 256;
constexpr Milliseconds kLongPoll{500};

LogRecordRead Decode(const LogEntry& entry) {
  LogRecordRead read;
  read.offset = entry.offset;
  read.writer = entry.writer;
  read.sequence = entry.sequence;
  read.age = entry.age;
  if (!read.record.ParseFromString(entry.payload)) {
    LogEvent(EventLevel::kWarning, "log_record_skipped",
             static_cast<unsigned>(ResultCode::kLogRecordMalformed),
             {{"offset", std::to_string(entry.offset)},
              {"writer", entry.writer},
              {"bytes", std::to_string(entry.payload.size())}});
    read.record.Clear();
  }
  return read;
}

}  // namespace

LogFollower::LogFollower(LogService& log, EventSink event_sink)
    : log_(log), event_sink_(std::move(event_sink)), page_size_(kMaxPageSize) {}

void LogFollower::Read(std::uint64_t from) {
  log_.Read(from, page_size_, kLongPoll,
            [this](const Result<LogPage>& page) { OnPage(page); });
}

void LogFollower::OnPage(const Result<LogPage>& page) {
  if (!page) {
    // The page may have exceeded the response size limit of the HTTP client,
    // because the log can hold several large configurations in a row.
    page_size_ = std::max<std::size_t>(1, page_size_ / 2);
    event_sink_(LogReadFinished{});
    return;
  }
  page_size_ = std::min(kMaxPageSize, page_size_ * 2);
  for (const LogEntry& entry : page.value().entries) {
    LogRecordRead read = Decode(entry);
    read.first_offset = page.value().first_offset;
    event_sink_(read);
  }
  LogReadFinished finished;
  finished.reachable = true;
  finished.first_offset = page.value().first_offset;
  finished.next_offset = page.value().next_offset;
  finished.retention = page.value().retention;
  event_sink_(finished);
}

void LogFollower::Append(const std::string& writer,
                         const AppendLogRecord& append) {
  log_.Append(
      writer, append.sequence, append.record.SerializeAsString(),
      [this, sequence = append.sequence](const Result<std::uint64_t>& offset) {
        LogAppendFinished finished;
        finished.sequence = sequence;
        if (offset) finished.offset = offset.value();
        event_sink_(finished);
      });
}

}  // namespace balsamhall
