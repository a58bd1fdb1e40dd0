// ControlContext for tests of a per-endpoint state machine. Its fields set what
// it returns; actions holds what was emitted.
#ifndef BALSAMHALL_TESTS_CORE_FAKE_CONTROL_CONTEXT_H_
#define BALSAMHALL_TESTS_CORE_FAKE_CONTROL_CONTEXT_H_

#include <map>
#include <optional>
#include <vector>

#include "core/control_context.h"

namespace balsamhall {

class FakeControlContext final : public ControlContext {
 public:
  SteadyTime time{Milliseconds(1'000'000)};
  RouterRef router{"r1", 1};
  OwnershipOptions settings;
  OwnershipActions actions;
  std::vector<RouterRef> others;
  std::vector<EndpointId> endpoints;
  std::map<EndpointId, std::uint64_t> base_view_offsets;
  bool applied_by_all = false;
  std::map<PartitionId, EndpointId> targets;
  Fence known_term{20, 1};  // term of every KnownView
  std::optional<schema::EndpointConfig> endpoint_config;  // of every endpoint
  std::vector<RouterLocation> candidates;                 // for the roles

  SteadyTime now() const override { return time; }
  const RouterRef& self() const override { return router; }
  const OwnershipOptions& options() const override { return settings; }
  void Emit(OwnershipAction action) override {
    actions.push_back(std::move(action));
  }
  std::uint64_t NextGrantSequence() override { return ++sequence_; }
  Milliseconds TimeSinceHeartbeat(const RouterRef&) const override {
    return {};
  }
  bool IsGone(const RouterRef&) const override { return false; }
  std::vector<RouterLocation> CandidateRouters() const override {
    return candidates;
  }
  std::vector<RouterRef> OtherRouters() const override { return others; }
  const schema::EndpointConfig* FindEndpoint(const EndpointId&) const override {
    return endpoint_config ? &*endpoint_config : nullptr;
  }
  std::vector<EndpointId> EndpointsOf(const ServiceId&) const override {
    return endpoints;
  }
  std::uint64_t BaseViewOffset(const EndpointId& endpoint) const override {
    const auto found = base_view_offsets.find(endpoint);
    return found == base_view_offsets.end() ? 0 : found->second;
  }
  bool AppliedByAll(std::uint64_t) const override { return applied_by_all; }
  Milliseconds LongestDeadline(const ServiceId&) const override {
    return Milliseconds(1000);
  }
  std::optional<schema::View> KnownView(
      const EndpointId& endpoint) const override {
    schema::View view;
    view.set_endpoint(endpoint);
    *view.mutable_term() = ToProto(known_term);
    view.mutable_primary()->set_id("primary-of-" + endpoint);
    return view;
  }
  Fence HighestEpoch(const ServiceId&, PartitionId) const override {
    return {};
  }
  std::map<PartitionId, EndpointId> TargetEndpoints(
      const ServiceId&, const std::map<PartitionId, double>&,
      const EndpointId&) const override {
    return targets;
  }
  void RecordMove(const schema::MoveEvent&) override {}
  void MarkRoutingDirty() override {}
  bool ShuttingDown() const override { return false; }

 private:
  std::uint64_t sequence_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_CORE_FAKE_CONTROL_CONTEXT_H_
