#include "net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace balsamhall {
namespace {

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

}  // namespace
}  // namespace balsamhall
