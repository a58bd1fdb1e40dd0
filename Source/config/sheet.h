// The operators' sheet: a CSV file with one section of rows for each of
// customer, service, endpoint, kind and policy. See docs/configuration.md.
#ifndef BALSAMHALL_CONFIG_SHEET_H_
#define BALSAMHALL_CONFIG_SHEET_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/csv_table.h"
#include "core/types.h"

namespace balsamhall {

struct SheetResult {
  schema::RoutingConfig config;    // complete only if there is no error
  std::vector<SheetError> errors;  // by row and column
};

// Parses a sheet, checks it by the rules of core/config_rules.h, and reports
// every fault with its cell. Thread-safe.
SheetResult ParseSheet(std::string_view text);

// Returns one line per fault: "row 7, column 3 (C): reason [310
// sheet-invalid]". Thread-safe.
std::string DescribeSheetErrors(const std::vector<SheetError>& errors);

// Returns the JSON text of a configuration with the field names of the schema
// and all fields. Thread-safe.
std::string ConfigToJson(const schema::RoutingConfig& config, bool indented);

}  // namespace balsamhall

#endif  // BALSAMHALL_CONFIG_SHEET_H_
