// Exit statuses of the operator commands.
#ifndef BALSAMHALL_OPERATOR_EXIT_STATUS_H_
#define BALSAMHALL_OPERATOR_EXIT_STATUS_H_

#include "core/result_code.h"

namespace balsamhall {

// Statuses are stable: scripts depend on them. See docs/OPERATIONS.md.
enum class ExitStatus : int {
  kOk = 0,
  kInternal = 1,
  kUsage = 2,
  kFileMissing = 3,
  kInvalid = 4,
  kUnreachable = 5,
  kLogDown = 6,
  kWrongKey = 7,
  kStaleVersion = 8,
  kNotInForce = 9,
  kNotFound = 10,
};

// Returns the status of a command that failed with this code. Thread-safe.
ExitStatus ExitStatusOf(ResultCode code);

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_EXIT_STATUS_H_
