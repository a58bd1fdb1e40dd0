#include <spdlog/fmt/fmt.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <string>

#include "core/result_code.h"

namespace balsamhall {
namespace {

// Guards against a page of errors that differs from the table of result codes.
BOOST_AUTO_TEST_CASE(ErrorsPageHoldsTheTableOfCodes) {
  std::ifstream page("docs/errors.md");
  BOOST_REQUIRE(page);
  std::set<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| ") && line.find('`') != std::string::npos) {
      rows.insert(line);
    }
  }
  for (const auto& info : ResultCodeTable()) {
    const auto row =
        fmt::format("| {} | `{}` | {} |", static_cast<int>(info.code),
                    info.name, info.meaning);
    BOOST_TEST(rows.erase(row) == 1U, row);
  }
  for (const auto& row : rows) BOOST_ERROR("not a code: " << row);
}

}  // namespace
}  // namespace balsamhall
