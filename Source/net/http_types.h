// HTTP messages without the HTTP library, so that users need not include it.
#ifndef BALSAMHALL_NET_HTTP_TYPES_H_
#define BALSAMHALL_NET_HTTP_TYPES_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsamhall {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Returns the value of a header, compared without case, or an empty view.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_HTTP_TYPES_H_
