#include "operator/text_table.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cctype>

namespace balsamhall {

TextTable::TextTable(std::vector<std::string> headings) {
  for (auto& heading : headings) {
    std::ranges::transform(heading, heading.begin(), [](unsigned char c) {
      return static_cast<char>(std::toupper(c));
    });
  }
  rows_.push_back(std::move(headings));
}

void TextTable::AddRow(std::vector<std::string> cells) {
  rows_.push_back(std::move(cells));
}

std::string TextTable::ToString() const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < widths.size(); ++i) {
      line += fmt::format("{:{}}  ", row[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += "  " + line + "\n";
  }
  return text;
}

}  // namespace balsamhall
