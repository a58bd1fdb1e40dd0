// Processes, stand-ins and links of a run.
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <ranges>

#include "Soak/soak_run.h"
#include "StandIn/await.h"
#include "StandIn/http_reply.h"

namespace balsamhall::soak {

using nlohmann::json;

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

Soak::Soak(const SoakOptions& options, std::uint32_t seed)
    : options_(options), seed_(seed), random_(seed) {
  std::filesystem::create_directories(options_.directory);
  store_address_ = store_.Listen();
  if (options_.series) {
    WriteConfiguration();
  } else {
    store_.Put("keyed.op", "config", Config(++config_).dump());
  }
  for (std::size_t i = 0; i < 2 * options_.endpoints; ++i) AddServer(i);
  for (std::size_t i = 0; i < options_.gateways; ++i) AddGateway(i);
}

void Soak::AddServer(std::size_t index) {
  const bool keyed = index >= options_.endpoints;
  Server server;
  server.service = keyed ? kKeyed : kPlain;
  server.endpoint = std::make_unique<stand_in::UsersEndpoint>(
      loop_, "i-" + std::to_string(index), keyed);
  server.link =
      std::make_unique<LoopbackProxy>(loop_, server.endpoint->Listen());
  server.endpoint->set_public_address(server.link->address());
  server.endpoint->set_work_time(Milliseconds(10));
  servers_.push_back(std::move(server));
  Register(servers_.back(), "ready");
}

void Soak::Register(Server& server, const std::string& state) {
  server.registered = !state.empty();
  store_.Put(
      "keyed.servers", server.endpoint->id(),
      state.empty() ? "" : server.endpoint->Entry(server.service, state));
}

void Soak::AddGateway(std::size_t index) {
  Gateway gateway;
  gateway.id = "gateway-" + std::to_string(index);
  gateway.store_link = std::make_unique<LoopbackProxy>(loop_, store_address_);
  // The metrics port is fixed, so each gateway has an address of its own,
  // also beside other seeds. The other ports are below those that the system
  // gives away, so nobody takes them while a gateway restarts.
  const std::uint32_t block = options_.series ? 1 + seed_ / 250 % 200 : 0;
  const std::string ip = "127." + std::to_string(block) + "." +
                         std::to_string(seed_ % 250) + "." +
                         std::to_string(index + 1);
  gateway.front = ip + ":8641";
  gateway.zone =
      std::string(1, static_cast<char>('a' + index % options_.zones));
  json zones;
  for (std::size_t i = 0; i < options_.zones; ++i) {
    zones[std::string(1, static_cast<char>('a' + i))] = "region";
  }
  gateway.settings = {
      {"node", gateway.id},
      {"zone", gateway.zone},
      {"zones", zones},
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
  gateway.settings_file = options_.directory + "/" + gateway.id + ".json";
  std::ofstream(gateway.settings_file) << gateway.settings.dump();
  if (options_.cut_connections) {
    gateway.front_link = std::make_unique<LoopbackProxy>(loop_, gateway.front);
  }
  HttpClientOptions client;
  gateway.client = std::make_unique<HttpClient>(
      loop_, gateway.front_link ? gateway.front_link->address() : gateway.front,
      client);
  gateways_.push_back(std::move(gateway));
  Start(gateways_.back());
}

void Soak::Start(Gateway& gateway) {
  // One that still stands still is killed here.
  if (gateway.paused) gateway.unplanned = std::chrono::steady_clock::now();
  gateway.process = std::make_unique<ChildProcess>(
      options_.gateway_binary,
      std::vector<std::string>{"--settings", gateway.settings_file},
      options_.directory + "/" + gateway.id + ".log");
  gateway.stopping.reset();
  gateway.disturbed = gateway.paused = gateway.restarting = false;
  ++gateway.starts;
  gateway.version = gateway.reported_version = 0;
  gateway.ready_by = std::chrono::steady_clock::now() + kRecover;
}

void Soak::After(Milliseconds delay, std::function<void()> run) {
  stand_in::RunAfter(loop_, delay, std::move(run));
}

void Soak::Note(const std::string& fault) {
  const auto at = std::chrono::duration_cast<Milliseconds>(
      std::chrono::steady_clock::now() - start_);
  result_.faults.push_back(std::to_string(at.count()) + "ms " + fault);
}

void Soak::Violation(const std::string& what) {
  Note("VIOLATION " + what);
  result_.violations.push_back(what);
}

void Soak::Step() {
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

void Soak::StepUntil(SteadyTime end) {
  while (std::chrono::steady_clock::now() < end) Step();
}

void Soak::WatchStop(Gateway& gateway) {
  if (gateway.restarting) return;
  if (!gateway.stopping) {
    if (!gateway.process->HasEnded()) return;
    Violation(gateway.id + " ended by itself");
    gateway.restarting = true;
    After(Between(50, 500), [this, &gateway] { Start(gateway); });
    return;
  }
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

void Soak::Pause(Gateway& gateway, Milliseconds length) {
  if (gateway.restarting) return;
  Note("pause " + gateway.id);
  gateway.disturbed = gateway.paused = true;
  gateway.unplanned = std::chrono::steady_clock::now();
  Disturbed(gateway, gateway.unplanned + length);
  gateway.process->Signal(SIGSTOP);
  After(length, [this, &gateway] { Resume(gateway); });
}

void Soak::Kill(Gateway& gateway) {
  if (gateway.restarting) return;
  Note("kill " + gateway.id);
  gateway.disturbed = gateway.restarting = true;
  gateway.unplanned = std::chrono::steady_clock::now();
  Disturbed(gateway, gateway.unplanned);
  gateway.process->Signal(SIGKILL);
  After(Between(50, 1'500), [this, &gateway] { Start(gateway); });
}

void Soak::Stop(Gateway& gateway) {
  if (gateway.restarting || gateway.stopping || gateway.paused) return;
  Note("stop " + gateway.id);
  gateway.stopping = std::chrono::steady_clock::now();
  gateway.process->Signal(SIGTERM);
}

void Soak::Resume(Gateway& gateway) {
  if (gateway.paused) gateway.unplanned = std::chrono::steady_clock::now();
  gateway.paused = false;
  gateway.process->Signal(SIGCONT);
}

void Soak::Heal() {
  Note("all faults end");
  healed_ = true;
  store_.set_fault(stand_in::StoreFault::kNone);
  for (Server& server : servers_) {
    server.endpoint->set_fault(stand_in::EndpointFault::kNone);
    server.link->Set(LinkFault::kNone);
    // A process that has said that it leaves does not come back.
    if (server.leaving) server.endpoint->Restart();
    server.endpoint->set_leaving(false);
    if (!server.registered || server.leaving) Register(server, "ready");
    server.leaving = false;
  }
  for (Gateway& gateway : gateways_) {
    gateway.store_link->Set(LinkFault::kNone);
    Disturbed(gateway, std::chrono::steady_clock::now());
    Resume(gateway);
  }
}

}  // namespace balsamhall::soak
