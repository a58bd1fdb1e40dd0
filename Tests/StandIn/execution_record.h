// What a backend stand-in ran, for comparison with what callers were told.
#ifndef BALSAMHALL_TESTS_STANDIN_EXECUTION_RECORD_H_
#define BALSAMHALL_TESTS_STANDIN_EXECUTION_RECORD_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace balsamhall {

class ExecutionRecord {
 public:
  explicit ExecutionRecord(std::uint32_t slots) : slots_(slots) {}

  // Counts the start of work and returns its number.
  std::size_t Start(const std::string& id, const std::string& kind,
                    const std::string& key, WallTime now);
  void Finish(std::size_t number, bool whole, WallTime now);
  // Counts work that was refused because all slots were in use.
  void RefuseFull() { ++refused_full_; }

  std::uint32_t running() const { return running_; }
  // {executions, distinct, doubled:[{id, kind, runs}], max_concurrent,
  // above_slots, refused_full, unrecorded, by_kind:{kind: n}}
  nlohmann::json Summary() const;
  // {executions:[{id, kind, key, start_us, end_us, whole, above_slots}]}
  nlohmann::json Of(const std::string& id) const;
  // {ids:[[id, kind, runs], ...], next}: ids first run from number after on.
  nlohmann::json Page(std::size_t after, std::size_t max) const;

 private:
  struct Execution {
    std::string id;
    std::string kind;
    std::string key;
    WallTime start;
    WallTime end;
    bool whole = false;
    bool above_slots = false;
  };

  std::uint32_t slots_;
  std::uint32_t running_ = 0;
  std::uint32_t max_concurrent_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t above_slots_ = 0;
  std::uint64_t refused_full_ = 0;
  std::uint64_t unrecorded_ = 0;
  std::vector<Execution> executions_;
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_id_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_STANDIN_EXECUTION_RECORD_H_
