// Parses caller requests and maps their results to HTTP responses.
#ifndef BALSAMHALL_ROUTER_CALLER_REQUEST_H_
#define BALSAMHALL_ROUTER_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/result_code.h"
#include "core/routing_snapshot.h"
#include "core/types.h"
#include "net/http_types.h"

namespace balsamhall {

// The components of a request path.
struct CallerPath {
  std::string service;
  std::string kind;
  std::string key;  // percent-decoded
};

// Parses /v1/{service}/{kind}/{key}; the key may hold further slashes.
Result<CallerPath> ParseCallerPath(std::string_view target);

struct CallerRequest {
  schema::ForwardRequest forward;  // fields that come from the caller
  schema::KindConfig kind;
  std::uint32_t kind_number = 0;
  // Unset: the request is idempotent and its service is not sharded by key.
  std::optional<PartitionId> partition;
  Milliseconds timeout{0};
};

// Returns true if a request that this router rejects without asking the owner
// may have been executed in an earlier attempt. A router without a current
// configuration cannot tell whether the kind is idempotent, so the decision is
// based on the headers. Thread-safe.
bool MayHaveRunBefore(const HttpHeaders& headers, ResultCode refusal);

// Validates path, method and headers against the configuration. Moves the body
// out of the request on success.
Result<CallerRequest> ParseCallerRequest(HttpRequest& request,
                                         const RoutingSnapshot& snapshot);

// A kind of a service and its position in the list of kinds.
struct KindMatch {
  const schema::KindConfig* kind = nullptr;
  std::uint32_t number = 0;
};
// Returns the kind with this name, or nullopt.
std::optional<KindMatch> FindKind(const ServiceRoute& service,
                                  std::string_view kind);

// Returns the partition that determines the owner of a request, or nullopt if
// any endpoint of the service may execute it.
std::optional<PartitionId> RoutingPartition(const ServiceRoute& service,
                                            const schema::KindConfig& kind,
                                            std::string_view key);

// Returns the HTTP status for a code other than kOk.
unsigned HttpStatusOf(ResultCode code);

// Builds the HTTP response to a caller. It always has the headers
// Balsamhall-Code and Balsamhall-Result, and Balsamhall-Request-Id if
// request_id is not empty.
HttpResponse ResponseOf(const schema::ForwardReply& reply,
                        const std::string& request_id);

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CALLER_REQUEST_H_
