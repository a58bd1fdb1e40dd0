// Routers, base views and initial partition assignments according to the log
// and to the platform's VM list. Every reader of the same log prefix reaches
// the same state.
#ifndef BALSAMHALL_CORE_FLEET_REGISTER_H_
#define BALSAMHALL_CORE_FLEET_REGISTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ownership_events.h"
#include "core/types.h"

namespace balsamhall {

// Not thread-safe.
class FleetRegister {
 public:
  struct Router {
    std::uint64_t incarnation = 0;  // log offset of the join
    schema::RouterJoined join;
    bool left = false;
  };
  struct ServiceAssignment {
    std::uint64_t offset = 0;
    schema::Assignment assignment;
  };

  // Apply a record of the log. Each returns true if the record changed the
  // state.
  bool OnRouterJoined(std::uint64_t offset, const schema::RouterJoined& join);
  bool OnRouterLeft(const schema::RouterLeft& left);
  bool OnAssignment(std::uint64_t offset, const schema::Assignment& record);
  bool OnVmDeclaredLost(std::uint64_t offset,
                        const schema::VmDeclaredLost& record);

  // Returns the views that took effect, that is, those of endpoints that had no
  // base view. The offset becomes their term.
  std::vector<schema::View> OnViewSet(std::uint64_t offset,
                                      const schema::ViewSet& record);

  // Returns the new base view if the reset is valid, else nullopt. A reset is
  // valid if the base view that it names was not replaced by an earlier record
  // of the log. The offset becomes the term of the new view.
  std::optional<schema::View> OnViewReset(std::uint64_t offset,
                                          const schema::ViewReset& record);

  // Merges a snapshot. To be called before the records from its as_of offset on
  // are applied.
  void Merge(const schema::FleetSnapshot& snapshot);

  // Returns a snapshot of the records before offset as_of. Routers that left
  // are omitted.
  schema::FleetSnapshot Snapshot(std::uint64_t as_of) const;

  // Replaces the platform's VM list.
  void OnVmList(const std::vector<VmListRead::Vm>& vms);

  // Returns true if this process is known to be gone for good: the list dropped
  // its VM, a later incarnation joined, it left, or an operator declared its VM
  // lost.
  bool IsGone(const RouterRef& router) const;

  // Returns true if the list dropped this VM or an operator declared it lost,
  // after it had been listed.
  bool IsVmGone(const std::string& vm) const;
  // Returns true if the current list says that this VM is leaving.
  bool IsVmLeaving(const std::string& vm) const;

  const std::map<RouterId, Router>& routers() const { return routers_; }
  // Returns null if the router's latest incarnation is another one.
  const Router* FindRouter(const RouterRef& router) const;

  // Returns the view of an endpoint that the log set or reset last, or null.
  // The later terms of the endpoint have the same log offset until the next
  // reset.
  const schema::View* BaseView(const EndpointId& endpoint) const;
  // Returns the initial assignment of a service, or null.
  const ServiceAssignment* AssignmentOf(const ServiceId& service) const;

 private:
  std::map<RouterId, Router> routers_;
  std::map<EndpointId, schema::View> base_views_;
  std::map<ServiceId, ServiceAssignment> assignments_;
  std::map<std::string, std::uint64_t> declared_lost_offset_;  // by VM
  std::set<std::string> listed_vms_;
  std::set<std::string> leaving_vms_;
  // By VM: the latest incarnation that had joined when the VM was last listed.
  std::map<std::string, std::uint64_t> listed_incarnation_;
  // By VM: the value of listed_incarnation_ when the list dropped the VM, or 0.
  // This incarnation and earlier ones are gone.
  std::map<std::string, std::uint64_t> dropped_incarnation_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_FLEET_REGISTER_H_
