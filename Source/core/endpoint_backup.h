// State of one endpoint at its backup router.
#ifndef BALSAMHALL_CORE_ENDPOINT_BACKUP_H_
#define BALSAMHALL_CORE_ENDPOINT_BACKUP_H_

#include <cstdint>
#include <optional>

#include "core/control_context.h"
#include "core/types.h"

namespace balsamhall {

// Watches the primary and fails over with the endpoint's consent. The view
// that the endpoint reports decides whether this router is the backup; what the
// backup heard before only tells it what to watch. Not thread-safe.
class EndpointBackup {
 public:
  EndpointBackup(ControlContext* context, schema::View view);

  // A later view names this router as backup.
  void OnView(const schema::View& view);
  void OnTick();
  // The primary asks for the failover.
  void OnHandover(const schema::Handover& handover);

  // Returns the response to an accepted failover once, then the caller makes
  // this router the primary.
  std::optional<schema::GrantResponse> OnGrantResponse(
      const schema::GrantResponse& response);

  // Promises never to fail over up to the returned term, or returns nullopt.
  std::optional<Fence> PromiseStandDown(const Fence& term);

  // Refuses failover up to this term, without a request.
  void RaisePromise(const Fence& term);

  bool retired() const { return retired_; }
  const schema::View& view() const { return view_; }
  SteadyTime lease_bound() const { return lease_bound_; }

 private:
  bool PrimaryLost() const;
  void SendProbe();
  void SendFailover(const schema::GrantResponse& response);

  ControlContext* context_;
  schema::View view_;
  Fence promised_term_;
  std::optional<Fence> handover_term_;
  // Term of a failover grant that was sent; the endpoint may have accepted it.
  std::optional<Fence> attempted_;
  SteadyTime lease_bound_;
  SteadyTime last_probe_;
  std::uint64_t last_response_sequence_ = 0;
  bool retired_ = false;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_ENDPOINT_BACKUP_H_
