#include "core/control_context.h"

namespace balsamhall {

schema::PeerMessage MakePeerMessage(const RouterRef& sender) {
  schema::PeerMessage message;
  *message.mutable_sender() = ToProto(sender);
  return message;
}

bool SameRef(const schema::RouterRef& a, const RouterRef& b) {
  return a.id() == b.id && a.incarnation() == b.incarnation;
}

SteadyTime LeaseBound(const OwnershipOptions& options, SteadyTime start) {
  const auto drift = std::chrono::duration_cast<Microseconds>(
      options.lease * options.drift_ratio);
  return start + options.lease + drift + options.drift_margin;
}

}  // namespace balsamhall
