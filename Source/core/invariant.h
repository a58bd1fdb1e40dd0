// Invariant checks that are active in every build.
#ifndef BALSAMHALL_CORE_INVARIANT_H_
#define BALSAMHALL_CORE_INVARIANT_H_

#include <cstdint>
#include <functional>
#include <string>

namespace balsamhall {

// Called with the name of a violated invariant and a detail.
using InvariantHandler =
    std::function<void(const std::string& name, const std::string& detail)>;

// Replaces the handler. By default there is none and violations are only
// counted; tests install one that throws. Thread-safe.
void SetInvariantHandler(InvariantHandler handler);

// Counts a violation and calls the handler. Thread-safe.
void ReportInvariantViolation(const std::string& name,
                              const std::string& detail);

// Returns the number of violations since the process started. Thread-safe.
std::uint64_t InvariantViolations();

}  // namespace balsamhall

// Reports a violation of the invariant if the condition is false. Evaluates
// name and detail only then.
#define BALSAMHALL_INVARIANT(condition, name, detail)           \
  do {                                                          \
    if (!(condition)) {                                         \
      ::balsamhall::ReportInvariantViolation((name), (detail)); \
    }                                                           \
  } while (false)

#endif  // BALSAMHALL_CORE_INVARIANT_H_
