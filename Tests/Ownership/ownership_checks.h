// Checks of the ownership guarantees after each step of a run. A violation
// throws FailedCheck.
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
  // P2: a transfer is acknowledged only after the endpoint, or a later owner,
  // held the partition.
  void OnPeerMessage(const RouterProcess& from,
                     const schema::PeerMessage& message);
  // P8: versions of the configuration grow, and equal those of a reader of the
  // whole log. Also checks that a process keeps its incarnation, which views
  // name.
  void AfterRouterEvent(RouterProcess* router);

  // Endpoint that most recently became owner of the partition; empty if none
  // did.
  EndpointId OwnerOf(const PartitionKey& key) const;

  // Returns why work on the partition that arrives at the entry router can't
  // start, or nullopt if it can. Evaluates the routing state of the entry
  // router and the primary, and the lease holder of the endpoint.
  std::optional<std::string> UnservedReason(const RouterProcess& entry,
                                            const PartitionKey& key);
  // Returns the first such reason over all partitions and all active routers.
  std::optional<std::string> FirstUnservedReason();
  // Returns why an active router does not have the latest configuration in
  // force, or nullopt if all do.
  std::optional<std::string> StaleConfigReason();
  // Returns why the view of an active endpoint is incomplete, that is, its
  // primary or backup is not active in the incarnation that the view names, or
  // nullopt.
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
  // Highest epoch that an endpoint was granted, even if its lease has expired.
  std::map<PartitionKey, Fence> highest_granted_epochs_;
  ConfigRegister reference_register_;
  std::size_t reference_records_read_ = 0;
  std::map<std::uint64_t, std::string> accepted_digests_;  // version and digest
};

}  // namespace balsamhall::ownership_test

#endif  // BALSAMHALL_TESTS_OWNERSHIP_OWNERSHIP_CHECKS_H_
