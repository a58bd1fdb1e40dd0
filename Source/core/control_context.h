// Interface of the controller to the per-endpoint state machines.
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

  // Returns the time of the event that is being handled.
  virtual SteadyTime now() const = 0;
  virtual const RouterRef& self() const = 0;
  virtual const OwnershipOptions& options() const = 0;
  // Queues an action for the caller of the controller. A message to this router
  // itself is delivered locally; a grant to an endpoint that does not check
  // fences goes to its witness.
  virtual void Emit(OwnershipAction action) = 0;
  // Returns a sequence number that is higher than every earlier one.
  virtual std::uint64_t NextGrantSequence() = 0;

  // Returns the time since the last heartbeat of this incarnation; the maximum
  // if there was none.
  virtual Milliseconds TimeSinceHeartbeat(const RouterRef& router) const = 0;
  // Returns true if this process is known to be gone for good, see
  // FleetRegister::IsGone. Never true for this process.
  virtual bool IsGone(const RouterRef& router) const = 0;
  // Returns the routers that may take a role now, including this one unless it
  // is leaving.
  virtual std::vector<RouterPlace> CandidateRouters() const = 0;
  // Returns the routers that are not known to be gone, reachable or not,
  // without this one.
  virtual std::vector<RouterRef> OtherRouters() const = 0;

  // Returns null if the configuration in force does not contain the endpoint.
  virtual const schema::EndpointConfig* FindEndpoint(
      const EndpointId& endpoint) const = 0;
  // Returns the endpoints of a service in the configuration in force.
  virtual std::vector<EndpointId> EndpointsOf(
      const ServiceId& service) const = 0;
  // Returns the log offset of the endpoint's base view, the last one that the
  // log set or reset; 0 if there is none.
  virtual std::uint64_t BaseViewOffset(const EndpointId& endpoint) const = 0;
  // Returns true if every other router that is not known to be gone has applied
  // the record at this offset.
  virtual bool AppliedByAll(std::uint64_t offset) const = 0;
  // Returns the longest deadline among the request kinds of a service; 0 if the
  // configuration does not contain the service.
  virtual Milliseconds LongestDeadline(const ServiceId& service) const = 0;
  // Returns the view with the highest term that this router knows, or nullopt.
  virtual std::optional<schema::View> KnownView(
      const EndpointId& endpoint) const = 0;
  // Returns the highest epoch of a partition that this router knows.
  virtual Fence HighestEpoch(const ServiceId& service,
                             PartitionId partition) const = 0;
  // Chooses target endpoints for partitions, given with their loads, among the
  // endpoints of the service without exclude; empty if there is none.
  virtual std::map<PartitionId, EndpointId> TargetEndpoints(
      const ServiceId& service, const std::map<PartitionId, double>& partitions,
      const EndpointId& exclude) const = 0;
  // Adds a move to the history of its partition and reports it.
  virtual void RecordMove(const schema::MoveEvent& move) = 0;
  // Publishes a new routing snapshot after the current event.
  virtual void MarkRoutingDirty() = 0;
  virtual bool ShuttingDown() const = 0;
};

// Returns a message without a body from this sender.
schema::PeerMessage MakePeerMessage(const RouterRef& sender);
// Returns true if both name the same incarnation of the same router.
bool SameRef(const schema::RouterRef& a, const RouterRef& b);
// Returns the time after which a lease that is counted from start has expired,
// including the allowed clock drift.
SteadyTime LeaseBound(const OwnershipOptions& options, SteadyTime start);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_CONTROL_CONTEXT_H_
