// HTTP messages without the HTTP library, so that users need not include it.
#ifndef BALSAMHALL_NET_HTTP_TYPES_H_
#define BALSAMHALL_NET_HTTP_TYPES_H_

#include <cstdint>
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
  std::uint64_t connection = 0;  // number of the server's connection
  // Read while an earlier request of the connection was unanswered.
  bool pipelined = false;
};

struct HttpResponse {
  unsigned status = 200;
  // A Content-Length set here replaces the length of the body, as in an answer
  // to HEAD; if they differ, the server closes the connection after it.
  HttpHeaders headers;
  std::string body;
};

// The request that a response says it answers, as seen from one request.
enum class NamedRequest { kThis, kOther, kNone };

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_HTTP_TYPES_H_
