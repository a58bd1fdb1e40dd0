#include "core/config_rules.h"

#include <arpa/inet.h>
#include <google/protobuf/util/json_util.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <cmath>
#include <map>
#include <set>

namespace balsamhall {
namespace {

// Limits the routing table of a service to some tens of megabytes.
constexpr std::uint32_t kMaxPartitions = 1U << 20U;
// Floors above half of the slot time would let the lower ranks determine when
// urgent requests run.
constexpr double kMaxFloorSum = 0.5;
// Sums of shares written in decimal may exceed 1 by a rounding error.
constexpr double kRoundingTolerance = 1e-9;

class Checker {
 public:
  std::vector<ConfigError> Check(const schema::RoutingConfig& config) {
    if (config.services().empty()) {
      AddError("services", "needs at least one service");
    }
    for (int i = 0; i < config.services_size(); ++i) {
      CheckService(fmt::format("services[{}]", i), config.services(i));
    }
    if (config.has_policy()) CheckPolicy(config.policy());
    return std::move(errors_);
  }

 private:
  // Maps a value to the path of the field that used it first.
  using FirstUses = std::map<std::string, std::string>;

  void AddError(std::string path, std::string reason) {
    errors_.push_back({std::move(path), std::move(reason)});
  }

  void Require(bool condition, const std::string& path,
               const std::string& reason) {
    if (!condition) AddError(path, reason);
  }

  void CheckName(const std::string& path, const std::string& name) {
    if (name.empty()) {
      AddError(path, "is missing");
    } else if (!IsName(name)) {
      AddError(path,
               fmt::format("\"{}\" is not a name: 1 to 64 letters, digits, "
                           "\"-\", \"_\" or \".\", beginning with a letter "
                           "or digit",
                           name));
    }
  }

  void CheckUnique(const std::string& path, const std::string& value,
                   FirstUses& first_uses) {
    if (value.empty()) return;
    const auto [found, inserted] = first_uses.emplace(value, path);
    if (!inserted) {
      AddError(path, fmt::format("\"{}\" is already used by {}", value,
                                 found->second));
    }
  }

  void CheckService(const std::string& path,
                    const schema::ServiceConfig& service) {
    CheckName(path + ".name", service.name());
    CheckUnique(path + ".name", service.name(), service_names_);
    Require(std::has_single_bit(service.partitions()) &&
                service.partitions() <= kMaxPartitions,
            path + ".partitions",
            fmt::format("{} is not a power of two from 1 to {}",
                        service.partitions(), kMaxPartitions));
    Require(!service.endpoints().empty(), path + ".endpoints",
            "needs at least one endpoint");
    Require(!service.kinds().empty(), path + ".kinds",
            "needs at least one kind");
    for (int i = 0; i < service.endpoints_size(); ++i) {
      CheckEndpoint(fmt::format("{}.endpoints[{}]", path, i),
                    service.endpoints(i));
    }
    FirstUses kind_names;
    for (int i = 0; i < service.kinds_size(); ++i) {
      CheckKind(fmt::format("{}.kinds[{}]", path, i), service.kinds(i),
                kind_names);
    }
  }

  void CheckEndpoint(const std::string& path,
                     const schema::EndpointConfig& endpoint) {
    CheckName(path + ".name", endpoint.name());
    CheckUnique(path + ".name", endpoint.name(), endpoint_names_);
    CheckName(path + ".data_centre", endpoint.data_centre());
    CheckName(path + ".region", endpoint.region());
    if (!IsAddress(endpoint.address())) {
      AddError(path + ".address", fmt::format("\"{}\" is not a literal ip:port",
                                              endpoint.address()));
    } else {
      // A server holds one lease, so it can't serve as two endpoints.
      CheckUnique(path + ".address", endpoint.address(), addresses_);
    }
    Require(endpoint.slots() >= 1, path + ".slots", "must be at least 1");
    Require(endpoint.connections() >= 1, path + ".connections",
            "must be at least 1");
    if (!endpoint.vm().empty()) CheckName(path + ".vm", endpoint.vm());
  }

  void CheckKind(const std::string& path, const schema::KindConfig& kind,
                 FirstUses& names) {
    CheckName(path + ".name", kind.name());
    CheckUnique(path + ".name", kind.name(), names);
    Require(schema::Rank_IsValid(kind.rank()), path + ".rank",
            fmt::format("{} is not a rank", static_cast<int>(kind.rank())));
    Require(kind.deadline_ms() >= 1, path + ".deadline_ms",
            "must be at least 1");
    Require(kind.target_ms() >= 1, path + ".target_ms", "must be at least 1");
    Require(kind.target_ms() <= kind.deadline_ms(), path + ".target_ms",
            fmt::format("{} exceeds the deadline of {}", kind.target_ms(),
                        kind.deadline_ms()));
  }

  void CheckShare(const char* field, double share) {
    // NaN fails both comparisons.
    Require(share >= 0 && share <= 1, fmt::format("policy.{}", field),
            fmt::format("{} is not a share from 0 to 1", share));
  }

  void CheckWeight(const char* field, double weight) {
    Require(std::isfinite(weight) && weight >= 0,
            fmt::format("policy.{}", field),
            fmt::format("{} is not a weight of 0 or more", weight));
  }

  void CheckPolicy(const schema::PolicyConfig& policy) {
    CheckShare("floor_normal", policy.floor_normal());
    CheckShare("floor_background", policy.floor_background());
    const double floors = policy.floor_normal() + policy.floor_background();
    Require(!(floors > kMaxFloorSum + kRoundingTolerance),
            "policy.floor_normal",
            fmt::format("the floors sum to {}, which exceeds {}", floors,
                        kMaxFloorSum));
    CheckShare("retry_ratio", policy.retry_ratio());
    CheckShare("churn_per_minute", policy.churn_per_minute());
    Require(
        std::isfinite(policy.move_threshold()) && policy.move_threshold() >= 1,
        "policy.move_threshold",
        fmt::format("{} is not a ratio of 1 or more", policy.move_threshold()));
    CheckWeight("churn_weight", policy.churn_weight());
    CheckWeight("service_weight", policy.service_weight());
    Require(policy.link_kbit_per_s() >= 1, "policy.link_kbit_per_s",
            "must be at least 1");
    CheckShare("link_share_urgent", policy.link_share_urgent());
    CheckShare("link_share_normal", policy.link_share_normal());
    CheckShare("link_share_background", policy.link_share_background());
    const double shares = policy.link_share_urgent() +
                          policy.link_share_normal() +
                          policy.link_share_background();
    Require(!(shares > 1 + kRoundingTolerance), "policy.link_share_urgent",
            fmt::format("the link shares sum to {}, which exceeds 1", shares));
  }

  std::vector<ConfigError> errors_;
  FirstUses service_names_;
  FirstUses endpoint_names_;
  FirstUses addresses_;
};

bool IsPort(std::string_view text) {
  unsigned port = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port >= 1 &&
         port <= 65535;
}

}  // namespace

std::vector<ConfigError> CheckConfig(const schema::RoutingConfig& config) {
  return Checker().Check(config);
}

std::vector<ConfigError> CheckConfigChange(
    const schema::RoutingConfig& in_force, const schema::RoutingConfig& next) {
  // Fields of an endpoint that may not change.
  struct FixedFields {
    std::string service;
    bool checks_fences = false;
  };
  std::map<std::string, std::uint32_t> partitions;
  std::map<std::string, FixedFields> fixed_fields;
  for (const auto& service : in_force.services()) {
    partitions[service.name()] = service.partitions();
    for (const auto& endpoint : service.endpoints()) {
      fixed_fields[endpoint.name()] = {service.name(),
                                       endpoint.checks_fences()};
    }
  }
  std::vector<ConfigError> errors;
  for (int i = 0; i < next.services_size(); ++i) {
    const auto& service = next.services(i);
    const auto path = fmt::format("services[{}]", i);
    const auto known = partitions.find(service.name());
    if (known != partitions.end() && known->second != service.partitions()) {
      errors.push_back({path + ".partitions",
                        fmt::format("{} differs from {} in force; partitions "
                                    "are fixed for the lifetime of a service",
                                    service.partitions(), known->second)});
    }
    for (int j = 0; j < service.endpoints_size(); ++j) {
      const auto& endpoint = service.endpoints(j);
      const auto fixed = fixed_fields.find(endpoint.name());
      if (fixed == fixed_fields.end()) continue;
      const auto endpoint_path = fmt::format("{}.endpoints[{}]", path, j);
      if (fixed->second.service != service.name()) {
        errors.push_back(
            {endpoint_path + ".name",
             fmt::format("\"{}\" belongs to service {} in force; use a new "
                         "name in another service",
                         endpoint.name(), fixed->second.service)});
      } else if (fixed->second.checks_fences != endpoint.checks_fences()) {
        errors.push_back(
            {endpoint_path + ".checks_fences",
             fmt::format("differs from the value in force; use a new name "
                         "instead of \"{}\"",
                         endpoint.name())});
      }
    }
  }
  return errors;
}

schema::PolicyConfig DefaultPolicy() {
  schema::PolicyConfig policy;
  policy.set_floor_normal(0.10);
  policy.set_floor_background(0.05);
  policy.set_retry_ratio(0.10);
  policy.set_churn_per_minute(0.02);
  policy.set_move_threshold(1.10);
  policy.set_churn_weight(1);
  policy.set_service_weight(1);
  policy.set_link_kbit_per_s(30'000);
  policy.set_link_share_urgent(0.6);
  policy.set_link_share_normal(0.3);
  policy.set_link_share_background(0.1);
  return policy;
}

Result<schema::RoutingConfig> ParseConfig(const std::string& json) {
  schema::RoutingConfig config;
  const auto status =
      google::protobuf::util::JsonStringToMessage(json, &config);
  if (!status.ok()) {
    return Error{ResultCode::kConfigSyntax, status.message().as_string()};
  }
  const auto errors = CheckConfig(config);
  if (!errors.empty()) {
    return Error{ResultCode::kConfigInvalid, DescribeConfigErrors(errors)};
  }
  if (!config.has_policy()) *config.mutable_policy() = DefaultPolicy();
  return config;
}

std::string DescribeConfigErrors(const std::vector<ConfigError>& errors) {
  std::string text;
  for (const auto& error : errors) {
    if (!text.empty()) text += "; ";
    text += error.path + ": " + error.reason;
  }
  return text;
}

bool IsAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  std::string host(text.substr(0, colon));
  in6_addr parsed;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

bool IsName(std::string_view text) {
  const auto is_alphanumeric = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
  };
  return !text.empty() && text.size() <= 64 && is_alphanumeric(text.front()) &&
         std::ranges::all_of(text, [&](char c) {
           return is_alphanumeric(c) || c == '-' || c == '_' || c == '.';
         });
}

}  // namespace balsamhall
