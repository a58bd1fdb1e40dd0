// Guards against a planned stop that cuts off requests which have just arrived:
// connections that the system had established, but the server had not accepted,
// were reset when it closed its listening socket.
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr int kCallers = 5;

BOOST_AUTO_TEST_CASE(requests_in_the_accept_queue_are_answered) {
  asio::io_context loop(1);
  HttpServer server(loop, HttpServerOptions{},
                    [](const HttpRequest&, const HttpServer::Respond& respond) {
                      respond({200, {}, "whole"});
                    });
  const auto port = server.Listen("127.0.0.1:0");
  BOOST_REQUIRE(port);
  // The server's loop does not run, so it accepts none of these.
  asio::io_context callers(1);
  std::vector<tcp::socket> sockets;
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  for (int i = 0; i < kCallers; ++i) {
    tcp::socket& socket = sockets.emplace_back(callers);
    socket.connect({asio::ip::address_v4::loopback(), port.value()});
    asio::write(socket, asio::buffer(request));
  }
  bool drained = false;
  server.Drain([&] { drained = true; });
  loop.run_for(Milliseconds(300));
  for (tcp::socket& socket : sockets) {
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    BOOST_TEST((error == asio::error::eof));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(answer.ends_with("whole"));
    socket.close(error);
  }
  loop.restart();
  loop.run_for(Milliseconds(1'500));
  BOOST_TEST(drained);
}

// Guards against the reset of a connection that had been accepted, but not
// handed to the server, when the drain began.
BOOST_AUTO_TEST_CASE(a_connection_accepted_just_before_a_drain_is_answered) {
  asio::io_context loop(1);
  HttpServer server(loop, HttpServerOptions{},
                    [](const HttpRequest&, const HttpServer::Respond& respond) {
                      respond({200, {}, "whole"});
                    });
  const auto port = server.Listen("127.0.0.1:0");
  BOOST_REQUIRE(port);
  asio::io_context callers(1);
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < 2; ++i) {
    tcp::socket& socket = sockets.emplace_back(callers);
    socket.connect({asio::ip::address_v4::loopback(), port.value()});
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  }
  // The second one is accepted at the end of the first one's handler.
  while (server.connections() == 0) loop.run_one();
  server.Drain([] {});
  loop.run_for(Milliseconds(300));
  for (tcp::socket& socket : sockets) {
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    BOOST_TEST((error == asio::error::eof), error.message());
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
  }
}

}  // namespace
}  // namespace balsamhall
