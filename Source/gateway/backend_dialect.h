// Interface between the gateway and the wire format of requests and responses.
#ifndef BALSAMHALL_GATEWAY_BACKEND_DIALECT_H_
#define BALSAMHALL_GATEWAY_BACKEND_DIALECT_H_

#include <optional>
#include <string>

#include "core/result_code.h"
#include "core/types.h"
#include "gateway/endpoint_load.h"
#include "gateway/fleet_view.h"
#include "gateway/lease_keeper.h"
#include "net/http_types.h"

namespace balsamhall::gateway {

struct CallerRequest {
  std::string id;
  std::string host;
  std::optional<Milliseconds> deadline;  // how long the caller waits
  std::optional<ShardKey> key;
};

// What an endpoint's response says about the request.
struct BackendResponse {
  bool not_executed = false;    // certain: it did not and will not run
  bool wrong_endpoint = false;  // the address belongs to another endpoint
  bool lacks_lease = false;     // the endpoint does not hold the key
  // The endpoint that responded, if it is known to be another one.
  EndpointId other_endpoint;
  bool leaving = false;  // the endpoint that responded is leaving
  // Time for which the endpoint, which rejected the request, wants no others.
  std::optional<Milliseconds> pause;
  std::optional<ReportedLoad> load;
  bool from_endpoint = false;  // has the mark of a response after execution
};

// Stateless and thread-safe.
class BackendDialect {
 public:
  virtual ~BackendDialect() = default;

  // Extracts what the gateway needs from a caller's request. Missing or
  // malformed values stay empty.
  virtual CallerRequest ReadCallerRequest(const HttpRequest& request) const = 0;
  // Returns the request to send to an endpoint: the same method, target and
  // body, without hop-by-hop headers. time_left: the endpoint's time limit.
  virtual HttpRequest ToBackend(const HttpRequest& request,
                                const EndpointRef& endpoint,
                                Milliseconds time_left) const = 0;
  virtual BackendResponse ReadBackendResponse(
      const HttpResponse& response) const = 0;
  // Returns the response to send to the caller.
  virtual HttpResponse ToCaller(HttpResponse response) const = 0;
  // Returns which request the response names. kNone if the request has no name.
  virtual NamedRequest RequestNamedBy(const HttpRequest& request,
                                      const HttpResponse& response) const = 0;
  // Returns an error response that the gateway generates itself.
  virtual HttpResponse MakeErrorResponse(
      unsigned status, const CallerRequest& request,
      std::optional<Milliseconds> retry_after, ResultCode code) const = 0;

  // Lease calls to an endpoint, which any other endpoint refuses.
  virtual HttpRequest ToGrant(const GrantCall& call) const = 0;
  virtual HttpRequest ToRelease(const ReleaseCall& call) const = 0;
  // Reads the response to either. endpoint: for which the call was meant.
  virtual CallResult ReadCallResult(const EndpointRef& endpoint,
                                    const HttpResponse& response) const = 0;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_BACKEND_DIALECT_H_
