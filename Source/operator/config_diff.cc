#include "operator/config_diff.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "operator/text_table.h"

namespace balsamhall {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

std::string RankName(int rank) {
  switch (rank) {
    case schema::RANK_URGENT:
      return "urgent";
    case schema::RANK_NORMAL:
      return "normal";
    default:
      return "background";
  }
}

std::string ValueText(const Message& message, const FieldDescriptor& field) {
  const auto& reflection = *message.GetReflection();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING: {
      const std::string text = reflection.GetString(message, &field);
      return text.empty() ? "nothing" : text;
    }
    case FieldDescriptor::CPPTYPE_BOOL:
      return reflection.GetBool(message, &field) ? "yes" : "no";
    case FieldDescriptor::CPPTYPE_UINT32:
      return std::to_string(reflection.GetUInt32(message, &field));
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return fmt::format("{:g}", reflection.GetDouble(message, &field));
    case FieldDescriptor::CPPTYPE_ENUM:
      return RankName(reflection.GetEnumValue(message, &field));
    default:
      return {};
  }
}

// Names a field as the sheet does.
std::string Words(std::string name) {
  if (name == "keyed") return "divided by key";
  std::ranges::replace(name, '_', ' ');
  return name;
}

// Compares the plain fields of two messages of one type; a new field of the
// schema is included without a change here.
void CompareFields(const std::string& subject, const Message& from,
                   const Message& to, std::vector<std::string>& lines) {
  const auto& descriptor = *from.GetDescriptor();
  for (int i = 0; i < descriptor.field_count(); ++i) {
    const FieldDescriptor& field = *descriptor.field(i);
    if (field.is_repeated() || field.message_type() != nullptr) continue;
    const std::string before = ValueText(from, field);
    const std::string after = ValueText(to, field);
    if (before == after) continue;
    lines.push_back(fmt::format("{} changes {} from {} to {}.", subject,
                                Words(field.name()), before, after));
  }
}

template <typename Items>
auto ByName(const Items& items) {
  std::map<std::string, const typename Items::value_type*> map;
  for (const auto& item : items) map[item.name()] = &item;
  return map;
}

// Compares two lists by the names of their items.
template <typename Items, typename Describe, typename Compare>
void CompareLists(const Items& from, const Items& to, Describe describe,
                  Compare compare, std::vector<std::string>& lines) {
  const auto old_items = ByName(from);
  const auto new_items = ByName(to);
  for (const auto& [name, item] : old_items) {
    if (!new_items.contains(name)) {
      lines.push_back(fmt::format("{} is removed.", describe(*item)));
    }
  }
  for (const auto& [name, item] : new_items) {
    const auto old_item = old_items.find(name);
    if (old_item == old_items.end()) {
      lines.push_back(fmt::format("{} is added.", describe(*item)));
    } else {
      compare(*old_item->second, *item);
    }
  }
}

void CompareServices(const schema::ServiceConfig& from,
                     const schema::ServiceConfig& to,
                     std::vector<std::string>& lines) {
  const std::string& service = from.name();
  CompareFields(fmt::format("Service {}", service), from, to, lines);
  const auto endpoint_name = [&](const schema::EndpointConfig& endpoint) {
    return fmt::format("Endpoint {} of {} ({}, {}, {} slots)", endpoint.name(),
                       service, endpoint.address(), endpoint.data_centre(),
                       endpoint.slots());
  };
  CompareLists(
      from.endpoints(), to.endpoints(), endpoint_name,
      [&](const auto& before, const auto& after) {
        CompareFields(fmt::format("Endpoint {} of {}", after.name(), service),
                      before, after, lines);
      },
      lines);
  const auto kind_name = [&](const schema::KindConfig& kind) {
    return fmt::format("Kind {} of {} ({}, target {} ms, deadline {} ms)",
                       kind.name(), service, RankName(kind.rank()),
                       kind.target_ms(), kind.deadline_ms());
  };
  CompareLists(
      from.kinds(), to.kinds(), kind_name,
      [&](const auto& before, const auto& after) {
        CompareFields(fmt::format("Kind {} of {}", after.name(), service),
                      before, after, lines);
      },
      lines);
}

// Splits partitions evenly; the first endpoints take the remainder.
OwnedPartitions EvenSplit(const schema::ServiceConfig& service) {
  OwnedPartitions split;
  const auto count = static_cast<std::uint32_t>(service.endpoints_size());
  std::uint32_t index = 0;
  for (const auto& endpoint : service.endpoints()) {
    split[endpoint.name()] = service.partitions() / count +
                             (index++ < service.partitions() % count ? 1 : 0);
  }
  return split;
}

// Restricts owned to the endpoints of a service. Partitions without a known
// owner are left out.
OwnedPartitions OwnedIn(const schema::ServiceConfig& service,
                        const OwnedPartitions& owned) {
  OwnedPartitions result;
  for (const auto& endpoint : service.endpoints()) {
    const auto found = owned.find(endpoint.name());
    result[endpoint.name()] = found == owned.end() ? 0 : found->second;
  }
  return result;
}

bool SameEndpoints(const schema::ServiceConfig& from,
                   const schema::ServiceConfig& to) {
  const auto before = ByName(from.endpoints());
  const auto after = ByName(to.endpoints());
  return std::ranges::equal(
      before, after, {},
      &std::pair<const std::string, const schema::EndpointConfig*>::first,
      &std::pair<const std::string, const schema::EndpointConfig*>::first);
}

ServiceMove EstimateService(const schema::ServiceConfig& from,
                            const schema::ServiceConfig& to,
                            const OwnedPartitions& owned, double churn) {
  ServiceMove move;
  move.service = to.name();
  move.partitions = to.partitions();
  const auto before = owned.empty() ? EvenSplit(from) : OwnedIn(from, owned);
  std::vector<EndpointMove> after;
  for (const auto& endpoint : to.endpoints()) {
    const auto found = before.find(endpoint.name());
    after.push_back(
        {endpoint.name(), found == before.end() ? 0 : found->second, 0});
  }
  // Endpoints that own most take the remainder, so that they give up least.
  std::ranges::stable_sort(after, std::greater<>(), &EndpointMove::before);
  const auto count = static_cast<std::uint32_t>(after.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    after[i].after =
        to.partitions() / count + (i < to.partitions() % count ? 1 : 0);
  }
  std::uint32_t budgeted = 0;
  for (const auto& endpoint : after) {
    if (endpoint.after > endpoint.before) {
      move.moved += endpoint.after - endpoint.before;
    } else {
      budgeted += endpoint.before - endpoint.after;
    }
  }
  if (churn > 0) move.minutes = budgeted / (churn * to.partitions());
  move.endpoints = std::move(after);
  for (const auto& [endpoint, partitions] : before) {
    if (std::ranges::find(move.endpoints, endpoint, &EndpointMove::endpoint) ==
        move.endpoints.end()) {
      move.endpoints.push_back({endpoint, partitions, 0});
    }
  }
  std::ranges::sort(move.endpoints, {}, &EndpointMove::endpoint);
  return move;
}

}  // namespace

std::vector<std::string> DescribeDifferences(const schema::RoutingConfig& from,
                                             const schema::RoutingConfig& to) {
  std::vector<std::string> lines;
  CompareFields("Configuration", from, to, lines);
  const auto service_name = [](const schema::ServiceConfig& service) {
    return fmt::format("Service {} ({} endpoints, {} partitions)",
                       service.name(), service.endpoints_size(),
                       service.partitions());
  };
  CompareLists(
      from.services(), to.services(), service_name,
      [&](const auto& before, const auto& after) {
        CompareServices(before, after, lines);
      },
      lines);
  CompareFields("Policy", from.policy(), to.policy(), lines);
  return lines;
}

std::vector<ServiceMove> EstimateMoves(const schema::RoutingConfig& from,
                                       const schema::RoutingConfig& to,
                                       const OwnedPartitions& owned) {
  std::vector<ServiceMove> moves;
  const auto old_services = ByName(from.services());
  for (const auto& service : to.services()) {
    const auto found = old_services.find(service.name());
    if (found == old_services.end() || SameEndpoints(*found->second, service)) {
      continue;
    }
    moves.push_back(EstimateService(*found->second, service, owned,
                                    to.policy().churn_per_minute()));
  }
  return moves;
}

std::string DescribeMoves(const std::vector<ServiceMove>& moves) {
  std::string text;
  for (const auto& move : moves) {
    const auto share = [&](std::uint32_t count) {
      return fmt::format("{:.1f}%", 100.0 * count / move.partitions);
    };
    text += fmt::format("Service {}: at least {} of {} partitions ({}) move",
                        move.service, move.moved, move.partitions,
                        share(move.moved));
    if (move.minutes > 0) {
      text += fmt::format(
          "; filling added endpoints takes about {:.1f} min at the churn "
          "budget",
          move.minutes);
    }
    text += ".\n";
    TextTable table({"endpoint", "now", "share", "then", "share"});
    for (const auto& endpoint : move.endpoints) {
      table.AddRow({endpoint.endpoint, std::to_string(endpoint.before),
                    share(endpoint.before), std::to_string(endpoint.after),
                    share(endpoint.after)});
    }
    text += table.ToString();
  }
  return text;
}

}  // namespace balsamhall
