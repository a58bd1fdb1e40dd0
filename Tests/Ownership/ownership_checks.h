// Promises that are checked after each step of a run. A broken one throws
// FailedCheck.
#ifndef BALSAMHALL_TESTS_OWNERSHIP_OWNERSHIP_CHECKS_H_
#define BALSAMHALL_TESTS_OWNERSHIP_OWNERSHIP_CHECKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Ownership/fleet.h"
#include "core/config_register.h"

namespace balsamhall::ownership_test {

using PartitionKey = std::pair<ServiceId, PartitionId>;

class OwnershipChecks {
 public:
  explicit OwnershipChecks(Fleet* fleet);

  // P1: one owner per partition, and epochs grow with each change of owner.
  void AfterGrant(EndpointProcess* endpoint, const RouterProcess& router,
                  const schema::GrantRequest& request,
                  const schema::GrantResponse& response);
  // P2: a transfer is acknowledged after the endpoint, or a later owner, held
  // the partition.
  void OnPeerMessage(const RouterProcess& from,
                     const schema::PeerMessage& message);
  // P8: versions grow, and equal those of a reader of the whole log. A process
  // keeps its incarnation, for views name it.
  void AfterRouterEvent(RouterProcess* router);

  // Endpoint that last came to own the partition; empty if none did.
  EndpointId OwnerOf(const PartitionKey& key) const;

  // Returns why the entry router can't get work on the partition started, or
  // nullopt if it can. Judged by the routing of both routers and the holder.
  std::optional<std::string> UnservedReason(const RouterProcess& entry,
                                            const PartitionKey& key);
  // The same for all partitions and all active routers; the first reason.
  std::optional<std::string> FirstUnservedReason();
  // Returns why some router has not the latest configuration in force.
  std::optional<std::string> StaleConfigReason();
  // Returns why a view is not complete: not all endpoints have an active
  // primary and backup that know the view.
  std::optional<std::string> IncompleteViewReason();

 private:
  struct OwnerRecord {
    Fence epoch;
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
  };

  void CheckOwner(EndpointProcess* endpoint, const PartitionKey& key,
                  const Fence& epoch);
  void ReadReferenceRecords();

  Fleet* fleet_;
  std::map<PartitionKey, OwnerRecord> latest_owners_;
  // Highest epoch that an endpoint was granted, also one with a lapsed lease.
  std::map<PartitionKey, Fence> highest_granted_epochs_;
  ConfigRegister reference_register_;
  std::size_t reference_records_read_ = 0;
  std::map<std::uint64_t, std::string> accepted_digests_;  // version and digest
};

}  // namespace balsamhall::ownership_test

#endif  // BALSAMHALL_TESTS_OWNERSHIP_OWNERSHIP_CHECKS_H_
