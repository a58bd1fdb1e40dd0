#include "StandIn/users_endpoint.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <numeric>
#include <span>

#include "StandIn/http_reply.h"

namespace balsamhall::stand_in {
namespace {

using nlohmann::json;

constexpr const char* kId = "X-Balsamhall-Request-Id";

int ParseMs(const std::string& text) { return std::stoi(text); }

}  // namespace

UsersEndpoint::UsersEndpoint(boost::asio::io_context& loop, std::string id,
                             bool keyed)
    : loop_(loop), id_(std::move(id)), keyed_(keyed) {
  StartServer();
}

void UsersEndpoint::StartServer() {
  server_ = std::make_unique<HttpServer>(
      loop_, HttpServerOptions{},
      [this](const HttpRequest& request, const HttpServer::Respond& respond) {
        OnRequest(request, respond);
      });
  server_->set_abort_handler([this](std::uint64_t connection) {
    ++aborted_;
    gone_.insert(connection);
  });
}

std::string UsersEndpoint::Listen() {
  address_ =
      "127.0.0.1:" + std::to_string(server_->Listen("127.0.0.1:0").value());
  return address_;
}

std::string UsersEndpoint::Entry(const std::string& service,
                                 const std::string& state) const {
  return json{
      {"address", public_address_.empty() ? address_ : public_address_},
      {"born", born_},
      {"info",
       {{"service", service}, {"version", "v1"}, {"zone", "a"}, {"slots", 2}}},
      {"status", {{"state", state}, {"sequence", 1}, {"warmup_left", "0ms"}}}}
      .dump();
}

int UsersEndpoint::total_runs() const {
  return std::accumulate(
      runs_.begin(), runs_.end(), 0,
      [](int sum, const auto& run) { return sum + run.second; });
}

bool UsersEndpoint::Holds(std::uint16_t key) const {
  return std::chrono::steady_clock::now() < keys_->at(key).end;
}

void UsersEndpoint::Restart(const std::string& id) {
  if (!id.empty()) id_ = id;
  ++born_;
  gone_.clear();
  StartServer();
  server_->Listen(address_).value();
  keys_ = std::make_unique<KeyTable>();
}

HttpResponse UsersEndpoint::OnGrant(const std::string& text) {
  const json body = json::parse(text);
  const std::span keys = std::span(*keys_).subspan(
      body.at("from"),
      body.at("to").get<int>() - body.at("from").get<int>() + 1);
  const std::uint64_t fence = body.at("fence");
  if (std::ranges::any_of(
          keys, [&](const KeyState& key) { return key.fence > fence; })) {
    return {409, {}, ""};
  }
  const auto end = std::chrono::steady_clock::now() +
                   Milliseconds(ParseMs(body.at("hold_time")));
  std::ranges::fill(keys, KeyState{fence, end});
  return {200, {}, ""};
}

HttpResponse UsersEndpoint::OnRelease(const std::string& text) {
  const json body = json::parse(text);
  const std::span keys = std::span(*keys_).subspan(
      body.at("from"),
      body.at("to").get<int>() - body.at("from").get<int>() + 1);
  const std::uint64_t fence = body.at("fence");
  for (KeyState& key : keys) key = {std::max(key.fence, fence), {}};
  return {200, {{"X-Balsamhall-Handover", "handover-of-" + id_}}, ""};
}

HttpResponse UsersEndpoint::Answer(const HttpRequest& request) const {
  const std::string request_id(FindHeader(request.headers, kId));
  HttpResponse response{200,
                        {{kId, request_id},
                         {"X-Balsamhall-Server-Stamp", "stamp-of-" + id_},
                         {"X-Balsamhall-Server-Load", "0,0,2"}},
                        "answer to " + request_id};
  switch (fault_) {
    case EndpointFault::kReset:
      return Truncate(std::move(response));
    case EndpointFault::kError:
      response.status = 500;
      return response;
    case EndpointFault::kForeign:
      response.headers[0].second = "of-another";
      return response;
    case EndpointFault::kUnsigned:
      response.headers.erase(response.headers.begin() + 1);
      return response;
    case EndpointFault::kFalsePromise:
      response.headers.emplace_back("X-Balsamhall-Not-Executed", "1");
      response.status = 503;
      return response;
    case EndpointFault::kFalseBusy:
      response.status = 503;
      return response;
    case EndpointFault::kFalseStatus:
      response.status = false_status_;
      return response;
    default:
      return response;
  }
}

void UsersEndpoint::OnRequest(const HttpRequest& request,
                              const HttpServer::Respond& respond_plainly) {
  const HttpServer::Respond respond = [this,
                                       respond_plainly](HttpResponse response) {
    if (leaving_) response.headers.emplace_back("Server-Leaving", "1");
    respond_plainly(std::move(response));
  };
  const auto refuse = [&](unsigned status, const char* header,
                          const std::string& value) {
    respond({status,
             {{kId, std::string(FindHeader(request.headers, kId))},
              {header, value}},
             ""});
  };
  const auto expected =
      FindHeader(request.headers, "X-Balsamhall-Expect-Instance");
  const bool lease_call =
      request.target == "/grant" || request.target == "/release";
  if (expected != id_ && !(lease_call && expected.empty())) {
    return refuse(421, "X-Balsamhall-Instance-Id", id_);
  }
  if (request.target == "/grant") return respond(OnGrant(request.body));
  if (request.target == "/release") return respond(OnRelease(request.body));
  last_headers_ = request.headers;
  const auto key = FindHeader(request.headers, "X-Balsamhall-Shard-Key");
  if (keyed_ && !Holds(static_cast<std::uint16_t>(
                    std::stoi(std::string(key.empty() ? "0" : key))))) {
    return refuse(421, "X-Balsamhall-Not-Executed", "1");
  }
  if (fault_ == EndpointFault::kShed) {
    return refuse(503, "X-Balsamhall-Not-Executed", "1");
  }
  ++runs_[std::string(FindHeader(request.headers, kId))];
  if (fault_ == EndpointFault::kSilent) return;
  RunAfter(loop_, work_time_, [this, request, respond, born = born_] {
    if (born != born_) return;
    // The answer to a caller that has left only ends the connection.
    const bool gone = gone_.contains(request.connection);
    respond(gone ? HttpResponse{499, {}, ""} : Answer(request));
  });
}

}  // namespace balsamhall::stand_in
