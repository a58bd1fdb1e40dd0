// Guards against requests that are served one after the other although their
// caller has sent them ahead, and against what pipelining must not break: the
// order of responses, requests that run behind a closed connection, and memory
// without a limit.
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace balsamhall {
namespace {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;
using tcp = asio::ip::tcp;
using Targets = std::vector<std::string>;

std::string Get(const std::string& target, const std::string& more = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}
std::string Post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct PipeliningFixture {
  explicit PipeliningFixture(HttpServerOptions options = Options())
      : server(loop, std::move(options),
               [this](HttpRequest request, HttpServer::Respond respond) {
                 started.push_back(request.target);
                 open.emplace(request.target, std::move(respond));
                 most_open = std::max(most_open, open.size());
               }) {
    server.set_overtake_filter([](const HttpRequest& request) {
      return request.method == "GET" || request.method == "HEAD";
    });
    server.set_abort_handler([this](std::uint64_t) { ++aborts; });
    port = server.Listen("127.0.0.1:0").value();
  }

  static HttpServerOptions Options() {
    HttpServerOptions options;
    options.max_requests_per_connection = 4;
    options.response_memory = std::make_shared<BodyMemory>(8U << 20U);
    options.request_memory = std::make_shared<BodyMemory>(1U << 20U);
    return options;
  }

  tcp::socket Connect() {
    tcp::socket socket(callers);
    socket.connect({asio::ip::address_v4::loopback(), port});
    socket.non_blocking(true);
    return socket;
  }

  void Run(Milliseconds time = Milliseconds(30)) {
    loop.restart();
    loop.run_for(time);
  }

  void Send(tcp::socket& socket, const std::string& text) {
    asio::write(socket, asio::buffer(text));
    Run();
  }

  // Ends a request with its target as the body.
  void Finish(const std::string& target, unsigned status = 200) {
    const auto found = open.find(target);
    BOOST_REQUIRE_MESSAGE(found != open.end(), target);
    const auto respond = std::move(found->second);
    open.erase(found);
    respond({status, {}, "[" + target + "]"});
    Run();
  }

  // Returns what has arrived; the status and body of each response.
  std::string Read(tcp::socket& socket) {
    std::string text;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(text), error);
    ended = error == asio::error::eof;
    std::string short_text;
    for (std::size_t at = 0;
         (at = text.find("HTTP/1.1 ", at)) < std::string::npos;) {
      const std::size_t body = text.find("\r\n\r\n", at);
      const std::string head = text.substr(at, body - at);
      const std::size_t next = text.find("HTTP/1.1 ", body);
      if (!short_text.empty()) short_text += ' ';
      short_text += text.substr(at + 9, 3);
      if (head.find("Connection: close") != std::string::npos) {
        short_text += "close";
      }
      const std::string content = text.substr(body + 4, next - body - 4);
      if (content.starts_with("[")) short_text += content;
      at = std::min(next, text.size());
    }
    return short_text;
  }

  asio::io_context loop{1};
  asio::io_context callers{1};
  Targets started;
  std::map<std::string, HttpServer::Respond> open;
  std::size_t most_open = 0;
  int aborts = 0;
  bool ended = false;  // the connection, at the last Read
  HttpServer server;
  std::uint16_t port = 0;
};

struct OrderCase {
  const char* name;
  Targets finished;
  unsigned status;  // of /2
  const char* answers;
};
std::ostream& operator<<(std::ostream& out, const OrderCase& input) {
  return out << input.name;
}
const OrderCase kOrders[] = {
    {"in order", {"/1", "/2", "/3"}, 200, "200[/1] 200[/2] 200[/3]"},
    {"reversed", {"/3", "/2", "/1"}, 200, "200[/1] 200[/2] 200[/3]"},
    {"rejected", {"/2", "/3", "/1"}, 503, "200[/1] 503[/2] 200[/3]"},
    {"failed", {"/3", "/1", "/2"}, 502, "200[/1] 502[/2] 200[/3]"},
};

BOOST_DATA_TEST_CASE_F(PipeliningFixture, responses_keep_the_order_of_requests,
                       data::make(kOrders), input) {
  tcp::socket caller = Connect();
  Send(caller, Get("/1") + Get("/2"));
  Send(caller, Get("/3"));
  BOOST_TEST(started == (Targets{"/1", "/2", "/3"}));
  BOOST_TEST(server.pipelined_requests() == 2U);
  for (const std::string& target : input.finished) {
    Finish(target, target == "/2" ? input.status : 200);
  }
  BOOST_TEST(Read(caller) == input.answers);
  BOOST_TEST(!ended);
  BOOST_TEST(server.pipelined_requests() == 0U);
  BOOST_TEST(server.active_requests() == 0U);
  Send(caller, Get("/4"));  // the connection is kept
  Finish("/4");
  BOOST_TEST(Read(caller) == "200[/4]");
}

struct BarrierCase {
  const char* name;
  std::string sent;
  Targets together;  // with the handler at once
  Targets finished;
  const char* answers;
};
std::ostream& operator<<(std::ostream& out, const BarrierCase& input) {
  return out << input.name;
}
const BarrierCase kBarriers[] = {
    {"not idempotent behind idempotent",
     Get("/1") + Get("/2") + Post("/3", "") + Get("/4"),
     {"/1", "/2"},
     {"/2", "/1", "/3", "/4"},
     "200[/1] 200[/2] 200[/3] 200[/4]"},
    {"idempotent behind not idempotent",
     Post("/1", "") + Get("/2"),
     {"/1"},
     {"/1", "/2"},
     "200[/1] 200[/2]"},
    {"bodies",
     Get("/1") + Post("/2", "body") + Post("/3", "GET /x HTTP/1.1\r\n\r\n") +
         Get("/4"),
     {"/1"},
     {"/1", "/2", "/3", "/4"},
     "200[/1] 200[/2] 200[/3] 200[/4]"},
    {"malformed behind good ones",
     Get("/1") + Get("/2") + "nonsense\r\n\r\n" + Get("/4"),
     {"/1", "/2"},
     {"/2", "/1"},
     "200[/1] 200[/2] 400close"},
    {"too large behind a good one",
     Get("/1") + Get("/2", "X: " + std::string(9'000, 'x') + "\r\n"),
     {"/1"},
     {"/1"},
     "200[/1] 431close"},
    {"close in the middle",
     Get("/1") + Get("/2", "Connection: close\r\n") + Get("/3"),
     {"/1", "/2"},
     {"/2", "/1"},
     "200[/1] 200close[/2]"},
    {"limit of a connection",
     Get("/1") + Get("/2") + Get("/3") + Get("/4") + Get("/5") + Get("/6"),
     {"/1", "/2", "/3", "/4"},
     {"/2", "/1", "/5", "/6", "/3", "/4"},
     "200[/1] 200[/2] 200[/3] 200[/4] 200[/5] 200[/6]"},
};

BOOST_DATA_TEST_CASE_F(PipeliningFixture,
                       only_what_may_overtake_is_with_the_handler_together,
                       data::make(kBarriers), input) {
  tcp::socket caller = Connect();
  Send(caller, input.sent);
  BOOST_TEST(started == input.together);
  for (const std::string& target : input.finished) Finish(target);
  BOOST_TEST(Read(caller) == input.answers);
  BOOST_TEST(most_open <= 4U);
  BOOST_TEST(open.empty());
  Run(Milliseconds(700));  // the time to read on after a close
  const std::string all = input.answers;
  BOOST_TEST(server.connections() ==
             (all.find("close") == std::string::npos ? 1U : 0U));
}

// Guards against a server that pipelines without being asked to.
BOOST_AUTO_TEST_CASE(requests_are_served_one_by_one_by_default) {
  PipeliningFixture fixture{HttpServerOptions{}};
  tcp::socket caller = fixture.Connect();
  fixture.Send(caller, Get("/1") + Get("/2"));
  BOOST_TEST(fixture.started == Targets{"/1"});
  fixture.Finish("/1");
  fixture.Finish("/2");
  BOOST_TEST(fixture.Read(caller) == "200[/1] 200[/2]");
}

BOOST_AUTO_TEST_CASE(the_limit_of_all_connections_holds) {
  HttpServerOptions options = PipeliningFixture::Options();
  options.max_pipelined_requests = 1;
  PipeliningFixture fixture{options};
  tcp::socket first = fixture.Connect();
  tcp::socket second = fixture.Connect();
  fixture.Send(first, Get("/1") + Get("/2") + Get("/3"));
  fixture.Send(second, Get("/4") + Get("/5"));
  BOOST_TEST(fixture.started == (Targets{"/1", "/2", "/4"}));
  for (const char* target : {"/4", "/5", "/2", "/1", "/3"}) {
    fixture.Finish(target);
  }
  BOOST_TEST(fixture.Read(first) == "200[/1] 200[/2] 200[/3]");
  BOOST_TEST(fixture.Read(second) == "200[/4] 200[/5]");
}

struct LeavingCase {
  const char* name;
  bool reset;
  std::string sent;
  std::size_t running;  // when the caller leaves
};
std::ostream& operator<<(std::ostream& out, const LeavingCase& input) {
  return out << input.name;
}
const LeavingCase kLeavings[] = {
    {"half-close", false, Get("/1") + Get("/2") + Get("/3"), 3},
    {"reset", true, Get("/1") + Get("/2") + Get("/3"), 3},
    {"reset with unread requests", true,
     Get("/1") + Get("/2") + Get("/3") + Get("/4") + Get("/5") + Get("/6"), 4},
    {"reset behind a waiting one", true, Get("/1") + Post("/2", "") + Get("/3"),
     1},
};

BOOST_DATA_TEST_CASE_F(PipeliningFixture,
                       a_caller_that_leaves_is_reported_with_several_requests,
                       data::make(kLeavings), input) {
  tcp::socket caller = Connect();
  Send(caller, input.sent);
  BOOST_TEST(open.size() == input.running);
  if (input.reset) {
    caller.set_option(tcp::socket::linger(true, 0));
    caller.close();
    Run();
    BOOST_TEST(server.connections() == 0U);
    BOOST_TEST(server.active_requests() == 0U);
    BOOST_TEST(server.pipelined_requests() == 0U);
    for (const char* target : {"/1"}) Finish(target);  // has no effect
  } else {
    caller.shutdown(tcp::socket::shutdown_send);
    Run();
    Finish("/2");
    Finish("/1");
    Finish("/3");
    BOOST_TEST(Read(caller) == "200[/1] 200[/2] 200close[/3]");
  }
  BOOST_TEST(aborts == 1);
  BOOST_TEST(started.size() == input.running);
}

struct StopCase {
  const char* name;
  bool drain;  // or only announced
};
std::ostream& operator<<(std::ostream& out, const StopCase& input) {
  return out << input.name;
}
const StopCase kStops[] = {{"announced", false}, {"drain", true}};

// Guards against requests that are cut off, or run although the response before
// them has ended the connection.
BOOST_DATA_TEST_CASE_F(PipeliningFixture,
                       a_stopping_server_answers_what_it_has_dispatched,
                       data::make(kStops), input) {
  tcp::socket caller = Connect();
  Send(caller, Get("/1") + Get("/2"));
  bool drained = false;
  if (input.drain) server.Drain([&] { drained = true; });
  server.AnnounceClose();
  Send(caller, Get("/3") + Get("/4"));  // the one that was awaited is the last
  BOOST_TEST(started == (Targets{"/1", "/2", "/3"}));
  Run(Milliseconds(700));
  Finish("/3");
  Finish("/1");
  Finish("/2");
  BOOST_TEST(Read(caller) == "200[/1] 200[/2] 200close[/3]");
  Run(Milliseconds(900));
  BOOST_TEST(started.size() == 3U);
  BOOST_TEST(server.connections() == 0U);
  BOOST_TEST(drained == input.drain);
}

BOOST_FIXTURE_TEST_CASE(nothing_runs_behind_a_response_that_closes,
                        PipeliningFixture) {
  tcp::socket caller = Connect();
  Send(caller, Get("/1"));
  server.AnnounceClose();
  Finish("/1");
  Send(caller, Get("/2"));
  BOOST_TEST(Read(caller) == "200close[/1]");
  BOOST_TEST(started.size() == 1U);
}

}  // namespace
}  // namespace balsamhall
