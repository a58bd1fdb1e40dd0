#include "core/routing_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace balsamhall {
namespace {

std::uint64_t HashCombine(std::uint64_t digest, std::uint64_t value) {
  return XXH64(&value, sizeof(value), digest);
}

}  // namespace

bool RoutingTable::Update(const schema::EndpointRouting& routing,
                          SteadyTime now) {
  const EndpointId& endpoint = routing.view().endpoint();
  const auto found = entries_.find(endpoint);
  if (found != entries_.end()) {
    const schema::EndpointRouting& known = found->second.routing;
    const Fence known_term = FromProto(known.view().term());
    const Fence term = FromProto(routing.view().term());
    if (term < known_term ||
        (term == known_term && routing.revision() <= known.revision())) {
      return false;
    }
  }
  const bool restarted = found == entries_.end() ||
                         found->second.routing.view().endpoint_incarnation() !=
                             routing.view().endpoint_incarnation();
  SteadyTime serving_since = restarted ? now : found->second.serving_since;
  // A recently started router sees endpoints that have served for long; another
  // slow start of them would cut the capacity of the fleet at each restart.
  if (found == entries_.end() && routing.revision() > 1) serving_since = {};
  entries_[endpoint] = Entry{routing, serving_since};
  NoteView(routing.view());
  std::vector<Fence>& epochs = highest_epochs_[routing.service()];
  for (const auto& entry : routing.partitions()) {
    if (entry.partition() >= epochs.size()) {
      epochs.resize(entry.partition() + 1);
    }
    Fence& highest = epochs[entry.partition()];
    highest = std::max(highest, FromProto(entry.epoch()));
  }
  return true;
}

void RoutingTable::NoteView(const schema::View& view) {
  schema::View& known = views_[view.endpoint()];
  if (FromProto(known.term()) <= FromProto(view.term())) known = view;
}

const schema::EndpointRouting* RoutingTable::Find(
    const EndpointId& endpoint) const {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() ? nullptr : &found->second.routing;
}

std::optional<schema::View> RoutingTable::KnownView(
    const EndpointId& endpoint) const {
  const auto found = views_.find(endpoint);
  if (found == views_.end()) return std::nullopt;
  return found->second;
}

Fence RoutingTable::HighestEpoch(const ServiceId& service,
                                 PartitionId partition) const {
  const auto found = highest_epochs_.find(service);
  if (found == highest_epochs_.end() || partition >= found->second.size()) {
    return {};
  }
  return found->second[partition];
}

std::uint64_t RoutingTable::DigestOf(const RouterId& primary) const {
  std::uint64_t digest = 0;
  for (const auto& [endpoint, entry] : entries_) {
    const schema::EndpointRouting& routing = entry.routing;
    if (routing.view().primary().id() != primary) continue;
    digest = XXH64(endpoint.data(), endpoint.size(), digest);
    digest = HashCombine(digest, routing.view().term().offset());
    digest = HashCombine(digest, routing.view().term().counter());
    digest = HashCombine(digest, routing.revision());
  }
  return digest;
}

std::vector<RoutingTable::Owner> RoutingTable::HighestEpochOwners(
    const ServiceId& service, std::uint32_t partitions) const {
  std::vector<Owner> owners(partitions);
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.routing.service() != service) continue;
    for (const auto& item : entry.routing.partitions()) {
      if (item.partition() >= partitions) continue;
      Owner& owner = owners[item.partition()];
      const Fence epoch = FromProto(item.epoch());
      if (owner.epoch < epoch) owner = Owner{epoch, endpoint};
    }
  }
  return owners;
}

std::vector<EndpointId> RoutingTable::Owners(const ServiceId& service,
                                             std::uint32_t partitions) const {
  std::vector<EndpointId> owners;
  owners.reserve(partitions);
  for (Owner& owner : HighestEpochOwners(service, partitions)) {
    owners.push_back(std::move(owner.endpoint));
  }
  return owners;
}

void RoutingTable::FillSnapshot(const schema::RoutingConfig& config,
                                RoutingSnapshot* snapshot) const {
  for (const auto& service : config.services()) {
    ServiceRoute& route = snapshot->services[service.name()];
    route.config = service;
    route.partitions.reserve(service.partitions());
    for (const Owner& owner :
         HighestEpochOwners(service.name(), service.partitions())) {
      route.partitions.push_back({owner.endpoint, owner.epoch});
    }
    for (const auto& endpoint : service.endpoints()) {
      EndpointRoute& target = snapshot->endpoints[endpoint.name()];
      target.config = endpoint;
      target.service = service.name();
      const auto found = entries_.find(endpoint.name());
      if (found == entries_.end()) continue;
      const schema::EndpointRouting& routing = found->second.routing;
      target.term = FromProto(routing.view().term());
      target.primary = routing.view().primary().id();
      target.accepting = routing.accepting();
      target.load = routing.load();
      target.state = routing.state();
      target.serving_since = found->second.serving_since;
    }
  }
}

}  // namespace balsamhall
