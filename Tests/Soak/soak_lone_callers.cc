// Callers with a connection of their own each, which they use for as long as
// it is open.
#include <algorithm>

#include "Soak/soak_run.h"

namespace balsamhall::soak {
namespace {

// A request that was sent less than this before its connection was closed may
// have crossed the close.
constexpr Milliseconds kCrossing{200};
// As the requests state it.
constexpr Milliseconds kDeadline{1'000};

}  // namespace

void Soak::AddLoneCaller(std::size_t index) {
  LoneCaller caller;
  caller.gateway = index % gateways_.size();
  HttpClientOptions options;
  options.max_connections = 1;
  const Gateway& gateway = gateways_[caller.gateway];
  caller.client = std::make_unique<HttpClient>(
      loop_, gateway.front_link ? gateway.front_link->address() : gateway.front,
      options);
  lone_callers_.push_back(std::move(caller));
  CallAlone(lone_callers_.back());
}

void Soak::CallAlone(LoneCaller& caller) {
  if (!calling_) return;
  const Gateway& gateway = gateways_[caller.gateway];
  const std::string id = "r" + std::to_string(++last_id_);
  const HttpRequest request = Request(id);
  ++result_.requests;
  if (request.method == "POST") writes_.insert(id);
  const auto sent = std::chrono::steady_clock::now();
  const auto done = [this, &caller, &gateway, id, sent, start = gateway.starts](
                        const HttpClient::Outcome& outcome) {
    if (outcome.response) {
      CheckAnswer(id, *outcome.response);
    } else {
      CheckCut(gateway, id, start, sent, outcome.error);
    }
    // Most connections are busy, some idle for seconds.
    const std::size_t kind = Pick(4);
    Milliseconds idle = Between(5, 60);
    if (kind == 2) idle = Between(200, 1'500);
    if (kind == 3) idle = Between(1'000, 5'000);
    After(idle, [this, &caller] { CallAlone(caller); });
  };
  const auto idle = caller.client->IdleConnections();
  if (idle.empty()) {
    caller.client->SendOnNew(request, kCallerPatience, done);
  } else {
    caller.client->SendOn(idle.front(), request, kCallerPatience, done);
  }
}

void Soak::CheckCut(const Gateway& gateway, const std::string& id, int start,
                    SteadyTime sent, const HttpError& error) {
  if (error.failure != HttpFailure::kClosed &&
      error.failure != HttpFailure::kBadAnswer) {
    return;
  }
  const auto age = std::chrono::duration_cast<Milliseconds>(
      std::chrono::steady_clock::now() - sent);
  const bool unplanned = gateway.paused || gateway.unplanned >= sent;
  if (unplanned || age >= kDeadline || age - LagSince(sent) < kCrossing) return;
  const bool stopping = gateway.stopping || gateway.starts != start;
  Violation("request " + id + " to " + gateway.id + ", sent " +
            std::to_string(age.count()) +
            "ms before, was closed without an answer (" + error.detail + ")" +
            (stopping ? ", during its stop" : "") +
            (Runs(id) > 0 ? ", had run" : ""));
}

void Soak::CutConnections(Gateway& gateway) {
  if (healed_) return;
  // Requests arrive, answers don't, then the connections are reset.
  gateway.front_link->Set(LinkFault::kOneWay);
  After(kCrossing * 3, [this, &gateway] {
    gateway.front_link->Set(LinkFault::kNone);
    After(kCrossing, [this, &gateway] { CutConnections(gateway); });
  });
}

}  // namespace balsamhall::soak
