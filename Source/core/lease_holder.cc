#include "core/lease_holder.h"

#include <algorithm>
#include <utility>

#include "core/invariant.h"

namespace balsamhall {
namespace {

std::int64_t ToMicros(SteadyTime time) {
  return std::chrono::duration_cast<Microseconds>(time.time_since_epoch())
      .count();
}

SteadyTime FromMicros(std::int64_t micros) {
  return SteadyTime(
      std::chrono::duration_cast<SteadyTime::duration>(Microseconds(micros)));
}

bool SameRouter(const schema::RouterRef& a, const schema::RouterRef& b) {
  return a.id() == b.id() && a.incarnation() == b.incarnation();
}

}  // namespace

LeaseHolder::LeaseHolder(EndpointId endpoint, std::uint64_t incarnation,
                         bool check_fences)
    : endpoint_(std::move(endpoint)),
      incarnation_(incarnation),
      check_fences_(check_fences) {
  view_.set_endpoint(endpoint_);
  view_.set_endpoint_incarnation(incarnation_);
}

schema::GrantStatus LeaseHolder::EvaluateGrant(
    const schema::GrantRequest& request) const {
  const schema::View& view = request.view();
  if (view.endpoint() != endpoint_) return schema::GRANT_MALFORMED;
  if (request.read_only()) return schema::GRANT_ACCEPTED;
  if (view.endpoint_incarnation() != incarnation_) {
    return schema::GRANT_WRONG_INCARNATION;
  }
  const Fence requested_term = FromProto(view.term());
  const Fence current = FromProto(view_.term());
  if (requested_term.IsZero()) return schema::GRANT_MALFORMED;
  if (!check_fences_) return schema::GRANT_ACCEPTED;
  if (requested_term < current) return schema::GRANT_STALE_TERM;
  if (requested_term == current) {
    if (!SameRouter(view.primary(), view_.primary())) {
      return schema::GRANT_STALE_TERM;
    }
    return request.sequence() > last_sequence_ ? schema::GRANT_ACCEPTED
                                               : schema::GRANT_STALE_TERM;
  }
  // A new term replaces the one that the sender knew, or comes from the log.
  const bool replaces_known = FromProto(request.previous_term()) == current;
  const bool from_log = requested_term.offset > current.offset;
  return current.IsZero() || replaces_known || from_log
             ? schema::GRANT_ACCEPTED
             : schema::GRANT_TERM_MISMATCH;
}

void LeaseHolder::AdoptView(const schema::View& view) {
  if (!SameRouter(view.primary(), view_.primary())) {
    oldest_valid_term_ = FromProto(view.term());
  }
  view_ = view;
}

bool LeaseHolder::AddPartition(const schema::PartitionEpoch& add) {
  const Fence epoch = FromProto(add.epoch());
  if (epoch.IsZero()) return false;
  const auto released = released_.find(add.partition());
  if (check_fences_ && released != released_.end() &&
      FromProto(released->second.epoch()) >= epoch) {
    return false;
  }
  const auto held = held_.find(add.partition());
  if (held != held_.end() && held->second.epoch >= epoch) return false;
  held_[add.partition()] = HeldPartition{epoch, false, {}};
  return true;
}

void LeaseHolder::RecordRelease(PartitionId partition, const Fence& epoch,
                                const EndpointId& target) {
  schema::ReleasedPartition& record = released_[partition];
  if (FromProto(record.epoch()) > epoch) return;
  // Keeps the recorded target, to which a router may still have to transfer.
  if (FromProto(record.epoch()) == epoch && target.empty()) return;
  record.set_partition(partition);
  *record.mutable_epoch() = ToProto(epoch);
  record.set_target_endpoint(target);
}

void LeaseHolder::ReleasePartition(const schema::ReleasedPartition& release) {
  const auto held = held_.find(release.partition());
  if (held == held_.end() || held->second.epoch != FromProto(release.epoch())) {
    return;
  }
  held->second.releasing = true;
  held->second.target = release.target_endpoint();
  FinishRelease(release.partition());
}

void LeaseHolder::FinishRelease(PartitionId partition) {
  const auto held = held_.find(partition);
  if (held == held_.end() || !held->second.releasing ||
      running_work_.contains(partition)) {
    return;
  }
  RecordRelease(partition, held->second.epoch, held->second.target);
  held_.erase(held);
}

void LeaseHolder::DropUnlisted(const schema::GrantRequest& request) {
  std::erase_if(held_, [&](const auto& item) {
    const auto& [partition, held] = item;
    const bool listed = std::ranges::any_of(
        request.add(), [&](const schema::PartitionEpoch& add) {
          return add.partition() == partition &&
                 FromProto(add.epoch()) == held.epoch;
        });
    if (!listed) RecordRelease(partition, held.epoch, {});
    return !listed;
  });
}

schema::GrantResponse LeaseHolder::OnGrant(const schema::GrantRequest& request,
                                           SteadyTime now,
                                           std::uint32_t in_flight) {
  schema::GrantResponse response;
  response.set_status(EvaluateGrant(request));
  response.set_sequence(request.sequence());
  response.set_in_flight(in_flight);
  response.set_lease_was_lapsed(!LeaseValid(now));
  response.set_holder_time_us(ToMicros(now));
  const bool accepted = response.status() == schema::GRANT_ACCEPTED;
  bool full_state = request.read_only() || request.add_size() > 0 ||
                    request.release_size() > 0 || request.history_size() > 0;
  if (accepted && !request.read_only()) {
    full_state |= FromProto(request.view().term()) != FromProto(view_.term());
    Apply(request);
  }
  *response.mutable_view() = view_;
  response.set_held_count(static_cast<std::uint32_t>(held_.size()));
  if (full_state || !accepted) FillState(&response);
  return response;
}

void LeaseHolder::Apply(const schema::GrantRequest& request) {
  AdoptView(request.view());
  last_sequence_ = request.sequence();
  lease_end_ =
      FromMicros(request.lease_from_us()) + Milliseconds(request.lease_ms());
  for (const auto& record : request.history()) {
    RecordRelease(record.partition(), FromProto(record.epoch()),
                  record.target_endpoint());
  }
  if (request.release_all_unlisted()) DropUnlisted(request);
  for (const auto& release : request.release()) ReleasePartition(release);
  for (const auto& add : request.add()) AddPartition(add);
}

void LeaseHolder::FillState(schema::GrantResponse* response) const {
  response->set_full_state(true);
  for (const auto& [partition, held] : held_) {
    if (held.releasing) response->add_releasing(partition);
    auto* entry = response->add_held();
    entry->set_partition(partition);
    *entry->mutable_epoch() = ToProto(held.epoch);
  }
  for (const auto& [partition, record] : released_) {
    *response->add_released() = record;
  }
}

ResultCode LeaseHolder::TryStartWork(std::optional<PartitionId> partition,
                                     const Fence& term, const Fence& epoch,
                                     SteadyTime now) {
  if (!check_fences_) return ResultCode::kOk;
  if (term < oldest_valid_term_ || term > FromProto(view_.term()) ||
      term.IsZero()) {
    return ResultCode::kNotRunStaleFence;
  }
  if (!LeaseValid(now)) return ResultCode::kNotRunNoOwner;
  if (!partition) return ResultCode::kOk;
  const auto held = held_.find(*partition);
  if (held == held_.end() || held->second.releasing) {
    return ResultCode::kNotRunNoOwner;
  }
  if (held->second.epoch != epoch) return ResultCode::kNotRunStaleFence;
  ++running_work_[*partition];
  return ResultCode::kOk;
}

void LeaseHolder::FinishWork(std::optional<PartitionId> partition) {
  if (!check_fences_ || !partition) return;
  const auto running = running_work_.find(*partition);
  if (running == running_work_.end()) return;
  if (--running->second == 0) running_work_.erase(running);
  FinishRelease(*partition);
}

bool LeaseHolder::Owns(PartitionId partition, SteadyTime now) const {
  const auto held = held_.find(partition);
  return held != held_.end() && LeaseValid(now);
}

bool LeaseHolder::LeaseValid(SteadyTime now) const { return now < lease_end_; }

}  // namespace balsamhall
