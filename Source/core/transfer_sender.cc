#include "core/transfer_sender.h"

#include <algorithm>
#include <utility>

namespace balsamhall {
namespace {

constexpr Milliseconds kTransferRetryInterval{150};

}  // namespace

TransferSender::TransferSender(ControlContext* context, ServiceId service,
                               EndpointId source)
    : context_(context),
      service_(std::move(service)),
      source_(std::move(source)) {}

void TransferSender::Add(PartitionId partition, OutgoingTransfer outgoing) {
  last_sent_.erase(outgoing.target);
  outgoing_[partition] = std::move(outgoing);
}

void TransferSender::ChooseTargets() {
  std::map<PartitionId, double> without_target;
  for (const auto& [partition, outgoing] : outgoing_) {
    if (outgoing.target.empty()) without_target[partition] = 0;
  }
  if (without_target.empty()) return;
  for (const auto& [partition, target] :
       context_->TargetEndpoints(service_, without_target, source_)) {
    OutgoingTransfer& outgoing = outgoing_[partition];
    outgoing.target = target;
    last_sent_.erase(target);
  }
}

void TransferSender::Tick() {
  ChooseTargets();
  std::map<EndpointId, std::vector<PartitionId>> by_target;
  for (const auto& [partition, outgoing] : outgoing_) {
    if (outgoing.target.empty() || !outgoing.target_recorded ||
        context_->now() < outgoing.not_before) {
      continue;
    }
    by_target[outgoing.target].push_back(partition);
  }
  for (const auto& [target, partitions] : by_target) Send(target, partitions);
}

void TransferSender::Send(const EndpointId& target,
                          const std::vector<PartitionId>& partitions) {
  const auto last = last_sent_.find(target);
  if (last != last_sent_.end() &&
      context_->now() < last->second + kTransferRetryInterval) {
    return;
  }
  const std::optional<schema::View> view = context_->KnownView(target);
  if (!view) return;
  last_sent_[target] = context_->now();
  last_sent_terms_[target] = FromProto(view->term());
  schema::PeerMessage message = MakePeerMessage(context_->self());
  schema::Transfer* transfer = message.mutable_transfer();
  transfer->set_service(service_);
  transfer->set_source_endpoint(source_);
  transfer->set_target_endpoint(target);
  *transfer->mutable_target_term() = view->term();
  for (const PartitionId partition : partitions) {
    OutgoingTransfer& outgoing = outgoing_[partition];
    outgoing.highest_sent_term =
        std::max(outgoing.highest_sent_term, FromProto(view->term()));
    auto* entry = transfer->add_partitions();
    entry->set_partition(partition);
    *entry->mutable_epoch() = ToProto(outgoing.epoch);
  }
  context_->Emit(SendPeerMessage{view->primary().id(), std::move(message)});
}

TransferSender::ReplyResult TransferSender::OnReply(
    const schema::TransferReply& reply) {
  ReplyResult result;
  if (reply.status() == schema::TRANSFER_STALE_VIEW) {
    // Retried at once only if the reply carries a later view than the one used.
    SteadyTime& last_sent = last_sent_[reply.target_endpoint()];
    const Fence term = FromProto(reply.target_view().term());
    Fence& last_sent_term = last_sent_terms_[reply.target_endpoint()];
    if (term > last_sent_term) last_sent = SteadyTime{};
    return result;
  }
  for (const auto& entry : reply.partitions()) {
    const auto found = outgoing_.find(entry.partition());
    if (found == outgoing_.end() ||
        found->second.target != reply.target_endpoint() ||
        found->second.epoch != FromProto(entry.epoch())) {
      continue;
    }
    if (reply.status() == schema::TRANSFER_DONE) {
      Complete(entry.partition(), reply.target_endpoint());
      result.completed.push_back(entry.partition());
    } else if (reply.status() == schema::TRANSFER_REFUSED &&
               FromProto(reply.target_view().term()) ==
                   found->second.highest_sent_term) {
      // A refusal under an older view does not bind a later primary of the
      // target, to which the transfer was sent as well. The target refuses this
      // epoch permanently, so the next attempt uses the next epoch.
      found->second.epoch = found->second.epoch.Next();
      found->second.target.clear();
      found->second.highest_sent_term = Fence{};
      result.refused.push_back(entry.partition());
    }
  }
  ChooseTargets();
  return result;
}

void TransferSender::Complete(PartitionId partition, const EndpointId& target) {
  const OutgoingTransfer& outgoing = outgoing_[partition];
  schema::MoveEvent move;
  move.set_service(service_);
  move.set_partition(partition);
  move.set_from_endpoint(source_);
  move.set_to_endpoint(target);
  *move.mutable_epoch() = ToProto(outgoing.epoch);
  move.set_cause(outgoing.cause);
  context_->RecordMove(move);
  outgoing_.erase(partition);
}

void TransferSender::MarkTargetRecorded(PartitionId partition,
                                        const Fence& epoch,
                                        const EndpointId& target) {
  const auto found = outgoing_.find(partition);
  if (found != outgoing_.end() && found->second.target == target &&
      found->second.epoch == epoch.Next()) {
    found->second.target_recorded = true;
  }
}

void TransferSender::RequireTargetRecorded(PartitionId partition) {
  const auto found = outgoing_.find(partition);
  if (found != outgoing_.end()) found->second.target_recorded = false;
}

}  // namespace balsamhall
