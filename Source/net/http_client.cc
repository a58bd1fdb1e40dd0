#include "net/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <unordered_map>
#include <unordered_set>

#include "net/http_wire.h"

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

// Bodies from this size on are written and the answer read at the same time,
// because a server may answer before it has read them.
constexpr std::size_t kConcurrentBodyBytes = 4096;
// A connection is not reused within this time before the server closes it.
constexpr Milliseconds kKeepAliveMargin{1000};

// An answer without a length that ends while the request is being written waits
// this long for the result of the write: bytes that arrive at a closed
// connection are answered by a reset, within a round trip.
constexpr Milliseconds kWriteResultTimeout{250};

constexpr const char* kNoMemory = "no memory left for the answer";

constexpr std::string_view kTimeoutParameter = "timeout=";

// Interim responses come ahead of the final one.
constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
// Interim and extra messages ahead of an answer; a server that writes more
// writes without end.
constexpr unsigned kMaxMessagesReadOver = 16;

// Returns the "timeout" parameter of a Keep-Alive header.
std::optional<std::chrono::seconds> KeepAliveTimeout(std::string_view value) {
  const auto start = value.find(kTimeoutParameter);
  if (start == std::string_view::npos) return std::nullopt;
  value.remove_prefix(start + kTimeoutParameter.size());
  unsigned seconds = 0;
  const auto parsed =
      std::from_chars(value.data(), value.data() + value.size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

// The text of an unfinished body, which takes its capacity from a BodyMemory.
class HeldText {
 public:
  HeldText() = default;
  HeldText(const HeldText&) = delete;
  HeldText& operator=(const HeldText&) = delete;
  ~HeldText() { Return(); }

  // given_up is called when the text is dropped for another source's. It may
  // not destroy this object.
  void set_memory(std::shared_ptr<BodyMemory> memory, std::string source,
                  std::function<void()> given_up) {
    memory_ = std::move(memory);
    body_.source = std::move(source);
    body_.give_up = [this, given_up = std::move(given_up)] {
      std::string().swap(text_);
      given_up_ = true;
      Return();
      given_up();
    };
  }
  bool given_up() const { return given_up_; }
  // No capacity is taken beyond so many bytes unless they have arrived.
  void set_expected(std::size_t bytes) { expected_ = bytes; }
  std::size_t size() const { return text_.size(); }
  // Returns false if there is no memory left.
  bool Append(std::string_view bytes) {
    if (given_up_) return false;
    const std::size_t needed = text_.size() + bytes.size();
    if (needed > taken_ && !Grow(needed)) return false;
    text_ += bytes;
    return true;
  }
  std::string Release() {
    Return();
    return std::exchange(text_, {});
  }

 private:
  bool Grow(std::size_t needed) {
    const std::size_t capacity =
        std::max(needed, std::min(2 * taken_, expected_));
    if (memory_ && !memory_->Grow(body_, capacity - taken_)) return false;
    taken_ = capacity;
    // reserve() of a string that has text may allocate more than this.
    std::string grown;
    grown.reserve(capacity);
    grown += text_;
    text_ = std::move(grown);
    return true;
  }
  void Return() {
    if (memory_) memory_->Release(body_);
    taken_ = 0;
  }

  std::shared_ptr<BodyMemory> memory_;
  UnfinishedBody body_;
  bool given_up_ = false;
  std::size_t expected_ = 0;
  std::size_t taken_ = 0;
  std::string text_;
};

class HeldTextReader {
 public:
  template <bool is_request, class Fields>
  HeldTextReader(http::header<is_request, Fields>& /*head*/, HeldText& text)
      : text_(text) {}

  // The names that the parser calls.
  // NOLINTBEGIN(readability-identifier-naming)
  void init(const boost::optional<std::uint64_t>& length, error_code& error) {
    if (length) text_.set_expected(static_cast<std::size_t>(*length));
    error = {};
  }
  std::size_t put(const asio::const_buffer& buffer, error_code& error) {
    const std::string_view bytes(static_cast<const char*>(buffer.data()),
                                 buffer.size());
    if (!text_.Append(bytes)) {
      error = http::error::body_limit;
      return 0;
    }
    error = {};
    return bytes.size();
  }
  void finish(error_code& error) { error = {}; }
  // NOLINTEND(readability-identifier-naming)

 private:
  HeldText& text_;
};

struct HeldBody {
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = HeldText;
  using reader = HeldTextReader;
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  class Connection;

  Impl(asio::io_context& loop, std::string address, HttpClientOptions options)
      : executor_(loop.get_executor()),
        address_(std::move(address)),
        endpoint_(http_wire::ParseAddress(address_)),
        options_(std::move(options)) {}

  std::uint64_t Send(HttpRequest request, Milliseconds timeout, Callback done,
                     Milliseconds max_idle);
  std::uint64_t SendOn(std::uint64_t number, HttpRequest request,
                       Milliseconds timeout, Callback done);
  void Open(Callback done);
  // Returns a connection that is still to be connected, or nullptr; done then
  // gets the error.
  std::shared_ptr<Connection> NewConnection(Callback& done);
  // Starts an exchange on a new connection.
  void SendOnNew(std::uint64_t id, HttpRequest request,
                 Clock::time_point deadline, Callback done);
  void Cancel(std::uint64_t id);
  void CloseExpired();
  void Fail(HttpFailure failure, std::string detail, Callback done);
  void CloseOlderThan(std::uint64_t number);
  void Stop();

  const Executor executor_;
  const std::string address_;
  const std::optional<tcp::endpoint> endpoint_;
  const HttpClientOptions options_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::vector<std::shared_ptr<Connection>> idle_;  // most recently used last
  std::unordered_map<std::uint64_t, std::weak_ptr<Connection>> exchanges_;
  std::uint64_t last_exchange_ = 0;
  std::uint64_t last_number_ = 0;
  // Connections up to this number are not reused.
  std::uint64_t silent_up_to_ = 0;
};

class HttpClient::Impl::Connection
    : public std::enable_shared_from_this<HttpClient::Impl::Connection> {
 public:
  Connection(std::shared_ptr<Impl> client, std::uint64_t number)
      : client_(std::move(client)),
        number_(number),
        socket_(client_->executor_),
        timer_(client_->executor_) {}

  void Connect(std::uint64_t id, HttpRequest request,
               Clock::time_point deadline, Callback done);
  // replaceable: a new connection may take the place of this one if nothing can
  // be written on it.
  void Exchange(std::uint64_t id, HttpRequest request,
                Clock::time_point deadline, Callback done, bool replaceable);
  // Connects without a request. The outcome has the connection's number.
  void Open(std::uint64_t id, Clock::time_point deadline, Callback done) {
    open_only_ = true;
    Connect(id, {}, deadline, std::move(done));
  }
  // Returns true if the connection may still be reused after max_idle.
  bool Fresh(Clock::time_point now, Milliseconds max_idle) const {
    return now - idle_since_ < std::min(max_idle, idle_limit_);
  }
  // Returns true if the server has neither closed an idle connection nor sent
  // unrequested bytes.
  bool Usable();
  void Close();
  std::uint64_t number() const { return number_; }
  // Returns whether bytes of the answer have arrived.
  bool IsReceiving() const {
    return stage_ == Stage::kReading && parser_->got_some();
  }

 private:
  enum class Stage { kConnecting, kWriting, kReading, kDone };

  void Begin(std::uint64_t id, HttpRequest request, Clock::time_point deadline,
             Callback done);
  void SetTimer(Clock::time_point deadline);
  void OnTimeout();
  // Extends the time-out of an answer whose body has grown since the last one.
  // Returns false if it may not be read on.
  bool ReadOn();
  void Write();
  void OnWritten(error_code error, std::size_t bytes);
  void Read();
  // Reads the message behind one that does not end the exchange.
  void ReadNext();
  void OnRead(error_code error);
  // The whole answer has been read.
  void OnWholeAnswer();
  // Ends the exchange later, because another connection is being read now.
  void OnGivenUp();
  void FinishTooLarge(const std::string& detail) {
    FinishFailed(HttpFailure::kBadAnswer, "read: " + detail, true);
  }
  // Returns true unless the response may belong to another request.
  bool Answers(const HttpResponse& response) const;
  void Finish(Outcome outcome, bool reusable);
  void FinishFailed(HttpFailure failure, std::string detail,
                    bool too_large = false) {
    reset_ = true;
    Finish({std::nullopt, {failure, std::move(detail), too_large}, 0}, false);
  }

  std::shared_ptr<Impl> client_;
  const std::uint64_t number_;
  Socket socket_;
  Timer timer_;
  boost::beast::flat_buffer buffer_{http_wire::kMaxUnparsedBytes};
  std::optional<http::response_parser<HeldBody>> parser_;
  HttpRequest request_;
  std::string head_;
  Callback done_;
  Clock::time_point deadline_;
  // Body bytes at the last time-out of this exchange.
  std::size_t bytes_at_timeout_ = 0;
  Clock::time_point idle_since_;
  Milliseconds idle_limit_{0};
  std::uint64_t exchange_ = 0;
  Stage stage_ = Stage::kDone;
  bool open_only_ = false;  // connects without a request
  bool pooled_ = false;
  bool replaceable_ = false;
  bool written_ = false;
  bool write_failed_ = false;
  // An answer without a length has ended, and the write has not.
  bool awaits_write_ = false;
  bool skipped_answer_ = false;
  unsigned messages_read_over_ = 0;
  bool reset_ = false;
};

void HttpClient::Impl::Connection::Begin(std::uint64_t id, HttpRequest request,
                                         Clock::time_point deadline,
                                         Callback done) {
  client_->exchanges_[id] = weak_from_this();
  request_ = std::move(request);
  deadline_ = deadline;
  done_ = std::move(done);
  written_ = false;
  write_failed_ = false;
  awaits_write_ = false;
  skipped_answer_ = false;
  messages_read_over_ = 0;
  bytes_at_timeout_ = 0;
  exchange_ = id;
}

void HttpClient::Impl::Connection::SetTimer(Clock::time_point deadline) {
  timer_.expires_at(deadline);
  timer_.async_wait(
      [self = shared_from_this(), exchange = exchange_](error_code error) {
        if (!error && exchange == self->exchange_) self->OnTimeout();
      });
}

void HttpClient::Impl::Connection::OnTimeout() {
  if (stage_ == Stage::kDone) return;
  if (awaits_write_) return OnWholeAnswer();
  // The timer of the connect stage may have expired just before the switch to
  // the exchange's later deadline.
  if (stage_ != Stage::kConnecting && Clock::now() < deadline_) return;
  if (stage_ == Stage::kConnecting) {
    return FinishFailed(HttpFailure::kNotSent, "connect timed out");
  }
  if (ReadOn()) return;
  FinishFailed(HttpFailure::kTimeout, "no whole answer in time");
}

bool HttpClient::Impl::Connection::ReadOn() {
  const Milliseconds interval = client_->options_.progress_interval;
  if (interval.count() == 0 || stage_ != Stage::kReading) return false;
  const std::size_t bytes = parser_->get().body().size();
  const auto now = Clock::now();
  if (bytes <= bytes_at_timeout_ ||
      now + interval > deadline_ + client_->options_.max_reading_beyond) {
    return false;
  }
  bytes_at_timeout_ = bytes;
  SetTimer(now + interval);
  return true;
}

void HttpClient::Impl::Connection::Connect(std::uint64_t id,
                                           HttpRequest request,
                                           Clock::time_point deadline,
                                           Callback done) {
  Begin(id, std::move(request), deadline, std::move(done));
  stage_ = Stage::kConnecting;
  SetTimer(
      std::min(deadline, Clock::now() + client_->options_.connect_timeout));
  socket_.async_connect(
      *client_->endpoint_, [self = shared_from_this()](error_code error) {
        if (self->stage_ != Stage::kConnecting) return;
        if (error) {
          return self->FinishFailed(HttpFailure::kNotSent,
                                    "connect: " + error.message());
        }
        error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        if (self->open_only_) {
          self->open_only_ = false;
          self->idle_limit_ = self->client_->options_.max_idle;
          return self->Finish({std::nullopt, {}, self->number_}, true);
        }
        self->SetTimer(self->deadline_);
        self->Write();
      });
}

void HttpClient::Impl::Connection::Exchange(std::uint64_t id,
                                            HttpRequest request,
                                            Clock::time_point deadline,
                                            Callback done, bool replaceable) {
  Begin(id, std::move(request), deadline, std::move(done));
  pooled_ = true;
  replaceable_ = replaceable;
  SetTimer(deadline);
  Write();
}

bool HttpClient::Impl::Connection::Usable() {
  char byte = 0;
  const auto bytes =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClient::Impl::Connection::Write() {
  stage_ = Stage::kWriting;
  head_ = http_wire::RequestHead(request_, client_->address_);
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head_), asio::buffer(request_.body)};
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](error_code error, std::size_t bytes) {
        self->OnWritten(error, bytes);
      });
  if (request_.body.size() >= kConcurrentBodyBytes) Read();
}

void HttpClient::Impl::Connection::OnWritten(error_code error,
                                             std::size_t bytes) {
  if (stage_ == Stage::kReading) {
    written_ = !error;
    write_failed_ = static_cast<bool>(error);
    if (awaits_write_) OnWholeAnswer();
    return;
  }
  if (stage_ != Stage::kWriting) return;
  written_ = !error;
  if (error && bytes == 0) {
    if (!replaceable_) {
      return FinishFailed(HttpFailure::kNotSent, "write: " + error.message());
    }
    // Nothing was written on the pooled connection: a new one is safe.
    auto client = client_;
    const auto id = exchange_;
    HttpRequest request = std::move(request_);
    Callback done = std::move(done_);
    stage_ = Stage::kDone;
    Close();
    return client->SendOnNew(id, std::move(request), deadline_,
                             std::move(done));
  }
  // The server may have answered, and closed, before it read the whole
  // request; that answer is still read.
  write_failed_ = static_cast<bool>(error);
  Read();
}

void HttpClient::Impl::Connection::Read() {
  stage_ = Stage::kReading;
  parser_.emplace();
  parser_->body_limit(client_->options_.max_body_bytes);
  parser_->get().body().set_memory(client_->options_.answer_memory,
                                   client_->address_, [this] { OnGivenUp(); });
  parser_->get().body().set_expected(client_->options_.max_body_bytes);
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
        if (self->stage_ == Stage::kReading) self->OnRead(error);
      });
}

void HttpClient::Impl::Connection::ReadNext() {
  if (++messages_read_over_ > kMaxMessagesReadOver) {
    return FinishFailed(HttpFailure::kBadAnswer, "too many extra answers");
  }
  Read();
}

void HttpClient::Impl::Connection::OnGivenUp() {
  asio::post(client_->executor_,
             [self = shared_from_this(), exchange = exchange_] {
               if (exchange != self->exchange_) return;
               if (self->stage_ != Stage::kReading) return;
               self->FinishTooLarge(kNoMemory);
             });
}

void HttpClient::Impl::Connection::OnRead(error_code error) {
  if (parser_->get().body().given_up()) return FinishTooLarge(kNoMemory);
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return FinishTooLarge(error.message());
  }
  if (error) {
    const bool closed =
        !parser_->got_some() && (error == http::error::end_of_stream ||
                                 error == asio::error::connection_reset ||
                                 error == asio::error::broken_pipe);
    return FinishFailed(closed ? HttpFailure::kClosed : HttpFailure::kBadAnswer,
                        "read: " + error.message());
  }
  const bool write_pending = !written_ && !write_failed_;
  if (write_pending && parser_->need_eof() &&
      client_->options_.accept_unframed) {
    awaits_write_ = true;
    return SetTimer(std::min(deadline_, Clock::now() + kWriteResultTimeout));
  }
  OnWholeAnswer();
}

void HttpClient::Impl::Connection::OnWholeAnswer() {
  const bool unframed = parser_->need_eof();
  if (unframed && !client_->options_.accept_unframed) {
    // An answer that ends with the connection may have been cut off.
    return FinishFailed(HttpFailure::kBadAnswer, "answer without a length");
  }
  // A reset is reported once: if the write learns of it, the read ends like
  // that of a connection that the server has closed in order.
  if (unframed && write_failed_) {
    return FinishFailed(HttpFailure::kBadAnswer,
                        "connection failed during an answer without a length");
  }
  auto& message = parser_->get();
  const unsigned status = message.result_int();
  if (status < kFirstFinalStatus) {
    if (status >= kFirstInterimStatus && status != kSwitchingProtocols) {
      return ReadNext();
    }
    return FinishFailed(HttpFailure::kBadAnswer,
                        "status " + std::to_string(status));
  }
  if (status > kLastStatus) {
    return FinishFailed(HttpFailure::kBadAnswer,
                        "status " + std::to_string(status));
  }
  const bool reusable = message.keep_alive() && !unframed && written_ &&
                        !write_failed_ && !skipped_answer_ &&
                        buffer_.size() == 0;
  HttpResponse response{status, http_wire::CopyHeaders(message),
                        message.body().Release()};
  const bool answers = Answers(response);
  if (!answers && !unframed) {
    skipped_answer_ = true;
    return ReadNext();
  }
  const auto& accept = client_->options_.accept_answer;
  if (!answers || (accept && !accept(request_, response))) {
    return FinishFailed(HttpFailure::kBadAnswer,
                        "answer does not belong to the request");
  }
  idle_limit_ = client_->options_.max_idle;
  const auto stated =
      KeepAliveTimeout(FindHeader(response.headers, "Keep-Alive"));
  if (stated) {
    idle_limit_ = std::min<Milliseconds>(idle_limit_, *stated) -
                  std::min(kKeepAliveMargin, idle_limit_ / 2);
  }
  Finish({std::move(response), {}, number_}, reusable);
}

bool HttpClient::Impl::Connection::Answers(const HttpResponse& response) const {
  const auto& named_request = client_->options_.named_request;
  if (!named_request) return true;
  switch (named_request(request_, response)) {
    case NamedRequest::kThis:
      return true;
    case NamedRequest::kOther:
      return false;
    case NamedRequest::kNone:
      break;
  }
  return (!pooled_ || !replaceable_) && !skipped_answer_;
}

void HttpClient::Impl::Connection::Finish(Outcome outcome, bool reusable) {
  stage_ = Stage::kDone;
  timer_.cancel();
  client_->exchanges_.erase(exchange_);
  idle_since_ = Clock::now();
  const Callback done = std::exchange(done_, nullptr);
  const auto self = shared_from_this();
  if (!outcome.response && outcome.error.failure != HttpFailure::kNotSent &&
      client_->options_.close_older_after_failure) {
    client_->CloseOlderThan(number_);
  }
  if (reusable && number_ > client_->silent_up_to_) {
    client_->idle_.push_back(self);
  } else {
    Close();
  }
  done(std::move(outcome));
}

void HttpClient::Impl::Connection::Close() {
  // An exchange that is given up must not arrive later: a reset also drops the
  // bytes that are still under way.
  const bool given_up =
      stage_ == Stage::kWriting || stage_ == Stage::kReading || reset_;
  stage_ = Stage::kDone;
  timer_.cancel();
  error_code ignored;
  if (given_up && socket_.is_open()) {
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  socket_.close(ignored);
  client_->connections_.erase(shared_from_this());
}

void HttpClient::Impl::Fail(HttpFailure failure, std::string detail,
                            Callback done) {
  asio::post(executor_, [failure, detail = std::move(detail),
                         done = std::move(done)]() mutable {
    done({std::nullopt, {failure, std::move(detail)}, 0});
  });
}

std::uint64_t HttpClient::Impl::Send(HttpRequest request, Milliseconds timeout,
                                     Callback done, Milliseconds max_idle) {
  const auto now = Clock::now();
  const auto deadline = now + timeout;
  const auto id = ++last_exchange_;
  // The most recently used connection is the last: if it is too old for this
  // request, all are. The others stay for requests that allow a longer idle
  // time.
  while (!idle_.empty() && idle_.back()->Fresh(now, max_idle)) {
    const auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->Usable()) {
      connection->Exchange(id, std::move(request), deadline, std::move(done),
                           true);
      return id;
    }
    connection->Close();
  }
  SendOnNew(id, std::move(request), deadline, std::move(done));
  return id;
}

std::uint64_t HttpClient::Impl::SendOn(std::uint64_t number,
                                       HttpRequest request,
                                       Milliseconds timeout, Callback done) {
  const auto id = ++last_exchange_;
  const auto found = std::ranges::find(
      idle_, number,
      [](const auto& connection) { return connection->number(); });
  if (found == idle_.end()) {
    Fail(HttpFailure::kNotSent, "connection in use or closed", std::move(done));
    return id;
  }
  const auto connection = *found;
  idle_.erase(found);
  if (!connection->Usable()) {
    connection->Close();
    Fail(HttpFailure::kNotSent, "connection closed by the server",
         std::move(done));
    return id;
  }
  connection->Exchange(id, std::move(request), Clock::now() + timeout,
                       std::move(done), false);
  return id;
}

void HttpClient::Impl::Cancel(std::uint64_t id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  const auto connection = found->second.lock();
  exchanges_.erase(found);
  if (connection) connection->Close();
}

void HttpClient::Impl::CloseExpired() {
  const auto now = Clock::now();
  const auto expired = [&](const auto& connection) {
    return !connection->Fresh(now, options_.max_idle);
  };
  for (const auto& connection : idle_) {
    if (expired(connection)) connection->Close();
  }
  std::erase_if(idle_, expired);
}

std::shared_ptr<HttpClient::Impl::Connection> HttpClient::Impl::NewConnection(
    Callback& done) {
  if (!endpoint_) {
    Fail(HttpFailure::kNotSent, "not an ip:port: " + address_, std::move(done));
    return nullptr;
  }
  if (connections_.size() >= options_.max_connections && !idle_.empty()) {
    const auto least_recent = idle_.front();
    idle_.erase(idle_.begin());
    least_recent->Close();
  }
  if (connections_.size() >= options_.max_connections) {
    Fail(HttpFailure::kNotSent, "all connections in use", std::move(done));
    return nullptr;
  }
  auto connection =
      std::make_shared<Connection>(shared_from_this(), ++last_number_);
  connections_.insert(connection);
  return connection;
}

void HttpClient::Impl::SendOnNew(std::uint64_t id, HttpRequest request,
                                 Clock::time_point deadline, Callback done) {
  if (const auto connection = NewConnection(done)) {
    connection->Connect(id, std::move(request), deadline, std::move(done));
  }
}

void HttpClient::Impl::Open(Callback done) {
  if (const auto connection = NewConnection(done)) {
    connection->Open(++last_exchange_, Clock::now() + options_.connect_timeout,
                     std::move(done));
  }
}

void HttpClient::Impl::CloseOlderThan(std::uint64_t number) {
  silent_up_to_ = std::max(silent_up_to_, number);
  const auto older = [&](const auto& connection) {
    return connection->number() <= silent_up_to_;
  };
  for (const auto& connection : idle_) {
    if (older(connection)) connection->Close();
  }
  std::erase_if(idle_, older);
}

void HttpClient::Impl::Stop() {
  idle_.clear();
  const auto connections = std::exchange(connections_, {});
  for (const auto& connection : connections) connection->Close();
}

HttpClient::HttpClient(asio::io_context& loop, std::string address,
                       HttpClientOptions options)
    : impl_(std::make_shared<Impl>(loop, std::move(address),
                                   std::move(options))) {}

// Cancelling a timer and closing a socket do not throw on Linux.
// NOLINTNEXTLINE(bugprone-exception-escape)
HttpClient::~HttpClient() { impl_->Stop(); }

std::uint64_t HttpClient::Send(HttpRequest request, Milliseconds timeout,
                               Callback done, Milliseconds max_idle) {
  return impl_->Send(std::move(request), timeout, std::move(done), max_idle);
}

void HttpClient::Open(Callback done) { impl_->Open(std::move(done)); }

std::uint64_t HttpClient::SendOnNew(HttpRequest request, Milliseconds timeout,
                                    Callback done) {
  return impl_->Send(std::move(request), timeout, std::move(done),
                     Milliseconds(0));
}

std::uint64_t HttpClient::SendOn(std::uint64_t connection, HttpRequest request,
                                 Milliseconds timeout, Callback done) {
  return impl_->SendOn(connection, std::move(request), timeout,
                       std::move(done));
}

std::vector<std::uint64_t> HttpClient::IdleConnections() const {
  std::vector<std::uint64_t> numbers;
  std::ranges::transform(
      impl_->idle_, std::back_inserter(numbers),
      [](const auto& connection) { return connection->number(); });
  return numbers;
}

bool HttpClient::IsOpen(std::uint64_t connection) const {
  return std::ranges::any_of(impl_->connections_, [&](const auto& open) {
    return open->number() == connection;
  });
}

bool HttpClient::IsReceiving(std::uint64_t exchange) const {
  const auto found = impl_->exchanges_.find(exchange);
  if (found == impl_->exchanges_.end()) return false;
  const auto connection = found->second.lock();
  return connection && connection->IsReceiving();
}

void HttpClient::Cancel(std::uint64_t exchange) { impl_->Cancel(exchange); }

void HttpClient::CloseExpired() { impl_->CloseExpired(); }

void HttpClient::RetireConnections() {
  impl_->CloseOlderThan(impl_->last_number_);
}

std::size_t HttpClient::open_connections() const {
  return impl_->connections_.size();
}

HttpClient::Outcome SendHttpAndWait(const std::string& address,
                                    HttpRequest request, Milliseconds timeout) {
  asio::io_context loop(1);
  HttpClientOptions options;
  options.max_connections = 1;
  options.connect_timeout = timeout;
  HttpClient client(loop, address, options);
  std::optional<HttpClient::Outcome> result;
  client.Send(std::move(request), timeout, [&](HttpClient::Outcome outcome) {
    result = std::move(outcome);
    loop.stop();
  });
  loop.run();
  return std::move(*result);
}

}  // namespace balsamhall
