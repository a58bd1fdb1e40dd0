// Reader that builds a configuration from the rows of a sheet.
#ifndef BALSAMHALL_CONFIG_SHEET_READER_H_
#define BALSAMHALL_CONFIG_SHEET_READER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/csv_table.h"
#include "core/types.h"

namespace balsamhall {

// Converts the rows of a CSV table to a configuration when constructed. Not
// thread-safe.
class SheetReader {
 public:
  // Row and column count from 1; 0 refers to the whole, as in SheetError.
  struct CellLocation {
    std::size_t row = 0;
    std::size_t column = 0;
  };

  explicit SheetReader(CsvTable table);

  const schema::RoutingConfig& config() const { return config_; }
  const std::vector<SheetError>& errors() const { return errors_; }

  // Returns the cell that a path of the configuration was read from, or else
  // the row of its closest parent with column 0. Returns {0, 0} if neither is
  // known.
  CellLocation Locate(std::string path) const;

  // Returns true for a path whose rule is violated only because cells or rows
  // were skipped after an error that is already reported.
  bool IsCascadingError(const std::string& path) const;

 private:
  // Cells of one row, and the columns of its section, by column name.
  struct Record {
    std::size_t row = 0;
    std::map<std::string, std::string> values;
    std::map<std::string, std::size_t> columns;
  };
  struct Section {
    std::vector<std::string> columns;  // of the header row
    std::vector<Record> records;
    std::size_t header_row = 0;
  };

  void ReadRow(CsvRow row);
  void ReadHeader(const std::string& name, Section& section, const CsvRow& row);
  void ReadRecord(Section& section, CsvRow row);

  void BuildCustomer();
  void BuildServices();
  void BuildEndpoints();
  void BuildKinds();
  void BuildPolicy();

  // Returns the index of the service that a record names, or nullopt after an
  // error was reported.
  std::optional<int> FindServiceIndex(const Record& record);

  // Each returns the value of a cell, reports an error if it is missing or
  // malformed, and records the cell as the source of path. After an error the
  // value is empty, 0, false or RANK_URGENT.
  std::string ReadText(const Record& record, const std::string& column,
                       const std::string& path);
  std::uint32_t ReadNumber(const Record& record, const std::string& column,
                           const std::string& path);
  bool ReadFlag(const Record& record, const std::string& column,
                const std::string& path);
  double ReadShare(const Record& record, const std::string& column,
                   const std::string& path);
  schema::Rank ReadRank(const Record& record, const std::string& path);

  void AddError(std::size_t row, std::size_t column, std::string reason);
  void AddError(const Record& record, const std::string& column,
                std::string reason);

  schema::RoutingConfig config_;
  std::vector<SheetError> errors_;
  std::map<std::string, Section> sections_;             // by name
  std::map<std::string, CellLocation> cell_locations_;  // by path
  std::map<std::string, int> service_indexes_;          // by service name
  std::set<std::string> paths_without_column_;
  bool wrong_separator_ = false;
  // Rows of an unknown service were dropped.
  bool dropped_endpoint_ = false;
  bool dropped_kind_ = false;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CONFIG_SHEET_READER_H_
