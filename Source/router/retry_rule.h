// Decides which results of an attempt may be followed by a retry.
#ifndef BALSAMHALL_ROUTER_RETRY_RULE_H_
#define BALSAMHALL_ROUTER_RETRY_RULE_H_

#include <cstdint>

#include "core/result_code.h"

namespace balsamhall {

enum class RetryRule : std::uint8_t {
  kNone,
  kAfterRouteChange,  // after a route change or a short backoff
  kOtherEndpoint,     // only at another endpoint
};

// Returns how a request may be retried after this result. A request is retried
// only if the code proves that it was not executed, or if it is idempotent.
// Thread-safe.
RetryRule RetryRuleOf(ResultCode code, bool idempotent);

// Returns true if the primary router of the endpoint returns this code only
// after it has looked up the request id in its request memory, so that no
// earlier attempt was executed either. Thread-safe.
bool ProvesNeverRun(ResultCode code);

// Returns true if the attempt sent nothing out of this process and thus put no
// load on any server. Its retry is not charged to the retry budget.
bool AttemptSentNothing(ResultCode code, bool local);

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_RETRY_RULE_H_
