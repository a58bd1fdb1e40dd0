// JSON-RPC calls to the control address of a router.
//
// The headers of libjsonrpccpp-client use dynamic exception specifications,
// which C++17 removed, so control_calls.cc alone is compiled as C++14. This
// header must stay valid C++14.
#ifndef BALSAMHALL_OPERATOR_CONTROL_CALLS_H_
#define BALSAMHALL_OPERATOR_CONTROL_CALLS_H_

#include <functional>
#include <string>

namespace balsamhall {

// Outcome of one call.
struct ControlReply {
  enum class Kind {
    kResult,          // text is the result
    kRefused,         // the router answered with an error: code and text
    kTransportFailed  // the transport returned false; text is its detail
  };
  Kind kind = Kind::kTransportFailed;
  int code = 0;
  std::string text;
};

// Sends one request body. Returns true and the answer's body, or false and a
// detail in answer.
using ControlTransport =
    std::function<bool(const std::string& request, std::string& answer)>;

// Each call sends one request, once. Not thread-safe.
class ControlCalls {
 public:
  explicit ControlCalls(ControlTransport transport);

  ControlReply Status();
  ControlReply Configuration();
  ControlReply ExplainKey(const std::string& service, const std::string& key);
  ControlReply ExplainRequest(const std::string& request_id);
  ControlReply Publish(const std::string& operator_key,
                       const std::string& based_on, const std::string& author,
                       const std::string& body);
  ControlReply DeclareLost(const std::string& operator_key,
                           const std::string& vm, const std::string& author);

 private:
  ControlTransport transport_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_CONTROL_CALLS_H_
