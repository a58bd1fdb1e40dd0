// HTTP server on the control address: JSON-RPC, metrics, liveness and
// readiness.
#ifndef BALSAMHALL_ROUTER_CONTROL_SERVER_H_
#define BALSAMHALL_ROUTER_CONTROL_SERVER_H_

#include <string>

#include "core/result_code.h"
#include "net/http_server.h"
#include "router/control_commands.h"
#include "router/control_connector.h"
#include "router/control_rpc.h"

namespace balsamhall {

// Not thread-safe: runs on the control thread.
class ControlServer {
 public:
  // commands must outlive the server.
  ControlServer(boost::asio::io_context& loop, ControlCommands& commands,
                const std::string& operator_key);

  Result<std::uint16_t> Listen(const std::string& address);

 private:
  void Handle(const HttpRequest& request, const HttpServer::Respond& respond);

  ControlCommands& commands_;
  ControlConnector connector_;
  ControlRpc rpc_;
  HttpServer server_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CONTROL_SERVER_H_
