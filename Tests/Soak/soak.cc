#include "Soak/soak.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <ranges>
#include <set>

#include "Operator/child_process.h"
#include "Soak/loopback_proxy.h"
#include "StandIn/await.h"
#include "StandIn/http_reply.h"
#include "StandIn/users_endpoint.h"
#include "StandIn/users_store.h"
#include "net/http_client.h"

namespace balsamhall::soak {
namespace {

using nlohmann::json;
using stand_in::EndpointFault;
using stand_in::RunAfter;
using stand_in::StoreFault;
using stand_in::UsersEndpoint;
using stand_in::UsersStore;

// The users' bounds for a start and for a stop.
constexpr Milliseconds kRecover{15'000};
constexpr Milliseconds kGrace{6'000};
// A caller's own limit; the routes give up after 800 ms.
constexpr Milliseconds kCallerPatience{2'500};
constexpr Milliseconds kStep{20};
constexpr std::size_t kWatchedKeys = 32;
constexpr std::array<const char*, 4> kPaths{"/read/", "/write/", "/keyed/",
                                            "/book/"};
constexpr std::array<std::pair<LinkFault, const char*>, 4> kLinkFaults{
    {{LinkFault::kDelay, "delayed"},
     {LinkFault::kReset, "reset"},
     {LinkFault::kSilent, "silent"},
     {LinkFault::kOneWay, "one way"}}};
constexpr std::array<StoreFault, 3> kStoreFaults{
    StoreFault::kBusy, StoreFault::kSilent, StoreFault::kLoseAppends};
constexpr std::array<EndpointFault, 5> kEndpointFaults{
    EndpointFault::kShed, EndpointFault::kReset, EndpointFault::kError,
    EndpointFault::kForeign, EndpointFault::kSilent};
constexpr const char* kPlain = "plain";
constexpr const char* kKeyed = "keyed";

std::uint16_t WatchedKey(std::size_t index) {
  return static_cast<std::uint16_t>(index * (65'536 / kWatchedKeys) + 7);
}

json Config(int version) {
  const auto route = [](const std::string& name, const std::string& type,
                        const std::string& service) {
    return json{{"host", "host.example"},    {"path_prefix", "/" + name + "/"},
                {"route_type", type},        {"timeout", "800ms"},
                {"target_latency", "300ms"}, {"priority", 1},
                {"service", service},        {"max_attempts", 2}};
  };
  json plain{{"health_path", "/health"}, {"max_connections", 200}};
  json keyed = plain;
  keyed["sharded"] = true;
  std::array<char, 9> text{};
  std::snprintf(text.data(), text.size(), "%08x", version);
  json config{{"version", text.data()},
              {"routes",
               {{"read", route("read", "safe", kPlain)},
                {"write", route("write", "unsafe", kPlain)},
                {"keyed", route("keyed", "safe", kKeyed)},
                {"book", route("book", "unsafe", kKeyed)}}},
              {"services", {{kPlain, plain}, {kKeyed, keyed}}},
              {"limits",
               {{"max_header_bytes", 16'384},
                {"max_body_bytes", 1 << 20},
                {"header_timeout", "3000ms"},
                {"idle_timeout", "15000ms"}}}};
  const std::string added = "added" + std::to_string(version);
  config["routes"][added] = route(added, "safe", kPlain);
  return config;
}

class Soak {
 public:
  Soak(const SoakOptions& options, std::uint32_t seed)
      : options_(options), seed_(seed), random_(seed) {
    std::filesystem::create_directories(options_.directory);
    store_address_ = store_.Listen();
    store_.Put("keyed.op", "config", Config(1).dump());
    for (std::size_t i = 0; i < 2 * options_.endpoints; ++i) AddServer(i);
    for (std::size_t i = 0; i < options_.gateways; ++i) AddGateway(i);
  }

  SoakResult Run() {
    if (!AwaitService(Milliseconds(10'000))) return std::move(result_);
    const auto start = std::chrono::steady_clock::now();
    start_ = start;
    for (std::size_t i = 0; i < options_.callers; ++i) Call(i, i);
    const auto faults_end = start + options_.faults;
    auto next_fault = start + Milliseconds(500);
    while (std::chrono::steady_clock::now() < faults_end) {
      if (std::chrono::steady_clock::now() >= next_fault) {
        InjectFault();
        next_fault = std::chrono::steady_clock::now() + Between(100, 1'200);
      }
      Step();
    }
    Heal();
    AwaitService(kRecover);
    calling_ = false;
    const auto end = std::chrono::steady_clock::now() + kCallerPatience;
    while (std::chrono::steady_clock::now() < end) Step();
    CheckRuns();
    for (Gateway& gateway : gateways_) gateway.process.reset();
    return std::move(result_);
  }

 private:
  struct Server {
    std::unique_ptr<UsersEndpoint> endpoint;
    std::unique_ptr<LoopbackProxy> link;
    std::string service;
    bool registered = true;
  };
  struct Gateway {
    std::string id;
    std::string settings;
    std::string front;
    std::unique_ptr<LoopbackProxy> store_link;
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<HttpClient> client;
    std::optional<SteadyTime> stopping;  // since SIGTERM
    bool disturbed = false;              // killed or paused during the stop
    bool paused = false;
    bool restarting = false;
  };

  Milliseconds Between(int low, int high) {
    return Milliseconds(std::uniform_int_distribution<int>(low, high)(random_));
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  void After(Milliseconds delay, std::function<void()> run) {
    RunAfter(loop_, delay, std::move(run));
  }

  void AddServer(std::size_t index) {
    const bool keyed = index >= options_.endpoints;
    Server server;
    server.service = keyed ? kKeyed : kPlain;
    server.endpoint = std::make_unique<UsersEndpoint>(
        loop_, "i-" + std::to_string(index), keyed);
    server.link =
        std::make_unique<LoopbackProxy>(loop_, server.endpoint->Listen());
    server.endpoint->set_public_address(server.link->address());
    server.endpoint->set_work_time(Milliseconds(10));
    servers_.push_back(std::move(server));
    Register(servers_.back(), "ready");
  }

  void Register(Server& server, const std::string& state) {
    server.registered = !state.empty();
    store_.Put(
        "keyed.servers", server.endpoint->id(),
        state.empty() ? "" : server.endpoint->Entry(server.service, state));
  }

  void AddGateway(std::size_t index) {
    Gateway gateway;
    gateway.id = "gateway-" + std::to_string(index);
    gateway.store_link = std::make_unique<LoopbackProxy>(loop_, store_address_);
    // The metrics port is fixed, so each gateway has an address of its own,
    // also beside other seeds. The other ports are below those that the system
    // gives away, so nobody takes them while a gateway restarts.
    const std::string ip = "127.0." + std::to_string(seed_ % 250) + "." +
                           std::to_string(index + 1);
    gateway.front = ip + ":8641";
    const json settings{
        {"node", gateway.id},
        {"zone", "a"},
        {"zones", {{"a", "region"}}},
        {"ip", ip},
        {"listen", {{"front", gateway.front}, {"ready", ip + ":8640"}}},
        {"internal_ports", {7620, 7635}},
        {"platform",
         {{"address", gateway.store_link->address()}, {"ttl_min", "1000ms"}}},
        {"heartbeat", "1000ms"},
        {"bounds",
         {{"grace", std::to_string(kGrace.count()) + "ms"},
          {"retry_budget_ratio", 0.2},
          {"budget_window", "10s"},
          {"retry_budget_slack", 100},
          {"hold_max", "10000ms"}}}};
    gateway.settings = options_.directory + "/" + gateway.id + ".json";
    std::ofstream(gateway.settings) << settings.dump();
    HttpClientOptions client;
    gateway.client = std::make_unique<HttpClient>(loop_, gateway.front, client);
    gateways_.push_back(std::move(gateway));
    Start(gateways_.back());
  }

  void Start(Gateway& gateway) {
    gateway.process = std::make_unique<ChildProcess>(
        options_.gateway_binary,
        std::vector<std::string>{"--settings", gateway.settings},
        options_.directory + "/" + gateway.id + ".log");
    gateway.stopping.reset();
    gateway.disturbed = gateway.paused = gateway.restarting = false;
  }

  void Note(const std::string& fault) {
    const auto at = std::chrono::duration_cast<Milliseconds>(
        std::chrono::steady_clock::now() - start_);
    result_.faults.push_back(std::to_string(at.count()) + "ms " + fault);
  }
  void Violation(const std::string& what) {
    Note("VIOLATION " + what);
    result_.violations.push_back(what);
  }

  void Step() {
    RunFor(loop_, kStep);
    for (Gateway& gateway : gateways_) WatchStop(gateway);
    for (std::size_t i = 0; i < kWatchedKeys; ++i) {
      const auto holders =
          std::ranges::count_if(servers_, [&](const Server& server) {
            return server.endpoint->Holds(WatchedKey(i));
          });
      if (holders > 1) {
        Violation("key " + std::to_string(WatchedKey(i)) + " has " +
                  std::to_string(holders) + " holders");
      }
    }
  }

  void WatchStop(Gateway& gateway) {
    if (!gateway.stopping || gateway.restarting) return;
    const auto status = gateway.process->Wait(Milliseconds(0));
    const bool late =
        std::chrono::steady_clock::now() > *gateway.stopping + kGrace;
    if (!status && !late) return;
    if (!gateway.disturbed && status != 0) {
      Violation(gateway.id +
                (status ? " ended with status " + std::to_string(*status)
                        : " did not end within its grace"));
    }
    gateway.restarting = true;
    After(Between(50, 500), [this, &gateway] { Start(gateway); });
  }

  HttpRequest Request(const std::string& id) {
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

  // A caller stays with its gateway until that one is gone.
  void Call(std::size_t caller, std::size_t target) {
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
            Violation("request " + id + " was cut by the stop of " +
                      gateway.id);
          }
          After(Between(5, 40),
                [=, this] { Call(caller, answered ? target : target + 1); });
        });
  }

  void CheckAnswer(const std::string& id, const HttpResponse& response) {
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

  int Runs(const std::string& id) const {
    int runs = 0;
    for (const Server& server : servers_) {
      const auto found = server.endpoint->runs().find(id);
      if (found != server.endpoint->runs().end()) runs += found->second;
    }
    return runs;
  }

  void CheckRuns() {
    for (const std::string& id : writes_) {
      const int runs = Runs(id);
      if (runs > 1) Violation("write " + id + " ran " + std::to_string(runs));
      if (runs > 0 && not_run_.contains(id)) {
        Violation("write " + id + " was reported as not run, but ran");
      }
    }
  }

  // Waits until each gateway serves every kind of request on every key.
  bool AwaitService(Milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    std::string missing;
    for (Gateway& gateway : gateways_) {
      for (std::size_t i = 0; i < kWatchedKeys;) {
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
          ++i;
        } else if (std::chrono::steady_clock::now() > end) {
          Violation(gateway.id + " does not serve key " +
                    std::to_string(WatchedKey(i)));
          return false;
        } else {
          const auto pause = std::chrono::steady_clock::now() + kStep * 5;
          while (std::chrono::steady_clock::now() < pause) Step();
        }
      }
    }
    return true;
  }

  void SetLink(LoopbackProxy& link, const std::string& name) {
    const auto& [fault, text] = kLinkFaults.at(Pick(kLinkFaults.size()));
    Note("link " + name + " " + text);
    link.Set(fault);
    After(Between(200, 4'000), [&link] { link.Set(LinkFault::kNone); });
  }

  void InjectFault() {
    Gateway& gateway = gateways_[Pick(gateways_.size())];
    Server& server = servers_[Pick(servers_.size())];
    switch (Pick(10)) {
      case 0:
        if (gateway.restarting) break;
        Note("pause " + gateway.id);
        gateway.disturbed = gateway.paused = true;
        gateway.process->Signal(SIGSTOP);
        After(Between(200, 5'000), [this, &gateway] { Resume(gateway); });
        break;
      case 1:
        if (gateway.restarting) break;
        Note("kill " + gateway.id);
        gateway.disturbed = gateway.restarting = true;
        gateway.process->Signal(SIGKILL);
        After(Between(50, 1'500), [this, &gateway] { Start(gateway); });
        break;
      case 2:
        if (gateway.restarting || gateway.stopping || gateway.paused) break;
        Note("stop " + gateway.id);
        gateway.stopping = std::chrono::steady_clock::now();
        gateway.process->Signal(SIGTERM);
        break;
      case 3:
        if (!gateway.restarting) gateway.process->Signal(SIGHUP);
        Note("reload " + gateway.id);
        break;
      case 4: {
        const std::size_t kind = Pick(kStoreFaults.size());
        Note("store fault " + std::to_string(kind));
        store_.set_fault(kStoreFaults.at(kind));
        After(Between(300, 6'000),
              [this] { store_.set_fault(StoreFault::kNone); });
        break;
      }
      case 5:
        SetLink(*gateway.store_link, gateway.id + " to the store");
        break;
      case 6:
        SetLink(*server.link, "to " + server.endpoint->id());
        break;
      case 7: {
        const std::size_t kind = Pick(kEndpointFaults.size());
        Note("endpoint " + server.endpoint->id() + " fault " +
             std::to_string(kind));
        server.endpoint->set_fault(kEndpointFaults.at(kind));
        After(Between(200, 3'000),
              [&server] { server.endpoint->set_fault(EndpointFault::kNone); });
        break;
      }
      case 8:
        if (!server.registered) break;
        Note("restart " + server.endpoint->id());
        Register(server, "");
        server.endpoint->Restart();
        After(Between(200, 2'500),
              [this, &server] { Register(server, "ready"); });
        break;
      default:
        Note("configuration " + std::to_string(++config_));
        store_.Put("keyed.op", "config", Config(config_).dump());
    }
    if (options_.break_promises) {
      server.endpoint->set_fault(EndpointFault::kFalsePromise);
    }
  }

  void Resume(Gateway& gateway) {
    gateway.paused = false;
    gateway.process->Signal(SIGCONT);
  }

  void Heal() {
    Note("all faults end");
    store_.set_fault(StoreFault::kNone);
    for (Server& server : servers_) {
      server.endpoint->set_fault(EndpointFault::kNone);
      server.link->Set(LinkFault::kNone);
      if (!server.registered) Register(server, "ready");
    }
    for (Gateway& gateway : gateways_) {
      gateway.store_link->Set(LinkFault::kNone);
      Resume(gateway);
    }
  }

  const SoakOptions options_;
  const std::uint32_t seed_;
  std::mt19937 random_;
  boost::asio::io_context loop_{1};
  UsersStore store_{loop_};
  std::string store_address_;
  std::deque<Server> servers_;  // references to its members are kept
  std::deque<Gateway> gateways_;
  SteadyTime start_ = std::chrono::steady_clock::now();
  bool calling_ = true;
  int config_ = 1;
  std::uint64_t last_id_ = 0;
  std::set<std::string> writes_;
  std::set<std::string> not_run_;
  SoakResult result_;
};

}  // namespace

SoakResult RunSoak(const SoakOptions& options, std::uint32_t seed) {
  return Soak(options, seed).Run();
}

}  // namespace balsamhall::soak
