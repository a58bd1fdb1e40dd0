// The endpoints that may be used, as their registry entries tell.
#ifndef BALSAMHALL_GATEWAY_ENDPOINT_REGISTRY_H_
#define BALSAMHALL_GATEWAY_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"
#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

struct AddressHolder {
  EndpointRef ref;
  bool takes_leases = false;  // its service is divided by key
};

// Which endpoint answers at each address: of several entries with the same one,
// the latest life. Entries of services that are not configured prove nothing
// and are left out.
std::map<std::string, AddressHolder> AddressHolders(
    const std::map<EndpointId, EndpointInfo>& endpoints,
    const std::map<ServiceId, ServiceSpec>& services);

// Entries lapse while the store is away although their endpoints live. Such a
// removal takes effect only if the entry is still missing some time after the
// store has come back. Any other removal, and a drain, takes effect at once.
//
// Times are of any monotonic clock, the same in all calls. Not thread-safe.
class EndpointRegistry {
 public:
  struct Change {
    enum class Kind { kAdded, kChanged, kDraining, kRemoved, kRemovalDeferred };
    Kind kind = Kind::kAdded;
    EndpointInfo endpoint;
  };

  // Applies the newest entry under an id; nullopt: the entry was removed or
  // names no usable endpoint. Returns what changed, if anything.
  std::optional<Change> OnEntry(const EndpointId& id,
                                std::optional<EndpointInfo> entry,
                                SteadyTime now);

  // Applies a complete listing: entries that it does not have are removed.
  // settled: it comes from a gateway that reaches the store and has already
  // waited for lapsed entries.
  std::vector<Change> OnListing(
      const std::map<EndpointId, EndpointInfo>& entries, SteadyTime now,
      bool confirmed = false);

  void OnStoreLost();
  void OnStoreRegained(SteadyTime now);

  // Carries out removals whose time has come.
  std::vector<Change> ApplyDeferredRemovals(SteadyTime now);

  const std::map<EndpointId, EndpointInfo>& endpoints() const {
    return endpoints_;
  }
  bool loaded() const { return loaded_; }

 private:
  bool DefersRemovals(SteadyTime now) const;
  std::optional<Change> Remove(const EndpointId& id, SteadyTime now,
                               bool confirmed);

  std::map<EndpointId, EndpointInfo> endpoints_;
  std::map<EndpointId, SteadyTime>
      deferred_removals_;  // lapsed entries, by due_at of the hold
  bool store_lost_ = false;
  std::optional<SteadyTime> store_regained_at_;
  bool loaded_ = false;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_ENDPOINT_REGISTRY_H_
