// Tracks submissions of operators until they are read back from the log.
#ifndef BALSAMHALL_ROUTER_SUBMISSION_TRACKER_H_
#define BALSAMHALL_ROUTER_SUBMISSION_TRACKER_H_

#include <cstdint>
#include <map>

#include "core/ownership_controller.h"
#include "router/control_commands.h"

namespace balsamhall {

// Not thread-safe.
class SubmissionTracker {
 public:
  // With is_publication, the reply contains the verdict on the submitted
  // configuration. done is called once, with the reply or an error.
  void Add(std::uint64_t sequence, bool is_publication, SteadyTime now,
           ControlCommands::SubmissionCallback done);

  // Replies to submissions whose records the controller has read back.
  void CompleteReadBack(const OwnershipController& controller);

  // Fails submissions that were not read back in time with kLogAnswerLost. They
  // may still take effect.
  void ExpireOverdue(SteadyTime now);

 private:
  struct PendingSubmission {
    bool is_publication = false;
    SteadyTime expires_at;
    ControlCommands::SubmissionCallback done;
  };

  std::map<std::uint64_t, PendingSubmission> pending_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_SUBMISSION_TRACKER_H_
