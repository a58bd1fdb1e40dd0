// What the log and the platform's list say about routers, first views and
// first owners. Every reader of the same log prefix reaches the same state.
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
    std::uint64_t incarnation = 0;
    schema::RouterJoined join;
    bool left = false;
  };
  struct ServiceAssignment {
    std::uint64_t offset = 0;
    schema::Assignment assignment;
  };

  // Each returns true if the record changed the state.
  bool OnRouterJoined(std::uint64_t offset, const schema::RouterJoined& join);
  bool OnRouterLeft(const schema::RouterLeft& left);
  bool OnAssignment(std::uint64_t offset, const schema::Assignment& record);
  bool OnVmDeclaredLost(std::uint64_t offset,
                        const schema::VmDeclaredLost& record);

  // Returns the views that took effect: endpoints without an earlier view.
  std::vector<schema::View> OnViewSet(std::uint64_t offset,
                                      const schema::ViewSet& record);

  // Returns the new view if the reset is valid: no other reset of the same
  // chain of terms came before it in the log.
  std::optional<schema::View> OnViewReset(std::uint64_t offset,
                                          const schema::ViewReset& record);

  // Merges a snapshot; used before the records after its as_of offset.
  void Merge(const schema::FleetSnapshot& snapshot);

  schema::FleetSnapshot Snapshot(std::uint64_t as_of) const;

  void OnVmList(const std::vector<VmListRead::Vm>& vms);

  // Returns true if this process is proved to be gone for good: the list
  // dropped its VM, a later incarnation joined, it left, or an operator
  // declared it lost.
  bool IsGone(const RouterRef& router) const;

  // Returns true if the list dropped this VM or an operator declared it lost,
  // after it had been listed.
  bool IsVmGone(const std::string& vm) const;
  bool IsVmLeaving(const std::string& vm) const;

  const std::map<RouterId, Router>& routers() const { return routers_; }
  const Router* FindRouter(const RouterRef& router) const;

  // First view of an endpoint's current chain of terms, or null.
  const schema::View* BaseView(const EndpointId& endpoint) const;
  const ServiceAssignment* AssignmentOf(const ServiceId& service) const;

 private:
  std::map<RouterId, Router> routers_;
  std::map<EndpointId, schema::View> base_views_;
  std::map<ServiceId, ServiceAssignment> assignments_;
  std::map<std::string, std::uint64_t> declared_lost_offset_;  // VM -> offset
  std::set<std::string> listed_vms_;
  std::set<std::string> leaving_vms_;
  // VM -> latest incarnation that had joined when the VM was listed.
  std::map<std::string, std::uint64_t> listed_incarnation_;
  // VM -> that incarnation when the list dropped it.
  std::map<std::string, std::uint64_t> dropped_incarnation_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_FLEET_REGISTER_H_
