#include "router/submission_tracker.h"

#include <utility>
#include <vector>

namespace balsamhall {
namespace {

constexpr Milliseconds kReadBackTimeout{8000};

ResultCode CodeOf(ConfigVerdict verdict) {
  switch (verdict) {
    case ConfigVerdict::kAccepted:
      return ResultCode::kOk;
    case ConfigVerdict::kInvalid:
      return ResultCode::kConfigInvalid;
    case ConfigVerdict::kDigestMismatch:
      return ResultCode::kConfigDigestMismatch;
    case ConfigVerdict::kStaleVersion:
    case ConfigVerdict::kIgnored:
      break;
  }
  return ResultCode::kConfigStaleVersion;
}

}  // namespace

void SubmissionTracker::Add(std::uint64_t sequence, bool is_publication,
                            SteadyTime now,
                            ControlCommands::SubmissionCallback done) {
  pending_[sequence] = {is_publication, now + kReadBackTimeout,
                        std::move(done)};
}

void SubmissionTracker::CompleteReadBack(
    const OwnershipController& controller) {
  std::vector<std::pair<schema::PublishReply, PendingSubmission>> ended;
  std::erase_if(pending_, [&](auto& item) {
    const auto result = controller.ResultOf(item.first);
    if (!result) return false;
    const std::uint64_t version = controller.configuration().version();
    if (item.second.is_publication &&
        result->verdict == ConfigVerdict::kIgnored &&
        version < result->offset) {
      return false;  // read, but not evaluated yet
    }
    const ResultCode code =
        item.second.is_publication ? CodeOf(result->verdict) : ResultCode::kOk;
    schema::PublishReply reply;
    reply.set_code(static_cast<std::uint32_t>(code));
    reply.set_detail(std::string{ResultCodeName(code)});
    reply.set_sequence(item.first);
    reply.set_offset(result->offset);
    reply.set_version_in_force(version);
    reply.set_digest_in_force(controller.configuration().digest());
    ended.emplace_back(std::move(reply), std::move(item.second));
    return true;
  });
  for (const auto& [reply, submission] : ended) submission.done(reply);
}

void SubmissionTracker::ExpireOverdue(SteadyTime now) {
  std::vector<PendingSubmission> ended;
  std::erase_if(pending_, [&](auto& item) {
    if (now < item.second.expires_at) return false;
    ended.push_back(std::move(item.second));
    return true;
  });
  for (const PendingSubmission& submission : ended) {
    submission.done(
        Error{ResultCode::kLogAnswerLost,
              "not read back from the log; it may still take effect"});
  }
}

}  // namespace balsamhall
