#include "net/percent_encoding.h"

#include <charconv>

namespace balsamhall {
namespace {

constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view kDigits = "0123456789ABCDEF";

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.append({'%', kDigits[byte >> 4U], kDigits[byte & 15U]});
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    unsigned char byte = 0;
    const char* const end = text.data() + i + 3;
    const auto parsed = std::from_chars(end - 2, end, byte, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    decoded.push_back(static_cast<char>(byte));
    i += 2;
  }
  return decoded;
}

}  // namespace balsamhall
