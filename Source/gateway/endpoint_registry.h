// The registered endpoints, from their entries in the store's registry log.
#ifndef BALSAMHALL_GATEWAY_ENDPOINT_REGISTRY_H_
#define BALSAMHALL_GATEWAY_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"
#include "gateway/boot_clock.h"
#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

// The endpoint that is presumed to respond at an address.
struct AddressHolder {
  EndpointRef ref;
  bool takes_leases = false;  // its service is sharded by key
};

// Returns the endpoint that responds at each address: the latest incarnation if
// several entries have the same address. Entries of services that are not
// configured prove nothing and are ignored.
std::map<std::string, AddressHolder> AddressHolders(
    const std::map<EndpointId, EndpointInfo>& endpoints,
    const std::map<ServiceId, ServiceSpec>& services);

// While the store is away, entries lapse although their endpoints are alive.
// Such a removal is deferred: it takes effect only if the entry is still
// missing some time after the store is back. Any other removal, and a drain,
// takes effect at once. A gateway that was cut off from the store by itself
// learns from the others that the store was not away.
//
// Steady times are of any monotonic clock, the same in all calls. Not
// thread-safe.
class EndpointRegistry {
 public:
  // The operator and the endpoints write their records again within seconds of
  // a restore; after this time the store's listing counts as it is.
  static constexpr Milliseconds kRestoreHold{30'000};
  // A copy from which the store is restored is only some seconds old.
  static constexpr Milliseconds kMaxCopyAge{60'000};
  // The log is shown to a gateway in touch at least every 2.3 s
  // (docs/platform.md, "How long a gateway may lack a change"). After a longer
  // gap, the store may have been away for the 2.6 s in which entries lapse.
  static constexpr Milliseconds kMaxGap{3'000};

  struct Change {
    enum class Kind {
      kAdded,
      kChanged,
      kDraining,
      kCold,  // an endpoint that was known has turned cold
      kRemoved,
      kRemovalDeferred
    };
    Kind kind = Kind::kAdded;
    EndpointInfo endpoint;
  };

  // Applies the newest entry under an id. nullopt: the entry was removed or
  // does not describe a usable endpoint. Returns the change, if any.
  std::optional<Change> OnEntry(const EndpointId& id,
                                std::optional<EndpointInfo> entry,
                                SteadyTime now);

  // Applies a complete listing: entries that are missing from it are removed.
  std::vector<Change> OnListing(
      const std::map<EndpointId, EndpointInfo>& entries, SteadyTime now);

  // This gateway's calls to the store fail: defers removals from now on.
  void OnStoreLost();
  // This gateway's calls to the store succeed again: starts the grace period
  // after which deferred removals are due.
  void OnStoreRegained(SteadyTime now);
  // Who has shown this gateway the end of the log, last shown by the store.
  enum class ShownBy {
    kStore,
    kGateway,         // one that knows that the store was not away
    kGatewayInGrace,  // one whose own grace period has not ended
  };
  // as_of: when the log ended no earlier than it was shown to end. Call it
  // before what was shown is applied. If that was not shown for more than
  // kMaxGap, the grace period starts, unless another gateway has had none.
  void OnLogShown(BootTime as_of, ShownBy by, SteadyTime now);
  // Returns whether entries that are missing now may still return.
  bool InGrace(SteadyTime now) const;

  // The store was restored from an older copy. For kRestoreHold, records that a
  // listing shows do not undo a drain or a removal that was known before; an
  // entry of a later incarnation, or one appended since, does. Removals are
  // deferred as after a loss: what is missing may have been lost. Returns the
  // number of endpoints that are held.
  std::size_t OnStoreRestored(SteadyTime now);

  // Carries out the deferred removals that are due, and applies what was held
  // back for a restore. Call it regularly.
  std::vector<Change> ApplyDeferredRemovals(SteadyTime now);

  const std::map<EndpointId, EndpointInfo>& endpoints() const {
    return endpoints_;
  }
  // Returns the endpoints whose removal is not deferred. Only these are passed
  // on: another gateway may know that the store was not away, and that the
  // others have left.
  std::map<EndpointId, EndpointInfo> Listed() const;
  // Returns whether a removal is deferred.
  bool DefersAny() const { return !deferred_.empty(); }
  // Returns the remaining warm-up time of an endpoint: what its newest entry
  // stated, less the time since that entry was first seen. 0 if it is warm or
  // not registered.
  Milliseconds WarmUpLeft(const EndpointId& id, SteadyTime now) const;
  // Returns true after the first listing.
  bool loaded() const { return loaded_; }

 private:
  struct WarmUp {
    EndpointRef ref;
    std::uint64_t entry_version = 0;
    Milliseconds stated{0};
    SteadyTime warm_at;
  };
  // Returns true if the entry shows that its endpoint has turned cold.
  bool RecordWarmUp(const EndpointInfo& entry, SteadyTime now);
  struct Held {
    std::int64_t incarnation = 0;
    bool removed = false;                // otherwise draining
    std::optional<EndpointInfo> listed;  // what the store shows
  };

  std::optional<Change> Apply(const EndpointId& id,
                              std::optional<EndpointInfo> entry,
                              SteadyTime now);
  // Returns the entry as it counts while the hold of a restore lasts.
  std::optional<EndpointInfo> Hold(const EndpointInfo& entry);
  void EndHold(SteadyTime now, std::vector<Change>& changes);
  // Returns when the removal of an endpoint that was added then is due, or
  // nullopt if it takes effect at once.
  std::optional<SteadyTime> RemovalDue(SteadyTime added, SteadyTime now) const;
  std::optional<Change> Remove(const EndpointId& id, SteadyTime now);
  Change RemoveNow(std::map<EndpointId, EndpointInfo>::iterator position,
                   SteadyTime now);

  std::map<EndpointId, EndpointInfo> endpoints_;
  std::map<EndpointId, SteadyTime> added_;  // when each became known
  std::map<EndpointId, WarmUp> warm_ups_;
  std::map<EndpointId, SteadyTime> deferred_;  // due times of removals
  // Incarnations removed lately, which an older copy of the store may still
  // list.
  struct Removed {
    std::int64_t incarnation = 0;
    SteadyTime at;
  };
  std::map<EndpointId, Removed> removed_;
  std::map<EndpointId, Held> held_;
  std::optional<SteadyTime> held_until_;
  BootTime shown_as_of_;  // the clock's epoch: never
  bool store_lost_ = false;
  std::optional<SteadyTime> store_regained_at_;
  bool loaded_ = false;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_ENDPOINT_REGISTRY_H_
