// How current a gateway's copies of the store's logs are.
#ifndef BALSAMHALL_GATEWAY_STORE_PROOFS_H_
#define BALSAMHALL_GATEWAY_STORE_PROOFS_H_

#include <array>
#include <map>
#include <string>

#include "gateway/boot_clock.h"
#include "gateway/coordination_store.h"

namespace balsamhall::gateway {

// A response of the store showed that the copy of a log was complete as of this
// time.
struct LogProof {
  BootTime as_of;     // the clock's epoch: the store has shown nothing
  unsigned hops = 0;  // gateways between the store and the one with the copy

  bool operator==(const LogProof&) const = default;
};

// A proof as it travels between gateways, whose clocks are not comparable.
struct ProofAge {
  // Age when the request for it arrived; negative if the proof is later.
  Milliseconds age{0};
  unsigned hops = 0;  // of the gateway that responds

  bool operator==(const ProofAge&) const = default;
};

// Age of a log that the store has never shown: far above any limit.
inline constexpr Milliseconds kNoProofAge{std::chrono::hours(24)};

// Returns the age to state in the response to a request that arrived then.
// Rounds up. Thread-safe.
ProofAge AgeAt(const LogProof& proof, BootTime arrived);

// Returns the proof that a response with this age gives to a gateway that sent
// the request at sent. Never later than received. The request arrived after it
// was sent, so the proof is not later than the one of the other gateway.
// Thread-safe.
LogProof ProofFrom(const ProofAge& age, BootTime sent, BootTime received);

// Returns the age for a log line: milliseconds, or "none" without a proof.
// Thread-safe.
std::string FormatAge(const LogProof& proof, BootTime now);

// The latest proof for each of the logs whose changes have to be in force
// within a limit, configurations and endpoints. Lease tables state their age
// themselves. Not thread-safe.
class StoreProofs {
 public:
  static constexpr std::array kLogs{Log::kOperatorConfig,
                                    Log::kEndpointRegistry};

  // Keeps the later one of this proof and the one so far.
  void Extend(Log log, const LogProof& proof);

  // Precondition: log is one of kLogs.
  const LogProof& Of(Log log) const { return proofs_.at(log); }
  // Returns as of when the copies of all logs are complete.
  BootTime oldest() const;

 private:
  std::map<Log, LogProof> proofs_{{kLogs[0], {}}, {kLogs[1], {}}};
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_STORE_PROOFS_H_
