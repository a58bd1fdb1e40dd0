// Percent-encoding of path segments, such as keys.
#ifndef BALSAMHALL_NET_PERCENT_ENCODING_H_
#define BALSAMHALL_NET_PERCENT_ENCODING_H_

#include <optional>
#include <string>
#include <string_view>

namespace balsamhall {

// Encodes every byte but letters, digits and "-._~". Thread-safe.
std::string PercentEncode(std::string_view text);

// Returns nullopt for an incomplete or malformed escape. Thread-safe.
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_PERCENT_ENCODING_H_
