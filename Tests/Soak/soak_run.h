// One run of the soak; its parts are in soak_*.cc.
#ifndef BALSAMHALL_TESTS_SOAK_SOAK_RUN_H_
#define BALSAMHALL_TESTS_SOAK_SOAK_RUN_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Operator/child_process.h"
#include "Soak/loopback_proxy.h"
#include "Soak/soak.h"
#include "StandIn/users_endpoint.h"
#include "StandIn/users_store.h"
#include "net/http_client.h"

namespace balsamhall::soak {

// The users' bounds for a start and for a stop.
inline constexpr Milliseconds kRecover{15'000};
inline constexpr Milliseconds kGrace{6'000};
// A caller's own limit; the routes give up after 800 ms.
inline constexpr Milliseconds kCallerPatience{2'500};
inline constexpr Milliseconds kStep{20};
inline constexpr std::size_t kWatchedKeys = 32;

// Not thread-safe.
class Soak {
 public:
  // Starts the store, the endpoints and the gateways.
  Soak(const SoakOptions& options, std::uint32_t seed);

  // Precondition: not called before.
  SoakResult Run();

 private:
  struct Server {
    std::unique_ptr<stand_in::UsersEndpoint> endpoint;
    std::unique_ptr<LoopbackProxy> link;
    std::string service;
    bool registered = true;
    bool leaving = false;
  };
  struct Gateway {
    std::string id;
    std::string zone;
    nlohmann::json settings;
    std::string settings_file;
    std::string front;
    std::unique_ptr<LoopbackProxy> store_link;
    std::unique_ptr<LoopbackProxy> front_link;  // only with cut_connections
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<HttpClient> client;
    std::optional<SteadyTime> stopping;  // since SIGTERM
    bool disturbed = false;              // killed or paused during the stop
    bool paused = false;
    bool restarting = false;
    int starts = 0;
    SteadyTime unplanned;  // last kill, pause or end of a pause
    // From here on only the configuration's own time counts.
    SteadyTime undisturbed_since;
    SteadyTime narrow_until;   // its link to the store
    SteadyTime ready_by;       // the end of its start, or of the time for it
    int version = 0;           // of the configuration, as seen in this process
    int reported_version = 0;  // missing, and reported as such
  };
  // Has a connection of its own.
  struct LoneCaller {
    std::unique_ptr<HttpClient> client;
    std::size_t gateway = 0;
  };
  struct Version {
    SteadyTime written;
    std::size_t bytes = 0;
  };

  Milliseconds Between(int low, int high) {
    return Milliseconds(std::uniform_int_distribution<int>(low, high)(random_));
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  void After(Milliseconds delay, std::function<void()> run);

  // soak_fleet.cc
  void AddServer(std::size_t index);
  void Register(Server& server, const std::string& state);
  void AddGateway(std::size_t index);
  void Start(Gateway& gateway);
  void Note(const std::string& fault);
  void Violation(const std::string& what);
  void Step();
  void StepUntil(SteadyTime end);
  void WatchStop(Gateway& gateway);
  void Pause(Gateway& gateway, Milliseconds length);
  void Kill(Gateway& gateway);
  void Stop(Gateway& gateway);
  void Resume(Gateway& gateway);
  void Heal();

  // soak_callers.cc
  HttpRequest Request(const std::string& id);
  // A caller stays with its gateway until that one is gone.
  void Call(std::size_t caller, std::size_t target);
  void CheckAnswer(const std::string& id, const HttpResponse& response);
  int Runs(const std::string& id) const;
  void CheckRuns();
  // Waits until each gateway serves every kind of request on every key; in
  // large fleets each serves some of the keys.
  bool AwaitService(Milliseconds limit);

  // soak_lone_callers.cc
  void AddLoneCaller(std::size_t index);
  void CallAlone(LoneCaller& caller);
  void CheckCut(const Gateway& gateway, const std::string& id, int start,
                SteadyTime sent, const HttpError& error);
  void CutConnections(Gateway& gateway);

  // soak_faults.cc
  void SetLink(LoopbackProxy& link, const std::string& name);
  void InjectFault();

  // soak_series.cc
  void InjectSeries();
  void StopSeries();
  void ReloadWithChange(Gateway& gateway);
  void ChangeConfiguration(int left);
  void Leave(Server& server);
  void DisturbLink();
  void DisturbStore();

  // soak_stand_still.cc
  void InjectStandStill();
  // Some gateways of a run are spared from pauses and cuts.
  void StandStillSeries();
  void TurnAway(Gateway& gateway, Milliseconds length);

  // soak_config_check.cc
  void WriteConfiguration();
  // A fault of this gateway until a time. Unless gateways stand still in
  // series, it gives the others of its data centre time to find another reader.
  void Disturbed(Gateway& gateway, SteadyTime until);
  SteadyTime Due(const Gateway& gateway, int version) const;
  void ProbeConfiguration(Gateway& gateway, int round);
  void CheckProbe(Gateway& gateway, int version, int seen, bool found,
                  SteadyTime sent);
  // Time that this loop was late since a time.
  Milliseconds LagSince(SteadyTime since) const;
  void WatchLag(SteadyTime last);

  const SoakOptions options_;
  const std::uint32_t seed_;
  std::mt19937 random_;
  boost::asio::io_context loop_{1};
  stand_in::UsersStore store_{loop_};
  std::string store_address_;
  std::deque<Server> servers_;  // references to its members are kept
  std::deque<Gateway> gateways_;
  std::deque<LoneCaller> lone_callers_;
  SteadyTime start_ = std::chrono::steady_clock::now();
  bool calling_ = true;
  bool healed_ = false;
  int config_ = 0;
  int reloads_ = 0;
  std::vector<Version> versions_;  // by number
  std::vector<std::pair<SteadyTime, Milliseconds>> lags_;
  std::uint64_t last_id_ = 0;
  std::set<std::string> writes_;
  std::set<std::string> not_run_;
  SoakResult result_;
};

// Key with this index, below kWatchedKeys.
std::uint16_t WatchedKey(std::size_t index);

// Configuration with two services, plain and keyed, a route of each type for
// each, and a route that only this version has.
nlohmann::json Config(int version);
inline constexpr const char* kPlain = "plain";
inline constexpr const char* kKeyed = "keyed";

}  // namespace balsamhall::soak

#endif  // BALSAMHALL_TESTS_SOAK_SOAK_RUN_H_
