#include "config/settings_loader.h"

#include <google/protobuf/util/json_util.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <string_view>

#include "config/text_file.h"

namespace balsamhall {
namespace {

constexpr const char* kDefaultOperatorKeyVariable = "BALSAMHALL_OPERATOR_KEY";
constexpr auto kLogLevels = std::to_array<std::string_view>(
    {"trace", "debug", "info", "warn", "error"});

// Replaces fields that are 0 or empty by their defaults. An empty operator key
// is read from the environment variable that operator_key_env names.
void FillDefaults(schema::RouterSettings& settings) {
  const auto fill = [](std::uint32_t value, std::uint32_t fallback) {
    return value == 0 ? fallback : value;
  };
  settings.set_traffic_threads(fill(settings.traffic_threads(), 2));
  settings.set_max_caller_connections(
      fill(settings.max_caller_connections(), 4096));
  settings.set_max_header_bytes(fill(settings.max_header_bytes(), 8U << 10U));
  settings.set_max_body_bytes(fill(settings.max_body_bytes(), 1U << 20U));
  settings.set_memory_limit_mib(fill(settings.memory_limit_mib(), 512));
  settings.set_trace_capacity_spans(
      fill(settings.trace_capacity_spans(), 20'000));
  if (settings.log_level().empty()) settings.set_log_level("info");
  if (settings.operator_key_env().empty()) {
    settings.set_operator_key_env(kDefaultOperatorKeyVariable);
  }
  if (settings.operator_key().empty()) {
    const char* const key = std::getenv(settings.operator_key_env().c_str());
    if (key != nullptr) settings.set_operator_key(key);
  }
}

class Checker {
 public:
  std::vector<ConfigError> Check(const schema::RouterSettings& settings) {
    CheckName("id", settings.id());
    CheckName("data_centre", settings.data_centre());
    CheckName("region", settings.region());
    CheckAddress("caller_address", settings.caller_address());
    CheckAddress("peer_address", settings.peer_address());
    CheckAddress("forward_address", settings.forward_address());
    CheckAddress("control_address", settings.control_address());
    CheckAddress("log_address", settings.log_address());
    CheckAddress("vm_list_address", settings.vm_list_address());
    CheckDistinct(settings);
    CheckRange("traffic_threads", settings.traffic_threads(), 1, 256);
    CheckRange("max_caller_connections", settings.max_caller_connections(), 1,
               1'000'000);
    CheckRange("max_header_bytes", settings.max_header_bytes(), 1U << 10U,
               1U << 20U);
    CheckRange("max_body_bytes", settings.max_body_bytes(), 1U << 10U,
               64U << 20U);
    CheckRange("memory_limit_mib", settings.memory_limit_mib(), 64, 1U << 20U);
    CheckRange("trace_capacity_spans", settings.trace_capacity_spans(), 1,
               10'000'000);
    if (std::ranges::find(kLogLevels, settings.log_level()) ==
        kLogLevels.end()) {
      AddError(
          "log_level",
          fmt::format("\"{}\" is not one of trace, debug, info, warn, error",
                      settings.log_level()));
    }
    if (settings.operator_key().empty()) {
      AddError("operator_key",
               fmt::format("is missing, and the environment variable {} is not "
                           "set",
                           settings.operator_key_env()));
    }
    return std::move(errors_);
  }

 private:
  void AddError(std::string path, std::string reason) {
    errors_.push_back(
        {std::move(path), std::move(reason), ResultCode::kSettingsInvalid});
  }

  void CheckName(const char* path, const std::string& name) {
    if (!IsName(name)) {
      AddError(path,
               fmt::format("\"{}\" is not a name: 1 to 64 letters, digits, "
                           "\"-\", \"_\" or \".\", beginning with a letter "
                           "or digit",
                           name));
    }
  }

  void CheckAddress(const char* path, const std::string& address) {
    if (!IsAddress(address)) {
      AddError(path, fmt::format("\"{}\" is not a literal ip:port", address));
    }
  }

  void CheckRange(const char* path, std::uint32_t value, std::uint32_t low,
                  std::uint32_t high) {
    if (value < low || value > high) {
      AddError(path, fmt::format("{} is not from {} to {}", value, low, high));
    }
  }

  void CheckDistinct(const schema::RouterSettings& settings) {
    std::map<std::string, const char*> seen;
    for (const auto& [path, address] :
         std::to_array<std::pair<const char*, const std::string&>>(
             {{"caller_address", settings.caller_address()},
              {"peer_address", settings.peer_address()},
              {"forward_address", settings.forward_address()},
              {"control_address", settings.control_address()}})) {
      const auto [found, inserted] = seen.emplace(address, path);
      if (!inserted && IsAddress(address)) {
        AddError(path, fmt::format("\"{}\" is already used by {}", address,
                                   found->second));
      }
    }
  }

  std::vector<ConfigError> errors_;
};

}  // namespace

std::vector<ConfigError> CheckSettings(const schema::RouterSettings& settings) {
  return Checker().Check(settings);
}

Result<schema::RouterSettings> ParseSettings(const std::string& json) {
  schema::RouterSettings settings;
  const auto status =
      google::protobuf::util::JsonStringToMessage(json, &settings);
  if (!status.ok()) {
    return Error{ResultCode::kSettingsInvalid, status.message().as_string()};
  }
  FillDefaults(settings);
  const auto errors = CheckSettings(settings);
  if (!errors.empty()) {
    return Error{ResultCode::kSettingsInvalid, DescribeConfigErrors(errors)};
  }
  return settings;
}

Result<schema::RouterSettings> LoadSettings(const std::string& path) {
  auto text = ReadTextFile(path);
  if (!text) return std::move(text).error();
  return ParseSettings(text.value());
}

}  // namespace balsamhall
