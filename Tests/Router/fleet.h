// Runs routers, a log and backend servers as processes on the loopback
// interface.
#ifndef BALSAMHALL_TESTS_ROUTER_FLEET_H_
#define BALSAMHALL_TESTS_ROUTER_FLEET_H_

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Router/process.h"
#include "net/http_client.h"

namespace balsamhall {

// The configuration has a service that is sharded by key (lookup, with the
// idempotent kinds lookup and slow) and one that is not (transfer, with the
// non-idempotent kind transfer and the idempotent kind audit).
class Fleet {
 public:
  static constexpr const char* kOperatorKey = "test-operator-key";

  explicit Fleet(std::size_t routers = 4, std::size_t endpoints = 4) {
    directory_ = std::filesystem::temp_directory_path() /
                 ("balsamhall-router-test-" + std::to_string(getpid()) + "-" +
                  std::to_string(++fleets));
    std::filesystem::create_directories(directory_);
    FindFreePorts(1 + 2 * endpoints + 4 * routers);
    Configure(routers, endpoints);
    WriteFile("vms.json", vms_.dump());
    log_ = Start({"log-stand-in", "--address", log_address_, "--vms",
                  (directory_ / "vms.json").string()},
                 "log");
    for (const auto& [name, address] : endpoints_) StartBackend(name);
    for (std::size_t i = 0; i < routers; ++i) StartRouter(i);
  }

  ~Fleet() {
    routers_.clear();
    backends_.clear();
    log_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Publishes the configuration and waits until every router serves requests.
  void Publish() {
    nlohmann::json reply;
    for (int i = 0; i < 50 && !reply.contains("result"); ++i) {
      std::this_thread::sleep_for(Milliseconds(100));
      reply = Rpc(0, "publish",
                  {{"operator_key", kOperatorKey},
                   {"based_on", "0"},
                   {"author", "test"},
                   {"body", config_.dump()}});
    }
    BOOST_REQUIRE_MESSAGE(reply.contains("result"), reply.dump());
    const auto result =
        nlohmann::json::parse(reply["result"].get<std::string>());
    BOOST_REQUIRE_EQUAL(result["code"].get<int>(), 0);
    const auto end = std::chrono::steady_clock::now() + Milliseconds(10'000);
    bool served = false;
    while (!served && std::chrono::steady_clock::now() < end) {
      served = AllServed();
      std::this_thread::sleep_for(Milliseconds(50));
    }
    BOOST_REQUIRE_MESSAGE(served, "not every key is served after 10 s");
  }

  struct CallResult {
    unsigned status = 0;
    int code = -1;  // -1: no response, or none with a code
    HttpResponse response;
  };

  CallResult Send(std::size_t router, HttpRequest request,
                  Milliseconds timeout = Milliseconds(6000)) const {
    const auto outcome =
        SendHttpAndWait(Address(router, 0), std::move(request), timeout);
    CallResult result;
    if (!outcome.response) return result;
    result.status = outcome.response->status;
    result.response = *outcome.response;
    const std::string code(
        FindHeader(result.response.headers, "Balsamhall-Code"));
    if (!code.empty()) result.code = std::stoi(code);
    return result;
  }

  // Sends a request with a new id, marked as the first attempt.
  CallResult Call(std::size_t router, const std::string& path,
                  Milliseconds deadline = Milliseconds(1000)) const {
    return Send(router, Request(path, deadline));
  }

  static HttpRequest Request(const std::string& path, Milliseconds deadline) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.headers = {
        {"Balsamhall-Request-Id", "id-" + std::to_string(++requests)},
        {"Balsamhall-First-Issued",
         std::to_string(std::chrono::duration_cast<Milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count())},
        {"Balsamhall-Attempt", "1"},
        {"Balsamhall-Deadline-Ms", std::to_string(deadline.count())}};
    request.body = "body";
    return request;
  }

  nlohmann::json Rpc(std::size_t router, const std::string& method,
                     const nlohmann::json& params) const {
    const nlohmann::json call{
        {"jsonrpc", "2.0"}, {"id", 1}, {"method", method}, {"params", params}};
    const auto outcome = Control(router, "POST", "/rpc", call.dump());
    if (!outcome.response) return {{"failed", outcome.error.detail}};
    return nlohmann::json::parse(outcome.response->body, nullptr, false);
  }

  HttpClient::Outcome Control(std::size_t router, const std::string& method,
                              const std::string& target,
                              const std::string& body = "") const {
    return SendHttpAndWait(Address(router, 3), {method, target, {}, body},
                           Milliseconds(10'000));
  }

  // Returns the endpoint that owns a key and its primary router.
  std::pair<std::string, std::string> OwnerOf(std::size_t router,
                                              const std::string& service,
                                              const std::string& key) const {
    const auto reply =
        Rpc(router, "explain_key", {{"service", service}, {"key", key}});
    if (!reply.contains("result")) return {};
    const auto view = nlohmann::json::parse(
        reply["result"].get<std::string>())["owner"]["view"];
    return {view.value("endpoint", ""),
            view.value("primary", nlohmann::json::object()).value("id", "")};
  }

  struct Counts {
    std::size_t duplicates = 0;  // ids of transfers executed more than once
    std::size_t total = 0;
  };

  // Counts executions at the endpoints that respond.
  Counts CountExecutions() const {
    std::map<std::string, std::size_t> transfers;
    Counts counts;
    for (const auto& [name, address] : endpoints_) {
      const auto outcome = SendHttpAndWait(
          address, {"GET", "/executions?after=0&max=1000000", {}, ""},
          Milliseconds(1000));
      if (!outcome.response) continue;
      const auto page = nlohmann::json::parse(outcome.response->body);
      for (const auto& item : page["ids"]) {
        const auto runs = item[2].get<std::size_t>();
        counts.total += runs;
        if (item[1] == "transfer") transfers[item[0]] += runs;
      }
    }
    for (const auto& [id, runs] : transfers) {
      if (runs > 1) ++counts.duplicates;
    }
    return counts;
  }

  Process& router(std::size_t index) { return *routers_.at(index); }
  Process& backend(const std::string& name) { return *backends_.at(name); }
  Process& log() { return *log_; }
  std::string RouterLog(std::size_t index) const {
    return (directory_ / ("r" + std::to_string(index) + ".log")).string();
  }
  const nlohmann::json& config() const { return config_; }

 private:
  struct Zone {
    const char* data_centre;
    const char* region;
  };
  static Zone ZoneOf(std::size_t index) {
    static constexpr std::array<Zone, 4> zones{{{"west-1", "west"},
                                                {"west-2", "west"},
                                                {"east-1", "east"},
                                                {"east-2", "east"}}};
    return zones.at(index % zones.size());
  }
  static inline std::atomic<int> fleets{0};
  static inline std::atomic<int> requests{0};

  // Asks the operating system for free ports. They are released before use, so
  // another process can take one; then the test fails to start.
  void FindFreePorts(std::size_t count) {
    boost::asio::io_context loop;
    std::vector<boost::asio::ip::tcp::acceptor> acceptors;
    for (std::size_t i = 0; i < count; ++i) {
      acceptors.emplace_back(loop,
                             boost::asio::ip::tcp::endpoint(
                                 boost::asio::ip::address_v4::loopback(), 0));
      ports_.push_back(acceptors.back().local_endpoint().port());
    }
  }

  std::string NextAddress() {
    return "127.0.0.1:" + std::to_string(ports_.at(next_port_++));
  }

  std::string Address(std::size_t router, std::size_t which) const {
    return router_addresses_.at(router).at(which);
  }

  void Configure(std::size_t routers, std::size_t endpoints) {
    log_address_ = NextAddress();
    vms_["vms"] = nlohmann::json::array();
    for (std::size_t i = 0; i < routers; ++i) {
      router_addresses_.push_back(
          {NextAddress(), NextAddress(), NextAddress(), NextAddress()});
      AddVm("r" + std::to_string(i), "router", i, Address(i, 0));
    }
    const nlohmann::json lookup{
        {"name", "lookup"},
        {"keyed", true},
        {"partitions", 64},
        {"endpoints", Endpoints("lookup", endpoints)},
        {"kinds",
         nlohmann::json::array({Kind("lookup", "RANK_URGENT", true, 1000),
                                Kind("slow", "RANK_NORMAL", true, 5000)})}};
    const nlohmann::json transfer{
        {"name", "transfer"},
        {"keyed", false},
        {"partitions", 64},
        {"endpoints", Endpoints("transfer", endpoints)},
        {"kinds", nlohmann::json::array(
                      {Kind("transfer", "RANK_NORMAL", false, 1000),
                       Kind("audit", "RANK_BACKGROUND", true, 1000)})}};
    config_ = {{"customer", "test"},
               {"services", nlohmann::json::array({lookup, transfer})}};
  }

  static nlohmann::json Kind(const char* name, const char* rank,
                             bool idempotent, int deadline_ms) {
    return {{"name", name},
            {"rank", rank},
            {"target_ms", 100},
            {"deadline_ms", deadline_ms},
            {"idempotent", idempotent}};
  }

  nlohmann::json Endpoints(const std::string& service, std::size_t count) {
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t i = 0; i < count; ++i) {
      const std::string name = service + "-" + std::to_string(i);
      const std::string address = NextAddress();
      list.push_back({{"name", name},
                      {"data_centre", ZoneOf(i).data_centre},
                      {"region", ZoneOf(i).region},
                      {"address", address},
                      {"slots", 2},
                      {"connections", 50},
                      {"checks_fences", true}});
      endpoints_[name] = address;
      AddVm(name, "backend", i, address);
    }
    return list;
  }

  void AddVm(const std::string& id, const char* role, std::size_t zone,
             const std::string& address) {
    vms_["vms"].push_back({{"id", id},
                           {"role", role},
                           {"data_centre", ZoneOf(zone).data_centre},
                           {"region", ZoneOf(zone).region},
                           {"address", address},
                           {"state", "live"}});
  }

  std::string WriteFile(const std::string& name, const std::string& text) {
    const auto path = directory_ / name;
    std::ofstream(path) << text;
    return path.string();
  }

  std::unique_ptr<Process> Start(std::vector<std::string> arguments,
                                 const std::string& name) {
    arguments[0] = std::string(BALSAMHALL_BIN) + "/" + arguments[0];
    return std::make_unique<Process>(std::move(arguments),
                                     (directory_ / (name + ".log")).string());
  }

  void StartBackend(const std::string& name) {
    backends_[name] =
        Start({"backend-stand-in", "--address", endpoints_.at(name), "--name",
               name, "--service-ms", "2", "--service-ms-long", "slow=1500"},
              name);
  }

  void StartRouter(std::size_t index) {
    const std::string name = "r" + std::to_string(index);
    const nlohmann::json settings{{"id", name},
                                  {"data_centre", ZoneOf(index).data_centre},
                                  {"region", ZoneOf(index).region},
                                  {"caller_address", Address(index, 0)},
                                  {"peer_address", Address(index, 1)},
                                  {"forward_address", Address(index, 2)},
                                  {"control_address", Address(index, 3)},
                                  {"log_address", log_address_},
                                  {"vm_list_address", log_address_},
                                  {"traffic_threads", 2},
                                  {"operator_key", kOperatorKey}};
    const std::string path = WriteFile(name + ".json", settings.dump());
    routers_.push_back(Start({"balsamhall-router", "--settings", path}, name));
  }

  bool AllServed() const {
    for (std::size_t router = 0; router < routers_.size(); ++router) {
      for (int key = 0; key < 16; ++key) {
        const std::string name = "warm-" + std::to_string(key);
        if (Call(router, "/v1/lookup/lookup/" + name).code != 0 ||
            Call(router, "/v1/transfer/transfer/" + name).code != 0) {
          return false;
        }
      }
    }
    return true;
  }

  std::filesystem::path directory_;
  std::vector<std::uint16_t> ports_;
  std::size_t next_port_ = 0;
  std::string log_address_;
  nlohmann::json vms_;
  nlohmann::json config_;
  std::map<std::string, std::string> endpoints_;
  std::vector<std::array<std::string, 4>> router_addresses_;
  std::unique_ptr<Process> log_;
  std::map<std::string, std::unique_ptr<Process>> backends_;
  std::vector<std::unique_ptr<Process>> routers_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_ROUTER_FLEET_H_
