// Validation rules of a routing configuration. Every reader of the log applies
// the same rules, so a change to them changes which publications are accepted.
#ifndef BALSAMHALL_CORE_CONFIG_RULES_H_
#define BALSAMHALL_CORE_CONFIG_RULES_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

// One violated rule. The path has the form of the JSON text, for example
// services[0].endpoints[2].address.
struct ConfigError {
  std::string path;
  std::string reason;
  ResultCode code = ResultCode::kConfigInvalid;
};

// Returns an error for every violated rule, in the order of the configuration;
// empty if it is valid. Policy rules apply only if the policy is set.
// Thread-safe.
std::vector<ConfigError> CheckConfig(const schema::RoutingConfig& config);

// Returns an error for every forbidden difference between a valid configuration
// and the one in force: in the partitions of a service, and in the service and
// fence checking of an endpoint. Thread-safe.
std::vector<ConfigError> CheckConfigChange(
    const schema::RoutingConfig& in_force, const schema::RoutingConfig& next);

// Returns the policy that applies where a configuration sets none.
// Thread-safe.
schema::PolicyConfig DefaultPolicy();

// Parses and checks the JSON text of a configuration, and fills in the default
// policy if it has none. Fails with kConfigSyntax or kConfigInvalid; the
// detail of kConfigInvalid lists every error. Thread-safe.
Result<schema::RoutingConfig> ParseConfig(const std::string& json);

// Returns "path: reason" of every error, joined by "; ". Thread-safe.
std::string DescribeConfigErrors(const std::vector<ConfigError>& errors);

// Returns true for a literal IPv4 address, or an IPv6 address in brackets,
// followed by ":" and a port from 1 to 65535. Thread-safe.
bool IsAddress(std::string_view text);

// Returns true for 1 to 64 characters of A-Z a-z 0-9 - _ and dot, beginning
// with a letter or digit. Such a name needs no escaping in a URL. Thread-safe.
bool IsName(std::string_view text);

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_CONFIG_RULES_H_
