// Pooled HTTP/1.1 client of one address on one Asio loop.
#ifndef BALSAMHALL_NET_HTTP_CLIENT_H_
#define BALSAMHALL_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/result_code.h"
#include "core/types.h"
#include "net/body_memory.h"
#include "net/http_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall {

struct HttpClientOptions {
  std::size_t max_connections = 100;
  Milliseconds connect_timeout{500};
  std::size_t max_body_bytes = 8U << 20U;
  // Limits what several clients hold together; none if empty.
  std::shared_ptr<BodyMemory> answer_memory;
  // Returns false for an answer that does not belong to the request. It then
  // counts as kBadAnswer, and the connection is closed.
  std::function<bool(const HttpRequest&, const HttpResponse&)> accept_answer;
  // Returns which request an answer names. One that names another request, such
  // as a late extra one, is dropped and the next one is read. So is one that
  // names none, unless it is the first on its connection: only there can it
  // answer no other request. The connection is not reused then. A request whose
  // answer names none has to be sent with a max_idle of 0.
  std::function<NamedRequest(const HttpRequest&, const HttpResponse&)>
      named_request;
  // An answer without a length ends with its connection; taken as whole only
  // if the server closed the connection in order and the write of the request
  // has not failed.
  bool accept_unframed = false;
  // An answer whose body still arrives at the time-out is read on, as long as
  // bytes arrive within each interval of this length, up to
  // max_reading_beyond. 0: never.
  Milliseconds progress_interval{0};
  Milliseconds max_reading_beyond{10'000};
  // An idle connection is reused only within this time, or less if the server
  // states a shorter one in Keep-Alive.
  Milliseconds max_idle{60'000};
  // After a failed exchange, idle connections that are older than its
  // connection are closed as well.
  bool close_older_after_failure = true;
};

// How far a failed exchange got.
enum class HttpFailure {
  kNotSent,    // no byte of the request was written
  kTimeout,    // written at least in part, no whole answer in time
  kClosed,     // connection lost after the first byte was written
  kBadAnswer,  // answer malformed, truncated or too large
};

struct HttpError {
  HttpFailure failure = HttpFailure::kNotSent;
  std::string detail;
  // The server sent more than is accepted, or than there is memory for.
  bool too_large = false;
};

// Not thread-safe: all calls and callbacks run on the loop's thread. A
// connection that timed out or failed is closed, never reused; unless the
// options say otherwise, every older idle connection is closed with it, because
// a lost flow entry between the ends silences them too.
class HttpClient {
 public:
  struct Outcome {
    std::optional<HttpResponse> response;
    HttpError error;  // set if response is empty
    // Number of the connection on which the response arrived; 0 without a
    // response. A client does not use a number again.
    std::uint64_t connection = 0;
  };
  using Callback = std::function<void(Outcome)>;

  HttpClient(boost::asio::io_context& loop, std::string address,
             HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends once; done runs exactly once, never inside Send, and not at all if
  // the client is destroyed first. A pooled connection that the server had
  // closed before the first byte was written is replaced by a new one; nothing
  // else is repeated. With max_connections in use the request fails with
  // kNotSent; an idle connection is closed to make room.
  // Only connections that were idle for less than max_idle are reused. Returns
  // a number for Cancel.
  std::uint64_t Send(HttpRequest request, Milliseconds timeout, Callback done,
                     Milliseconds max_idle = Milliseconds::max());

  // Opens a connection, for SendOn or Send. The outcome of done, which runs as
  // with Send, has no response, and a connection's number if there is one.
  void Open(Callback done);

  // Like Send, but always opens a connection.
  std::uint64_t SendOnNew(HttpRequest request, Milliseconds timeout,
                          Callback done);

  // Like Send, but only on this connection, however long it was idle. Fails
  // with kNotSent if it is in use or closed. An answer that names no request is
  // taken as the one to this request.
  std::uint64_t SendOn(std::uint64_t connection, HttpRequest request,
                       Milliseconds timeout, Callback done);

  // Returns the numbers of the connections that are open and not in use.
  std::vector<std::uint64_t> IdleConnections() const;
  // Returns whether the connection with this number is open.
  bool IsOpen(std::uint64_t connection) const;

  // Closes the connection of an exchange that has not ended; its callback does
  // not run. No effect on ended exchanges.
  void Cancel(std::uint64_t exchange);

  // Returns whether bytes of the exchange's answer have arrived. False for
  // ended exchanges.
  bool IsReceiving(std::uint64_t exchange) const;

  // Closes idle connections that may no longer be reused.
  void CloseExpired();

  // Closes idle connections now and those in use after their exchange; for
  // callers that learned by other means that connections may be silent.
  void RetireConnections();

  std::size_t open_connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Sends one request from a thread without a loop, for operator commands.
// Blocks until the answer, the failure or the timeout. Thread-safe.
HttpClient::Outcome SendHttpAndWait(const std::string& address,
                                    HttpRequest request, Milliseconds timeout);

}  // namespace balsamhall

#endif  // BALSAMHALL_NET_HTTP_CLIENT_H_
