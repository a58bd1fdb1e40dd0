#include "operator/config_source.h"

#include <spdlog/fmt/fmt.h>

#include "config/sheet.h"
#include "config/text_file.h"
#include "core/config_rules.h"

namespace balsamhall {

Result<schema::RoutingConfig> ReadConfigFile(const std::string& path) {
  const auto text = ReadTextFile(path);
  if (!text) return text.error();
  const auto first = text.value().find_first_not_of(" \t\r\n");
  if (first != std::string::npos && text.value()[first] == '{') {
    auto config = ParseConfig(text.value());
    if (config) return config;
    return Error{config.error().code,
                 fmt::format("{}: {}", path, config.error().detail)};
  }
  auto sheet = ParseSheet(text.value());
  if (sheet.errors.empty()) return std::move(sheet.config);
  return Error{ResultCode::kSheetInvalid,
               fmt::format("{} has {} faults:\n{}", path, sheet.errors.size(),
                           DescribeSheetErrors(sheet.errors))};
}

}  // namespace balsamhall
