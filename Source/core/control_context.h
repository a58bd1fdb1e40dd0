// What the per-endpoint state machines need from their controller.
#ifndef BALSAMHALL_CORE_CONTROL_CONTEXT_H_
#define BALSAMHALL_CORE_CONTROL_CONTEXT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ownership_controller.h"
#include "core/ownership_events.h"
#include "core/placement.h"
#include "core/types.h"

namespace balsamhall {

// Not thread-safe. Valid as long as the controller.
class ControlContext {
 public:
  virtual ~ControlContext() = default;

  virtual SteadyTime now() const = 0;
  virtual const RouterRef& self() const = 0;
  virtual const OwnershipOptions& options() const = 0;
  virtual void Emit(OwnershipAction action) = 0;
  virtual std::uint64_t NextGrantSequence() = 0;

  // Time since the last heartbeat of this incarnation; maximum if never heard.
  virtual Milliseconds SilenceOf(const RouterRef& router) const = 0;
  virtual bool IsGone(const RouterRef& router) const = 0;
  // Routers that may take a role now, with this one unless it is leaving.
  virtual std::vector<RouterLocation> Candidates() const = 0;
  // Routers that are not proved gone, reachable or not, without this one.
  virtual std::vector<RouterRef> OtherRouters() const = 0;

  // Null if the configuration does not have it.
  virtual const schema::EndpointConfig* FindEndpoint(
      const EndpointId& endpoint) const = 0;
  // Endpoints of a service in the configuration in force.
  virtual std::vector<EndpointId> EndpointsOf(
      const ServiceId& service) const = 0;
  // Log offset of the first view of an endpoint's chain of terms; 0 if it has
  // none.
  virtual std::uint64_t ChainOffset(const EndpointId& endpoint) const = 0;
  // True if every router that is not proved gone has applied the record at
  // this offset.
  virtual bool AppliedByAll(std::uint64_t offset) const = 0;
  // Longest deadline of the kinds of a service.
  virtual Milliseconds LongestDeadline(const ServiceId& service) const = 0;
  // View with the highest term that this router has heard of.
  virtual std::optional<schema::View> KnownView(
      const EndpointId& endpoint) const = 0;
  // Highest epoch of a partition that this router has heard of.
  virtual Fence HighestEpoch(const ServiceId& service,
                             PartitionId partition) const = 0;
  // Targets for partitions with their loads; empty if there is none.
  virtual std::map<PartitionId, EndpointId> Targets(
      const ServiceId& service, const std::map<PartitionId, double>& partitions,
      const EndpointId& exclude) const = 0;
  virtual void RecordMove(const schema::MoveEvent& move) = 0;
  virtual void RoutingDirty() = 0;
  virtual bool ShuttingDown() const = 0;
};

// Shorthands for messages.
schema::PeerMessage MakePeerMessage(const RouterRef& sender);
bool SameRef(const schema::RouterRef& a, const RouterRef& b);
// Time after which a lease that was counted from start has surely lapsed.
SteadyTime LeaseBound(const OwnershipOptions& options, SteadyTime start);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_CONTROL_CONTEXT_H_
