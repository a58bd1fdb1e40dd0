// What gateways tell each other while one of them cannot reach the store.
#ifndef BALSAMHALL_GATEWAY_PEER_STATE_H_
#define BALSAMHALL_GATEWAY_PEER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"
#include "gateway/fleet_view.h"
#include "gateway/lease_table.h"

namespace balsamhall::gateway {

// What the asking gateway has already.
struct PeerStateRequest {
  std::uint64_t config_version = 0;
  std::uint64_t endpoints_digest = 0;
  std::uint64_t leases_end = 0;
  // The answer may wait until there is something new.
  bool long_poll = false;

  bool operator==(const PeerStateRequest&) const = default;
};

struct PeerState {
  bool store_reachable = false;
  std::string config;  // as the operator wrote it; empty if not newer
  // Where the registry's log was read to.
  std::uint64_t registry_offset = 0;
  // Empty if the asker has the same.
  std::optional<std::map<EndpointId, EndpointInfo>> endpoints;
  std::vector<LeaseTable> tables;
  std::uint64_t leases_end = 0;
  Milliseconds leases_age{0};  // since the log was known to end there
};

// Depends on all that decides about requests, but not on warm-up times.
std::uint64_t EndpointsDigest(
    const std::map<EndpointId, EndpointInfo>& endpoints);

// The question is written as the target of a request. Thread-safe.
std::string FormatPeerStateRequest(const PeerStateRequest& request);
std::optional<PeerStateRequest> ParsePeerStateRequest(std::string_view target);

std::string SerializePeerState(const PeerState& state);
Result<PeerState> ParsePeerState(std::string_view bytes);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_PEER_STATE_H_
