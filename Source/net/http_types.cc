#include "net/http_types.h"

#include <algorithm>

namespace balsamhall {
namespace {

constexpr char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, {}, Lower, Lower);
}

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto found = std::ranges::find_if(headers, [&](const auto& header) {
    return EqualsIgnoringCase(header.first, name);
  });
  return found == headers.end() ? std::string_view{} : found->second;
}

}  // namespace balsamhall
