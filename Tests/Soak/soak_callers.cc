// Callers with pooled connections, and what they check.
#include <algorithm>
#include <array>

#include "Soak/soak_run.h"

namespace balsamhall::soak {
namespace {

constexpr std::array<const char*, 4> kPaths{"/read/", "/write/", "/keyed/",
                                            "/book/"};
// Up to here each gateway is asked for all keys.
constexpr std::size_t kSmallFleet = 8;

}  // namespace

HttpRequest Soak::Request(const std::string& id) {
  const std::string path = kPaths.at(Pick(kPaths.size()));
  const bool write = path == "/write/" || path == "/book/";
  return {write ? "POST" : "GET",
          path + "x",
          {{"Host", "host.example"},
           {"X-Balsamhall-Request-Id", id},
           {"X-Balsamhall-Deadline-Ms", "1000"},
           {"X-Balsamhall-Shard-Key",
            std::to_string(WatchedKey(Pick(kWatchedKeys)))}},
          write ? std::string(Pick(20'000), 'x') : "",
          0};
}

void Soak::Call(std::size_t caller, std::size_t target) {
  if (!calling_) return;
  Gateway& gateway = gateways_[target % gateways_.size()];
  const std::string id = "r" + std::to_string(++last_id_);
  const HttpRequest request = Request(id);
  ++result_.requests;
  if (request.method == "POST") writes_.insert(id);
  gateway.client->Send(
      request, kCallerPatience,
      [this, caller, target, id, &gateway](HttpClient::Outcome outcome) {
        const bool answered = outcome.response.has_value();
        if (answered) {
          CheckAnswer(id, *outcome.response);
        } else if (gateway.stopping && !gateway.disturbed && Runs(id) > 0 &&
                   outcome.error.failure == HttpFailure::kClosed) {
          Violation("request " + id + " was cut by the stop of " + gateway.id);
        }
        After(Between(5, 40),
              [=, this] { Call(caller, answered ? target : target + 1); });
      });
}

void Soak::CheckAnswer(const std::string& id, const HttpResponse& response) {
  switch (response.status) {
    case 200:
      ++result_.served;
      if (response.body != "answer to " + id || Runs(id) == 0 ||
          FindHeader(response.headers, "X-Balsamhall-Server-Stamp").empty()) {
        Violation("request " + id + " got another answer: " + response.body);
      }
      break;
    case 429:
    case 503:
      not_run_.insert(id);
      break;
    case 500:
    case 502:
    case 504:
      break;
    default:
      Violation("request " + id + " got status " +
                std::to_string(response.status));
  }
}

int Soak::Runs(const std::string& id) const {
  int runs = 0;
  for (const Server& server : servers_) {
    const auto found = server.endpoint->runs().find(id);
    if (found != server.endpoint->runs().end()) runs += found->second;
  }
  return runs;
}

void Soak::CheckRuns() {
  for (const std::string& id : writes_) {
    const int runs = Runs(id);
    if (runs > 1) Violation("write " + id + " ran " + std::to_string(runs));
    if (runs > 0 && not_run_.contains(id)) {
      Violation("write " + id + " was reported as not run, but ran");
    }
  }
}

bool Soak::AwaitService(Milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  std::size_t first = 0;
  for (Gateway& gateway : gateways_) {
    const std::size_t stride = gateways_.size() > kSmallFleet ? 8 : 1;
    for (std::size_t i = first++ % stride; i < kWatchedKeys;) {
      HttpRequest request = Request("probe" + std::to_string(++last_id_));
      request.method = "GET";
      request.target = "/keyed/x";
      request.body.clear();
      request.headers.back().second = std::to_string(WatchedKey(i));
      std::optional<HttpClient::Outcome> outcome;
      gateway.client->Send(request, kCallerPatience,
                           [&](auto result) { outcome = std::move(result); });
      while (!outcome) Step();
      if (outcome->response && outcome->response->status == 200) {
        i += stride;
      } else if (std::chrono::steady_clock::now() > end) {
        Violation(gateway.id + " does not serve key " +
                  std::to_string(WatchedKey(i)));
        return false;
      } else {
        StepUntil(std::chrono::steady_clock::now() + kStep * 5);
      }
    }
  }
  return true;
}

}  // namespace balsamhall::soak
