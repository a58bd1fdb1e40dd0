// Connector between the HTTP server of the control loop and libjsonrpccpp.
#ifndef BALSAMHALL_ROUTER_CONTROL_CONNECTOR_H_
#define BALSAMHALL_ROUTER_CONTROL_CONNECTOR_H_

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <functional>
#include <memory>
#include <string>

#include "core/result_code.h"

namespace balsamhall {

// The library answers within the call. A method that has to wait for the log
// defers its result: the library's answer is held back, and the result is put
// into it later. Not thread-safe.
class ControlConnector : public jsonrpc::AbstractServerConnector {
 public:
  using Respond = std::function<void(const std::string& body)>;
  using Complete = std::function<void(Result<std::string>)>;

  // Handles one JSON-RPC body; respond is called exactly once, maybe later.
  void Handle(const std::string& body, Respond respond);

  // For methods, during Handle: defers the result of the running call. Throws
  // jsonrpc::JsonRpcException in a batch.
  Complete Defer();

  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* exchange) override;

 private:
  struct Exchange {
    Respond respond;
    bool batch = false;
    bool deferred = false;
    std::string library_response;    // answer of the library
    std::function<void()> complete;  // set if the result came first
  };

  std::shared_ptr<Exchange> current_;
};

// Returns the message of an error, as it is sent to operators.
std::string DescribeError(const Error& error);

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CONTROL_CONNECTOR_H_
