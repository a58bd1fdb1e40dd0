#include "gateway/placement_limits.h"

#include <xxhash.h>

#include <algorithm>
#include <ranges>
#include <utility>

namespace balsamhall::gateway {
namespace {

// The owner of keys in an evacuated data centre gets no more requests this long
// before the end of the time for the evacuation: a request may wait at a lost
// packet.
constexpr Milliseconds kEvacuationMargin{500};

std::set<std::string> Names(const std::map<std::string, BootTime>& since) {
  const auto names = since | std::views::keys;
  return {names.begin(), names.end()};
}

}  // namespace

std::uint64_t EvacuationsDigest(const std::set<std::string>& data_centres) {
  std::string text;
  for (const std::string& name : data_centres) {
    text.append(std::to_string(name.size())).append(":").append(name);
  }
  return std::max<std::uint64_t>(1, XXH64(text.data(), text.size(), 0));
}

std::vector<Evacuations::Change> Evacuations::OnPage(
    std::span<const Record> records, std::uint64_t next, bool is_snapshot,
    std::optional<BootTime> as_of) {
  // A late answer to an earlier read.
  if (next < offset_) return {};
  std::set<std::string> data_centres;
  if (!is_snapshot) data_centres = Names(since_);
  for (const Record& record : records) {
    if (!is_snapshot && record.offset < offset_) continue;
    held_.erase(record.data_centre);
    if (record.begins) {
      data_centres.insert(record.data_centre);
    } else {
      data_centres.erase(record.data_centre);
    }
  }
  known_ = known_ || is_snapshot;
  offset_ = next;
  auto changes = Replace(data_centres);
  if (as_of) complete_as_of_ = std::max(complete_as_of_, *as_of);
  return changes;
}

std::vector<Evacuations::Change> Evacuations::OnPeerSet(const EvacuatedSet& set,
                                                        BootTime as_of) {
  if (set.offset < offset_) return {};
  known_ = true;
  offset_ = set.offset;
  auto changes = Replace(set.data_centres);
  complete_as_of_ = std::max(complete_as_of_, as_of);
  return changes;
}

void Evacuations::OnStoreRestored(BootTime now) {
  held_ = Names(since_);
  held_until_ = now + kRestoreHold;
}

std::vector<Evacuations::Change> Evacuations::EndHold(BootTime now) {
  if (!held_until_ || now < *held_until_) return {};
  held_until_.reset();
  std::vector<Change> changes;
  for (const std::string& name : std::exchange(held_, {})) {
    if (since_.erase(name) > 0) changes.push_back({name, false});
  }
  return changes;
}

std::vector<Evacuations::Change> Evacuations::Replace(
    std::set<std::string> data_centres) {
  data_centres.insert(held_.begin(), held_.end());
  std::vector<Change> changes;
  std::erase_if(since_, [&](const auto& entry) {
    if (data_centres.contains(entry.first)) return false;
    changes.push_back({entry.first, false});
    return true;
  });
  for (const std::string& name : data_centres) {
    if (since_.emplace(name, complete_as_of_).second) {
      changes.push_back({name, true});
    }
  }
  return changes;
}

std::optional<EvacuatedSet> Evacuations::known() const {
  if (!known_) return std::nullopt;
  return EvacuatedSet{Names(since_), offset_};
}

std::vector<std::string> NoRegions() { return {""}; }

std::vector<std::string> CommonRegions(const std::vector<std::string>& a,
                                       const std::vector<std::string>& b) {
  if (a.empty()) return b;
  if (b.empty()) return a;
  std::vector<std::string> common;
  std::ranges::copy_if(a, std::back_inserter(common),
                       [&](const std::string& region) {
                         return std::ranges::find(b, region) != b.end();
                       });
  return common.empty() ? NoRegions() : common;
}

bool PlacementLimits::InRegions(const std::vector<std::string>& allowed_regions,
                                const std::string& data_centre) const {
  if (allowed_regions.empty()) return true;
  const auto region = settings_.region_of.find(data_centre);
  return region != settings_.region_of.end() && !region->second.empty() &&
         std::ranges::find(allowed_regions, region->second) !=
             allowed_regions.end();
}

PlacementLimits::Verdict PlacementLimits::Check(
    const std::vector<std::string>& allowed_regions,
    const std::string& data_centre) const {
  if (!InRegions(allowed_regions, data_centre)) return Verdict::kOutsideRegions;
  return keys_until_.contains(data_centre) ? Verdict::kEvacuated
                                           : Verdict::kAllowed;
}

bool PlacementLimits::ServesHeldKeys(const std::string& data_centre,
                                     SteadyTime now) const {
  const auto until = keys_until_.find(data_centre);
  return until == keys_until_.end() || now < until->second;
}

std::map<std::string, SteadyTime> KeysUntil(const Evacuations& evacuations,
                                            Milliseconds evacuate, BootTime now,
                                            SteadyTime steady) {
  std::map<std::string, SteadyTime> until;
  for (const auto& [data_centre, since] : evacuations.since()) {
    // Without a proof of when it was requested, the time counts as over.
    const bool unknown = since == BootTime{};
    until[data_centre] =
        unknown ? steady
                : steady + (since + evacuate - kEvacuationMargin - now);
  }
  return until;
}

}  // namespace balsamhall::gateway
