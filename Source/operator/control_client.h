// Typed access to routers for the operator commands.
//
// A router answers with the JSON form of a schema message, or a list of spans.
// It refuses with a JSON-RPC error whose code is the number of a ResultCode and
// whose message is the detail.
#ifndef BALSAMHALL_OPERATOR_CONTROL_CLIENT_H_
#define BALSAMHALL_OPERATOR_CONTROL_CLIENT_H_

#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

struct Publication {
  std::uint64_t based_on = 0;
  std::string author;
  std::string body;  // RoutingConfig as JSON
};

// Calls to routers by their control address. Calls that read fail with
// kOperatorUnreachable if there is no whole answer. Calls that change fail with
// kOperatorUnreachable only if nothing was sent, and with kLogAnswerLost if the
// change may have taken effect. Every call may fail with the router's code.
// Implementations are thread-safe.
class ControlClient {
 public:
  virtual ~ControlClient() = default;

  virtual Result<schema::RouterStatus> Status(const std::string& address) = 0;
  virtual Result<schema::ConfigSnapshot> Configuration(
      const std::string& address) = 0;
  virtual Result<schema::KeyExplanation> ExplainKey(const std::string& address,
                                                    const ServiceId& service,
                                                    const std::string& key) = 0;
  virtual Result<schema::RequestExplanation> ExplainRequest(
      const std::string& address, const std::string& request_id) = 0;

  // Sends the publication once. Returns its version after it was accepted.
  virtual Result<std::uint64_t> Publish(const std::string& address,
                                        const Publication& publication) = 0;
  virtual Result<void> DeclareLost(const std::string& address,
                                   const std::string& vm,
                                   const std::string& author) = 0;
};

// JSON-RPC over HTTP.
class HttpControlClient : public ControlClient {
 public:
  struct Options {
    Milliseconds read_timeout{2000};
    // A router waits up to 8 s until it has read a change back from the log.
    Milliseconds change_timeout{10'000};
    std::string operator_key;
  };

  explicit HttpControlClient(Options options);

  Result<schema::RouterStatus> Status(const std::string& address) override;
  Result<schema::ConfigSnapshot> Configuration(
      const std::string& address) override;
  Result<schema::KeyExplanation> ExplainKey(const std::string& address,
                                            const ServiceId& service,
                                            const std::string& key) override;
  Result<schema::RequestExplanation> ExplainRequest(
      const std::string& address, const std::string& request_id) override;
  Result<std::uint64_t> Publish(const std::string& address,
                                const Publication& publication) override;
  Result<void> DeclareLost(const std::string& address, const std::string& vm,
                           const std::string& author) override;

 private:
  Options options_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_CONTROL_CLIENT_H_
