#include "operator/exit_status.h"

namespace balsamhall {

ExitStatus ExitStatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return ExitStatus::kOk;
    case ResultCode::kOperatorUsage:
      return ExitStatus::kUsage;
    case ResultCode::kOperatorFileMissing:
      return ExitStatus::kFileMissing;
    case ResultCode::kConfigSyntax:
    case ResultCode::kConfigInvalid:
    case ResultCode::kConfigDigestMismatch:
    case ResultCode::kSheetInvalid:
    case ResultCode::kSettingsInvalid:
      return ExitStatus::kInvalid;
    case ResultCode::kOperatorUnreachable:
      return ExitStatus::kUnreachable;
    case ResultCode::kLogUnavailable:
    case ResultCode::kLogAnswerLost:
      return ExitStatus::kLogDown;
    case ResultCode::kOperatorKeyWrong:
      return ExitStatus::kWrongKey;
    case ResultCode::kConfigStaleVersion:
      return ExitStatus::kStaleVersion;
    case ResultCode::kConfigNotInForce:
      return ExitStatus::kNotInForce;
    case ResultCode::kOperatorUnknownService:
    case ResultCode::kOperatorNotFound:
    case ResultCode::kNotRunUnknownService:
      return ExitStatus::kNotFound;
    default:
      return ExitStatus::kInternal;
  }
}

}  // namespace balsamhall
