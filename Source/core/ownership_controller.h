// Control state of one router: configuration, membership, the endpoints whose
// primary or backup it is, and the routing state learned from other routers.
#ifndef BALSAMHALL_CORE_OWNERSHIP_CONTROLLER_H_
#define BALSAMHALL_CORE_OWNERSHIP_CONTROLLER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/config_register.h"
#include "core/ownership_events.h"
#include "core/routing_snapshot.h"
#include "core/types.h"

namespace balsamhall {

// Safety checks that the random ownership test disables one at a time to show
// that a run without the check fails. All checks are enabled in production.
enum class Guard {
  kFenceCheck,           // endpoints check terms and epochs
  kLeaseWait,            // eviction waits until the lease has expired
  kEpochOrder,           // transfers with obsolete epochs are not applied
  kAppendDeduplication,  // repeats of an append in the log are dropped
  kStandDown,            // eviction waits for the consent of the backups
};

struct OwnershipOptions {
  Milliseconds lease{600};
  Milliseconds renewal_interval{150};
  Milliseconds heartbeat_interval{150};
  Milliseconds suspicion_timeout{450};
  // Clock drift that is allowed for between two processes: a fixed part and a
  // part in proportion to the time measured.
  Milliseconds drift_margin{50};
  double drift_ratio = 0.01;
  // Time after sending an acknowledged grant for which the primary may dispatch
  // to an endpoint that does not check fences.
  Milliseconds authority_time{1500};
  Milliseconds rebalance_interval{5000};
  std::set<Guard> removed_guards;
};

// Deterministic state machine that performs no I/O. Not thread-safe: one thread
// calls it. All times come from the caller; randomness comes from the seed.
class OwnershipController {
 public:
  // Precondition: every field of self is set except the nonce, which is drawn
  // from the seed, and replaces, which is set before the join is appended.
  OwnershipController(schema::RouterJoined self, OwnershipOptions options,
                      std::uint64_t seed);
  ~OwnershipController();
  OwnershipController(const OwnershipController&) = delete;
  OwnershipController& operator=(const OwnershipController&) = delete;

  // Applies one event and returns the actions that the caller has to perform,
  // in order. Precondition: now never decreases between calls.
  OwnershipActions Handle(const OwnershipEvent& event, SteadyTime now);

  // An append on behalf of an operator, identified by its sequence, and the
  // actions that the caller has to perform.
  struct Submission {
    std::uint64_t sequence = 0;
    OwnershipActions actions;
  };

  // Result of a submission: its log offset and, for a publication, the verdict
  // that every reader of the log reaches.
  struct SubmissionResult {
    std::uint64_t offset = 0;
    ConfigVerdict verdict = ConfigVerdict::kIgnored;
  };

  // Queues the append of a configuration on behalf of an operator.
  Submission Publish(const schema::ConfigPublished& publication,
                     SteadyTime now);

  // Queues the append that declares a VM permanently lost on behalf of an
  // operator.
  Submission DeclareLost(const schema::VmDeclaredLost& declaration,
                         SteadyTime now);

  // Returns the result once the submission was read back from the log, else
  // nullopt.
  std::optional<SubmissionResult> ResultOf(std::uint64_t sequence) const;

  // Returns the writer name under which the caller appends for this process.
  const std::string& writer_id() const;

  // Returns the current routing state.
  std::shared_ptr<const RoutingSnapshot> routing() const;

  // Returns the accepted configuration; version 0 if there is none.
  const schema::ConfigSnapshot& configuration() const;

  // Returns the status for operators. The caller fills in the ranks.
  schema::RouterStatus status(SteadyTime now) const;

  // Returns the latest recorded moves of a partition, oldest first. The history
  // is bounded.
  std::vector<schema::MoveEvent> moves(const ServiceId& service,
                                       PartitionId partition) const;

  // Returns the reference of this process. The incarnation is 0 until the join
  // of this process was read.
  const RouterRef& self() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_OWNERSHIP_CONTROLLER_H_
