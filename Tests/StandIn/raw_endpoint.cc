#include "StandIn/raw_endpoint.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "net/http_wire.h"

namespace balsamhall::stand_in {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

}  // namespace

struct RawEndpoint::Connection
    : std::enable_shared_from_this<RawEndpoint::Connection> {
  Connection(asio::io_context& loop, tcp::socket accepted,
             std::shared_ptr<const Script> to_run)
      : socket(std::move(accepted)), timer(loop), script(std::move(to_run)) {}

  void ReadHead() {
    parser.emplace();
    http::async_read_header(
        socket, buffer, *parser,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error) self->OnHead();
        });
  }

  void OnHead() {
    const auto& head = parser->get();
    const RawRequest request{++requests, std::string(head.target()),
                             std::string(head["X-Balsamhall-Request-Id"])};
    parts = (*script)(request);
    WritePart(0);
    http::async_read(
        socket, buffer, *parser,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error) return;
          self->body_read = true;
          self->ReadNext();
        });
  }

  // The next request is read once this one is whole and answered.
  void ReadNext() {
    if (!body_read || !answered) return;
    body_read = answered = false;
    ReadHead();
  }

  void WritePart(std::size_t index) {
    if (index == parts.size()) {
      answered = true;
      return ReadNext();
    }
    timer.expires_after(parts[index].delay);
    timer.async_wait([self = shared_from_this(), index](error_code) {
      asio::async_write(self->socket, asio::buffer(self->parts[index].bytes),
                        [self, index](error_code error, std::size_t) {
                          if (error) return;
                          if (self->parts[index].close) {
                            error_code ignored;
                            self->socket.close(ignored);
                            return;
                          }
                          self->WritePart(index + 1);
                        });
    });
  }

  tcp::socket socket;
  asio::steady_timer timer;
  std::shared_ptr<const Script> script;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  std::vector<RawPart> parts;
  int requests = 0;
  bool body_read = false;
  bool answered = false;
};

RawEndpoint::RawEndpoint(asio::io_context& loop, std::string id, Script script)
    : loop_(loop),
      id_(std::move(id)),
      script_(std::make_shared<const Script>(std::move(script))),
      acceptor_(loop, {asio::ip::address_v4::loopback(), 0}) {
  Accept();
}

RawEndpoint::~RawEndpoint() = default;

void RawEndpoint::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    std::make_shared<Connection>(loop_, std::move(socket), script_)->ReadHead();
    Accept();
  });
}

std::string RawEndpoint::Entry(const std::string& service) const {
  return nlohmann::json{
      {"address",
       "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())},
      {"born", 1},
      {"info",
       {{"service", service}, {"version", "v1"}, {"zone", "a"}, {"slots", 2}}},
      {"status", {{"state", "ready"}, {"sequence", 1}, {"warmup_left", "0ms"}}}}
      .dump();
}

std::string ResponseBytes(const HttpResponse& response) {
  return http_wire::ResponseHead(response, true) + response.body;
}

}  // namespace balsamhall::stand_in
