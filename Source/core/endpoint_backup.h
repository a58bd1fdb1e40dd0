// State of one endpoint at its backup router.
#ifndef BALSAMHALL_CORE_ENDPOINT_BACKUP_H_
#define BALSAMHALL_CORE_ENDPOINT_BACKUP_H_

#include <cstdint>
#include <optional>

#include "core/control_context.h"
#include "core/types.h"

namespace balsamhall {

// Monitors the primary router of one endpoint and takes over when the endpoint
// accepts a failover grant. The view that the endpoint reports decides whether
// this router is the backup; views received from other routers only tell which
// primary to monitor. Not thread-safe.
class EndpointBackup {
 public:
  EndpointBackup(ControlContext* context, schema::View view);

  // Stores a view that names this router as backup, unless its term is lower
  // than that of the stored view.
  void OnView(const schema::View& view);
  void OnTick();
  // Handles a primary's request to fail over its endpoint.
  void OnHandover(const schema::Handover& handover);

  // Handles the response to a probe or a failover grant. Returns the response
  // to an accepted failover, once; the caller then makes this router the
  // primary.
  std::optional<schema::GrantResponse> OnGrantResponse(
      const schema::GrantResponse& response);

  // Promises never to fail over from a view up to the returned term. Returns
  // nullopt while a failover that the endpoint may have accepted can still hold
  // a lease.
  std::optional<Fence> PromiseStandDown(const Fence& term);

  // Makes the same promise up to this term without a stand-down request.
  void RaisePromise(const Fence& term);

  bool retired() const { return retired_; }
  const schema::View& view() const { return view_; }
  // Time after which no lease from a failover grant of this router is valid.
  SteadyTime lease_bound() const { return lease_bound_; }

 private:
  bool PrimaryLost() const;
  void SendProbe();
  void SendFailover(const schema::GrantResponse& response);

  ControlContext* context_;
  schema::View view_;
  Fence promised_term_;
  std::optional<Fence> handover_term_;
  // Term of a failover grant that was sent and that the endpoint may have
  // accepted.
  std::optional<Fence> attempted_;
  SteadyTime lease_bound_;
  SteadyTime last_probe_;
  std::uint64_t last_response_sequence_ = 0;
  bool retired_ = false;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_ENDPOINT_BACKUP_H_
