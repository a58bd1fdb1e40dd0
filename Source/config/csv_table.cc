#include "config/csv_table.h"

#include <csv.h>

#include <algorithm>
#include <memory>

namespace balsamhall {
namespace {

constexpr std::size_t kMaxErrors = 200;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

// Returns the number of bytes of the UTF-8 sequence that begins with lead, or 0
// for an invalid lead byte. 0xC0 and 0xC1 are invalid because they only begin
// overlong encodings of two bytes.
std::size_t SequenceLength(unsigned char lead) {
  if (lead < 0x80) return 1;
  if (lead >= 0xC2 && lead <= 0xDF) return 2;
  if (lead >= 0xE0 && lead <= 0xEF) return 3;
  if (lead >= 0xF0 && lead <= 0xF4) return 4;
  return 0;
}

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length =
        SequenceLength(static_cast<unsigned char>(text.front()));
    if (length == 0 || length > text.size()) return false;
    const auto continuation = text.substr(1, length - 1);
    if (!std::ranges::all_of(continuation, [](char c) {
          return (static_cast<unsigned char>(c) & 0xC0U) == 0x80;
        })) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

bool HasControlCharacter(std::string_view text) {
  return std::ranges::any_of(text, [](char c) {
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
  });
}

// Splits text at LF, CR and CRLF. Each line includes its terminator, which the
// CSV parser needs to end a row.
std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    std::size_t end = text.find_first_of("\r\n");
    if (end == std::string_view::npos) {
      end = text.size();
    } else {
      const bool is_crlf = text.substr(end, 2) == "\r\n";
      end += is_crlf ? 2 : 1;
    }
    lines.push_back(text.substr(0, end));
    text.remove_prefix(end);
  }
  return lines;
}

class Parser {
 public:
  explicit Parser(std::string_view text) : lines_(SplitLines(text)) {}

  CsvTable Parse() {
    std::size_t line = 0;
    while (line < lines_.size() && table_.errors.size() < kMaxErrors) {
      line = ParseFrom(line);
    }
    if (table_.errors.size() >= kMaxErrors) {
      table_.errors.push_back({0, 0, "too many faults; the rest is not read"});
    }
    return std::move(table_);
  }

 private:
  // Parses with a new csv_parser until the end or the first syntax error.
  // Returns the index of the line to continue with.
  std::size_t ParseFrom(std::size_t first) {
    csv_parser parser;
    csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI);
    const std::unique_ptr<csv_parser, void (*)(csv_parser*)> guard(&parser,
                                                                   csv_free);
    row_ = {};
    for (std::size_t line = first; line < lines_.size(); ++line) {
      if (row_.row == 0) row_.row = line + 1;
      const auto text = lines_[line];
      if (csv_parse(&parser, text.data(), text.size(), OnCell, OnRow, this) !=
          text.size()) {
        return AddSyntaxError(
            "holds a quote that is not doubled or not at the cell's "
            "ends");
      }
      // An empty line outside quotes neither ends nor begins a row.
      if (row_.cells.empty() && !InQuotes(parser)) row_.row = 0;
    }
    if (csv_fini(&parser, OnCell, OnRow, this) != 0) {
      return AddSyntaxError("holds a quote that is not closed");
    }
    return lines_.size();
  }

  static bool InQuotes(const csv_parser& parser) { return parser.quoted != 0; }

  // Records an error in the current cell. Returns the index of the line to
  // continue with.
  std::size_t AddSyntaxError(const char* reason) {
    const std::size_t row = row_.row;
    table_.errors.push_back({row, row_.cells.size() + 1, reason});
    return row;  // counts from 1: index of the line after the row's first
  }

  static void OnCell(void* cell, std::size_t size, void* self) {
    static_cast<Parser*>(self)->row_.cells.emplace_back(
        static_cast<const char*>(cell), size);
  }

  static void OnRow(int /*terminator*/, void* self) {
    static_cast<Parser*>(self)->EndRow();
  }

  void EndRow() {
    const bool empty = std::ranges::all_of(
        row_.cells, [](const std::string& cell) { return cell.empty(); });
    if (!empty) {
      for (std::size_t i = 0; i < row_.cells.size(); ++i) {
        CheckCell(row_.cells[i], i + 1);
      }
      table_.rows.push_back(std::move(row_));
    }
    row_ = {};
  }

  // Records an error for a cell with unusable text, and clears the cell.
  void CheckCell(std::string& cell, std::size_t column) {
    const char* reason = nullptr;
    if (!IsUtf8(cell)) {
      reason = "is not UTF-8 text; export the sheet as UTF-8";
    } else if (HasControlCharacter(cell)) {
      reason = "holds a line break or another control character";
    }
    if (reason == nullptr) return;
    table_.errors.push_back({row_.row, column, reason});
    cell.clear();
  }

  std::vector<std::string_view> lines_;
  CsvRow row_;
  CsvTable table_;
};

}  // namespace

CsvTable ParseCsv(std::string_view text) {
  if (text.starts_with(kByteOrderMark)) {
    text.remove_prefix(kByteOrderMark.size());
  }
  return Parser(text).Parse();
}

}  // namespace balsamhall
