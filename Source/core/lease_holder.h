// Endpoint side of leases and fences. Used by the backend stand-in and by the
// random test; documents what a backend server that checks fences has to do.
#ifndef BALSAMHALL_CORE_LEASE_HOLDER_H_
#define BALSAMHALL_CORE_LEASE_HOLDER_H_

#include <cstdint>
#include <map>
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
                                SteadyTime now);

  // Returns kOk if work on the partition may start under this term and epoch,
  // else kNotRunStaleFence or kNotRunNoOwner. After kOk the caller reports the
  // end of the work by OnWorkFinished.
  ResultCode OnWorkStarted(PartitionId partition, const Fence& term,
                           const Fence& epoch, SteadyTime now);
  void OnWorkFinished(PartitionId partition);

  // Returns true if the endpoint owns the partition under a valid lease.
  bool Owns(PartitionId partition, SteadyTime now) const;

  bool LeaseValid(SteadyTime now) const;
  std::uint64_t incarnation() const { return incarnation_; }
  const schema::View& view() const { return view_; }

 private:
  struct Holding {
    Fence epoch;
    std::uint32_t running = 0;
    bool releasing = false;
    EndpointId target;
  };

  EndpointId endpoint_;
  std::uint64_t incarnation_;
  bool check_fences_;
  schema::View view_;
  SteadyTime lease_end_{};
  std::uint64_t last_sequence_ = 0;
  std::map<PartitionId, Holding> held_;
  std::map<PartitionId, schema::ReleasedPartition> released_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_LEASE_HOLDER_H_
