// Limits of the HTTP server and client, attacked over plain sockets.
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

#include "StandIn/await.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/percent_encoding.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;
using tcp = boost::asio::ip::tcp;

struct ServerFixture {
  ServerFixture()
      : server(loop, Options(),
               [this](const HttpRequest& request,
                      const HttpServer::Respond& respond) {
                 ++handled;
                 respond({200, {}, request.body});
               }),
        port(server.Listen("127.0.0.1:0").value()) {
    server.set_fault_handler(
        [this](ResultCode code, const std::string&) { ++faults[code]; });
  }

  static HttpServerOptions Options() {
    HttpServerOptions options;
    options.max_connections = 4;
    options.max_header_bytes = 1024;
    options.max_body_bytes = 2048;
    options.idle_timeout = Milliseconds(200);
    options.transfer_timeout = Milliseconds(100);
    return options;
  }

  tcp::socket Connect() {
    tcp::socket socket(loop);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    RunFor(loop, Milliseconds(10));
    return socket;
  }

  // Sends text, runs the server, and returns what it answered so far.
  std::string Exchange(tcp::socket& socket, const std::string& text,
                       Milliseconds time) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(text), ignored);
    RunFor(loop, time);
    std::string answer(socket.available(ignored), '\0');
    if (!answer.empty()) {
      boost::asio::read(socket, boost::asio::buffer(answer), ignored);
    }
    return answer;
  }

  boost::asio::io_context loop;
  int handled = 0;
  std::map<ResultCode, int> faults;
  HttpServer server;
  std::uint16_t port;
};

struct InputCase {
  const char* name;
  std::string text;
  const char* status;  // start of the answer; empty: closed without one
  ResultCode fault;    // kOk: none
  int handled;
};
std::ostream& operator<<(std::ostream& out, const InputCase& input) {
  return out << input.name;
}
const InputCase kInputs[] = {
    {"valid", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 200", ResultCode::kOk, 1},
    {"two requests in one write",
     "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n", "HTTP/1.1 200",
     ResultCode::kOk, 2},
    {"body at the limit",
     "POST / HTTP/1.1\r\nContent-Length: 2048\r\n\r\n" + std::string(2048, 'x'),
     "HTTP/1.1 200", ResultCode::kOk, 1},
    {"not HTTP", "hello there\r\n\r\n", "HTTP/1.1 400",
     ResultCode::kNotRunBadRequest, 0},
    {"binary", std::string(64, '\x16') + "\r\n\r\n", "HTTP/1.1 400",
     ResultCode::kNotRunBadRequest, 0},
    {"two lengths",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
     "HTTP/1.1 400", ResultCode::kNotRunBadRequest, 0},
    {"oversized header",
     "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
     "HTTP/1.1 431", ResultCode::kNotRunTooLarge, 0},
    {"endless header", "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x'),
     "HTTP/1.1 431", ResultCode::kNotRunTooLarge, 0},
    {"announced oversized body",
     "POST / HTTP/1.1\r\nContent-Length: 999999\r\n\r\n", "HTTP/1.1 413",
     ResultCode::kNotRunTooLarge, 0},
    {"chunked oversized body",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" +
         std::string(4096, 'x') + "\r\n0\r\n\r\n",
     "HTTP/1.1 413", ResultCode::kNotRunTooLarge, 0},
    {"slow header", "GET / HTTP/1.1\r\nX: ", "", ResultCode::kNotRunDeadline,
     0},
    {"slow body", "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc", "",
     ResultCode::kNotRunDeadline, 0},
    {"idle", "", "", ResultCode::kNotRunDeadline, 0},
};

BOOST_AUTO_TEST_SUITE(HttpLimits)

// Guards against input that ties up memory or a connection, or stops the
// process: each limit gives its code, and the next caller is served.
BOOST_DATA_TEST_CASE(InputIsAnsweredOrRefused, data::make(kInputs), input) {
  ServerFixture fixture;
  auto socket = fixture.Connect();
  const bool answered = std::string(input.status).size() > 0;
  const Milliseconds time{answered ? 50 : 500};
  const std::string answer = fixture.Exchange(socket, input.text, time);
  BOOST_CHECK_EQUAL(answer.substr(0, 12), input.status);
  BOOST_CHECK_EQUAL(fixture.handled, input.handled);
  BOOST_CHECK_EQUAL(fixture.faults[input.fault],
                    input.fault == ResultCode::kOk ? 0 : 1);
  if (!answered) BOOST_CHECK_EQUAL(fixture.server.connections(), 0U);
  auto next = fixture.Connect();
  BOOST_CHECK_EQUAL(
      fixture.Exchange(next, "GET / HTTP/1.1\r\n\r\n", Milliseconds(20))
          .substr(0, 12),
      "HTTP/1.1 200");
}

// Guards against a caller that never reads its answers and so holds memory.
BOOST_AUTO_TEST_CASE(SlowReaderIsDisconnected) {
  boost::asio::io_context loop;
  int faults = 0;
  HttpServer server(loop, ServerFixture::Options(),
                    [](const HttpRequest&, const HttpServer::Respond& respond) {
                      respond({200, {}, std::string(32U << 20U, 'x')});
                    });
  server.set_fault_handler([&](ResultCode code, const std::string&) {
    BOOST_CHECK(code == ResultCode::kUnknownConnectionLost);
    ++faults;
  });
  const std::uint16_t port = server.Listen("127.0.0.1:0").value();
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(), port});
  boost::asio::write(
      socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  RunFor(loop, Milliseconds(400));
  BOOST_CHECK_EQUAL(faults, 1);
  BOOST_CHECK_EQUAL(server.connections(), 0U);
}

// Guards against connections without bound.
BOOST_AUTO_TEST_CASE(ConnectionsAboveTheLimitAreRefused) {
  ServerFixture fixture;
  std::vector<tcp::socket> sockets;
  sockets.reserve(6);
  for (int i = 0; i < 6; ++i) sockets.push_back(fixture.Connect());
  BOOST_CHECK_EQUAL(fixture.server.connections(), 4U);
  for (tcp::socket* const socket : {&sockets[4], &sockets[5]}) {
    BOOST_CHECK_EQUAL(
        fixture.Exchange(*socket, "GET / HTTP/1.1\r\n\r\n", Milliseconds(10))
            .substr(0, 12),
        "HTTP/1.1 503");
  }
  BOOST_CHECK_EQUAL(fixture.faults[ResultCode::kNotRunRouterOverloaded], 2);
  BOOST_CHECK_EQUAL(fixture.handled, 0);
}

// Guards against a head filter whose refusal costs the connection or lets the
// handler see the request.
BOOST_AUTO_TEST_CASE(HeadFilterRefusesBeforeTheBody) {
  ServerFixture fixture;
  fixture.server.set_head_filter(
      [](const HttpRequest& request) -> std::optional<HttpResponse> {
        if (request.target != "/shed") return std::nullopt;
        return HttpResponse{503, {}, "shed"};
      });
  auto socket = fixture.Connect();
  BOOST_CHECK_EQUAL(
      fixture
          .Exchange(socket,
                    "POST /shed HTTP/1.1\r\nContent-Length: 5\r\n\r\nab",
                    Milliseconds(30))
          .substr(0, 12),
      "HTTP/1.1 503");
  BOOST_CHECK_EQUAL(fixture.handled, 0);
  const std::string answer = fixture.Exchange(
      socket, "cdePOST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok",
      Milliseconds(30));
  BOOST_CHECK(answer.starts_with("HTTP/1.1 200"));
  BOOST_CHECK(answer.ends_with("ok"));
}

// Guards against a planned stop that cuts off a request in flight (P7).
BOOST_AUTO_TEST_CASE(DrainFinishesRequestsInFlight) {
  boost::asio::io_context loop;
  HttpServer::Respond pending;
  HttpServer server(loop, {},
                    [&](const HttpRequest&, HttpServer::Respond respond) {
                      pending = std::move(respond);
                    });
  HttpClient client(
      loop, "127.0.0.1:" + std::to_string(server.Listen("127.0.0.1:0").value()),
      {});
  bool drained = false;
  std::optional<HttpClient::Outcome> outcome;
  client.Send({"GET", "/", {}, ""}, Milliseconds(5000),
              [&](HttpClient::Outcome result) { outcome = std::move(result); });
  RunFor(loop, Milliseconds(30));
  BOOST_REQUIRE(pending);
  server.Drain([&] { drained = true; });
  RunFor(loop, Milliseconds(800));
  BOOST_CHECK(!drained);
  pending({200, {}, "whole"});
  pending({200, {}, "again"});  // ignored
  RunFor(loop, Milliseconds(800));
  BOOST_REQUIRE(outcome && outcome->response);
  BOOST_CHECK_EQUAL(outcome->response->body, "whole");
  BOOST_CHECK_EQUAL(FindHeader(outcome->response->headers, "connection"),
                    "close");
  BOOST_CHECK(drained);
  BOOST_CHECK_EQUAL(server.connections(), 0U);
}

struct AnswerCase {
  const char* name;
  std::string text;
  std::optional<HttpFailure> failure;
};
std::ostream& operator<<(std::ostream& out, const AnswerCase& answer) {
  return out << answer.name;
}
const AnswerCase kAnswers[] = {
    {"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", std::nullopt},
    {"closed without an answer", "", HttpFailure::kClosed},
    {"truncated head", "HTTP/1.1 200 OK\r\nConte", HttpFailure::kBadAnswer},
    {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
     HttpFailure::kBadAnswer},
    {"truncated chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
     HttpFailure::kBadAnswer},
    {"no length", "HTTP/1.1 200 OK\r\n\r\nok", HttpFailure::kBadAnswer},
    {"not HTTP", "220 mail ready\r\n\r\n", HttpFailure::kBadAnswer},
    {"too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
     HttpFailure::kBadAnswer},
};

// Guards against a cut-off or malformed answer being taken for a whole one.
BOOST_DATA_TEST_CASE(AnswerIsWholeOrAnError, data::make(kAnswers), answer) {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
  HttpClientOptions options;
  options.max_body_bytes = 1024;
  HttpClient client(
      loop, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
      options);
  std::string input(4096, '\0');
  tcp::socket peer(loop);
  acceptor.async_accept(peer, [&](auto) {
    peer.async_read_some(boost::asio::buffer(input), [&](auto, auto) {
      boost::asio::write(peer, boost::asio::buffer(answer.text));
      peer.shutdown(tcp::socket::shutdown_send);
    });
  });
  const auto outcome = Await<HttpClient::Outcome>(loop, [&](auto done) {
    client.Send({"GET", "/", {}, ""}, Milliseconds(1000), done);
  });
  BOOST_CHECK_EQUAL(outcome.response.has_value(), !answer.failure.has_value());
  if (answer.failure) BOOST_CHECK(outcome.error.failure == *answer.failure);
}

// Guards against a request that fails because the server had closed an idle
// connection: nothing was written, so a new connection is used.
BOOST_AUTO_TEST_CASE(ClosedPooledConnectionIsReplaced) {
  ServerFixture fixture;
  HttpClient client(fixture.loop, "127.0.0.1:" + std::to_string(fixture.port),
                    {});
  for (int i = 0; i < 2; ++i) {
    const auto outcome =
        Await<HttpClient::Outcome>(fixture.loop, [&](auto done) {
          client.Send({"POST", "/", {}, "x"}, Milliseconds(1000), done);
        });
    BOOST_CHECK(outcome.response.has_value());
    RunFor(fixture.loop, Milliseconds(400));  // the server closes it as idle
  }
  BOOST_CHECK_EQUAL(fixture.handled, 2);
}

// Guards against an early refusal being lost while the caller still sends.
BOOST_AUTO_TEST_CASE(EarlyRefusalReachesTheCaller) {
  ServerFixture fixture;
  HttpClient client(fixture.loop, "127.0.0.1:" + std::to_string(fixture.port),
                    {});
  const auto outcome = Await<HttpClient::Outcome>(fixture.loop, [&](auto done) {
    client.Send({"POST", "/", {}, std::string(1U << 20U, 'x')},
                Milliseconds(1000), done);
  });
  BOOST_REQUIRE(outcome.response.has_value());
  BOOST_CHECK_EQUAL(outcome.response->status, 413U);
}

// Guards against a header value that splits the message.
BOOST_AUTO_TEST_CASE(LineBreaksInHeadersAreNotSent) {
  ServerFixture fixture;
  HttpClient client(fixture.loop, "127.0.0.1:" + std::to_string(fixture.port),
                    {});
  const auto outcome = Await<HttpClient::Outcome>(fixture.loop, [&](auto done) {
    client.Send({"GET", "/a b\r\nX: y", {{"A", "b\r\nC: d"}}, ""},
                Milliseconds(1000), done);
  });
  BOOST_REQUIRE(outcome.response.has_value());
  BOOST_CHECK_EQUAL(outcome.response->status, 200U);
}

// Guards against keys that do not survive the path.
BOOST_DATA_TEST_CASE(KeySurvivesThePath,
                     data::make({"plain", "a/b c", "100%", "\xC3\xA9?&=#", ""}),
                     key) {
  BOOST_CHECK_EQUAL(PercentDecode(PercentEncode(key)).value(), key);
}

BOOST_DATA_TEST_CASE(MalformedEscapeIsRefused, data::make({"%", "%1", "%zz"}),
                     text) {
  BOOST_CHECK(!PercentDecode(text));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace balsamhall
