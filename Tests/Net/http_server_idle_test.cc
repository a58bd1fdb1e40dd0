// Guards against a request that is cut off because the server ends its idle
// connection: the loop was busy, and the end of the connection was due before
// the request was read.
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <thread>

#include "net/http_server.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using tcp = asio::ip::tcp;

constexpr Milliseconds kIdleTimeout{600};
// The end of an idle connection is due by then.
constexpr Milliseconds kBusy{900};
const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct IdleCase {
  const char* name;
  bool draining;
  bool watched;  // the server notices callers that leave
};
std::ostream& operator<<(std::ostream& out, const IdleCase& input) {
  return out << input.name;
}

const IdleCase kIdleCases[] = {
    {"idle time-out", false, false},
    {"idle time-out of a watched connection", false, true},
    {"drain", true, false},
    {"drain of a watched connection", true, true},
};

std::string ReadAnswer(tcp::socket& socket) {
  std::string answer;
  boost::system::error_code error;
  asio::read_until(socket, asio::dynamic_buffer(answer), "whole", error);
  return answer;
}

BOOST_DATA_TEST_CASE(
    requests_that_arrive_while_the_loop_is_busy_are_not_cut_off,
    data::make(kIdleCases), input) {
  asio::io_context loop(1);
  HttpServerOptions options;
  options.idle_timeout = kIdleTimeout;
  HttpServer server(loop, options,
                    [](const HttpRequest&, const HttpServer::Respond& respond) {
                      respond({200, {}, "whole"});
                    });
  if (input.watched) server.set_abort_handler([](std::uint64_t) {});
  const auto port = server.Listen("127.0.0.1:0");
  BOOST_REQUIRE(port);
  asio::io_context callers(1);
  tcp::socket caller(callers);
  caller.connect({asio::ip::address_v4::loopback(), port.value()});
  asio::write(caller, asio::buffer(kRequest));
  loop.run_for(Milliseconds(50));
  BOOST_REQUIRE(ReadAnswer(caller).starts_with("HTTP/1.1 200"));

  bool drained = false;
  if (input.draining) server.Drain([&] { drained = true; });
  // Due together with the sweep that ends the connection, and before it.
  asio::steady_timer busy(loop, Milliseconds(1));
  busy.async_wait([&](boost::system::error_code) {
    asio::write(caller, asio::buffer(kRequest));
  });
  std::this_thread::sleep_for(kBusy);
  loop.restart();
  loop.run_for(Milliseconds(100));
  BOOST_TEST(ReadAnswer(caller).starts_with("HTTP/1.1 200"));
  boost::system::error_code error;
  caller.close(error);
  if (!input.draining) return;
  loop.restart();
  loop.run_for(Milliseconds(1'500));
  BOOST_TEST(drained);
}

// Guards against connections that are never ended.
BOOST_DATA_TEST_CASE(idle_connections_are_ended, data::make({false, true}),
                     draining) {
  asio::io_context loop(1);
  HttpServerOptions options;
  options.idle_timeout = kIdleTimeout;
  HttpServer server(loop, options,
                    [](const HttpRequest&, const HttpServer::Respond&) {});
  const auto port = server.Listen("127.0.0.1:0");
  BOOST_REQUIRE(port);
  asio::io_context callers(1);
  tcp::socket caller(callers);
  caller.connect({asio::ip::address_v4::loopback(), port.value()});
  loop.run_for(Milliseconds(50));
  BOOST_TEST(server.connections() == 1U);
  if (draining) server.Drain([] {});
  loop.restart();
  loop.run_for(kBusy);
  BOOST_TEST(server.connections() == 0U);
}

}  // namespace
}  // namespace balsamhall
