// Transfers of partitions to and from the endpoint of EndpointPrimary.
#include <algorithm>
#include <utility>

#include "core/endpoint_primary.h"
#include "core/transfer_refusal.h"

namespace balsamhall {
void EndpointPrimary::OnTransfer(const RouterId& from,
                                 const schema::Transfer& transfer) {
  schema::PeerMessage message = MakePeerMessage(context_->self());
  auto* reply = message.mutable_transfer_reply();
  reply->set_service(transfer.service());
  reply->set_source_endpoint(transfer.source_endpoint());
  reply->set_target_endpoint(transfer.target_endpoint());
  *reply->mutable_target_view() = view_;
  const bool stale = FromProto(transfer.target_term()) != Term();
  if (stale) {
    reply->set_status(schema::TRANSFER_STALE_VIEW);
    context_->Emit(SendPeerMessage{from, std::move(message)});
    return;
  }
  if (!AnswerTransfer(from, transfer)) {
    waiting_[transfer.source_endpoint()] = {from, transfer};
  }
}

bool EndpointPrimary::AnswerTransfer(const RouterId& from,
                                     const schema::Transfer& transfer) {
  schema::TransferReply done;
  done.set_service(transfer.service());
  done.set_source_endpoint(transfer.source_endpoint());
  done.set_target_endpoint(endpoint());
  *done.mutable_target_view() = view_;
  schema::TransferReply refused = done;
  done.set_status(schema::TRANSFER_DONE);
  refused.set_status(schema::TRANSFER_REFUSED);
  bool all_answered = true;
  const bool check_order =
      !context_->options().removed_guards.contains(Guard::kEpochOrder);
  for (const auto& entry : transfer.partitions()) {
    const PartitionId partition = entry.partition();
    const Fence epoch = FromProto(entry.epoch());
    const auto holding = holdings_.find(partition);
    if (holding != holdings_.end() && holding->second.epoch >= epoch) {
      if (holding->second.acked) {
        *done.add_partitions() = entry;
      } else {
        all_answered = false;
      }
      continue;
    }
    const auto outgoing = transfers_.outgoing().find(partition);
    if (outgoing != transfers_.outgoing().end() &&
        outgoing->second.epoch > epoch) {
      all_answered = false;
      continue;
    }
    const auto record = history_.find(partition);
    if (check_order && record != history_.end() &&
        FromProto(record->second.epoch()) >= epoch) {
      // A lower epoch from another source is obsolete: the partition has moved
      // on to the source of the refused transfer.
      const bool was_refused = record->second.target_endpoint() ==
                               kRefusedPrefix + transfer.source_endpoint();
      if (was_refused && unrecorded_refusals_.contains(partition)) {
        all_answered = false;
        continue;
      }
      *(was_refused ? refused : done).add_partitions() = entry;
      continue;
    }
    if (check_order && context_->HighestEpoch(service_, partition) > epoch) {
      *done.add_partitions() = entry;
      continue;
    }
    if (!Accepting() || handover_) {
      if (phase_ != Phase::kServing && phase_ != Phase::kEvicted) {
        all_answered = false;
        continue;
      }
      // Remembered, so that a repeat of this transfer is refused as well. The
      // endpoint records it before the answer: a later primary might accept a
      // repeat while the source already sends the partition elsewhere. An
      // evicted endpoint has no other primary.
      schema::ReleasedPartition refusal;
      refusal.set_partition(partition);
      *refusal.mutable_epoch() = entry.epoch();
      refusal.set_target_endpoint(kRefusedPrefix + transfer.source_endpoint());
      history_[partition] = refusal;
      if (phase_ == Phase::kServing) {
        unrecorded_refusals_.insert(partition);
        state_changed_ = true;
        all_answered = false;
        continue;
      }
      *refused.add_partitions() = entry;
      continue;
    }
    holdings_[partition] = Holding{epoch, false, false, {}, {}};
    state_changed_ = true;
    all_answered = false;
  }
  for (auto* reply : {&done, &refused}) {
    if (reply->partitions_size() == 0) continue;
    schema::PeerMessage message = MakePeerMessage(context_->self());
    *message.mutable_transfer_reply() = std::move(*reply);
    context_->Emit(SendPeerMessage{from, std::move(message)});
  }
  return all_answered;
}

void EndpointPrimary::AnswerWaitingTransfers() {
  std::erase_if(waiting_, [&](const auto& item) {
    const auto& [from, transfer] = item.second;
    return FromProto(transfer.target_term()) != Term() ||
           AnswerTransfer(from, transfer);
  });
}

void EndpointPrimary::OnTransferReply(const schema::TransferReply& reply) {
  const TransferSender::ReplyResult result = transfers_.OnReply(reply);
  for (const PartitionId partition : result.completed) {
    history_[partition].set_target_endpoint(reply.target_endpoint());
  }
  for (const PartitionId partition : result.refused) {
    if (phase_ != Phase::kServing || demoted_) continue;
    // The endpoint learns the new target first, for a failover in between.
    const auto outgoing = transfers_.outgoing().find(partition);
    if (outgoing == transfers_.outgoing().end()) continue;
    transfers_.RequireRecord(partition);
  }
  RecordTargets();
  if (transfers_.empty()) context_->MarkRoutingDirty();
}

void EndpointPrimary::RecordTargets() {
  if (phase_ != Phase::kServing) return;
  for (const auto& [partition, outgoing] : transfers_.outgoing()) {
    if (outgoing.recorded || outgoing.target.empty()) continue;
    schema::ReleasedPartition& record = history_[partition];
    if (record.target_endpoint() == outgoing.target) continue;
    record.set_target_endpoint(outgoing.target);
    state_changed_ = true;
  }
}

void EndpointPrimary::Release(PartitionId partition, const EndpointId& target,
                              const std::string& cause) {
  const auto holding = holdings_.find(partition);
  if (holding == holdings_.end() || !holding->second.acked ||
      holding->second.releasing || target == endpoint()) {
    return;
  }
  holding->second.releasing = true;
  holding->second.target = target;
  holding->second.cause = cause;
  state_changed_ = true;
  context_->MarkRoutingDirty();
}

void EndpointPrimary::AddAssigned(PartitionId partition, const Fence& epoch) {
  const bool known = holdings_.contains(partition) ||
                     history_.contains(partition) ||
                     transfers_.outgoing().contains(partition) ||
                     context_->HighestEpoch(service_, partition) >= epoch;
  if (known || demoted_ || phase_ == Phase::kEvicting ||
      phase_ == Phase::kEvicted) {
    return;
  }
  holdings_[partition] = Holding{epoch, false, false, {}, {}};
  state_changed_ = true;
}

}  // namespace balsamhall
