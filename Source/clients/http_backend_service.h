// A backend server over HTTP.
#ifndef BALSAMHALL_CLIENTS_HTTP_BACKEND_SERVICE_H_
#define BALSAMHALL_CLIENTS_HTTP_BACKEND_SERVICE_H_

#include <cstddef>
#include <string>

#include "clients/backend_service.h"
#include "net/http_client.h"

namespace balsamhall {

// Callbacks run on the loop's thread; pending ones are dropped when the object
// is destroyed.
//
// Results of Work:
// - no byte was written: kNotRunNoConnection;
// - 409: kNotRunStaleFence; 503: kNotRunShed, or kNotRunDraining with
//   "Balsamhall-Drain: 1"; a 1xx Balsamhall-Code in either is more specific;
// - 504: kUnknownTimeout; other 5xx: kUnknownBadAnswer, because the server may
//   have failed after the work took effect;
// - any other whole answer with the request's id: kOk and its status;
// - anything else: a 2xx code, and the connection is closed.
class HttpBackendService : public BackendService {
 public:
  // Opens at most max_connections, a few of which are for grants and
  // probes. Precondition: max_connections >= 2.
  HttpBackendService(boost::asio::io_context& loop, std::string address,
                     std::size_t max_connections);

  // Waits a little longer than the remaining time, so that the server's own
  // "deadline passed, not run" still arrives.
  void Work(WorkRequest request, std::function<void(WorkAnswer)> done) override;
  void Cancel(const std::string& request_id) override;
  void Grant(const schema::GrantRequest& request, Milliseconds timeout,
             std::function<void(Result<schema::GrantResponse>)> done) override;
  void Health(Milliseconds timeout,
              std::function<void(Result<schema::HealthReport>)> done) override;

  std::size_t open_connections() const;

 private:
  template <typename Message>
  void Control(const HttpRequest& request, Milliseconds timeout,
               std::function<void(Result<Message>)> done);

  HttpClient work_;
  HttpClient control_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CLIENTS_HTTP_BACKEND_SERVICE_H_
