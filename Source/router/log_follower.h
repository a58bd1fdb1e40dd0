// Reads the log on behalf of the ownership controller.
#ifndef BALSAMHALL_ROUTER_LOG_FOLLOWER_H_
#define BALSAMHALL_ROUTER_LOG_FOLLOWER_H_

#include <cstdint>
#include <functional>

#include "clients/log_service.h"
#include "core/ownership_events.h"

namespace balsamhall {

// Not thread-safe.
class LogFollower {
 public:
  using EventSink = std::function<void(OwnershipEvent)>;

  // log must outlive the follower.
  LogFollower(LogService& log, EventSink event_sink);

  // Reads one page from this offset and passes its records and then
  // LogReadFinished to the event sink. A record that cannot be decoded is
  // logged (kLogRecordMalformed) and passed on without a body, so that its
  // offset counts as read.
  void Read(std::uint64_t from);

  // Appends the record, without retries, and passes LogAppendFinished to the
  // event sink.
  void Append(const std::string& writer, const AppendLogRecord& append);

 private:
  void OnPage(const Result<LogPage>& page);

  LogService& log_;
  EventSink event_sink_;
  std::size_t page_size_;  // entries; halved after a failed read
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_LOG_FOLLOWER_H_
