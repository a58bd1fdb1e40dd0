// HTTP/1.1 server with keep-alive on one Asio loop.
#ifndef BALSAMHALL_NET_HTTP_SERVER_H_
#define BALSAMHALL_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/result_code.h"
#include "core/types.h"
#include "net/body_memory.h"
#include "net/http_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall {

struct HttpServerOptions {
  // Further connections get their request read, and rejected with 503 if there
  // is still no room; beyond a fixed number of them, none is accepted until one
  // ends.
  std::size_t max_connections = 1000;
  std::size_t max_header_bytes = 8U << 10U;
  std::size_t max_body_bytes = 1U << 20U;
  Milliseconds idle_timeout{60'000};
  // Time for the rest of a header after its first byte; without it
  // transfer_timeout.
  std::optional<Milliseconds> header_timeout;
  // A caller that takes longer than this to send a request, or to read a
  // response or 64 KB of it, is disconnected.
  Milliseconds transfer_timeout{10'000};
  // Requests of a connection that are read before the first of them has its
  // response written (pipelining). 1: the next one is read after that.
  std::size_t max_requests_per_connection = 1;
  // Requests of all connections that are with the handler although an earlier
  // one of their connection is unanswered. Further ones wait for the earlier
  // ones of their connection.
  std::size_t max_pipelined_requests = 1024;
  // A connection whose responses hold more than this is not read.
  std::size_t max_response_bytes_per_connection = 512U << 10U;
  // Limits the request bodies until they are answered; a request that finds no
  // room is refused with 503. None if empty.
  std::shared_ptr<BodyMemory> request_memory;
  // Holds the response bodies that are being written or wait for their turn.
  // For others, it can give up those of a caller that hardly reads; that
  // connection is closed. None if empty.
  std::shared_ptr<BodyMemory> response_memory;
  bool reuse_port = false;  // several loops may listen on one address
};

// Not thread-safe: all calls and callbacks run on the loop's thread.
class HttpServer {
 public:
  using Respond = std::function<void(HttpResponse)>;
  // Respond may be called later, at most once; a second call is ignored.
  using Handler = std::function<void(HttpRequest, Respond)>;
  // Called with an empty body when the header is complete; a response ends the
  // exchange before the body is read.
  using HeadFilter =
      std::function<std::optional<HttpResponse>(const HttpRequest&)>;
  // Called when a request is answered by the server itself or is malformed.
  using FaultHandler = std::function<void(ResultCode, const std::string&)>;
  // Returns whether a request may be with the handler together with others of
  // its connection, so that they may run in any order. The body is empty if the
  // request is behind another.
  using OvertakeFilter = std::function<bool(const HttpRequest&)>;
  // Called with HttpRequest::connection when the caller ends its sending side
  // or the connection ends while requests of it are with the handler. The
  // former is all that shows when the caller has left, but it may still read:
  // the handler must respond, and soon, because this holds the connection.
  using AbortHandler = std::function<void(std::uint64_t connection)>;

  HttpServer(boost::asio::io_context& loop, HttpServerOptions options,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void set_head_filter(HeadFilter filter);
  void set_fault_handler(FaultHandler handler);
  void set_abort_handler(AbortHandler handler);
  // Without one, no request is with the handler together with another of its
  // connection.
  void set_overtake_filter(OvertakeFilter filter);

  // Replaces the limits; open connections follow from their next request on,
  // the idle time-out at once. reuse_port has no effect after Listen.
  void set_options(HttpServerOptions options);

  // Answers with "Connection: close" from now on, but still accepts.
  void AnnounceClose();

  // Listens on "ip:port". Port 0 picks a free one. Returns the bound port.
  Result<std::uint16_t> Listen(const std::string& address);

  // Accepts no more connections, answers with "Connection: close", closes idle
  // connections after half a second (a request may be under way on them), and
  // calls done when the last connection is closed.
  void Drain(std::function<void()> done);

  // Open connections within the limit.
  std::size_t connections() const;
  std::size_t active_requests() const;
  // Requests within max_pipelined_requests at this moment.
  std::size_t pipelined_requests() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_HTTP_SERVER_H_
