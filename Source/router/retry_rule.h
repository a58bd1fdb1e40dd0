// Which results of an attempt may be followed by another attempt.
#ifndef BALSAMHALL_ROUTER_RETRY_RULE_H_
#define BALSAMHALL_ROUTER_RETRY_RULE_H_

#include <cstdint>

#include "core/result_code.h"

namespace balsamhall {

enum class RetryRule : std::uint8_t {
  kNone,
  kAfterRouteChange,  // wait for a newer route, a short time at most
  kOtherEndpoint,     // only an endpoint that was not tried
};

// A request is repeated only if the code proves that it was not run, or if it
// is idempotent. Thread-safe.
RetryRule RetryRuleOf(ResultCode code, bool idempotent);

// Returns true if the endpoint's primary gives this code only after it looked
// up the request id: then no earlier attempt was run either. Thread-safe.
bool ProvesNeverRun(ResultCode code);

// Returns true if the attempt put no load on any server, so that its repeat is
// free: nothing left this process.
bool AttemptSentNothing(ResultCode code, bool local);

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_RETRY_RULE_H_
