#include "net/http_server.h"

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <unordered_set>

#include "net/http_wire.h"
#include "net/response_queue.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using http_wire::Executor;
using http_wire::Socket;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Timer =
    asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, Executor>;
using SocketError = asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR>;
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// A refused request's remaining body up to this size is read and dropped, so
// that the connection stays usable; above it the connection is closed.
constexpr std::size_t kMaxSkippedBody = 64U << 10U;
// After an answer that ends the connection, input is read and dropped for this
// long: closing with unread input would reset the connection and could lose
// the answer.
constexpr Milliseconds kLingerTime{500};
// Idle connections stay open for this long after the start of a drain, so that
// a request that is already under way is answered instead of cut off.
constexpr Milliseconds kDrainGrace{500};
constexpr Milliseconds kAcceptRetryDelay{100};
// Connections beyond the limit that are open at a time, so that their requests
// can be read and rejected. Further ones wait in the queue of the system.
constexpr std::size_t kMaxSurplusConnections = 128;
// Room for the first bytes of a pipelined request.
constexpr std::size_t kWatchBytes = 1024;
// A request body is kept for further attempts, and sent from a copy.
constexpr std::size_t kBodyCopies = 2;
// A response counts as being read when so much of it, or all of it, has been
// taken: a caller that takes a few bytes at a time holds no connection for
// long.
constexpr std::size_t kReadProgress = 64U << 10U;
// A caller that has read less than this of its responses for so long is a slow
// reader: its responses can be given up when memory is short.
constexpr std::size_t kSlowReaderProgress = 16U << 10U;
constexpr Milliseconds kSlowReaderTime{1'000};
const std::string kSlowReaders = "slow readers";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

HttpResponse FaultResponse(unsigned status, ResultCode code,
                           const std::string& detail) {
  return {status,
          {{"Balsamhall-Code", std::to_string(static_cast<int>(code))},
           {"Balsamhall-Result", std::string(ResultClass(code))}},
          detail + "\n"};
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  class Session;

  Impl(asio::io_context& loop, HttpServerOptions options, Handler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        acceptor_(loop.get_executor()),
        sweep_timer_(loop.get_executor()),
        retry_timer_(loop.get_executor()) {}

  Result<std::uint16_t> Listen(const std::string& address);
  void Drain(std::function<void()> done);
  void Stop();
  void Fault(ResultCode code, const std::string& detail) {
    if (fault_handler_) fault_handler_(code, detail);
  }

  HttpServerOptions options_;
  Handler handler_;
  AbortHandler abort_handler_;
  HeadFilter head_filter_;
  FaultHandler fault_handler_;
  OvertakeFilter overtake_filter_;
  // Whether the limit lets one more connection be served.
  bool HasRoom() const {
    return sessions_.size() - surplus_ < options_.max_connections;
  }
  // Accepts again if that has been suspended and there is room.
  void ResumeAccept() {
    if (suspended_ && acceptor_.is_open()) Accept();
  }

  std::unordered_set<std::shared_ptr<Session>> sessions_;
  std::size_t surplus_ = 0;  // of these, beyond the limit
  std::size_t active_ = 0;
  std::size_t pipelined_ = 0;  // of these, with an unanswered one before
  bool draining_ = false;
  bool closing_ = false;

 private:
  bool MayAccept() const {
    return HasRoom() || surplus_ < kMaxSurplusConnections;
  }
  void Accept();
  void RetryAccept(const error_code& error);
  void AcceptPending();
  void OnAccepted(Socket socket);
  void ScheduleSweep();
  void Sweep();

  asio::basic_socket_acceptor<tcp, Executor> acceptor_;
  Timer sweep_timer_;
  Timer retry_timer_;
  bool stopped_ = false;
  bool suspended_ = false;  // accepts none until a connection ends
  std::uint64_t last_connection_ = 0;
  Clock::time_point drain_started_;
  std::function<void()> drained_;
};

// One connection. Reads a request, waits for the handler's response, writes
// it, and starts again. With pipelining, it reads the heads of further requests
// meanwhile; one that may not overtake, or has a body, is parked until the
// queue is empty. Deadlines are checked by the server's sweep, which costs less
// than a timer per exchange.
class HttpServer::Impl::Session
    : public std::enable_shared_from_this<HttpServer::Impl::Session> {
 public:
  // A surplus session rejects its request unless there is room by then.
  Session(std::shared_ptr<Impl> server, Socket socket, std::uint64_t number,
          bool surplus)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        number_(number),
        surplus_(surplus) {
    if (surplus_) ++server_->surplus_;
  }

  void ReadHead();
  void Respond(std::uint64_t exchange, HttpResponse response);
  void CheckDeadline(Clock::time_point now, bool grace_over);
  void Close();

 private:
  // The first three only while the queue is empty.
  enum class State { kIdle, kHead, kBody, kHandling, kWriting, kLinger };

  void StartReadHead();
  // Reads the next head while requests are in the queue, if that is allowed;
  // otherwise only notices the caller's leaving.
  void ReadAhead();
  bool MayReadAhead() const;
  // Whether the request whose head was read may join those in the queue.
  bool MayOvertake();
  void OnRequestHead();
  void Unpark();
  void OnInputEnd();
  void WatchForClose();
  void WatchForReset();
  void OnWatched(error_code error, std::size_t bytes);
  Clock::time_point Deadline() const;
  Milliseconds HeaderTimeout() const {
    return server_->options_.header_timeout.value_or(
        server_->options_.transfer_timeout);
  }
  // Returns false if the connection is beyond the limit.
  bool IsWithinLimit();
  void OnHead(error_code error);
  void ReadBody();
  void ReadMoreBody();
  // Takes memory for so many bytes of the request's body. Returns false, and
  // refuses the request, if there is none left.
  bool HoldRequestBody(std::size_t bytes);
  void HoldResponse(std::size_t bytes);
  // Notes how much of a response has been written so far.
  void OnWriteProgress(std::size_t bytes);
  void CheckSlowReader(Clock::time_point now);
  void GiveUpResponses();
  void OnRequest();
  void OnReadError(error_code error);
  // Whether bytes have arrived that this session has not read.
  bool HasUnreadInput() const;
  // Ends the wait for a request. The connection is closed unless one has
  // arrived meanwhile.
  void EndIdle();
  void CloseUnlessRequested();
  void Refuse(unsigned status, ResultCode code, const std::string& detail);
  // Queues a response of the server itself to the request that is being read.
  void Answer(HttpResponse response);
  // Writes the next response if it is there.
  void WriteNext();
  void OnWritten(error_code error);
  void Linger();
  // Closes, and reports the requests that are with the handler.
  void Abort();
  void Enter(State state) {
    state_ = state;
    entered_ = Clock::now();
    postponed_ = false;
  }
  HttpRequest TakeHead();

  std::shared_ptr<Impl> server_;
  Socket socket_;
  const std::uint64_t number_;
  bool surplus_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  ResponseQueue queue_;
  HeldBytes body_memory_;  // of the request that is being read
  // Where the responses are counted; options may be replaced meanwhile.
  std::shared_ptr<BodyMemory> response_memory_;
  UnfinishedBody held_responses_;
  bool given_up_ = false;
  State state_ = State::kIdle;
  Clock::time_point entered_;
  std::uint64_t exchange_ = 0;
  // Of the response that is being written.
  std::size_t written_ = 0;
  std::size_t written_at_progress_ = 0;  // since entered_
  // Of all responses, for noticing slow readers.
  std::uint64_t total_written_ = 0;
  std::uint64_t total_at_progress_ = 0;
  Clock::time_point progress_;
  bool reading_head_ = false;
  // A read that notices the caller's leaving is under way. Its bytes belong to
  // the next request.
  bool watching_ = false;
  bool watching_reset_ = false;
  bool read_head_next_ = false;
  bool unpark_next_ = false;
  // The parser holds the head of a request that waits for an empty queue.
  bool parked_ = false;
  bool input_ended_ = false;
  // Nothing behind the requests in the queue, and the parked one, is read.
  bool final_ = false;
  bool skip_body_ = false;
  // The wait for a request was cancelled, and its handler has not run yet.
  bool ending_idle_ = false;
  // The deadline of this state has passed, but there was unread input.
  bool postponed_ = false;
};

Clock::time_point HttpServer::Impl::Session::Deadline() const {
  switch (state_) {
    case State::kIdle:
      // Others wait until a surplus connection ends.
      return entered_ + (surplus_ ? std::min(HeaderTimeout(),
                                             server_->options_.idle_timeout)
                                  : server_->options_.idle_timeout);
    case State::kHead:
      return entered_ + HeaderTimeout();
    case State::kLinger:
      return entered_ + kLingerTime;
    case State::kHandling:
      return Clock::time_point::max();
    case State::kBody:
    case State::kWriting:
      break;
  }
  return entered_ + server_->options_.transfer_timeout;
}

void HttpServer::Impl::Session::WatchForClose() {
  if (watching_) return;
  if (buffer_.size() > 0) return WatchForReset();
  watching_ = true;
  socket_.async_read_some(
      buffer_.prepare(kWatchBytes),
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        self->OnWatched(error, bytes);
      });
}

// With bytes of further requests unread, the end of the caller's sending side
// stays unnoticed, but not a reset.
void HttpServer::Impl::Session::WatchForReset() {
  if (watching_reset_ || server_->options_.max_requests_per_connection <= 1) {
    return;
  }
  watching_reset_ = true;
  socket_.async_wait(Socket::wait_error,
                     [self = shared_from_this()](error_code error) {
                       if (!self->socket_.is_open()) return;
                       self->watching_reset_ = false;
                       if (error) return;
                       SocketError socket_error;
                       self->socket_.get_option(socket_error, error);
                       if (!error && socket_error.value() != 0) self->Abort();
                     });
}

void HttpServer::Impl::Session::OnWatched(error_code error, std::size_t bytes) {
  watching_ = false;
  if (!socket_.is_open()) return;
  const bool ending_idle = std::exchange(ending_idle_, false);
  if (error == asio::error::operation_aborted && ending_idle) {
    read_head_next_ = false;
    return CloseUnlessRequested();
  }
  if (!error) buffer_.commit(bytes);
  if (std::exchange(unpark_next_, false)) {
    if (error == asio::error::eof) input_ended_ = true;
    if (error && !input_ended_ && error != asio::error::operation_aborted) {
      return Close();
    }
    return OnRequestHead();
  }
  if (error) {
    // A caller that has only ended its sending side still reads.
    const bool writable =
        error == asio::error::eof &&
        (state_ == State::kHandling || state_ == State::kWriting);
    return writable ? OnInputEnd() : Abort();
  }
  if (state_ == State::kLinger) return Linger();
  if (read_head_next_) {
    read_head_next_ = false;
    return StartReadHead();
  }
  if (server_->options_.max_requests_per_connection > 1) ReadAhead();
}

void HttpServer::Impl::Session::OnInputEnd() {
  input_ended_ = true;
  final_ = true;
  if (queue_.unanswered() > 0 && server_->abort_handler_) {
    server_->abort_handler_(number_);
  }
}

void HttpServer::Impl::Session::ReadHead() {
  Enter(State::kIdle);
  if (reading_head_) return;
  if (watching_) {
    read_head_next_ = true;
    return;
  }
  StartReadHead();
}

void HttpServer::Impl::Session::ReadAhead() {
  if (!socket_.is_open() || queue_.empty() || reading_head_ || skip_body_ ||
      state_ == State::kLinger) {
    return;
  }
  if (MayReadAhead()) {
    if (!watching_) StartReadHead();
  } else if (queue_.unanswered() > 0 && server_->abort_handler_ &&
             !input_ended_) {
    WatchForClose();
  }
}

bool HttpServer::Impl::Session::MayReadAhead() const {
  const HttpServerOptions& options = server_->options_;
  return queue_.size() < options.max_requests_per_connection && !parked_ &&
         !final_ && !server_->draining_ && !server_->closing_ &&
         queue_.response_bytes() <= options.max_response_bytes_per_connection;
}

void HttpServer::Impl::Session::StartReadHead() {
  reading_head_ = true;
  buffer_.max_size(std::max(buffer_.size(), server_->options_.max_header_bytes +
                                                http_wire::kMaxUnparsedBytes));
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(server_->options_.max_header_bytes));
  parser_->body_limit(server_->options_.max_body_bytes);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        self->OnHead(error);
      });
}

HttpRequest HttpServer::Impl::Session::TakeHead() {
  const auto& message = parser_->get();
  const auto method = message.method_string();
  const auto target = message.target();
  return {std::string(method.data(), method.size()),
          std::string(target.data(), target.size()),
          http_wire::CopyHeaders(message), std::string(), number_};
}

bool HttpServer::Impl::Session::IsWithinLimit() {
  if (surplus_ && server_->HasRoom()) {
    surplus_ = false;
    --server_->surplus_;
  }
  return !surplus_;
}

void HttpServer::Impl::Session::OnHead(error_code error) {
  reading_head_ = false;
  if (!socket_.is_open()) return;
  const bool ending_idle = std::exchange(ending_idle_, false);
  if (error == asio::error::operation_aborted && ending_idle) {
    return CloseUnlessRequested();
  }
  if (state_ == State::kLinger) return error ? Close() : Linger();
  if (error) return OnReadError(error);
  // The end of the connection was announced while this was being read.
  if (final_) return ReadAhead();
  if (!IsWithinLimit()) {
    return Refuse(503, ResultCode::kNotRunRouterOverloaded,
                  "too many connections");
  }
  if (!queue_.empty() && !MayOvertake()) {
    parked_ = true;
    return ReadAhead();
  }
  OnRequestHead();
}

bool HttpServer::Impl::Session::MayOvertake() {
  return parser_->is_done() && queue_.MayOvertake() &&
         server_->pipelined_ < server_->options_.max_pipelined_requests &&
         !(response_memory_ && response_memory_->IsFull()) &&
         server_->overtake_filter_ && server_->overtake_filter_(TakeHead());
}

void HttpServer::Impl::Session::Unpark() {
  state_ = State::kHandling;
  if (!watching_) return OnRequestHead();
  // Only the handler of the cancelled read knows whether it has read anything.
  unpark_next_ = true;
  error_code ignored;
  socket_.cancel(ignored);
}

void HttpServer::Impl::Session::OnRequestHead() {
  parked_ = false;
  final_ = input_ended_ || !parser_->get().keep_alive() || server_->draining_ ||
           server_->closing_;
  if (server_->head_filter_) {
    if (auto response = server_->head_filter_(TakeHead())) {
      skip_body_ = !parser_->is_done();
      const auto length = parser_->content_length();
      if (skip_body_ && (!length || *length > kMaxSkippedBody)) {
        skip_body_ = false;
        final_ = true;
      }
      return Answer(std::move(*response));
    }
  }
  if (parser_->is_done()) return OnRequest();
  // A longer body than the limit fails when it is read.
  const auto length = parser_->content_length();
  if (length && *length <= server_->options_.max_body_bytes &&
      !HoldRequestBody(static_cast<std::size_t>(*length))) {
    return;
  }
  if (http::token_list(parser_->get()[http::field::expect])
          .exists("100-continue")) {
    error_code ignored;  // a lost connection shows up in the read below
    asio::write(socket_, asio::buffer(kContinue), ignored);
  }
  ReadBody();
}

void HttpServer::Impl::Session::ReadBody() {
  Enter(State::kBody);
  ReadMoreBody();
}

void HttpServer::Impl::Session::ReadMoreBody() {
  http::async_read_some(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        if (!self->socket_.is_open()) return;
        if (error) return self->OnReadError(error);
        if (!self->skip_body_ &&
            !self->HoldRequestBody(self->parser_->get().body().size())) {
          return;
        }
        if (!self->parser_->is_done()) return self->ReadMoreBody();
        if (self->skip_body_) {
          self->skip_body_ = false;
          return self->ReadHead();
        }
        self->OnRequest();
      });
}

bool HttpServer::Impl::Session::HoldRequestBody(std::size_t bytes) {
  if (body_memory_.GrowTo(bytes * kBodyCopies,
                          server_->options_.request_memory)) {
    return true;
  }
  Refuse(503, ResultCode::kNotRunRouterOverloaded,
         "no memory for the request body");
  return false;
}

void HttpServer::Impl::Session::HoldResponse(std::size_t bytes) {
  const bool first = held_responses_.bytes == 0;
  if (first) response_memory_ = server_->options_.response_memory;
  if (!response_memory_) return;
  response_memory_->TakeAnyway(held_responses_, bytes);
  if (!first) return;
  progress_ = Clock::now();
  total_at_progress_ = total_written_;
}

void HttpServer::Impl::Session::OnWriteProgress(std::size_t bytes) {
  total_written_ += bytes - written_;
  written_ = bytes;
  if (written_ - written_at_progress_ < kReadProgress) return;
  written_at_progress_ = written_;
  entered_ = Clock::now();
}

void HttpServer::Impl::Session::CheckSlowReader(Clock::time_point now) {
  if (held_responses_.bytes == 0 || !response_memory_) return;
  if (total_written_ - total_at_progress_ >= kSlowReaderProgress) {
    total_at_progress_ = total_written_;
    progress_ = now;
    response_memory_->set_can_be_given_up(held_responses_, false);
  } else if (now - progress_ >= kSlowReaderTime) {
    if (!held_responses_.give_up) {
      held_responses_.source = kSlowReaders;
      held_responses_.give_up = [this] { GiveUpResponses(); };
    }
    response_memory_->set_can_be_given_up(held_responses_, true);
  }
}

// Runs while another response takes memory, so the rest waits until it has.
void HttpServer::Impl::Session::GiveUpResponses() {
  response_memory_->Release(held_responses_);
  given_up_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->socket_.is_open()) return;
    self->server_->Fault(ResultCode::kUnknownConnectionLost,
                         "unread responses given up for memory");
    self->Abort();
  });
}

void HttpServer::Impl::Session::OnRequest() {
  HttpRequest request = TakeHead();
  request.body = std::move(parser_->get().body());
  request.pipelined = !queue_.empty();
  const std::uint64_t exchange = ++exchange_;
  const bool pipelining = server_->options_.max_requests_per_connection > 1;
  queue_.Add({exchange,
              pipelining && server_->overtake_filter_ &&
                  server_->overtake_filter_(request),
              request.pipelined, true, request.method == "HEAD",
              std::move(body_memory_)});
  if (request.pipelined) ++server_->pipelined_;
  if (state_ != State::kWriting) state_ = State::kHandling;
  ++server_->active_;
  server_->handler_(std::move(request), [self = shared_from_this(),
                                         exchange](HttpResponse response) {
    self->Respond(exchange, std::move(response));
  });
  if (input_ended_) OnInputEnd();
  ReadAhead();
}

void HttpServer::Impl::Session::Respond(std::uint64_t exchange,
                                        HttpResponse response) {
  if (!socket_.is_open() || given_up_) return;
  const std::size_t bytes = response.body.size();
  if (!queue_.SetResponse(exchange, std::move(response))) return;
  HoldResponse(bytes);
  if (state_ != State::kWriting) WriteNext();
}

void HttpServer::Impl::Session::OnReadError(error_code error) {
  if (!queue_.empty() && error == http::error::end_of_stream) {
    return OnInputEnd();
  }
  if (error == http::error::end_of_stream ||
      error == asio::error::operation_aborted ||
      error == asio::error::connection_reset) {
    return Abort();
  }
  if (final_ && !queue_.empty()) return;
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    const bool body = error == http::error::body_limit;
    return Refuse(body ? 413 : 431, ResultCode::kNotRunTooLarge,
                  body ? "request body too large" : "request header too large");
  }
  Refuse(400, ResultCode::kNotRunBadRequest,
         "malformed request: " + error.message());
  if (error == http::error::partial_message) OnInputEnd();
}

void HttpServer::Impl::Session::Refuse(unsigned status, ResultCode code,
                                       const std::string& detail) {
  server_->Fault(code, detail);
  final_ = true;
  skip_body_ = false;
  parser_.reset();  // with what it holds of the body
  body_memory_ = HeldBytes();
  Answer(FaultResponse(status, code, detail));
}

void HttpServer::Impl::Session::Answer(HttpResponse response) {
  ResponseQueue::Request request;
  request.number = ++exchange_;
  request.may_be_overtaken = true;
  request.head_only = parser_ && parser_->get().method() == http::verb::head;
  queue_.Add(std::move(request));
  Respond(exchange_, std::move(response));
  ReadAhead();
}

void HttpServer::Impl::Session::WriteNext() {
  ResponseQueue::Entry* const next = queue_.Next();
  if (next == nullptr) return;
  HttpResponse& response = next->response;
  // Requests behind this one have perhaps run, so the connection ends only
  // after theirs.
  const bool last = queue_.size() == 1 && !parked_;
  if (last) {
    final_ = final_ || server_->draining_ || server_->closing_ ||
             DeclaresOtherLength(response);
  } else {
    FixLength(response, next->request.head_only);
  }
  next->head = http_wire::ResponseHead(response, !(last && final_));
  Enter(State::kWriting);
  written_ = 0;
  written_at_progress_ = 0;
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(next->head), asio::buffer(response.body)};
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        self->OnWriteProgress(bytes);
        return asio::transfer_all()(error, bytes);
      },
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        self->OnWritten(error);
      });
}

void HttpServer::Impl::Session::OnWritten(error_code error) {
  if (!socket_.is_open()) return;
  const std::size_t before = queue_.response_bytes();
  const ResponseQueue::Request request = queue_.PopFront();
  if (request.with_handler) --server_->active_;
  if (request.pipelined) --server_->pipelined_;
  if (given_up_) return;
  if (response_memory_) {
    response_memory_->ReturnPart(held_responses_,
                                 before - queue_.response_bytes());
    // Its readers are no slow ones.
    if (!error) {
      response_memory_->set_can_be_given_up(held_responses_, false);
      progress_ = Clock::now();
    }
  }
  if (error) return Abort();
  if (queue_.empty() && !parked_ && final_) return Linger();
  if (skip_body_) return ReadBody();
  if (queue_.empty()) return parked_ ? Unpark() : ReadHead();
  Enter(State::kHandling);
  WriteNext();
  ReadAhead();
}

void HttpServer::Impl::Session::Linger() {
  if (state_ != State::kLinger) {
    Enter(State::kLinger);
    error_code ignored;
    socket_.shutdown(Socket::shutdown_send, ignored);
  }
  if (watching_ || reading_head_) return;
  buffer_.clear();
  socket_.async_read_some(
      buffer_.prepare(4096),
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        if (!self->socket_.is_open()) return;
        if (error) return self->Close();
        self->Linger();
      });
}

bool HttpServer::Impl::Session::HasUnreadInput() const {
  error_code error;
  return socket_.available(error) > 0 && !error;
}

// A read may have completed although its handler has not run: only the handler
// of the cancelled read knows.
void HttpServer::Impl::Session::EndIdle() {
  ending_idle_ = true;
  error_code ignored;
  socket_.cancel(ignored);
}

void HttpServer::Impl::Session::CloseUnlessRequested() {
  if (buffer_.size() == 0 && !HasUnreadInput()) return Close();
  StartReadHead();
}

void HttpServer::Impl::Session::CheckDeadline(Clock::time_point now,
                                              bool grace_over) {
  CheckSlowReader(now);
  if (state_ == State::kIdle && buffer_.size() > 0) {
    Enter(State::kHead);  // a part of the header has arrived
  }
  const bool end_idle = state_ == State::kIdle && grace_over;
  if (now < Deadline() && !end_idle) return;
  switch (state_) {
    case State::kIdle:
      if (!end_idle) {
        server_->Fault(ResultCode::kNotRunDeadline, "idle connection closed");
      }
      return EndIdle();
    case State::kHead:
    case State::kBody:
      // What has arrived may not have been read, because the loop was busy.
      if (!postponed_) {
        postponed_ = true;
        return;
      }
      server_->Fault(ResultCode::kNotRunDeadline,
                     "request not received in time");
      break;
    case State::kWriting:
      server_->Fault(ResultCode::kUnknownConnectionLost,
                     "answer not read in time");
      break;
    default:
      break;
  }
  Abort();
}

void HttpServer::Impl::Session::Abort() {
  const bool with_handler = queue_.unanswered() > 0;
  Close();
  if (with_handler && server_->abort_handler_) {
    server_->abort_handler_(number_);
  }
}

void HttpServer::Impl::Session::Close() {
  if (!socket_.is_open()) return;
  server_->active_ -= queue_.with_handler();
  server_->pipelined_ -= queue_.pipelined();
  body_memory_ = HeldBytes();
  queue_.ReturnBodyMemory();
  if (response_memory_) response_memory_->Release(held_responses_);
  error_code ignored;
  socket_.close(ignored);
  if (std::exchange(surplus_, false)) --server_->surplus_;
  server_->sessions_.erase(shared_from_this());
  server_->ResumeAccept();
}

Result<std::uint16_t> HttpServer::Impl::Listen(const std::string& address) {
  const auto endpoint = http_wire::ParseAddress(address);
  if (!endpoint) {
    return Error{ResultCode::kSettingsInvalid, "not an ip:port: " + address};
  }
  error_code error;
  const auto failed = [&](const char* what) {
    error_code ignored;
    acceptor_.close(ignored);
    return Error{ResultCode::kSettingsInvalid,
                 address + ": " + what + ": " + error.message()};
  };
  if (acceptor_.open(endpoint->protocol(), error)) return failed("open");
  acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (options_.reuse_port && acceptor_.set_option(ReusePort(true), error)) {
    return failed("reuse port");
  }
  if (acceptor_.bind(*endpoint, error)) return failed("bind");
  if (acceptor_.listen(asio::socket_base::max_listen_connections, error)) {
    return failed("listen");
  }
  Accept();
  ScheduleSweep();
  return acceptor_.local_endpoint().port();
}

void HttpServer::Impl::Accept() {
  suspended_ = !MayAccept();
  if (suspended_) return;
  if (draining_) return AcceptPending();
  acceptor_.async_accept(
      [self = shared_from_this()](error_code error, Socket socket) {
        // Accepted before a drain, which has closed the acceptor since.
        if (!error && !self->stopped_) self->OnAccepted(std::move(socket));
        if (!self->acceptor_.is_open()) return;
        if (error == asio::error::operation_aborted) return;
        if (error) return self->RetryAccept(error);
        self->Accept();
      });
}

// For example out of file descriptors; trying again at once would spin.
void HttpServer::Impl::RetryAccept(const error_code& error) {
  Fault(ResultCode::kNotRunRouterOverloaded, "accept: " + error.message());
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([self = shared_from_this()](error_code wait_error) {
    if (!wait_error && self->acceptor_.is_open()) self->Accept();
  });
}

void HttpServer::Impl::OnAccepted(Socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto session = std::make_shared<Session>(
      shared_from_this(), std::move(socket), ++last_connection_, !HasRoom());
  sessions_.insert(session);
  session->ReadHead();
}

void HttpServer::Impl::ScheduleSweep() {
  const auto shortest =
      std::min({options_.idle_timeout, options_.transfer_timeout, kLingerTime,
                kDrainGrace});
  sweep_timer_.expires_after(std::max(shortest / 4, Milliseconds(5)));
  sweep_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->Sweep();
  });
}

void HttpServer::Impl::Sweep() {
  const auto now = Clock::now();
  const bool grace_over = draining_ && now >= drain_started_ + kDrainGrace;
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(),
                                                       sessions_.end());
  for (const auto& session : sessions) session->CheckDeadline(now, grace_over);
  if (grace_over) {
    error_code ignored;
    acceptor_.close(ignored);
  }
  if (draining_ && sessions_.empty()) {
    if (const auto done = std::exchange(drained_, nullptr)) done();
    return;
  }
  ScheduleSweep();
}

// Accepts the connections that the system has established, whose requests may
// have arrived, and closes the acceptor: closing it would reset them. Those for
// which there is no room are accepted when others end.
void HttpServer::Impl::AcceptPending() {
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error && MayAccept()) {
    Socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) OnAccepted(std::move(socket));
  }
  suspended_ = !error;
  if (error) acceptor_.close(error);
}

void HttpServer::Impl::Drain(std::function<void()> done) {
  error_code ignored;
  draining_ = true;
  drain_started_ = Clock::now();
  drained_ = std::move(done);
  acceptor_.cancel(ignored);
  if (acceptor_.is_open()) AcceptPending();
  ScheduleSweep();
}

void HttpServer::Impl::Stop() {
  stopped_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  sweep_timer_.cancel();
  retry_timer_.cancel();
  fault_handler_ = nullptr;
  const auto sessions = std::exchange(sessions_, {});
  for (const auto& session : sessions) session->Close();
}

HttpServer::HttpServer(asio::io_context& loop, HttpServerOptions options,
                       Handler handler)
    : impl_(std::make_shared<Impl>(loop, std::move(options),
                                   std::move(handler))) {}

// Cancelling a timer and closing a socket do not throw on Linux.
// NOLINTNEXTLINE(bugprone-exception-escape)
HttpServer::~HttpServer() { impl_->Stop(); }

void HttpServer::set_head_filter(HeadFilter filter) {
  impl_->head_filter_ = std::move(filter);
}

void HttpServer::set_fault_handler(FaultHandler handler) {
  impl_->fault_handler_ = std::move(handler);
}

void HttpServer::set_abort_handler(AbortHandler handler) {
  impl_->abort_handler_ = std::move(handler);
}

void HttpServer::set_overtake_filter(OvertakeFilter filter) {
  impl_->overtake_filter_ = std::move(filter);
}

void HttpServer::set_options(HttpServerOptions options) {
  impl_->options_ = std::move(options);
  impl_->ResumeAccept();
}

void HttpServer::AnnounceClose() { impl_->closing_ = true; }

Result<std::uint16_t> HttpServer::Listen(const std::string& address) {
  return impl_->Listen(address);
}

void HttpServer::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

std::size_t HttpServer::connections() const {
  return impl_->sessions_.size() - impl_->surplus_;
}

std::size_t HttpServer::active_requests() const { return impl_->active_; }

std::size_t HttpServer::pipelined_requests() const { return impl_->pipelined_; }

}  // namespace balsamhall
