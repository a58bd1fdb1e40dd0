// Leases on the keys of a service, as agreed through the store.
#ifndef BALSAMHALL_GATEWAY_LEASE_TABLE_H_
#define BALSAMHALL_GATEWAY_LEASE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/result_code.h"
#include "gateway/fleet_view.h"

namespace balsamhall::gateway {

struct KeyRange {
  ShardKey first = 0;
  ShardKey last = 0;  // inclusive

  auto operator<=>(const KeyRange&) const = default;
  bool Contains(ShardKey key) const { return first <= key && key <= last; }
  std::uint32_t size() const { return std::uint32_t{last} - first + 1; }
  std::string ToString() const {
    return std::to_string(first) + "-" + std::to_string(last);
  }
};

// An endpoint that holds or may hold keys, and its address.
struct LeaseHolder {
  EndpointRef ref;
  std::string address;

  bool operator==(const LeaseHolder&) const = default;
};

struct RangeLease {
  KeyRange range;
  LeaseHolder owner;
  // Fencing token of the owner's grant: increases with each change of owner.
  std::uint64_t fence = 0;
  // False until the owner has accepted the fence.
  bool granted = false;
  // Holder from which the keys are being moved; empty if no earlier one can
  // still have them. The owner itself if only the fence changes.
  LeaseHolder previous;
  // While not granted: expected time from the append of the table to the grant.
  Milliseconds expected_wait{0};

  bool operator==(const RangeLease&) const = default;
  // Returns whether the owner has the keys, although it may not have accepted
  // the fence yet.
  bool OwnerHolds() const { return granted || previous == owner; }
};

// One process of a gateway.
struct GatewayInstance {
  RouterId id;
  std::uint64_t incarnation = 0;
  std::string address;  // for other gateways
  std::string data_centre;
  // Capacity of its link; 0: unknown. Not part of its identity: earlier
  // gateways pass records on without it.
  unsigned link_mbps = 0;

  friend bool operator==(const GatewayInstance& a, const GatewayInstance& b) {
    return std::tie(a.id, a.incarnation, a.address, a.data_centre) ==
           std::tie(b.id, b.incarnation, b.address, b.data_centre);
  }
};

struct LeaseTable {
  ServiceId service;
  // Position (log_position.h) after the table's record, in the era in which it
  // was written; 0: no table. Fences are versions.
  std::uint64_t version = 0;
  // The leader has shown that no lease of an era before this one can be
  // running. Without eras, 0.
  std::uint64_t settled_era = 0;
  GatewayInstance leader;  // appended the record
  // May renew leases while the store is unreachable.
  std::vector<GatewayInstance> renewers;
  std::vector<RangeLease> ranges;  // ordered, not overlapping

  // Returns the lease on the range that contains this key, or nullptr.
  const RangeLease* Find(ShardKey key) const;
};

// Codec of the record in the store. ParseLeaseTable returns kLogRecordMalformed
// for other bytes, for ranges that overlap or are unordered, and if the leader,
// an owner or a fence is missing. Version and service are not part of the
// bytes: they follow from the record's offset and key. With a version, a fence
// above it is malformed as well.
std::string SerializeLeaseTable(const LeaseTable& table);
Result<LeaseTable> ParseLeaseTable(std::string_view bytes);
Result<LeaseTable> ParseLeaseTable(std::string_view bytes,
                                   const ServiceId& service,
                                   std::uint64_t version);

// Parses a record that was read from the store. end: position after it. A
// record that came back with a restored store keeps the version of the era in
// which it was written, so it does not count as newer than what was lost. Also
// returns kLogRecordMalformed for a record of a later era than that of end.
Result<LeaseTable> ParseStoredTable(std::string_view bytes,
                                    const ServiceId& service,
                                    std::uint64_t end);

// Codec of the record with which a gateway registers in the store, with its id
// as the key. ParseGatewayInstance returns kLogRecordMalformed for other bytes,
// for another gateway's key and for an address that is not ip:port.
std::string SerializeGatewayInstance(const GatewayInstance& gateway);
Result<GatewayInstance> ParseGatewayInstance(const std::string& key,
                                             std::string_view bytes);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_LEASE_TABLE_H_
