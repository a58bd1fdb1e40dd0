// A backend server as a router sees it.
#ifndef BALSAMHALL_CLIENTS_BACKEND_SERVICE_H_
#define BALSAMHALL_CLIENTS_BACKEND_SERVICE_H_

#include <functional>
#include <optional>
#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

struct WorkRequest {
  std::string kind;
  std::string key;
  std::string request_id;
  Fence term;
  // Empty for idempotent work in a service that is not divided by key.
  std::optional<PartitionId> partition;
  Fence epoch;
  bool fenced = true;  // false: no term, partition and epoch headers
  Milliseconds remaining{0};
  std::string traceparent;
  std::string content_type;
  std::string body;
};

struct WorkAnswer {
  // kOk, a 1xx code with proof that it was not run, or a 2xx code.
  ResultCode code = ResultCode::kInternal;
  bool draining = false;
  std::uint32_t http_status = 0;
  std::string content_type;
  std::string body;
};

// One endpoint. Callbacks run on the executor of the implementation, exactly
// once. Not thread-safe.
class BackendService {
 public:
  virtual ~BackendService() = default;

  // Sends work once, on a pooled connection. Never repeats by itself, except
  // on a new connection when nothing was written on a stale pooled one.
  virtual void Work(WorkRequest request,
                    std::function<void(WorkAnswer)> done) = 0;
  // Asks the server to cancel; best effort.
  virtual void Cancel(const std::string& request_id) = 0;
  // Fails with kBackendUnavailable after the timeout.
  virtual void Grant(
      const schema::GrantRequest& request, Milliseconds timeout,
      std::function<void(Result<schema::GrantResponse>)> done) = 0;
  virtual void Health(
      Milliseconds timeout,
      std::function<void(Result<schema::HealthReport>)> done) = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CLIENTS_BACKEND_SERVICE_H_
