// Requests of callers: parsing and the mapping of results to HTTP.
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

// What the path names.
struct CallerPath {
  std::string service;
  std::string kind;
  std::string key;  // percent-decoded
};

// Parses /v1/{service}/{kind}/{key}; the key may hold further slashes.
Result<CallerPath> ParseCallerPath(std::string_view target);

struct CallerRequest {
  schema::ForwardRequest forward;  // all fields that come from the caller
  schema::KindConfig kind;
  std::uint32_t kind_number = 0;
  // Unset: the request is idempotent and its service is not divided by key.
  std::optional<PartitionId> partition;
  Milliseconds timeout{0};
};

// Returns true if a request that this router refuses by itself may have been
// executed in an earlier attempt. A router with an older configuration or none
// can't tell whether the kind is idempotent; the headers tell. Thread-safe.
bool MayHaveRunBefore(const HttpHeaders& headers, ResultCode refusal);

// Checks path, method and headers against the configuration. The body is
// moved out of the request.
Result<CallerRequest> ParseCallerRequest(HttpRequest& request,
                                         const RoutingSnapshot& snapshot);

// Returns the kind with this name and its position, or nullopt.
struct KindMatch {
  const schema::KindConfig* kind = nullptr;
  std::uint32_t number = 0;
};
std::optional<KindMatch> FindKind(const ServiceRoute& service,
                                  std::string_view kind);

// Returns the partition that a request has to be routed by.
std::optional<PartitionId> RoutingPartition(const ServiceRoute& service,
                                            const schema::KindConfig& kind,
                                            std::string_view key);

// Returns the HTTP status for a code other than kOk.
unsigned HttpStatusOf(ResultCode code);

// Returns the answer to a caller. Always carries Balsamhall-Code and
// Balsamhall-Result, and the request id if there is one.
HttpResponse ResponseOf(const schema::ForwardReply& reply,
                        const std::string& request_id);

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CALLER_REQUEST_H_
