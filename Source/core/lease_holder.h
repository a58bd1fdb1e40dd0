// Endpoint side of leases and fences: the reference for a backend server that
// checks fences. Used by the backend stand-in and the random test.
#ifndef BALSAMHALL_CORE_LEASE_HOLDER_H_
#define BALSAMHALL_CORE_LEASE_HOLDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// Not thread-safe.
class LeaseHolder {
 public:
  // check_fences = false accepts every term and epoch.
  LeaseHolder(EndpointId endpoint, std::uint64_t incarnation,
              bool check_fences);

  // Applies a grant and returns the response to send. in_flight is the number
  // of running requests of the endpoint.
  schema::GrantResponse OnGrant(const schema::GrantRequest& request,
                                SteadyTime now, std::uint32_t in_flight);

  // Returns kOk if work on the partition may start under this term and epoch,
  // else kNotRunStaleFence or kNotRunNoOwner. After kOk the caller reports the
  // end of the work by FinishWork. Without a partition, as for idempotent work
  // in services that are not sharded by key, only the term and the lease are
  // checked.
  ResultCode TryStartWork(std::optional<PartitionId> partition,
                          const Fence& term, const Fence& epoch,
                          SteadyTime now);
  void FinishWork(std::optional<PartitionId> partition);

  // Returns true if the endpoint owns the partition under a valid lease.
  bool Owns(PartitionId partition, SteadyTime now) const;

  bool LeaseValid(SteadyTime now) const;
  std::uint64_t incarnation() const { return incarnation_; }
  const schema::View& view() const { return view_; }

 private:
  struct HeldPartition {
    Fence epoch;
    bool releasing = false;
    EndpointId target;
  };

  schema::GrantStatus EvaluateGrant(const schema::GrantRequest& request) const;
  void Apply(const schema::GrantRequest& request);
  void AdoptView(const schema::View& view);
  bool AddPartition(const schema::PartitionEpoch& add);
  void ReleasePartition(const schema::ReleasedPartition& release);
  void FinishRelease(PartitionId partition);
  void RecordRelease(PartitionId partition, const Fence& epoch,
                     const EndpointId& target);
  void DropUnlisted(const schema::GrantRequest& request);
  void FillState(schema::GrantResponse* response) const;

  EndpointId endpoint_;
  std::uint64_t incarnation_;
  bool check_fences_;
  schema::View view_;
  // First term of the current primary. Work under its later terms stays valid
  // when only the backup changes.
  Fence oldest_valid_term_;
  SteadyTime lease_end_{};
  std::uint64_t last_sequence_ = 0;
  std::map<PartitionId, HeldPartition> held_;
  // Number of running requests by partition; kept when a reset drops the
  // partition.
  std::map<PartitionId, std::uint32_t> running_work_;
  std::map<PartitionId, schema::ReleasedPartition> released_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_LEASE_HOLDER_H_
