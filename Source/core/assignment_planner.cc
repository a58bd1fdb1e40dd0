#include "core/assignment_planner.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "core/rendezvous.h"

namespace balsamhall {
namespace {

// Returns the index of the endpoint with the highest score for the key among
// those that own fewer partitions than limit. Precondition: there is one.
std::uint32_t ChooseOwner(const std::string& key,
                          const schema::ServiceConfig& service,
                          const std::vector<std::uint32_t>& partition_counts,
                          std::uint32_t limit) {
  std::uint32_t best = 0;
  std::uint64_t best_score = 0;
  bool found = false;
  for (std::uint32_t i = 0; i < partition_counts.size(); ++i) {
    if (partition_counts[i] >= limit) continue;
    const std::uint64_t score =
        RendezvousScore(key, service.endpoints(static_cast<int>(i)).name());
    if (!found || score > best_score) {
      best = i;
      best_score = score;
      found = true;
    }
  }
  return best;
}

// Returns the endpoint with the lowest load, or with the fewest partitions if
// by_count is set. Precondition: endpoints is not empty.
EndpointLoad& LeastLoaded(std::vector<EndpointLoad>& endpoints, bool by_count) {
  return *std::ranges::min_element(
      endpoints, [by_count](const EndpointLoad& a, const EndpointLoad& b) {
        if (by_count && a.partitions != b.partitions) {
          return a.partitions < b.partitions;
        }
        return std::tie(a.load, a.partitions, a.endpoint) <
               std::tie(b.load, b.partitions, b.endpoint);
      });
}

}  // namespace

std::vector<std::uint32_t> PlanInitialAssignment(
    const schema::ServiceConfig& service) {
  std::vector<std::uint32_t> owners;
  const auto endpoint_count =
      static_cast<std::uint32_t>(service.endpoints_size());
  if (endpoint_count == 0) return owners;
  const std::uint32_t limit =
      (service.partitions() + endpoint_count - 1) / endpoint_count + 1;
  std::vector<std::uint32_t> partition_counts(endpoint_count, 0);
  owners.reserve(service.partitions());
  for (PartitionId partition = 0; partition < service.partitions();
       ++partition) {
    const std::string key = service.name() + "/" + std::to_string(partition);
    const std::uint32_t owner =
        ChooseOwner(key, service, partition_counts, limit);
    ++partition_counts[owner];
    owners.push_back(owner);
  }
  return owners;
}

std::map<PartitionId, EndpointId> ChooseTargets(
    const std::map<PartitionId, double>& partition_load,
    std::vector<EndpointLoad> endpoints) {
  std::map<PartitionId, EndpointId> targets;
  std::erase_if(endpoints,
                [](const EndpointLoad& entry) { return !entry.accepting; });
  if (endpoints.empty()) return targets;
  std::vector<std::pair<PartitionId, double>> heaviest_first(
      partition_load.begin(), partition_load.end());
  std::ranges::stable_sort(heaviest_first, [](const auto& a, const auto& b) {
    return a.second > b.second;
  });
  for (const auto& [partition, load] : heaviest_first) {
    EndpointLoad& target = LeastLoaded(endpoints, load <= 0);
    target.load += std::max(load, 0.0);
    ++target.partitions;
    targets.emplace(partition, target.endpoint);
  }
  return targets;
}

}  // namespace balsamhall
