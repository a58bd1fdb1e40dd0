// What the control server offers to operators.
#ifndef BALSAMHALL_ROUTER_CONTROL_COMMANDS_H_
#define BALSAMHALL_ROUTER_CONTROL_COMMANDS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// All calls and callbacks run on the control thread.
class ControlCommands {
 public:
  using SubmissionCallback = std::function<void(Result<schema::PublishReply>)>;

  virtual ~ControlCommands() = default;

  virtual schema::RouterStatus Status() = 0;
  virtual schema::ConfigSnapshot Configuration() = 0;
  // Fails with kOperatorUnknownService.
  virtual Result<schema::KeyExplanation> ExplainKey(const std::string& service,
                                                    const std::string& key) = 0;
  virtual std::vector<schema::Span> ExplainRequest(
      const std::string& request_id) = 0;
  // Calls back when the record was read back, at the latest after some seconds
  // with kLogAnswerLost. May call back at once if the body is not valid.
  virtual void Publish(const schema::ConfigPublished& publication,
                       SubmissionCallback done) = 0;
  virtual void DeclareLost(const schema::VmDeclaredLost& declaration,
                           SubmissionCallback done) = 0;
  virtual std::string PrometheusText() = 0;
  // True while the router should receive requests.
  virtual bool Ready() = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CONTROL_COMMANDS_H_
