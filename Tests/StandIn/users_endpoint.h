// Stand-in of an endpoint of the users' platform.
#ifndef BALSAMHALL_TESTS_STANDIN_USERS_ENDPOINT_H_
#define BALSAMHALL_TESTS_STANDIN_USERS_ENDPOINT_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"
#include "net/http_server.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall::stand_in {

enum class EndpointFault {
  kNone,
  kShed,          // 503, not executed
  kReset,         // runs, then ends the connection with half an answer
  kError,         // runs, then answers 500
  kForeign,       // answers with another request's id
  kUnsigned,      // answers 200 without its mark
  kSilent,        // runs and never answers
  kFalseBusy,     // runs, then answers 503 without saying that it did not
  kFalseStatus,   // the same with the status of set_false_status
  kFalsePromise,  // runs, then says that it did not
};

// Counts what runs, by request id. Runs on one loop.
class UsersEndpoint {
 public:
  UsersEndpoint(boost::asio::io_context& loop, std::string id, bool keyed);

  // Returns its registry entry.
  std::string Listen();
  std::string Entry(const std::string& service, const std::string& state) const;
  std::string address() const { return address_; }
  // The address that its entry states, if it is reached through a proxy.
  void set_public_address(std::string address) {
    public_address_ = std::move(address);
  }
  // Ends the process, with its connections, and starts another one at its
  // address, which holds no keys. id: empty for the same one.
  void Restart(const std::string& id = "");
  const std::string& id() const { return id_; }

  void set_fault(EndpointFault fault) { fault_ = fault; }
  // Whether all its answers say that it is leaving.
  void set_leaving(bool leaving) { leaving_ = leaving; }
  void set_work_time(Milliseconds time) { work_time_ = time; }
  // The status of the answers of kFalseStatus.
  void set_false_status(unsigned status) { false_status_ = status; }
  // Runs of each request.
  const std::map<std::string, int>& runs() const { return runs_; }
  int total_runs() const;
  int aborted() const { return aborted_; }
  bool Holds(std::uint16_t key) const;
  // Headers of the last request.
  const HttpHeaders& last_headers() const { return last_headers_; }

 private:
  struct KeyState {
    std::uint64_t fence = 0;  // the highest seen
    SteadyTime end;           // of the lease
  };
  using KeyTable = std::array<KeyState, 65536>;

  void StartServer();
  void OnRequest(const HttpRequest& request,
                 const HttpServer::Respond& respond);
  HttpResponse OnGrant(const std::string& body);
  HttpResponse OnRelease(const std::string& body);
  HttpResponse Answer(const HttpRequest& request) const;

  boost::asio::io_context& loop_;
  std::string id_;
  const bool keyed_;
  std::unique_ptr<HttpServer> server_;
  std::string address_;
  EndpointFault fault_ = EndpointFault::kNone;
  unsigned false_status_ = 500;
  bool leaving_ = false;
  Milliseconds work_time_{5};
  std::map<std::string, int> runs_;
  std::set<std::uint64_t> gone_;  // connections that the caller closed
  int aborted_ = 0;
  std::unique_ptr<KeyTable> keys_ = std::make_unique<KeyTable>();
  std::string public_address_;
  std::int64_t born_ = 1;
  HttpHeaders last_headers_;
};

}  // namespace balsamhall::stand_in

#endif  // BALSAMHALL_TESTS_STANDIN_USERS_ENDPOINT_H_
