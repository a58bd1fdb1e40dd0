// EndpointPrimary: transfers of partitions to and from the endpoint.
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
    pending_incoming_transfers_[transfer.source_endpoint()] = {from, transfer};
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
    const auto held = held_.find(partition);
    if (held != held_.end() && held->second.epoch >= epoch) {
      if (held->second.acked) {
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
      // A lower epoch from another source is obsolete: the partition has since
      // moved to the source of the refused transfer.
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
      // Recorded, so that a retry of this transfer is refused as well. The
      // endpoint records the refusal before it is sent: otherwise a later
      // primary might accept a retry while the source already sends the
      // partition elsewhere. An evicted endpoint has no other primary, so its
      // refusal is sent at once.
      schema::ReleasedPartition refusal;
      refusal.set_partition(partition);
      *refusal.mutable_epoch() = entry.epoch();
      refusal.set_target_endpoint(kRefusedPrefix + transfer.source_endpoint());
      history_[partition] = refusal;
      if (phase_ == Phase::kServing) {
        unrecorded_refusals_.insert(partition);
        has_unsent_changes_ = true;
        all_answered = false;
        continue;
      }
      *refused.add_partitions() = entry;
      continue;
    }
    held_[partition] = HeldPartition{epoch, false, false, {}, {}};
    has_unsent_changes_ = true;
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

void EndpointPrimary::AnswerPendingTransfers() {
  std::erase_if(pending_incoming_transfers_, [&](const auto& item) {
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
    // The endpoint records the new target before the transfer is sent, because
    // a failover may happen in between.
    const auto outgoing = transfers_.outgoing().find(partition);
    if (outgoing == transfers_.outgoing().end()) continue;
    transfers_.RequireTargetRecorded(partition);
  }
  RecordTargets();
  if (transfers_.empty()) context_->MarkRoutingDirty();
}

void EndpointPrimary::RecordTargets() {
  if (phase_ != Phase::kServing) return;
  for (const auto& [partition, outgoing] : transfers_.outgoing()) {
    if (outgoing.target_recorded || outgoing.target.empty()) continue;
    schema::ReleasedPartition& record = history_[partition];
    // Names the refused epoch, so that a later primary does not use it again.
    const Fence refused{outgoing.epoch.offset, outgoing.epoch.counter - 1};
    const Fence recorded = FromProto(record.epoch());
    if (recorded > refused ||
        (recorded == refused && record.target_endpoint() == outgoing.target)) {
      continue;
    }
    record.set_partition(partition);
    *record.mutable_epoch() = ToProto(refused);
    record.set_target_endpoint(outgoing.target);
    has_unsent_changes_ = true;
  }
}

void EndpointPrimary::Release(PartitionId partition, const EndpointId& target,
                              const std::string& cause) {
  const auto held = held_.find(partition);
  if (held == held_.end() || !held->second.acked || held->second.releasing ||
      target == endpoint()) {
    return;
  }
  held->second.releasing = true;
  held->second.target = target;
  held->second.cause = cause;
  has_unsent_changes_ = true;
  context_->MarkRoutingDirty();
}

void EndpointPrimary::AddAssigned(PartitionId partition, const Fence& epoch) {
  const bool known = held_.contains(partition) ||
                     history_.contains(partition) ||
                     transfers_.outgoing().contains(partition) ||
                     context_->HighestEpoch(service_, partition) >= epoch;
  if (known || demoted_ || phase_ == Phase::kEvicting ||
      phase_ == Phase::kEvicted) {
    return;
  }
  held_[partition] = HeldPartition{epoch, false, false, {}, {}};
  has_unsent_changes_ = true;
}

}  // namespace balsamhall
