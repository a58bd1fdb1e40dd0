// Rate-limited events for faults that may repeat quickly.
#ifndef BALSAMHALL_ROUTER_FAULT_LOG_H_
#define BALSAMHALL_ROUTER_FAULT_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// Writes each distinct fault at most once in five seconds, with the number of
// repeats left out. Not thread-safe.
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
