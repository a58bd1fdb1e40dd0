#include "router/retry_rule.h"

namespace balsamhall {

RetryRule RetryRuleOf(ResultCode code, bool idempotent) {
  switch (code) {
    case ResultCode::kNotRunNoOwner:
    case ResultCode::kNotRunMoved:
    case ResultCode::kNotRunStaleFence:
    case ResultCode::kNotRunNoAuthority:
    case ResultCode::kNotRunRouterUnreachable:
    case ResultCode::kNotRunDraining:
    case ResultCode::kNotRunNoConnection:
      return RetryRule::kAfterRouteChange;
    case ResultCode::kNotRunShed:
    case ResultCode::kNotRunQueueFull:
      return RetryRule::kOtherEndpoint;
    case ResultCode::kUnknownConnectionLost:
    case ResultCode::kUnknownBadAnswer:
    case ResultCode::kUnknownRouterLost:
      return idempotent ? RetryRule::kAfterRouteChange : RetryRule::kNone;
    default:
      return RetryRule::kNone;
  }
}

bool ProvesNeverRun(ResultCode code) {
  switch (code) {
    case ResultCode::kNotRunDeadline:
    case ResultCode::kNotRunQueueFull:
    case ResultCode::kNotRunShed:
    case ResultCode::kNotRunDraining:
    case ResultCode::kNotRunStaleFence:
    case ResultCode::kNotRunNoConnection:
    case ResultCode::kNotRunCancelled:
      return true;
    default:
      return false;
  }
}

bool AttemptSentNothing(ResultCode code, bool local) {
  if (code == ResultCode::kNotRunRouterUnreachable) return true;
  return local && (code == ResultCode::kNotRunMoved ||
                   code == ResultCode::kNotRunNoOwner ||
                   code == ResultCode::kNotRunNoAuthority);
}

}  // namespace balsamhall
