// Guards against requests of one caller that wait for each other although it
// has sent them ahead.
#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "UsersPlatform/gateway_fixture.h"
#include "net/http_wire.h"

namespace balsamhall::platform {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr Milliseconds kWorkTime{400};

struct PipeliningCaller {
  explicit PipeliningCaller(GatewayFixture& fixture) : socket(callers) {
    socket.connect(*http_wire::ParseAddress(fixture.front_address));
  }

  void Send(const std::vector<std::pair<std::string, std::string>>& requests) {
    std::string text;
    for (const auto& [target, id] : requests) {
      text += http_wire::RequestHead(GatewayFixture::Request(target, id), "");
    }
    asio::write(socket, asio::buffer(text));
    socket.non_blocking(true);
  }

  // Returns the statuses of the responses that have arrived so far.
  std::string Statuses() {
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(text), error);
    std::string statuses;
    for (std::size_t at = 0;
         (at = text.find("HTTP/1.1 ", at)) != std::string::npos; ++at) {
      statuses += text.substr(at + 9, 3) + " ";
    }
    return statuses;
  }

  asio::io_context callers{1};
  tcp::socket socket;
  std::string text;
};

BOOST_FIXTURE_TEST_CASE(requests_sent_ahead_run_together, GatewayFixture) {
  plain1.set_work_time(kWorkTime);
  plain2.set_work_time(kWorkTime);
  PipeliningCaller caller(*this);
  caller.Send({{"/slow/read/1", "a"},
               {"/slow/read/2", "b"},
               {"/nowhere", "c"},
               {"/slow/read/3", "d"},
               {"/slow/write/4", "e"}});
  BOOST_TEST(RunUntil(
      [&] { return Runs("a") == 1 && Runs("b") == 1 && Runs("d") == 1; },
      kWorkTime / 2));
  BOOST_TEST(Runs("e") == 0);
  BOOST_TEST(
      RunUntil([&] { return caller.Statuses() == "200 200 404 200 200 "; },
               kWorkTime * 4));
  for (const char* id : {"a", "b", "d", "e"}) BOOST_TEST(Runs(id) == 1);
  // The responses name their requests.
  std::size_t at = 0;
  for (const char* id : {"a", "b", "d", "e"}) {
    const auto next =
        caller.text.find("X-Balsamhall-Request-Id: " + std::string(id), at);
    BOOST_TEST((next != std::string::npos), id);
    at = std::max(at, next);
  }
}

BOOST_FIXTURE_TEST_CASE(a_reset_cancels_all_requests_of_the_caller,
                        GatewayFixture) {
  plain1.set_work_time(kWorkTime);
  plain2.set_work_time(kWorkTime);
  PipeliningCaller caller(*this);
  caller.Send(
      {{"/slow/read/1", "a"}, {"/slow/read/2", "b"}, {"/slow/read/3", "c"}});
  BOOST_REQUIRE(RunUntil(
      [&] { return Runs("a") == 1 && Runs("b") == 1 && Runs("c") == 1; },
      kWorkTime / 2));
  caller.socket.set_option(tcp::socket::linger(true, 0));
  caller.socket.close();
  BOOST_TEST(RunUntil([&] { return plain1.aborted() + plain2.aborted() == 3; },
                      kWorkTime / 2));
}

}  // namespace
}  // namespace balsamhall::platform
