#include "net/http_client.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "net/http_server.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// A request that needs a new connection was not sent while idle connections
// filled the limit.
BOOST_AUTO_TEST_CASE(IdleConnectionsMakeRoomForANewOne) {
  boost::asio::io_context loop(1);
  HttpServer server(loop, HttpServerOptions{},
                    [](const HttpRequest&, const HttpServer::Respond& respond) {
                      respond({200, {}, "answer"});
                    });
  HttpClientOptions options;
  options.max_connections = 2;
  HttpClient client(
      loop, "127.0.0.1:" + std::to_string(server.Listen("127.0.0.1:0").value()),
      options);
  int answered = 0;
  int failed = 0;
  const auto send = [&](Milliseconds max_idle) {
    client.Send(
        {"GET", "/", {}, "", 0}, Milliseconds(1'000),
        [&](const HttpClient::Outcome& outcome) {
          ++(outcome.response ? answered : failed);
        },
        max_idle);
  };
  const auto run_until = [&](int ended) {
    const auto end = std::chrono::steady_clock::now() + Milliseconds(3'000);
    while (answered + failed < ended &&
           std::chrono::steady_clock::now() < end) {
      loop.restart();
      loop.run_one_for(Milliseconds(10));
    }
  };
  send(Milliseconds::max());
  send(Milliseconds::max());
  run_until(2);
  BOOST_REQUIRE(client.open_connections() == 2U);
  send(Milliseconds(0));
  run_until(3);
  BOOST_TEST(answered == 3);
  BOOST_TEST(client.open_connections() == 2U);
}

// A server on the client's loop that answers as soon as a request's head has
// arrived, and then ends the connection.
enum class Ending {
  kReset,           // at once, while the request is being written
  kCloseUnread,     // closes without having read what has arrived
  kCloseThenReset,  // in order, and resets what arrives after that
  kClose,           // in order, and reads on
  kCloseAndHold,    // in order, and neither reads on nor closes its other side
  kCloseAfterAll,   // in order, once it has read the whole request
};

struct UnframedCase {
  const char* name;
  Ending ending;
  std::size_t upload;
  bool complete;
};

std::ostream& operator<<(std::ostream& out, const UnframedCase& c) {
  return out << c.name;
}

constexpr std::size_t kLarge = 9'000'000;
constexpr std::size_t kMedium = 200'000;
constexpr std::size_t kSmall = 1'000;
constexpr std::size_t kNone = 0;

const UnframedCase kUnframed[] = {
    {"reset, 9 MB", Ending::kReset, kLarge, false},
    {"reset, 200 kB", Ending::kReset, kMedium, false},
    {"reset, 1 kB", Ending::kReset, kSmall, false},
    {"reset, no upload", Ending::kReset, kNone, false},
    {"closed with unread bytes, 9 MB", Ending::kCloseUnread, kLarge, false},
    {"closed with unread bytes, 200 kB", Ending::kCloseUnread, kMedium, false},
    {"closed, then reset, 9 MB", Ending::kCloseThenReset, kLarge, false},
    {"closed, then reset, after the whole request", Ending::kCloseThenReset,
     kSmall, true},
    {"closed in order, no upload", Ending::kClose, kNone, true},
    {"closed in order, 9 MB", Ending::kClose, kLarge, true},
    {"closed in order, 1 kB", Ending::kClose, kSmall, true},
    {"closed in order and not read on", Ending::kCloseAndHold, kLarge, true},
    {"closed after the whole request", Ending::kCloseAfterAll, kLarge, true},
};

const char* const kHeads[] = {"HTTP/1.1 200 OK\r\n\r\n",
                              "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                              "HTTP/1.0 200 OK\r\n\r\n"};

class UnframedServer {
 public:
  UnframedServer(boost::asio::io_context& loop, Ending ending, std::string head,
                 Milliseconds delay)
      : ending_(ending),
        answer_(std::move(head) + "part"),
        delay_(delay),
        acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
        socket_(loop),
        timer_(loop) {
    acceptor_.async_accept(socket_, [this](error_code error) {
      if (!error) ReadSome();
    });
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void ReadSome() {
    socket_.async_read_some(asio::buffer(buffer_), [this](error_code error,
                                                          std::size_t bytes) {
      if (error) return;
      read_ += bytes;
      const bool enough = ending_ != Ending::kCloseAfterAll || read_ > kLarge;
      if (enough && !answered_) Answer();
      if (!answered_ || ending_ == Ending::kClose) ReadSome();
    });
  }
  void Answer() {
    answered_ = true;
    asio::write(socket_, asio::buffer(answer_));
    timer_.expires_after(delay_);
    timer_.async_wait([this](error_code error) {
      if (!error) End();
    });
  }
  void End() {
    error_code ignored;
    switch (ending_) {
      case Ending::kReset:
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
        return;
      case Ending::kCloseUnread:
        socket_.close(ignored);
        return;
      case Ending::kCloseThenReset:
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        timer_.expires_after(delay_);
        timer_.async_wait([this](error_code error) {
          error_code closed;
          if (!error) socket_.close(closed);
        });
        return;
      case Ending::kClose:
      case Ending::kCloseAndHold:
      case Ending::kCloseAfterAll:
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
  }

  const Ending ending_;
  const std::string answer_;
  const Milliseconds delay_;
  tcp::acceptor acceptor_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 4096> buffer_{};
  std::size_t read_ = 0;
  bool answered_ = false;
};

// Guards against a part of an answer without a length that is taken for the
// whole one, because the write of the request learned of the reset, and the
// read saw only an end of the stream.
BOOST_DATA_TEST_CASE(an_unframed_answer_of_a_failed_connection_is_not_complete,
                     data::make(kUnframed) * data::make(kHeads) *
                         data::make({0, 20}),
                     unframed, head, delay) {
  boost::asio::io_context loop(1);
  UnframedServer server(loop, unframed.ending, head, Milliseconds(delay));
  HttpClientOptions options;
  options.accept_unframed = true;
  HttpClient client(loop, server.address(), options);
  std::optional<HttpClient::Outcome> outcome;
  client.Send({"POST", "/", {}, std::string(unframed.upload, 'x'), 0},
              Milliseconds(2'000),
              [&](HttpClient::Outcome ended) { outcome = std::move(ended); });
  const auto end = std::chrono::steady_clock::now() + Milliseconds(3'000);
  while (!outcome && std::chrono::steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(Milliseconds(10));
  }
  BOOST_REQUIRE(outcome);
  BOOST_TEST(outcome->response.has_value() == unframed.complete);
  if (outcome->response) BOOST_TEST(outcome->response->body == "part");
}

}  // namespace
}  // namespace balsamhall
