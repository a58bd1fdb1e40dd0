#include "router/control_server.h"

#include <utility>

namespace balsamhall {
namespace {

HttpServerOptions Options() {
  HttpServerOptions options;
  options.max_connections = 64;
  // Fits a configuration of 4,400 endpoints.
  options.max_body_bytes = 8U << 20U;
  return options;
}

HttpResponse TextResponse(unsigned status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

}  // namespace

ControlServer::ControlServer(boost::asio::io_context& loop,
                             ControlCommands& commands,
                             const std::string& operator_key)
    : commands_(commands),
      rpc_(connector_, commands, operator_key),
      server_(loop, Options(),
              [this](const HttpRequest& request,
                     const HttpServer::Respond& respond) {
                Handle(request, respond);
              }) {}

Result<std::uint16_t> ControlServer::Listen(const std::string& address) {
  return server_.Listen(address);
}

void ControlServer::Handle(const HttpRequest& request,
                           const HttpServer::Respond& respond) {
  if (request.method == "POST" && request.target == "/rpc") {
    connector_.Handle(request.body, [respond](const std::string& body) {
      respond({200, {{"Content-Type", "application/json"}}, body});
    });
    return;
  }
  if (request.method == "GET" && request.target == "/metrics") {
    respond({200,
             {{"Content-Type", "text/plain; version=0.0.4"}},
             commands_.PrometheusText()});
  } else if (request.method == "GET" && request.target == "/live") {
    respond(TextResponse(200, "live\n"));
  } else if (request.method == "GET" && request.target == "/ready") {
    const bool ready = commands_.Ready();
    respond(TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
  } else {
    respond(TextResponse(404, "not found\n"));
  }
}

}  // namespace balsamhall
