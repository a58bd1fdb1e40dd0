// Invariant checks that are active in every build.
#ifndef BALSAMHALL_CORE_INVARIANT_H_
#define BALSAMHALL_CORE_INVARIANT_H_

#include <cstdint>
#include <functional>
#include <string>

namespace balsamhall {

// Receives a violated invariant: its name and a detail.
using InvariantHandler =
    std::function<void(const std::string& name, const std::string& detail)>;

// Replaces the handler. The default counts only; tests install one that
// throws. Thread-safe.
void SetInvariantHandler(InvariantHandler handler);

// Counts a violation and calls the handler. Thread-safe.
void ReportInvariantViolation(const std::string& name,
                              const std::string& detail);

// Returns the number of violations since the process started. Thread-safe.
std::uint64_t InvariantViolations();

}  // namespace balsamhall

// Evaluates detail only when the condition is false.
#define BALSAMHALL_INVARIANT(condition, name, detail)           \
  do {                                                          \
    if (!(condition)) {                                         \
      ::balsamhall::ReportInvariantViolation((name), (detail)); \
    }                                                           \
  } while (false)

#endif  // BALSAMHALL_CORE_INVARIANT_H_
