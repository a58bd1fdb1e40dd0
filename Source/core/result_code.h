// Numbered result codes of every interface. docs/errors.md is generated from
// the same table and compared with it by a test.
#ifndef BALSAMHALL_CORE_RESULT_CODE_H_
#define BALSAMHALL_CORE_RESULT_CODE_H_

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace balsamhall {

// Codes are stable: a number is never reused with another meaning.
enum class ResultCode : std::uint16_t {
  kOk = 0,
  // 1xx: the request was not executed.
  kNotRunNoOwner = 100,
  kNotRunMoved = 101,
  kNotRunDeadline = 102,
  kNotRunQueueFull = 103,
  kNotRunShed = 104,
  kNotRunDraining = 105,
  kNotRunStaleFence = 106,
  kNotRunNoConnection = 107,
  kNotRunBadRequest = 108,
  kNotRunTooLarge = 109,
  kNotRunUnknownService = 110,
  kNotRunUnknownKind = 111,
  kNotRunMissingHeader = 112,
  kNotRunRouterOverloaded = 113,
  kNotRunCancelled = 114,
  kNotRunNoAuthority = 115,
  kNotRunLinkBudget = 116,
  kNotRunRouterUnreachable = 117,
  kNotRunStopping = 118,
  // 2xx: the outcome is unknown; a non-idempotent request is not retried.
  kUnknownTimeout = 200,
  kUnknownConnectionLost = 201,
  kUnknownBadAnswer = 202,
  kUnknownRepeatBeforeMemory = 203,
  kUnknownRepeatOutsideWindow = 204,
  kUnknownRouterLost = 205,
  kUnknownEarlierAttempt = 206,
  // 3xx: configuration and operator commands.
  kConfigSyntax = 300,
  kConfigInvalid = 301,
  kConfigStaleVersion = 302,
  kConfigNotInForce = 303,
  kConfigDigestMismatch = 304,
  kSheetInvalid = 310,
  kOperatorKeyWrong = 320,
  kOperatorUnreachable = 321,
  kOperatorUsage = 322,
  kOperatorFileMissing = 323,
  kOperatorUnknownService = 324,
  kOperatorNotFound = 325,
  // 4xx: errors of the platform: log, list of VMs, backend servers.
  kLogUnavailable = 400,
  kLogAnswerLost = 401,
  kLogRecordMalformed = 402,
  kLogTruncated = 403,
  kVmListUnavailable = 410,
  kBackendUnavailable = 420,
  kGrantRefused = 421,
  // 5xx: errors between routers or inside a process.
  kPeerFrameMalformed = 500,
  kPeerUnreachable = 501,
  kInvariantViolated = 510,
  kSettingsInvalid = 520,
  kInternal = 599,
};

struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  std::string_view meaning;
};

// Returns the table of all codes in ascending order. Thread-safe.
std::span<const ResultCodeInfo> ResultCodeTable();

// Returns the kebab-case name, or "unlisted". Thread-safe.
std::string_view ResultCodeName(ResultCode code);

// Returns true if the code proves that the request was not executed.
constexpr bool IsNotRun(ResultCode code) {
  return static_cast<int>(code) / 100 == 1;
}

// Returns true if the request may or may not have been executed.
constexpr bool IsUnknown(ResultCode code) {
  return static_cast<int>(code) / 100 == 2;
}

// Returns the value of the Balsamhall-Result header: ok, not-run, unknown or
// error. Thread-safe.
std::string_view ResultClass(ResultCode code);

// Error of a failed operation: the code and a detail for the log line.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string detail;
};

template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::all_narrow>;

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_RESULT_CODE_H_
