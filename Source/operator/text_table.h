// Aligned columns for terminals.
#ifndef BALSAMHALL_OPERATOR_TEXT_TABLE_H_
#define BALSAMHALL_OPERATOR_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace balsamhall {

// Not thread-safe.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> headings);

  // Precondition: as many cells as headings.
  void AddRow(std::vector<std::string> cells);

  bool empty() const { return rows_.size() == 1; }

  // Returns lines that end with a line feed; headings are in capitals.
  std::string ToString() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_TEXT_TABLE_H_
