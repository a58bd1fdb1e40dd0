// The platform's append-only log.
#ifndef BALSAMHALL_CLIENTS_LOG_SERVICE_H_
#define BALSAMHALL_CLIENTS_LOG_SERVICE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

struct LogEntry {
  std::uint64_t offset = 0;
  Milliseconds age{0};
  std::string writer;
  std::uint64_t sequence = 0;
  std::string payload;
};

struct LogPage {
  std::uint64_t first_offset = 0;  // oldest retained
  std::uint64_t next_offset = 0;   // one past the newest
  Milliseconds retention{0};
  std::vector<LogEntry> entries;
};

// Callbacks run on the executor that the implementation was made with, and
// exactly once. Not thread-safe.
class LogService {
 public:
  using AppendCallback = std::function<void(Result<std::uint64_t>)>;
  using ReadCallback = std::function<void(Result<LogPage>)>;

  virtual ~LogService() = default;

  // Sends one append. kLogUnavailable: nothing was written. kLogAnswerLost: it
  // may have taken effect. Never repeats by itself.
  virtual void Append(const std::string& writer, std::uint64_t sequence,
                      const std::string& payload, AppendCallback done) = 0;

  // Reads from an offset, waiting up to wait for a first record. An offset
  // below the oldest retained one starts at the oldest.
  virtual void Read(std::uint64_t from, std::size_t max_entries,
                    Milliseconds wait, ReadCallback done) = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CLIENTS_LOG_SERVICE_H_
