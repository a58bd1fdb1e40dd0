#include "gateway/store_proofs.h"

#include <algorithm>
#include <ranges>

namespace balsamhall::gateway {

ProofAge AgeAt(const LogProof& proof, BootTime arrived) {
  if (proof.as_of == BootTime{}) return {kNoProofAge, proof.hops};
  return {std::chrono::ceil<Milliseconds>(arrived - proof.as_of), proof.hops};
}

LogProof ProofFrom(const ProofAge& age, BootTime sent, BootTime received) {
  if (age.age >= kNoProofAge) return {};
  return {std::clamp<BootTime>(sent - age.age, BootTime{}, received),
          age.hops + 1};
}

std::string FormatAge(const LogProof& proof, BootTime now) {
  if (proof.as_of == BootTime{}) return "none";
  return std::to_string(
             std::chrono::duration_cast<Milliseconds>(now - proof.as_of)
                 .count()) +
         "ms";
}

void StoreProofs::Extend(Log log, const LogProof& proof) {
  const auto known = proofs_.find(log);
  if (known != proofs_.end() && proof.as_of > known->second.as_of) {
    known->second = proof;
  }
}

BootTime StoreProofs::oldest() const {
  return std::ranges::min(proofs_ | std::views::values, {}, &LogProof::as_of)
      .as_of;
}

}  // namespace balsamhall::gateway
