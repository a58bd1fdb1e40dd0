// Takes over an endpoint after two of its three parties (endpoint, primary,
// backup) were lost.
#ifndef BALSAMHALL_CORE_ENDPOINT_RESET_H_
#define BALSAMHALL_CORE_ENDPOINT_RESET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/control_context.h"
#include "core/endpoint_primary.h"
#include "core/types.h"

namespace balsamhall {

// Runs at the primary that an accepted ViewReset record names. Every router
// that is not known to be gone for good must reply to a locate query; a router
// that replies has given up the old view. Every other endpoint of the service
// must have a primary in the replies, or a later reset that every router has
// applied: otherwise a failover could still renew a lease on partitions that
// the replies do not show. Then, after one lease, the partitions that nobody
// claims may be granted again. Not thread-safe.
class EndpointReset {
 public:
  // expiry_wait is the time after which no lease and no running work of the old
  // view can remain, counted from the last reply to the locate query.
  EndpointReset(ControlContext* context, ServiceId service, schema::View view,
                std::uint64_t query, Milliseconds expiry_wait);

  void OnTick();
  void OnLocateReply(const RouterRef& from, const schema::LocateReply& reply);
  void OnGrantResponse(const schema::GrantResponse& response);
  // Adds what this router itself claims. The locate query stays incomplete
  // while the reply is marked as resolving.
  void SetOwnClaims(const schema::LocateReply& reply);

  // Returns the initial state of the new primary once the reset is resolved,
  // else nullopt. expected_owner holds the endpoint that owned each partition,
  // empty where unknown.
  std::optional<EndpointPrimary::InitialState> Resolve(
      const std::vector<EndpointId>& expected_owner) const;

  const schema::View& view() const { return view_; }
  const ServiceId& service() const { return service_; }
  Fence term() const { return FromProto(view_.term()); }

 private:
  struct Claim {
    Fence epoch;
    EndpointId endpoint;
    bool held = false;  // by a primary, else only released to the endpoint
  };

  void MergeClaims(const schema::LocateReply& reply);
  bool LocateQueryComplete() const;
  // True if no other endpoint of the service can get a lease that the locate
  // replies do not show.
  bool OtherEndpointsAccountedFor() const;
  bool HeldByEndpoint(PartitionId partition, const Claim& claim) const;
  // True if another primary or a later reset decides about the partition.
  bool ClaimedElsewhere(PartitionId partition) const;
  bool IsLastReset() const;

  ControlContext* context_;
  ServiceId service_;
  schema::View view_;
  std::uint64_t query_;
  Milliseconds expiry_wait_;
  bool has_own_claims_ = false;
  std::set<RouterRef> replied_routers_;
  // Accumulated over all replies: a partition that moves, or an endpoint that
  // is handed over, between two replies would be in neither of the latest ones.
  std::map<PartitionId, Claim> claims_;
  std::set<EndpointId> with_primary_;
  std::optional<schema::GrantResponse> endpoint_state_;
  std::optional<SteadyTime> query_complete_at_;
  SteadyTime last_sent_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_ENDPOINT_RESET_H_
