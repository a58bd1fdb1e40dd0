#include "config/sheet.h"

#include <google/protobuf/util/json_util.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>

#include "config/sheet_reader.h"
#include "core/config_rules.h"

namespace balsamhall {
namespace {

// Cells are named by column letters, as spreadsheets do.
std::string ColumnLetters(std::size_t column) {
  std::string letters;
  for (; column > 0; column = (column - 1) / 26) {
    letters.insert(letters.begin(), static_cast<char>('A' + (column - 1) % 26));
  }
  return letters;
}

std::string DescribePlace(const SheetFault& fault) {
  if (fault.row == 0) return "sheet";
  if (fault.column == 0) return fmt::format("row {}", fault.row);
  return fmt::format("row {}, column {} ({})", fault.row, fault.column,
                     ColumnLetters(fault.column));
}

}  // namespace

SheetResult ParseSheet(std::string_view text) {
  SheetReader reader(ParseCsv(text));
  SheetResult result{reader.config(), reader.faults()};
  std::set<std::pair<std::size_t, std::size_t>> reported;
  for (const auto& fault : result.faults) {
    reported.emplace(fault.row, fault.column);
  }
  for (const auto& fault : CheckConfig(result.config)) {
    if (reader.IsConsequence(fault.path)) continue;
    const auto cell = reader.Locate(fault.path);
    // A cell whose value can't be read keeps 0, which breaks rules as well.
    if (reported.contains({cell.row, cell.column})) continue;
    result.faults.push_back({cell.row, cell.column, fault.reason, fault.code});
  }
  std::ranges::stable_sort(result.faults, {}, [](const SheetFault& fault) {
    return std::pair(fault.row, fault.column);
  });
  return result;
}

std::string DescribeSheetFaults(const std::vector<SheetFault>& faults) {
  std::string text;
  for (const auto& fault : faults) {
    text +=
        fmt::format("{}: {} [{} {}]\n", DescribePlace(fault), fault.reason,
                    static_cast<int>(fault.code), ResultCodeName(fault.code));
  }
  return text;
}

std::string ConfigToJson(const schema::RoutingConfig& config, bool indented) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = indented;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string json;
  // Fails only for types that the configuration does not use.
  (void)google::protobuf::util::MessageToJsonString(config, &json, options);
  return json;
}

}  // namespace balsamhall
