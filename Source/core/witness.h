// State of an endpoint that does not check fences, kept at its backup router.
#ifndef BALSAMHALL_CORE_WITNESS_H_
#define BALSAMHALL_CORE_WITNESS_H_

#include "core/lease_holder.h"
#include "core/ownership_controller.h"
#include "core/types.h"

namespace balsamhall {

// The backup acknowledges grants in place of such an endpoint. The primary
// dispatches only for the authority time after an acknowledged grant, so the
// backup may dispatch after that time, once the log has named it. Not
// thread-safe.
class Witness {
 public:
  Witness(EndpointId endpoint, const RouterRef& self, SteadyTime now);

  schema::GrantResponse OnGrant(const schema::GrantRequest& request,
                                SteadyTime now);

  // Returns true if no grant arrived for the suspicion timeout.
  bool PrimarySilent(const OwnershipOptions& options, SteadyTime now) const;

  // Returns the time from which no work dispatched by the old primary can still
  // run.
  SteadyTime TakeoverTime(const OwnershipOptions& options,
                          Milliseconds longest_deadline) const;

  // Returns the partitions held and released.
  schema::GrantResponse State(SteadyTime now);

 private:
  EndpointId endpoint_;
  LeaseHolder holder_;
  SteadyTime last_grant_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_WITNESS_H_
