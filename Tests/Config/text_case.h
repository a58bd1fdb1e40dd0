// Test cases of invalid texts: a valid text in which one part is replaced.
#ifndef BALSAMHALL_TESTS_CONFIG_TEXT_CASE_H_
#define BALSAMHALL_TESTS_CONFIG_TEXT_CASE_H_

#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <string_view>

#include "core/result_code.h"

namespace balsamhall {

struct InvalidTextCase {
  const char* name;
  const char* from;  // part of the valid text
  const char* to;
  ResultCode code;
  const char* location;  // where the error is reported
  const char* reason;    // part of the error's reason
};

inline std::ostream& operator<<(std::ostream& stream,
                                const InvalidTextCase& text) {
  return stream << text.name;
}

inline std::ostream& operator<<(std::ostream& stream, ResultCode code) {
  return stream << ResultCodeName(code);
}

// Returns the detail of an error, or an empty string for a value.
template <typename T>
std::string Detail(const Result<T>& result) {
  return result ? std::string() : result.error().detail;
}

// Returns the text with the first occurrence of from replaced.
inline std::string Replaced(std::string text, std::string_view from,
                            std::string_view to) {
  const auto at = text.find(from);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos,
                        "the text does not contain \"" << from << "\"");
  return text.replace(at, from.size(), to);
}

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_CONFIG_TEXT_CASE_H_
