// Partitions that left an endpoint and have no new owner yet.
#ifndef BALSAMHALL_CORE_TRANSFER_SENDER_H_
#define BALSAMHALL_CORE_TRANSFER_SENDER_H_

#include <map>
#include <string>
#include <vector>

#include "core/control_context.h"
#include "core/types.h"

namespace balsamhall {

// Repeats the transfer of each partition until the primary of its target has
// answered. Not thread-safe.
class TransferSender {
 public:
  struct OutgoingTransfer {
    Fence epoch;  // epoch of the new owner
    EndpointId target;
    SteadyTime not_before;
    // The source endpoint has recorded the target, so that a new primary sends
    // to the same one.
    bool target_recorded = true;
    std::string cause;
    // Highest term of the target's view under which the transfer was sent.
    Fence highest_sent_term = {};
  };

  TransferSender(ControlContext* context, ServiceId service, EndpointId source);

  void Add(PartitionId partition, OutgoingTransfer outgoing);
  void Tick();

  struct ReplyResult {
    std::vector<PartitionId> completed;  // owned by the target of the reply
    std::vector<PartitionId> refused;    // given a new target if there is one
  };

  ReplyResult OnReply(const schema::TransferReply& reply);

  // Marks the target as recorded by the source endpoint, with this epoch, if it
  // is still the current one and the epoch is the one before the transfer's.
  void MarkTargetRecorded(PartitionId partition, const Fence& epoch,
                          const EndpointId& target);
  // Marks the partition as not to be sent before its target is recorded.
  void RequireTargetRecorded(PartitionId partition);

  void Clear() { outgoing_.clear(); }
  bool empty() const { return outgoing_.empty(); }
  const std::map<PartitionId, OutgoingTransfer>& outgoing() const {
    return outgoing_;
  }

 private:
  void ChooseTargets();
  void Send(const EndpointId& target,
            const std::vector<PartitionId>& partitions);
  void Complete(PartitionId partition, const EndpointId& target);

  ControlContext* context_;
  ServiceId service_;
  EndpointId source_;
  std::map<PartitionId, OutgoingTransfer> outgoing_;
  std::map<EndpointId, SteadyTime> last_sent_;
  std::map<EndpointId, Fence> last_sent_terms_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_TRANSFER_SENDER_H_
