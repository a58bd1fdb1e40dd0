// Connects the HTTP server of the control loop to libjsonrpccpp.
#ifndef BALSAMHALL_ROUTER_CONTROL_CONNECTOR_H_
#define BALSAMHALL_ROUTER_CONTROL_CONNECTOR_H_

#include <jsonrpccpp/server/abstractserverconnector.h>

#include <functional>
#include <memory>
#include <string>

#include "core/result_code.h"

namespace balsamhall {

// libjsonrpccpp responds as soon as an RPC method returns. A method that has to
// wait for the log defers its result: the connector keeps the response of the
// library, and replaces its result when the deferred one is available. Not
// thread-safe.
class ControlConnector : public jsonrpc::AbstractServerConnector {
 public:
  using Respond = std::function<void(const std::string& body)>;
  using Complete = std::function<void(Result<std::string>)>;

  // Handles one JSON-RPC body. Calls respond exactly once, possibly after this
  // function has returned.
  void Handle(const std::string& body, Respond respond);

  // Defers the result of the current call and returns the function that
  // completes it. Call only from an RPC method during Handle. Throws
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
    std::string library_response;
    // Set if the deferred result arrives before the response of the library.
    std::function<void()> complete;
  };

  std::shared_ptr<Exchange> current_;
};

// Returns the error message that is sent to operators.
std::string DescribeError(const Error& error);

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CONTROL_CONNECTOR_H_
