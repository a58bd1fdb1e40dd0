// Parser for CSV text that reports errors by row and column.
#ifndef BALSAMHALL_CONFIG_CSV_TABLE_H_
#define BALSAMHALL_CONFIG_CSV_TABLE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"

namespace balsamhall {

// One error in a sheet. Row and column count from 1, as a spreadsheet shows
// them; column 0 refers to the whole row, row 0 to the whole sheet.
struct SheetError {
  std::size_t row = 0;
  std::size_t column = 0;
  std::string reason;
  ResultCode code = ResultCode::kSheetInvalid;
};

struct CsvRow {
  std::size_t row = 0;  // line on which the row begins, from 1
  std::vector<std::string> cells;
};

struct CsvTable {
  std::vector<CsvRow> rows;  // without empty rows
  std::vector<SheetError> errors;
};

// Parses comma-separated text in UTF-8, with or without a byte order mark.
// After a syntax error it continues with the line after the first line of the
// row, so that all errors are found in one pass; it stops after 200 errors.
// Cells that are not UTF-8 or hold control characters are reported and left
// empty. Thread-safe.
CsvTable ParseCsv(std::string_view text);

}  // namespace balsamhall

#endif  // BALSAMHALL_CONFIG_CSV_TABLE_H_
