#include "operator/control_calls.h"

#include <utility>

#include "control_client_stub.h"

namespace balsamhall {
namespace {

// Connector of libjsonrpccpp over a ControlTransport.
class TransportConnector : public jsonrpc::IClientConnector {
 public:
  explicit TransportConnector(const ControlTransport& transport)
      : transport_(transport) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    if (!transport_(message, result)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      result);
    }
  }

 private:
  const ControlTransport& transport_;
};

template <typename Call>
ControlReply Run(const ControlTransport& transport, Call call) {
  ControlReply reply;
  TransportConnector connector(transport);
  ControlClientStub stub(connector);
  try {
    reply.text = call(stub);
    reply.kind = ControlReply::Kind::kResult;
  } catch (const jsonrpc::JsonRpcException& fault) {
    const bool transport_failed =
        fault.GetCode() == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR;
    reply.kind = transport_failed ? ControlReply::Kind::kTransportFailed
                                  : ControlReply::Kind::kRefused;
    reply.code = fault.GetCode();
    reply.text = fault.GetMessage();
  }
  return reply;
}

}  // namespace

ControlCalls::ControlCalls(ControlTransport transport)
    : transport_(std::move(transport)) {}

ControlReply ControlCalls::Status() {
  return Run(transport_, [](ControlClientStub& stub) { return stub.status(); });
}

ControlReply ControlCalls::Configuration() {
  return Run(transport_,
             [](ControlClientStub& stub) { return stub.configuration(); });
}

ControlReply ControlCalls::ExplainKey(const std::string& service,
                                      const std::string& key) {
  return Run(transport_, [&](ControlClientStub& stub) {
    return stub.explain_key(key, service);
  });
}

ControlReply ControlCalls::ExplainRequest(const std::string& request_id) {
  return Run(transport_, [&](ControlClientStub& stub) {
    return stub.explain_request(request_id);
  });
}

ControlReply ControlCalls::Publish(const std::string& operator_key,
                                   const std::string& based_on,
                                   const std::string& author,
                                   const std::string& body) {
  return Run(transport_, [&](ControlClientStub& stub) {
    return stub.publish(author, based_on, body, operator_key);
  });
}

ControlReply ControlCalls::DeclareLost(const std::string& operator_key,
                                       const std::string& vm,
                                       const std::string& author) {
  return Run(transport_, [&](ControlClientStub& stub) {
    return stub.declare_lost(author, operator_key, vm);
  });
}

}  // namespace balsamhall
