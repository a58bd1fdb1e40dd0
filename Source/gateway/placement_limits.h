// Which endpoints a request may be sent to: the regions that its route allows
// and the data centres that the operator has evacuated.
#ifndef BALSAMHALL_GATEWAY_PLACEMENT_LIMITS_H_
#define BALSAMHALL_GATEWAY_PLACEMENT_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/types.h"
#include "gateway/boot_clock.h"
#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

// The evacuated data centres as of an offset of the operator's log.
struct EvacuatedSet {
  std::set<std::string> data_centres;
  std::uint64_t offset = 0;  // all records below it are taken into account

  bool operator==(const EvacuatedSet&) const = default;
};

// Returns a digest of the names. Never 0. Thread-safe.
std::uint64_t EvacuationsDigest(const std::set<std::string>& data_centres);

// What this gateway knows of evacuations, from the store or from a gateway that
// reads it. Not thread-safe.
class Evacuations {
 public:
  // The same time as for endpoints; see EndpointRegistry::kRestoreHold.
  static constexpr Milliseconds kRestoreHold{30'000};

  // A record of the operator's log that begins or ends an evacuation.
  struct Record {
    std::string data_centre;
    bool begins = false;
    std::uint64_t offset = 0;
  };
  struct Change {
    std::string data_centre;
    bool begun = false;

    bool operator==(const Change&) const = default;
  };

  // Takes a page of the operator's log, with its records in log order. next:
  // offset of the next read. is_snapshot: the page has the newest record of
  // each key, so data centres that it does not name are not evacuated. as_of:
  // the page is complete as of then; empty if records are missing after it.
  // Records of an offset that is already known are ignored. Returns the changes
  // to the set.
  std::vector<Change> OnPage(std::span<const Record> records,
                             std::uint64_t next, bool is_snapshot,
                             std::optional<BootTime> as_of);

  // Takes the set that another gateway knows. Ignored if this one knows a later
  // part of the log.
  std::vector<Change> OnPeerSet(const EvacuatedSet& set, BootTime as_of);

  // The store was restored from an older copy, which may lack evacuations that
  // the operator writes again within seconds. Those that are known stay until
  // a record ends them, or for kRestoreHold.
  void OnStoreRestored(BootTime now);
  // Ends the hold when it is due. Returns the evacuations that end with it.
  // Call it regularly.
  std::vector<Change> EndHold(BootTime now);

  // Returns the set; empty if none was learned yet.
  std::optional<EvacuatedSet> known() const;

  bool Contains(const std::string& data_centre) const {
    return since_.contains(data_centre);
  }
  std::size_t size() const { return since_.size(); }
  // Offset below which the records are taken into account.
  std::uint64_t offset() const { return offset_; }

  // Earliest time at which each evacuation may have been requested: the last
  // one at which the log had no record of it.
  const std::map<std::string, BootTime>& since() const { return since_; }

 private:
  // What is held counts as evacuated, too.
  std::vector<Change> Replace(std::set<std::string> data_centres);

  std::map<std::string, BootTime> since_;
  std::uint64_t offset_ = 0;
  bool known_ = false;
  BootTime complete_as_of_;     // the clock's epoch: never
  std::set<std::string> held_;  // known before a restore, not confirmed since
  std::optional<BootTime> held_until_;
};

// Allows no region at all, because no region has an empty name.
std::vector<std::string> NoRegions();

// Returns the regions that both lists allow, where an empty list allows all of
// them. Returns NoRegions() if they have none in common.
std::vector<std::string> CommonRegions(const std::vector<std::string>& a,
                                       const std::vector<std::string>& b);

// Load patterns: a law keeps the requests of a route within some regions, and
// the operator clears a data centre before work on it or while it fails. Both
// hold for first attempts, retries and queued requests, so they are checked
// each time an endpoint is chosen. Not thread-safe.
class PlacementLimits {
 public:
  enum class Verdict { kAllowed, kOutsideRegions, kEvacuated };

  // The settings must outlive this object.
  explicit PlacementLimits(const GatewaySettings& settings)
      : settings_(settings) {}

  // Replaces the evacuated data centres. keys_until: until when the endpoints
  // there may still get requests for the keys that they hold.
  void SetEvacuated(std::map<std::string, SteadyTime> keys_until) {
    keys_until_ = std::move(keys_until);
  }

  // Returns whether a job with these regions may be sent to a data centre. A
  // data centre of an unknown region is in no allowed region.
  Verdict Check(const std::vector<std::string>& allowed_regions,
                const std::string& data_centre) const;
  bool Allows(const std::vector<std::string>& allowed_regions,
              const std::string& data_centre) const {
    return Check(allowed_regions, data_centre) == Verdict::kAllowed;
  }

  // Returns whether the data centre is in one of the regions, evacuated or not.
  bool InRegions(const std::vector<std::string>& allowed_regions,
                 const std::string& data_centre) const;

  // Returns whether endpoints of the data centre may get requests for keys that
  // they hold, which no other endpoint can run until they have moved.
  bool ServesHeldKeys(const std::string& data_centre, SteadyTime now) const;

  // Returns whether any job with these regions is restricted at all.
  bool Restrict(const std::vector<std::string>& allowed_regions) const {
    return !allowed_regions.empty() || !keys_until_.empty();
  }

 private:
  const GatewaySettings& settings_;
  std::map<std::string, SteadyTime> keys_until_;
};

// Returns until when the endpoints of each evacuated data centre may get
// requests for the keys that they hold: `evacuate` after the evacuation may
// have been requested, less a margin for requests that are under way. steady
// and now are the same moment.
std::map<std::string, SteadyTime> KeysUntil(const Evacuations& evacuations,
                                            Milliseconds evacuate, BootTime now,
                                            SteadyTime steady);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_PLACEMENT_LIMITS_H_
