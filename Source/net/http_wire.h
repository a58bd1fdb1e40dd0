// Helpers of the HTTP server and client. Only for .cc files of Source/net:
// includes Asio and Beast.
#ifndef BALSAMHALL_NET_HTTP_WIRE_H_
#define BALSAMHALL_NET_HTTP_WIRE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "net/http_types.h"

namespace balsamhall::http_wire {

using Executor = boost::asio::io_context::executor_type;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;

// Parses "ip:port" or "[ipv6]:port"; returns nullopt for any other text.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& address);

// Returns the head of a message up to the blank line. Headers with a line
// break are left out, because they would split the message. A Host header of
// the request replaces the given host.
std::string RequestHead(const HttpRequest& request, const std::string& host);
std::string ResponseHead(const HttpResponse& response, bool keep_alive);

// Bytes that a reader may keep until the head of a chunk or the trailers are
// whole, beside its header limit: the parser has no limit for these.
constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;

HttpHeaders CopyHeaders(const boost::beast::http::fields& fields);

}  // namespace balsamhall::http_wire

#endif  // BALSAMHALL_NET_HTTP_WIRE_H_
