// Operator commands that the control server exposes.
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
  // Appends the publication to the log. Calls back when its record has been
  // read back, or with kLogAnswerLost after the read-back timeout of a few
  // seconds. May call back before it returns if the body is invalid.
  virtual void Publish(const schema::ConfigPublished& publication,
                       SubmissionCallback done) = 0;
  virtual void DeclareLost(const schema::VmDeclaredLost& declaration,
                           SubmissionCallback done) = 0;
  virtual std::string PrometheusText() = 0;
  // Returns true while load balancers should send requests to this router.
  virtual bool Ready() = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_CONTROL_COMMANDS_H_
