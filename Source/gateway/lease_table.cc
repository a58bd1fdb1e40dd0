#include "gateway/lease_table.h"

#include <algorithm>
#include <ranges>

#include "core/config_rules.h"
#include "gateway.pb.h"
#include "gateway/log_position.h"

namespace balsamhall::gateway {
namespace {

schema::LeaseHolderRecord ToRecord(const LeaseHolder& holder) {
  schema::LeaseHolderRecord record;
  record.set_endpoint(holder.ref.id);
  record.set_incarnation(holder.ref.incarnation);
  record.set_address(holder.address);
  return record;
}

LeaseHolder FromRecord(const schema::LeaseHolderRecord& record) {
  return {{record.endpoint(), record.incarnation()}, record.address()};
}

schema::RenewerRecord ToRecord(const GatewayInstance& gateway) {
  schema::RenewerRecord record;
  record.set_router(gateway.id);
  record.set_incarnation(gateway.incarnation);
  record.set_address(gateway.address);
  record.set_data_centre(gateway.data_centre);
  record.set_link_mbps(gateway.link_mbps);
  return record;
}

GatewayInstance FromRecord(const schema::RenewerRecord& record) {
  return {record.router(), record.incarnation(), record.address(),
          record.data_centre(), record.link_mbps()};
}

schema::RangeLeaseRecord ToRecord(const RangeLease& lease) {
  schema::RangeLeaseRecord record;
  record.set_first_key(lease.range.first);
  record.set_last_key(lease.range.last);
  *record.mutable_owner() = ToRecord(lease.owner);
  record.set_fence(lease.fence);
  record.set_granted(lease.granted);
  if (!lease.previous.ref.empty()) {
    *record.mutable_previous() = ToRecord(lease.previous);
  }
  record.set_expected_wait_ms(
      static_cast<std::uint32_t>(lease.expected_wait.count()));
  return record;
}

RangeLease FromRecord(const schema::RangeLeaseRecord& record) {
  RangeLease lease;
  lease.range = {static_cast<ShardKey>(record.first_key()),
                 static_cast<ShardKey>(record.last_key())};
  lease.owner = FromRecord(record.owner());
  lease.fence = record.fence();
  lease.granted = record.granted();
  lease.previous = FromRecord(record.previous());
  lease.expected_wait = Milliseconds(record.expected_wait_ms());
  return lease;
}

Error Malformed(std::string detail) {
  return {ResultCode::kLogRecordMalformed, std::move(detail)};
}

bool ValidRanges(const schema::LeaseTableRecord& record) {
  std::int64_t last = -1;
  return std::ranges::all_of(record.ranges(), [&](const auto& range) {
    const bool valid = range.first_key() > last &&
                       range.first_key() <= range.last_key() &&
                       range.last_key() < kShardKeys;
    last = range.last_key();
    return valid;
  });
}

}  // namespace

const RangeLease* LeaseTable::Find(ShardKey key) const {
  const auto after = std::ranges::upper_bound(
      ranges, key, std::less{},
      [](const auto& lease) { return lease.range.first; });
  if (after == ranges.begin()) return nullptr;
  const RangeLease& lease = *std::prev(after);
  return lease.range.Contains(key) ? &lease : nullptr;
}

std::string SerializeLeaseTable(const LeaseTable& table) {
  schema::LeaseTableRecord record;
  *record.mutable_mover() = ToRecord(table.leader);
  for (const auto& renewer : table.renewers) {
    *record.add_renewers() = ToRecord(renewer);
  }
  for (const auto& lease : table.ranges) {
    *record.add_ranges() = ToRecord(lease);
  }
  record.set_era(EraOf(table.version));
  record.set_settled_era(table.settled_era);
  return record.SerializeAsString();
}

Result<LeaseTable> ParseLeaseTable(std::string_view bytes) {
  schema::LeaseTableRecord record;
  if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Malformed("not a lease table");
  }
  if (!ValidRanges(record)) return Malformed("ranges overlap or are unordered");
  // Bytes of another kind may parse as a record with unknown fields only.
  if (record.mover().router().empty()) return Malformed("no leader");
  const bool complete =
      std::ranges::all_of(record.ranges(), [](const auto& range) {
        return !range.owner().endpoint().empty() && range.fence() > 0;
      });
  if (!complete) return Malformed("range without owner or fence");
  LeaseTable table;
  table.settled_era = record.settled_era();
  table.leader = FromRecord(record.mover());
  std::ranges::transform(record.renewers(), std::back_inserter(table.renewers),
                         [](const auto& entry) { return FromRecord(entry); });
  std::ranges::transform(record.ranges(), std::back_inserter(table.ranges),
                         [](const auto& entry) { return FromRecord(entry); });
  return table;
}

Result<LeaseTable> ParseLeaseTable(std::string_view bytes,
                                   const ServiceId& service,
                                   std::uint64_t version) {
  auto table = ParseLeaseTable(bytes);
  if (!table) return table;
  // Endpoints would refuse every later grant.
  const bool later = std::ranges::any_of(
      table.value().ranges,
      [&](const RangeLease& lease) { return lease.fence > version; });
  if (later) return Malformed("fence above the table's version");
  table.value().service = service;
  table.value().version = version;
  return table;
}

Result<LeaseTable> ParseStoredTable(std::string_view bytes,
                                    const ServiceId& service,
                                    std::uint64_t end) {
  schema::LeaseTableRecord record;
  if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Malformed("not a lease table");
  }
  const std::uint64_t era = record.era();
  if (era > EraOf(end)) return Malformed("record of a later era");
  return ParseLeaseTable(bytes, service, LogPosition(era, OffsetOf(end)));
}

std::string SerializeGatewayInstance(const GatewayInstance& gateway) {
  return ToRecord(gateway).SerializeAsString();
}

Result<GatewayInstance> ParseGatewayInstance(const std::string& key,
                                             std::string_view bytes) {
  schema::RenewerRecord record;
  if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      record.router().empty()) {
    return Malformed("record does not decode as a gateway instance");
  }
  if (record.router() != key) return Malformed("key of another gateway");
  if (!IsAddress(record.address())) return Malformed("address: not ip:port");
  return FromRecord(record);
}

}  // namespace balsamhall::gateway
