#include "operator/router_arguments.h"

#include <spdlog/fmt/fmt.h>

#include <cstdlib>

#include "config/text_file.h"
#include "core/config_rules.h"

namespace balsamhall {
namespace {

constexpr const char* kKeyVariable = "BALSAMHALL_OPERATOR_KEY";

}  // namespace

RouterArguments::RouterArguments(CommandLine& line)
    : routers_("r", "router",
               "Control address of a router. May be repeated; one that answers "
               "is enough, as it names the others.",
               false, "ip:port", line.arguments()),
      timeout_("", "timeout-ms", "Time to wait for each answer; default 2000.",
               false, 2000, "number", line.arguments()) {}

std::optional<std::string> RouterArguments::Check(bool required) const {
  if (required && routers_.getValue().empty()) return "--router is missing";
  for (const auto& address : routers_.getValue()) {
    if (!IsAddress(address)) {
      return fmt::format("--router {} is not a literal ip:port", address);
    }
  }
  if (timeout_.getValue() < 1 || timeout_.getValue() > 600'000) {
    return "--timeout-ms is not from 1 to 600000";
  }
  return std::nullopt;
}

Milliseconds RouterArguments::timeout() const {
  return Milliseconds(timeout_.getValue());
}

Result<std::string> ReadOperatorKey(const std::string& key_file) {
  std::string key;
  if (!key_file.empty()) {
    const auto text = ReadTextFile(key_file);
    if (!text) return text.error();
    key = text.value().substr(0, text.value().find_first_of("\r\n"));
  } else if (const char* const value = std::getenv(kKeyVariable)) {
    key = value;
  }
  if (!key.empty()) return key;
  return Error{ResultCode::kOperatorKeyWrong,
               fmt::format("no operator key: name a file with --key-file, or "
                           "set {}",
                           kKeyVariable)};
}

}  // namespace balsamhall
