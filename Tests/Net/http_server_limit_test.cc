// Guards against callers beyond the limit of connections that are reset with
// their request unread, which often loses the answer, and against connections
// without bound.
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <iterator>
#include <ostream>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using tcp = asio::ip::tcp;

constexpr int kCallers = 300;
// Less than the callers, so that some of them wait to be accepted.
constexpr int kMaxAccepted = 200;
const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::ptrdiff_t OpenDescriptors() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                       std::filesystem::directory_iterator());
}

struct LimitFixture {
  LimitFixture() {
    BOOST_REQUIRE(port);
    BOOST_REQUIRE(Served(first));
  }

  static HttpServerOptions Options() {
    HttpServerOptions options;
    options.max_connections = 1;
    return options;
  }

  tcp::socket Connect() {
    tcp::socket socket(callers);
    socket.connect({asio::ip::address_v4::loopback(), port.value()});
    return socket;
  }

  // Sends a request on a kept connection; returns whether it was served.
  bool Served(tcp::socket& socket) {
    asio::write(socket, asio::buffer(kRequest));
    Run(Milliseconds(30));
    std::string answer(socket.available(), '\0');
    asio::read(socket, asio::buffer(answer));
    return answer.starts_with("HTTP/1.1 200");
  }

  void Run(Milliseconds time) {
    loop.restart();
    loop.run_for(time);
  }

  // Runs the server until the connection ends; returns the answer, or the
  // error that replaced its end.
  std::string ReadToEnd(tcp::socket& socket) {
    std::string answer;
    boost::system::error_code error;
    socket.non_blocking(true);
    for (int turn = 0; turn < 1'000 && error != asio::error::eof; ++turn) {
      Run(Milliseconds(1));
      asio::read(socket, asio::dynamic_buffer(answer), error);
      if (error && error != asio::error::eof &&
          error != asio::error::would_block) {
        return error.message();
      }
    }
    socket.close();
    return error ? answer : "no end";
  }

  asio::io_context loop{1};
  asio::io_context callers{1};
  int handled = 0;
  HttpServer server{
      loop, Options(),
      [this](const HttpRequest&, const HttpServer::Respond& respond) {
        ++handled;
        respond({200, {}, "whole"});
      }};
  Result<std::uint16_t> port = server.Listen("127.0.0.1:0");
  tcp::socket first = Connect();  // leaves no room
};

struct RequestCase {
  const char* name;
  std::string text;
};
std::ostream& operator<<(std::ostream& out, const RequestCase& input) {
  return out << input.name;
}
const RequestCase kRequests[] = {
    {"no body", kRequest},
    {"body", "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
                 std::string(100'000, 'x')},
};

BOOST_DATA_TEST_CASE_F(LimitFixture, callers_beyond_the_limit_get_their_answer,
                       data::make(kRequests), input) {
  tcp::socket caller = Connect();
  asio::write(caller, asio::buffer(input.text));
  const std::string answer = ReadToEnd(caller);
  BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
  BOOST_TEST(answer.ends_with("too many connections\n"));
  BOOST_TEST(handled == 1);
  BOOST_TEST(Served(first));
}

BOOST_FIXTURE_TEST_CASE(callers_beyond_the_limit_are_served_once_there_is_room,
                        LimitFixture) {
  tcp::socket caller = Connect();
  Run(Milliseconds(20));
  first.close();
  Run(Milliseconds(20));
  BOOST_TEST(Served(caller));
  BOOST_TEST(Served(caller));
  BOOST_TEST(server.connections() == 1U);
}

BOOST_DATA_TEST_CASE_F(LimitFixture, a_rush_of_callers_is_bounded_and_answered,
                       data::make({false, true}), draining) {
  const auto before = OpenDescriptors();
  std::vector<tcp::socket> sockets;
  std::generate_n(std::back_inserter(sockets), kCallers,
                  [this] { return Connect(); });
  if (draining) server.Drain([] {});
  Run(Milliseconds(50));
  BOOST_TEST(OpenDescriptors() - before - kCallers < kMaxAccepted);
  for (tcp::socket& caller : sockets) {
    asio::write(caller, asio::buffer(kRequest));
  }
  for (tcp::socket& caller : sockets) {
    BOOST_TEST(ReadToEnd(caller).starts_with("HTTP/1.1 503"));
  }
  if (!draining) BOOST_TEST(Served(first));
}

}  // namespace
}  // namespace balsamhall
