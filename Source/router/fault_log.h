// Rate-limited log events for errors that may occur in quick succession.
#ifndef BALSAMHALL_ROUTER_FAULT_LOG_H_
#define BALSAMHALL_ROUTER_FAULT_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// Logs each distinct combination of event and detail at most once in five
// seconds, with the number of occurrences suppressed since then. Not
// thread-safe.
class FaultLog {
 public:
  explicit FaultLog(std::string source) : source_(std::move(source)) {}

  void Report(const std::string& event, ResultCode code,
              const std::string& detail);

 private:
  struct Entry {
    SteadyTime written{};
    std::uint64_t repeats = 0;
  };

  std::string source_;
  std::map<std::string, Entry> entries_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_FAULT_LOG_H_
