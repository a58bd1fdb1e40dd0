// Sheet: the CSV form of a routing configuration that operators edit. It has
// one section of rows for each of customer, service, endpoint, kind and policy.
// See docs/configuration.md.
#ifndef BALSAMHALL_CONFIG_SHEET_H_
#define BALSAMHALL_CONFIG_SHEET_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/csv_table.h"
#include "core/types.h"

namespace balsamhall {

struct SheetResult {
  schema::RoutingConfig config;    // complete only if errors is empty
  std::vector<SheetError> errors;  // sorted by row and column
};

// Parses a sheet, checks it by the rules of core/config_rules.h, and reports
// every error with its cell. Thread-safe.
SheetResult ParseSheet(std::string_view text);

// Returns one line per error: "row 7, column 3 (C): reason [310
// sheet-invalid]". Thread-safe.
std::string DescribeSheetErrors(const std::vector<SheetError>& errors);

// Returns the JSON text of a configuration, with the field names of the schema.
// Fields with default values are included. Thread-safe.
std::string ConfigToJson(const schema::RoutingConfig& config, bool indented);

}  // namespace balsamhall

#endif  // BALSAMHALL_CONFIG_SHEET_H_
