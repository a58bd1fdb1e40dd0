// State that a gateway sends to another one that does not read the store.
#ifndef BALSAMHALL_GATEWAY_PEER_STATE_H_
#define BALSAMHALL_GATEWAY_PEER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"
#include "gateway/fleet_view.h"
#include "gateway/lease_table.h"
#include "gateway/placement_limits.h"
#include "gateway/store_proofs.h"
#include "gateway/text_patch.h"

namespace balsamhall::gateway {

// Header of a request: age in milliseconds of the state that the requesting
// gateway has. One that is much older than that of the other gateway is
// responded to at once.
inline constexpr const char* kStateAgeHeader = "Balsamhall-State-Age-Ms";
// Header of a request: EvacuationsDigest() of the evacuations that the
// requesting gateway knows, or 0 if it knows none yet. Absent if it has no
// evacuations.
inline constexpr const char* kEvacuationsHeader = "Balsamhall-Evacuations";

// What the requesting gateway already has.
struct PeerStateRequest {
  std::uint64_t config_version = 0;
  std::uint64_t endpoints_digest = 0;
  // Offset up to which the lease log is known, for all services.
  std::uint64_t leases_end = 0;
  // The response may be delayed until there is something new.
  bool long_poll = false;

  bool operator==(const PeerStateRequest&) const = default;
};

// A configuration as the difference from the text of another version, or from
// an empty text if that is 0.
struct ConfigPatch {
  std::uint64_t base_version = 0;
  TextPatch patch;
};

struct PeerState {
  bool store_reachable = false;
  bool stopping = false;
  RouterId reader;  // that the gateway follows; empty if it reads the store
  // Both are empty if the requesting gateway has the newest one.
  std::string config;  // as the operator wrote it
  std::optional<ConfigPatch> config_patch;
  // How old the store's word is; empty from gateways of earlier versions.
  std::optional<ProofAge> config_age;
  std::optional<ProofAge> registry_age;
  // A configuration is arriving from the store.
  bool config_arriving = false;
  // Offset from which later configurations are read; 0: unknown.
  std::uint64_t config_offset = 0;
  // Offset up to which the registry's log was read.
  std::uint64_t registry_offset = 0;
  // Endpoints that are missing may still return, because the store was away.
  bool removals_deferred = false;
  // Empty if the requesting gateway has the same endpoints.
  std::optional<std::map<EndpointId, EndpointInfo>> endpoints;
  std::vector<LeaseTable> tables;  // newer than the request's leases_end
  std::uint64_t leases_end = 0;
  // Empty from gateways that know none yet, and of earlier versions.
  std::optional<EvacuatedSet> evacuations;
  // Latest era of the store that the gateway knows; 0: it states none.
  std::uint64_t store_era = 0;
  // Time since the log was known to end there; at most a day when parsed.
  Milliseconds leases_age{0};
};

// Returns a digest of everything that affects how requests are routed; of the
// warm-up, only which endpoints are cold is part of it.
std::uint64_t EndpointsDigest(
    const std::map<EndpointId, EndpointInfo>& endpoints,
    const std::set<EndpointId>& cold = {});

// Codec of a request as the target of an HTTP request. ParsePeerStateRequest
// returns nullopt for any other target. Thread-safe.
std::string FormatPeerStateRequest(const PeerStateRequest& request);
std::optional<PeerStateRequest> ParsePeerStateRequest(std::string_view target);

// Codec of the response. ParsePeerState returns kPeerFrameMalformed for other
// bytes, and the error of ParseLeaseTable for a malformed table.
std::string SerializePeerState(const PeerState& state);
Result<PeerState> ParsePeerState(std::string_view bytes);

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_PEER_STATE_H_
