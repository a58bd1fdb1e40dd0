#include "core/fleet_register.h"

#include <algorithm>

namespace balsamhall {

bool FleetRegister::OnRouterJoined(std::uint64_t offset,
                                   const schema::RouterJoined& join) {
  Router& router = routers_[join.id()];
  // A process may join twice if the response to its append was lost and the
  // first record is no longer retained. The first record counts.
  const bool same_process = router.incarnation > 0 && join.nonce() != 0 &&
                            router.join.nonce() == join.nonce();
  if (same_process) {
    const bool earlier = offset < router.incarnation;
    router.incarnation = std::min(router.incarnation, offset);
    return earlier;
  }
  if (router.incarnation >= offset) return false;
  // A delayed append of an earlier process of this VM must not be taken for the
  // join of a later process, because the running process would then count as
  // gone. A process that left is not in snapshots, so its successor may not
  // know it.
  if (router.incarnation != 0 && !router.left &&
      join.replaces() != router.incarnation) {
    return false;
  }
  router = Router{offset, join, false};
  return true;
}

bool FleetRegister::OnRouterLeft(const schema::RouterLeft& left) {
  const auto found = routers_.find(left.router().id());
  if (found == routers_.end() ||
      found->second.incarnation != left.router().incarnation()) {
    return false;
  }
  found->second.left = true;
  return true;
}

bool FleetRegister::OnAssignment(std::uint64_t offset,
                                 const schema::Assignment& record) {
  return assignments_
      .try_emplace(record.service(), ServiceAssignment{offset, record})
      .second;
}

bool FleetRegister::OnVmDeclaredLost(std::uint64_t offset,
                                     const schema::VmDeclaredLost& record) {
  std::uint64_t& known = declared_lost_offset_[record.vm()];
  if (known >= offset) return false;
  known = offset;
  return true;
}

std::vector<schema::View> FleetRegister::OnViewSet(
    std::uint64_t offset, const schema::ViewSet& record) {
  std::vector<schema::View> accepted;
  for (const schema::View& proposed : record.views()) {
    schema::View view = proposed;
    *view.mutable_term() = ToProto(Fence{offset, 0});
    if (base_views_.try_emplace(view.endpoint(), view).second) {
      accepted.push_back(view);
    }
  }
  return accepted;
}

std::optional<schema::View> FleetRegister::OnViewReset(
    std::uint64_t offset, const schema::ViewReset& record) {
  const auto found = base_views_.find(record.endpoint());
  if (found == base_views_.end() ||
      found->second.term().offset() != record.previous_term().offset()) {
    return std::nullopt;
  }
  schema::View view;
  view.set_endpoint(record.endpoint());
  *view.mutable_term() = ToProto(Fence{offset, 0});
  *view.mutable_primary() = record.primary();
  *view.mutable_backup() = record.backup();
  found->second = view;
  return view;
}

void FleetRegister::Merge(const schema::FleetSnapshot& snapshot) {
  // The writer of the snapshot has already checked which incarnations these
  // joins replace.
  for (const auto& router : snapshot.routers()) {
    Router& known = routers_[router.join().id()];
    const bool same_process = router.join().nonce() != 0 &&
                              known.join.nonce() == router.join().nonce();
    if (same_process) {
      known.incarnation = std::min(known.incarnation, router.incarnation());
    } else if (known.incarnation < router.incarnation()) {
      known = Router{router.incarnation(), router.join(), false};
    }
  }
  for (const auto& view : snapshot.views()) {
    schema::View& known = base_views_[view.endpoint()];
    if (FromProto(known.term()) < FromProto(view.term())) known = view;
  }
  for (int i = 0; i < snapshot.assignments_size(); ++i) {
    if (i >= snapshot.assignment_offsets_size()) break;
    OnAssignment(snapshot.assignment_offsets(i), snapshot.assignments(i));
  }
}

schema::FleetSnapshot FleetRegister::Snapshot(std::uint64_t as_of) const {
  schema::FleetSnapshot snapshot;
  snapshot.set_as_of(as_of);
  for (const auto& [id, router] : routers_) {
    if (router.left) continue;
    auto* joined = snapshot.add_routers();
    joined->set_incarnation(router.incarnation);
    *joined->mutable_join() = router.join;
  }
  for (const auto& [endpoint, view] : base_views_) *snapshot.add_views() = view;
  for (const auto& [service, known] : assignments_) {
    *snapshot.add_assignments() = known.assignment;
    snapshot.add_assignment_offsets(known.offset);
  }
  return snapshot;
}

void FleetRegister::OnVmList(const std::vector<VmListRead::Vm>& vms) {
  std::set<std::string> now_listed;
  leaving_vms_.clear();
  for (const auto& vm : vms) {
    now_listed.insert(vm.id);
    if (vm.leaving) leaving_vms_.insert(vm.id);
  }
  for (const std::string& vm : listed_vms_) {
    if (now_listed.contains(vm)) continue;
    // The list may lag and still omit a process that joined recently, so only
    // incarnations that had joined when the VM was last listed are gone.
    const auto seen = listed_incarnation_.find(vm);
    dropped_incarnation_[vm] =
        seen == listed_incarnation_.end() ? 0 : seen->second;
  }
  for (const std::string& vm : now_listed) {
    // If a router of a relisted VM has joined, its incarnation decides whether
    // it is gone, so the record of the drop stays.
    const auto router = routers_.find(vm);
    if (router == routers_.end()) {
      dropped_incarnation_.erase(vm);
    } else {
      listed_incarnation_[vm] = router->second.incarnation;
    }
  }
  listed_vms_ = std::move(now_listed);
}

bool FleetRegister::IsGone(const RouterRef& router) const {
  const auto found = routers_.find(router.id);
  if (found != routers_.end()) {
    if (found->second.incarnation > router.incarnation) return true;
    if (found->second.incarnation == router.incarnation && found->second.left) {
      return true;
    }
  }
  const auto lost = declared_lost_offset_.find(router.id);
  if (lost != declared_lost_offset_.end() &&
      lost->second > router.incarnation) {
    return true;
  }
  const auto dropped = dropped_incarnation_.find(router.id);
  return dropped != dropped_incarnation_.end() &&
         dropped->second >= router.incarnation;
}

bool FleetRegister::IsVmGone(const std::string& vm) const {
  return dropped_incarnation_.contains(vm) ||
         declared_lost_offset_.contains(vm);
}

bool FleetRegister::IsVmLeaving(const std::string& vm) const {
  return leaving_vms_.contains(vm);
}

const FleetRegister::Router* FleetRegister::FindRouter(
    const RouterRef& router) const {
  const auto found = routers_.find(router.id);
  if (found == routers_.end() ||
      found->second.incarnation != router.incarnation) {
    return nullptr;
  }
  return &found->second;
}

const schema::View* FleetRegister::BaseView(const EndpointId& endpoint) const {
  const auto found = base_views_.find(endpoint);
  return found == base_views_.end() ? nullptr : &found->second;
}

const FleetRegister::ServiceAssignment* FleetRegister::AssignmentOf(
    const ServiceId& service) const {
  const auto found = assignments_.find(service);
  return found == assignments_.end() ? nullptr : &found->second;
}

}  // namespace balsamhall
