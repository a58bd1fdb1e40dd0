// Stand-in of a gateway as others of its data centre see it.
#ifndef BALSAMHALL_TESTS_USERSSTALE_PEER_STAND_IN_H_
#define BALSAMHALL_TESTS_USERSSTALE_PEER_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <utility>

#include "StandIn/http_reply.h"
#include "gateway/peer_state.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace balsamhall::platform {

enum class PeerMode {
  kReads,    // answers as the gateway behind it, which reads the store
  kFollows,  // answers that it follows another one
  kNoStore,  // answers that it reads the store, which does not answer it
  // Answers that it reads the store, but has heard nothing from it since the
  // mode was set: it has just turned to it, or stood still until now.
  kStale,
  kFrozen,   // accepts connections and answers nothing
  kRejects,  // answers 503 to every request, also to those that wait
  kOld,      // answers with an old state, and says that it is new
};

// Runs on one loop, which must outlive it.
class PeerStandIn {
 public:
  // reader: the peer address of a gateway that reads the store.
  PeerStandIn(boost::asio::io_context& loop, const std::string& reader)
      : loop_(loop),
        reader_(loop, reader, HttpClientOptions{}),
        server_(
            loop, HttpServerOptions{},
            [this](HttpRequest request, const HttpServer::Respond& respond) {
              OnRequest(std::move(request), respond);
            }) {}

  std::string Listen() {
    return "127.0.0.1:" + std::to_string(server_.Listen("127.0.0.1:0").value());
  }
  void set_mode(PeerMode mode) {
    mode_ = mode;
    mode_since_ = gateway::BootClock::now();
    if (mode != PeerMode::kRejects) return;
    for (const auto& [number, respond] : std::exchange(forwarded_, {})) {
      respond({503, {}, ""});
    }
  }
  // What it answers in the mode kOld.
  void set_old_state(gateway::PeerState state) {
    state.config_age = state.registry_age = gateway::ProofAge{};
    state.leases_age = Milliseconds(0);
    old_state_ = gateway::SerializePeerState(state);
  }
  // The gateway that it follows.
  void set_followed(RouterId id) { followed_ = std::move(id); }
  // Long polls that have arrived.
  int long_polls() const { return long_polls_; }
  // Age of the state that the sender of the last one had.
  Milliseconds state_age() const { return state_age_; }

 private:
  void OnRequest(HttpRequest request, const HttpServer::Respond& respond) {
    if (request.target.starts_with("/follow/")) {
      ++long_polls_;
      const std::string age(
          FindHeader(request.headers, gateway::kStateAgeHeader));
      state_age_ = Milliseconds(age.empty() ? 0 : std::stoi(age));
    }
    if (mode_ == PeerMode::kFrozen) return;
    if (mode_ == PeerMode::kRejects) return respond({503, {}, ""});
    if (mode_ == PeerMode::kOld) return respond({200, {}, old_state_});
    if (mode_ == PeerMode::kStale) return RespondStale(request, respond);
    if (mode_ == PeerMode::kFollows || mode_ == PeerMode::kNoStore) {
      gateway::PeerState state;
      if (mode_ == PeerMode::kFollows) state.reader = followed_;
      return respond({200, {}, gateway::SerializePeerState(state)});
    }
    const int number = ++last_forwarded_;
    forwarded_.emplace(number, respond);
    reader_.Send(std::move(request), Milliseconds(2'000),
                 [this, number](const HttpClient::Outcome& outcome) {
                   const auto waiting = forwarded_.extract(number);
                   if (!waiting.empty() && mode_ == PeerMode::kReads &&
                       outcome.response) {
                     waiting.mapped()(*outcome.response);
                   }
                 });
  }

  // Says nothing new, at once or at the end of a long poll.
  void RespondStale(const HttpRequest& request,
                    const HttpServer::Respond& respond) {
    const auto age =
        gateway::AgeAt({mode_since_, 0}, gateway::BootClock::now());
    gateway::PeerState state;
    state.store_reachable = true;
    state.config_age = state.registry_age = age;
    state.leases_age = age.age;
    const HttpResponse response{200, {}, gateway::SerializePeerState(state)};
    if (!request.target.starts_with("/follow/")) return respond(response);
    stand_in::RunAfter(loop_, Milliseconds(1'000),
                       [respond, response] { respond(response); });
  }

  boost::asio::io_context& loop_;
  HttpClient reader_;
  HttpServer server_;
  PeerMode mode_ = PeerMode::kReads;
  gateway::BootTime mode_since_;
  RouterId followed_;
  std::string old_state_;
  int long_polls_ = 0;
  int last_forwarded_ = 0;
  std::map<int, HttpServer::Respond> forwarded_;  // not answered yet
  Milliseconds state_age_{0};
};

}  // namespace balsamhall::platform

#endif  // BALSAMHALL_TESTS_USERSSTALE_PEER_STAND_IN_H_
