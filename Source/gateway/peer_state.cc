#include "gateway/peer_state.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <ranges>

#include "gateway.pb.h"

namespace balsamhall::gateway {
namespace {

constexpr std::string_view kStatePrefix = "/state/";
constexpr std::string_view kLongPollPrefix = "/follow/";
// A day: no lease of a view this old can be running, and times stay far from
// overflow.
constexpr std::uint64_t kMaxLeasesAgeMs = 86'400'000;
// Far above what a fleet has; keeps sums away from overflow.
constexpr unsigned kMaxHops = 1'000;

schema::EndpointRecord ToRecord(const EndpointInfo& endpoint) {
  schema::EndpointRecord record;
  record.set_id(endpoint.ref.id);
  record.set_incarnation(endpoint.ref.incarnation);
  record.set_service(endpoint.service);
  record.set_address(endpoint.address);
  record.set_data_centre(endpoint.data_centre);
  record.set_slots(endpoint.slots);
  record.set_draining(endpoint.draining);
  record.set_cold_left_ms(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(endpoint.warm_up_left.count(), 0,
                               std::numeric_limits<std::uint32_t>::max())));
  return record;
}

EndpointInfo FromRecord(const schema::EndpointRecord& record) {
  EndpointInfo endpoint;
  endpoint.ref = {record.id(), record.incarnation()};
  endpoint.service = record.service();
  endpoint.address = record.address();
  endpoint.data_centre = record.data_centre();
  endpoint.slots = record.slots();
  endpoint.draining = record.draining();
  endpoint.warm_up_left = Milliseconds(record.cold_left_ms());
  return endpoint;
}

schema::EvacuationsRecord ToRecord(const EvacuatedSet& evacuations) {
  schema::EvacuationsRecord record;
  record.set_offset(evacuations.offset);
  for (const std::string& name : evacuations.data_centres) {
    record.add_data_centres(name);
  }
  return record;
}

EvacuatedSet FromRecord(const schema::EvacuationsRecord& record) {
  return {{record.data_centres().begin(), record.data_centres().end()},
          record.offset()};
}

schema::ProofAgeRecord ToRecord(const ProofAge& age) {
  schema::ProofAgeRecord record;
  record.set_age_ms(age.age.count());
  record.set_hops(age.hops);
  return record;
}

ProofAge FromRecord(const schema::ProofAgeRecord& record) {
  const Milliseconds age(std::clamp<std::int64_t>(
      record.age_ms(), -kNoProofAge.count(), kNoProofAge.count()));
  return {age, std::min(record.hops(), kMaxHops)};
}

}  // namespace

std::uint64_t EndpointsDigest(
    const std::map<EndpointId, EndpointInfo>& endpoints,
    const std::set<EndpointId>& cold) {
  std::string text;
  for (const auto& endpoint : endpoints | std::views::values) {
    text.append(endpoint.ref.ToString())
        .append("|")
        .append(endpoint.service)
        .append("|")
        .append(endpoint.address)
        .append("|")
        .append(endpoint.data_centre)
        .append("|")
        .append(std::to_string(endpoint.slots))
        .append(endpoint.draining ? "|draining\n" : "|\n");
  }
  for (const EndpointId& id : cold) text.append(id).append("|cold\n");
  return XXH64(text.data(), text.size(), 0);
}

std::string FormatPeerStateRequest(const PeerStateRequest& request) {
  return std::string(request.long_poll ? kLongPollPrefix : kStatePrefix) +
         std::to_string(request.config_version) + "/" +
         std::to_string(request.endpoints_digest) + "/" +
         std::to_string(request.leases_end);
}

std::optional<PeerStateRequest> ParsePeerStateRequest(std::string_view target) {
  const bool long_poll = target.starts_with(kLongPollPrefix);
  if (!long_poll && !target.starts_with(kStatePrefix)) return std::nullopt;
  target.remove_prefix(long_poll ? kLongPollPrefix.size()
                                 : kStatePrefix.size());
  std::array<std::uint64_t, 3> numbers{};
  std::size_t count = 0;
  for (const auto part : std::views::split(target, '/')) {
    const std::string_view text(part.begin(), part.end());
    if (count == numbers.size()) return std::nullopt;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(),
                                        numbers.at(count++));
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
      return std::nullopt;
    }
  }
  if (count != numbers.size()) return std::nullopt;
  return PeerStateRequest{numbers[0], numbers[1], numbers[2], long_poll};
}

std::string SerializePeerState(const PeerState& state) {
  schema::PeerStateRecord record;
  record.set_store_reachable(state.store_reachable);
  record.set_stopping(state.stopping);
  record.set_reader(state.reader);
  record.set_config(state.config);
  if (state.config_patch) {
    record.set_config_patch(state.config_patch->patch.bytes);
    record.set_config_base(state.config_patch->base_version);
    record.set_config_digest(state.config_patch->patch.digest);
  }
  if (state.config_age) {
    *record.mutable_config_age() = ToRecord(*state.config_age);
  }
  if (state.registry_age) {
    *record.mutable_registry_age() = ToRecord(*state.registry_age);
  }
  record.set_config_arriving(state.config_arriving);
  record.set_config_offset(state.config_offset);
  record.set_registry_offset(state.registry_offset);
  record.set_removals_deferred(state.removals_deferred);
  record.set_has_endpoints(state.endpoints.has_value());
  if (state.endpoints) {
    for (const auto& endpoint : *state.endpoints | std::views::values) {
      *record.add_endpoints() = ToRecord(endpoint);
    }
  }
  for (const LeaseTable& table : state.tables) {
    auto& published = *record.add_tables();
    published.set_service(table.service);
    published.set_version(table.version);
    published.mutable_table()->ParseFromString(SerializeLeaseTable(table));
  }
  if (state.evacuations) {
    *record.mutable_evacuations() = ToRecord(*state.evacuations);
  }
  record.set_store_era(state.store_era);
  record.set_leases_end(state.leases_end);
  record.set_leases_age_ms(
      static_cast<std::uint64_t>(state.leases_age.count()));
  return record.SerializeAsString();
}

Result<PeerState> ParsePeerState(std::string_view bytes) {
  schema::PeerStateRecord record;
  if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Error{ResultCode::kPeerFrameMalformed,
                 "response does not decode as a peer state"};
  }
  PeerState state;
  state.store_reachable = record.store_reachable();
  state.stopping = record.stopping();
  state.reader = record.reader();
  state.config = record.config();
  if (!record.config_patch().empty()) {
    state.config_patch = {record.config_base(),
                          {record.config_patch(), record.config_digest()}};
  }
  if (record.has_config_age()) {
    state.config_age = FromRecord(record.config_age());
  }
  if (record.has_registry_age()) {
    state.registry_age = FromRecord(record.registry_age());
  }
  state.config_arriving = record.config_arriving();
  state.config_offset = record.config_offset();
  state.registry_offset = record.registry_offset();
  state.removals_deferred = record.removals_deferred();
  if (record.has_endpoints()) {
    state.endpoints.emplace();
    for (const auto& endpoint : record.endpoints()) {
      state.endpoints->insert_or_assign(endpoint.id(), FromRecord(endpoint));
    }
  }
  for (const auto& published : record.tables()) {
    auto table = ParseLeaseTable(published.table().SerializeAsString(),
                                 published.service(), published.version());
    if (!table) return table.error();
    state.tables.push_back(std::move(table.value()));
  }
  if (record.has_evacuations()) {
    state.evacuations = FromRecord(record.evacuations());
  }
  state.store_era = record.store_era();
  state.leases_end = record.leases_end();
  state.leases_age = Milliseconds(static_cast<std::int64_t>(
      std::min(record.leases_age_ms(), kMaxLeasesAgeMs)));
  return state;
}

}  // namespace balsamhall::gateway
