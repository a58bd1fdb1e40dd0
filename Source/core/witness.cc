#include "core/witness.h"

#include <utility>

namespace balsamhall {

Witness::Witness(EndpointId endpoint, const RouterRef& self, SteadyTime now)
    : endpoint_(endpoint),
      holder_(std::move(endpoint), self.incarnation, true),
      last_grant_(now) {}

schema::GrantResponse Witness::OnGrant(const schema::GrantRequest& request,
                                       SteadyTime now) {
  last_grant_ = now;
  return holder_.OnGrant(request, now, 0);
}

bool Witness::PrimarySilent(const OwnershipOptions& options,
                            SteadyTime now) const {
  return now >= last_grant_ + options.suspicion_timeout;
}

SteadyTime Witness::TakeoverTime(const OwnershipOptions& options,
                                 Milliseconds longest_deadline) const {
  const auto drift = std::chrono::duration_cast<Microseconds>(
      options.authority_time * options.drift_ratio);
  return last_grant_ + options.authority_time + drift + options.drift_margin +
         longest_deadline;
}

schema::GrantResponse Witness::State(SteadyTime now) {
  schema::GrantRequest request;
  request.mutable_view()->set_endpoint(endpoint_);
  request.set_read_only(true);
  return holder_.OnGrant(request, now, 0);
}

}  // namespace balsamhall
