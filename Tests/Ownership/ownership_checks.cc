#include "Ownership/ownership_checks.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "core/config_rules.h"

namespace balsamhall::ownership_test {
namespace {

std::string Describe(const PartitionKey& key) {
  return key.first + "/" + std::to_string(key.second);
}

std::string Describe(const schema::View& view) {
  return fmt::format("term={} primary={}@{} backup={}@{}",
                     FromProto(view.term()).ToString(), view.primary().id(),
                     view.primary().incarnation(), view.backup().id(),
                     view.backup().incarnation());
}

// Returns the full state of the lease holder without changing it.
schema::GrantResponse ReadState(const EndpointProcess& endpoint) {
  LeaseHolder copy = *endpoint.holder;
  schema::GrantRequest request;
  request.mutable_view()->set_endpoint(endpoint.name());
  request.set_read_only(true);
  return copy.OnGrant(request, endpoint.Clock(), 0);
}

}  // namespace

OwnershipChecks::OwnershipChecks(Fleet* fleet)
    : fleet_(fleet), reference_register_(ParseConfig) {
  reference_register_.OnReachedEnd();
}

void OwnershipChecks::AfterGrant(EndpointProcess* endpoint,
                                 const RouterProcess& router,
                                 const schema::GrantRequest& request,
                                 const schema::GrantResponse& response) {
  const bool renewal =
      response.status() == schema::GRANT_ACCEPTED && !response.full_state();
  if (!renewal) {
    fleet_->simulation().Trace(
        fmt::format("grant {} -> {} {} status={} held={} add={} release={}{}",
                    router.label(), endpoint->name(), Describe(request.view()),
                    static_cast<int>(response.status()), response.held_count(),
                    request.add_size(), request.release_size(),
                    request.read_only() ? " read-only" : ""));
  }
  const SteadyTime now = endpoint->Clock();
  const schema::GrantResponse state = ReadState(*endpoint);
  for (const auto& held : state.held()) {
    const PartitionKey key{endpoint->service, held.partition()};
    const Fence epoch = FromProto(held.epoch());
    highest_granted_epochs_[key] =
        std::max(highest_granted_epochs_[key], epoch);
    if (endpoint->holder->Owns(held.partition(), now)) {
      CheckOwner(endpoint, key, epoch);
    }
  }
}

void OwnershipChecks::CheckOwner(EndpointProcess* endpoint,
                                 const PartitionKey& key, const Fence& epoch) {
  for (const EndpointProcess* const other : fleet_->endpoints()) {
    if (other == endpoint || other->service != key.first || !other->running()) {
      continue;
    }
    if (other->holder->Owns(key.second, other->Clock())) {
      throw FailedCheck(fmt::format("P1: {} is owned by {} and by {}",
                                    Describe(key), endpoint->name(),
                                    other->name()));
    }
  }
  const std::uint64_t incarnation = endpoint->holder->incarnation();
  OwnerRecord& latest = latest_owners_[key];
  const bool same_owner =
      latest.endpoint == endpoint->name() && latest.incarnation == incarnation;
  const bool epoch_advances =
      same_owner ? epoch >= latest.epoch : epoch > latest.epoch;
  if (!epoch_advances) {
    throw FailedCheck(
        fmt::format("P1: {} goes to {} under epoch {} after {} "
                    "owned it under epoch {}",
                    Describe(key), endpoint->name(), epoch.ToString(),
                    latest.endpoint, latest.epoch.ToString()));
  }
  if (!same_owner) {
    fleet_->simulation().Trace(fmt::format("owner {} {} -> {} epoch={}",
                                           Describe(key), latest.endpoint,
                                           endpoint->name(), epoch.ToString()));
  }
  latest = {epoch, endpoint->name(), incarnation};
}

EndpointId OwnershipChecks::OwnerOf(const PartitionKey& key) const {
  const auto found = latest_owners_.find(key);
  return found == latest_owners_.end() ? EndpointId() : found->second.endpoint;
}

void OwnershipChecks::OnPeerMessage(const RouterProcess& from,
                                    const schema::PeerMessage& message) {
  if (message.has_heartbeat() || message.has_routing_update()) return;
  fleet_->simulation().Trace(from.label() + " sends " +
                             message.ShortDebugString().substr(0, 200));
  if (!message.has_transfer_reply()) return;
  const schema::TransferReply& reply = message.transfer_reply();
  if (reply.status() != schema::TRANSFER_DONE) return;
  for (const auto& partition : reply.partitions()) {
    const PartitionKey key{reply.service(), partition.partition()};
    // The target may have been lost since, and its primary may have moved the
    // partition to another endpoint under a higher epoch before it answers.
    const Fence epoch = FromProto(partition.epoch());
    if (highest_granted_epochs_[key] < epoch) {
      throw FailedCheck(fmt::format(
          "P2: {} acknowledged the transfer of {} to {}, but no endpoint held "
          "it under epoch {}",
          from.label(), Describe(key), reply.target_endpoint(),
          epoch.ToString()));
    }
  }
}

void OwnershipChecks::ReadReferenceRecords() {
  const auto& history = fleet_->log().history();
  for (; reference_records_read_ < history.size(); ++reference_records_read_) {
    const schema::LogRecord& record = history[reference_records_read_].record;
    const std::uint64_t offset = reference_records_read_ + 1;
    if (record.has_config_published()) {
      reference_register_.OnPublished(offset, record.config_published());
    } else if (record.has_config_snapshot()) {
      if (record.config_snapshot().version() >
          reference_register_.current().version()) {
        throw FailedCheck("P8: snapshot of a version that was not accepted");
      }
    }
    accepted_digests_[reference_register_.current().version()] =
        reference_register_.current().digest();
  }
}

void OwnershipChecks::AfterRouterEvent(RouterProcess* router) {
  const std::uint64_t incarnation = router->controller->self().incarnation;
  const auto table = router->controller->routing();
  const auto known = table->routers.find(router->name());
  const bool wrong_incarnation = incarnation != 0 &&
                                 known != table->routers.end() &&
                                 known->second.incarnation != incarnation;
  if (wrong_incarnation || (router->checked_incarnation != 0 &&
                            incarnation != router->checked_incarnation)) {
    throw FailedCheck(fmt::format("incarnation: {} has more than one: {}",
                                  router->label(), incarnation));
  }
  router->checked_incarnation = incarnation;
  const schema::ConfigSnapshot& current = router->controller->configuration();
  if (current.version() == router->checked_version) return;
  ReadReferenceRecords();
  const auto accepted = accepted_digests_.find(current.version());
  if (current.version() < router->checked_version) {
    throw FailedCheck(fmt::format("P8: {} reverts from version {} to {}",
                                  router->label(), router->checked_version,
                                  current.version()));
  }
  if (accepted == accepted_digests_.end() ||
      accepted->second != current.digest()) {
    throw FailedCheck(fmt::format(
        "P8: {} has version {} in force, which the log does not accept",
        router->label(), current.version()));
  }
  fleet_->simulation().Trace(
      fmt::format("{} version {}", router->label(), current.version()));
  router->checked_version = current.version();
}

std::optional<std::string> OwnershipChecks::UnservedReason(
    const RouterProcess& entry, const PartitionKey& key) {
  const auto [service, partition] = key;
  const auto because = [&](const std::string& reason) {
    return fmt::format("{} by {}: {}", Describe(key), entry.label(), reason);
  };
  const auto table = entry.controller->routing();
  const auto route = table->services.find(service);
  if (route == table->services.end()) return because("no service");
  const PartitionRoute& owner = route->second.partitions.at(partition);
  if (owner.owner.empty()) return because("no owner known");
  const auto via = table->endpoints.find(owner.owner);
  if (via == table->endpoints.end()) return because("no endpoint known");
  RouterProcess* const primary = fleet_->FindRouter(via->second.primary);
  if (primary == nullptr) return because(owner.owner + " has no primary");
  if (!primary->active() ||
      !fleet_->network().CanReach(entry.name(), primary->name())) {
    return because("primary " + primary->name() + " is out of reach");
  }
  const auto primary_table = primary->controller->routing();
  const auto serving = primary_table->endpoints.find(owner.owner);
  if (serving == primary_table->endpoints.end() ||
      serving->second.primary != primary->name() ||
      !serving->second.accepting) {
    return because(primary->name() + " does not dispatch to " + owner.owner);
  }
  const PartitionRoute& current =
      primary_table->services.at(service).partitions.at(partition);
  if (current.owner != owner.owner) {
    return because(primary->name() + " routes elsewhere: " + current.owner);
  }
  const EndpointProcess* const endpoint = fleet_->FindEndpoint(owner.owner);
  if (!endpoint->active() ||
      !fleet_->network().CanReach(primary->name(), endpoint->name())) {
    return because(endpoint->name() + " is out of reach");
  }
  LeaseHolder copy = *endpoint->holder;
  const ResultCode code = copy.TryStartWork(partition, serving->second.term,
                                            current.epoch, endpoint->Clock());
  if (code == ResultCode::kOk) return std::nullopt;
  return because(endpoint->name() +
                 " refuses: " + std::string(ResultCodeName(code)));
}

std::optional<std::string> OwnershipChecks::FirstUnservedReason() {
  for (const auto& [service, partitions] : fleet_->services()) {
    for (PartitionId partition = 0; partition < partitions; ++partition) {
      for (const RouterProcess* const entry : fleet_->routers()) {
        if (!entry->active()) continue;
        auto reason = UnservedReason(*entry, {service, partition});
        if (reason) return reason;
      }
    }
  }
  return std::nullopt;
}

std::optional<std::string> OwnershipChecks::StaleConfigReason() {
  ReadReferenceRecords();
  for (const RouterProcess* const router : fleet_->routers()) {
    if (!router->active()) continue;
    const auto version = router->controller->configuration().version();
    if (version != reference_register_.current().version()) {
      return fmt::format("{} has version {} instead of {}", router->label(),
                         version, reference_register_.current().version());
    }
  }
  return std::nullopt;
}

std::optional<std::string> OwnershipChecks::IncompleteViewReason() {
  for (const EndpointProcess* const endpoint : fleet_->endpoints()) {
    if (!endpoint->active()) continue;
    const schema::View& view = endpoint->holder->view();
    for (const schema::RouterRef& party : {view.primary(), view.backup()}) {
      const RouterProcess* const router = fleet_->FindRouter(party.id());
      if (router == nullptr || !router->active() ||
          router->controller->self().incarnation != party.incarnation()) {
        return endpoint->name() + " has an incomplete view: " + Describe(view);
      }
    }
  }
  return std::nullopt;
}

}  // namespace balsamhall::ownership_test
