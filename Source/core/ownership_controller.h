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

// Guards that the random test removes one at a time to show that a run without
// the guard fails. All guards are on in production.
enum class Guard {
  kFenceCheck,
  kLeaseWait,
  kEpochOrder,
  kAppendDeduplication,
  kStandDown,
};

struct OwnershipOptions {
  Milliseconds lease{600};
  Milliseconds renewal_interval{150};
  Milliseconds heartbeat_interval{150};
  Milliseconds suspicion_timeout{450};
  Milliseconds drift_margin{50};
  double drift_ratio = 0.01;
  Milliseconds authority_time{1500};  // endpoints that do not check fences
  Milliseconds rebalance_interval{5000};
  std::set<Guard> removed_guards;
};

// State machine without input or output. Not thread-safe: one thread calls it.
// All times come from the caller; randomness comes from the seed.
class OwnershipController {
 public:
  // Precondition: self holds every field but the nonce, which the seed gives.
  OwnershipController(schema::RouterJoined self, OwnershipOptions options,
                      std::uint64_t seed);
  ~OwnershipController();
  OwnershipController(const OwnershipController&) = delete;
  OwnershipController& operator=(const OwnershipController&) = delete;

  // Applies one event and returns what the caller has to do, in order.
  // Precondition: now never decreases.
  OwnershipActions Handle(const OwnershipEvent& event, SteadyTime now);

  // An append on behalf of an operator, found again by its sequence.
  struct Submission {
    std::uint64_t sequence = 0;
    OwnershipActions actions;
  };

  // What became of a submission: its offset and, for a publication, the
  // verdict of every reader.
  struct SubmissionResult {
    std::uint64_t offset = 0;
    ConfigVerdict verdict = ConfigVerdict::kIgnored;
  };

  // Appends a publication on behalf of an operator.
  Submission Publish(const schema::ConfigPublished& publication,
                     SteadyTime now);

  // Declares a VM lost for good on behalf of an operator.
  Submission DeclareLost(const schema::VmDeclaredLost& declaration,
                         SteadyTime now);

  // Returns the result once the submission was read back from the log.
  std::optional<SubmissionResult> ResultOf(std::uint64_t sequence) const;

  // Name under which the outer layer appends for this process.
  const std::string& writer_id() const;

  // Returns the current routing state.
  std::shared_ptr<const RoutingSnapshot> routing() const;

  // Returns the accepted configuration; version 0 if there is none.
  const schema::ConfigSnapshot& configuration() const;

  // Returns the state for operators; ranks are filled in by the caller.
  schema::RouterStatus status(SteadyTime now) const;

  // Returns the recorded moves of a partition, oldest first.
  std::vector<schema::MoveEvent> moves(const ServiceId& service,
                                       PartitionId partition) const;

  // Returns this process's reference; incarnation 0 until it joined.
  const RouterRef& self() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_OWNERSHIP_CONTROLLER_H_
