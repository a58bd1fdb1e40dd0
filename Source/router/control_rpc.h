// Implements the JSON-RPC methods for operators.
#ifndef BALSAMHALL_ROUTER_CONTROL_RPC_H_
#define BALSAMHALL_ROUTER_CONTROL_RPC_H_

#include <string>
#include <string_view>

#include "control_server_stub.h"
#include "router/control_commands.h"
#include "router/control_connector.h"

namespace balsamhall {

// Compares operator keys in a time that depends only on the length of given, to
// prevent timing attacks that guess the key byte by byte. An empty expected key
// matches nothing.
bool OperatorKeysEqual(std::string_view given, std::string_view expected);

// Not thread-safe.
class ControlRpc : public ControlServerStub {
 public:
  // connector and commands must outlive this object.
  ControlRpc(ControlConnector& connector, ControlCommands& commands,
             std::string operator_key);

  std::string status() override;
  std::string configuration() override;
  std::string explain_key(const std::string& key,
                          const std::string& service) override;
  std::string explain_request(const std::string& request_id) override;
  std::string publish(const std::string& author, const std::string& based_on,
                      const std::string& body,
                      const std::string& operator_key) override;
  std::string declare_lost(const std::string& author,
                           const std::string& operator_key,
                           const std::string& vm) override;

 private:
  void CheckOperatorKey(const std::string& given, const char* method) const;

  ControlConnector& connector_;
  ControlCommands& commands_;
  std::string operator_key_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CONTROL_RPC_H_
