#include "config/sheet.h"

#include <google/protobuf/util/json_util.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>

#include "config/sheet_reader.h"
#include "core/config_rules.h"

namespace balsamhall {
namespace {

// Returns the letters that spreadsheets show for a column: 1 is A, 27 is AA.
std::string ColumnLetters(std::size_t column) {
  std::string letters;
  for (; column > 0; column = (column - 1) / 26) {
    letters.insert(letters.begin(), static_cast<char>('A' + (column - 1) % 26));
  }
  return letters;
}

std::string DescribeLocation(const SheetError& error) {
  if (error.row == 0) return "sheet";
  if (error.column == 0) return fmt::format("row {}", error.row);
  return fmt::format("row {}, column {} ({})", error.row, error.column,
                     ColumnLetters(error.column));
}

}  // namespace

SheetResult ParseSheet(std::string_view text) {
  SheetReader reader(ParseCsv(text));
  SheetResult result{reader.config(), reader.errors()};
  std::set<std::pair<std::size_t, std::size_t>> reported;
  for (const auto& error : result.errors) {
    reported.emplace(error.row, error.column);
  }
  for (const auto& error : CheckConfig(result.config)) {
    if (reader.IsCascadingError(error.path)) continue;
    const auto location = reader.Locate(error.path);
    // A cell whose value can't be parsed is read as 0, which also violates
    // rules.
    if (reported.contains({location.row, location.column})) continue;
    result.errors.push_back(
        {location.row, location.column, error.reason, error.code});
  }
  std::ranges::stable_sort(result.errors, {}, [](const SheetError& error) {
    return std::pair(error.row, error.column);
  });
  return result;
}

std::string DescribeSheetErrors(const std::vector<SheetError>& errors) {
  std::string text;
  for (const auto& error : errors) {
    text +=
        fmt::format("{}: {} [{} {}]\n", DescribeLocation(error), error.reason,
                    static_cast<int>(error.code), ResultCodeName(error.code));
  }
  return text;
}

std::string ConfigToJson(const schema::RoutingConfig& config, bool indented) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = indented;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string json;
  // Conversion fails only for types that the configuration does not use.
  (void)google::protobuf::util::MessageToJsonString(config, &json, options);
  return json;
}

}  // namespace balsamhall
