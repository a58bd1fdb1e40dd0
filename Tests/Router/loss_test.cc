#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "Router/fleet.h"
#include "dispatch/endpoint_dispatcher.h"

namespace balsamhall {
namespace {

// Sends requests for one key until stopped, and records the times of the
// responses.
class Prober {
 public:
  struct Probe {
    SteadyTime sent;
    SteadyTime answered;
    int code = -1;
  };

  Prober(const Fleet& fleet, std::size_t router, std::string path,
         Milliseconds deadline)
      : thread_([this, &fleet, router, path = std::move(path), deadline] {
          while (!stop_) {
            const auto sent = std::chrono::steady_clock::now();
            const auto result = fleet.Call(router, path, deadline);
            results_.push_back(
                {sent, std::chrono::steady_clock::now(), result.code});
            std::this_thread::sleep_for(Milliseconds(10));
          }
        }) {}
  ~Prober() { Stop(); }
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }

  // Call after Stop.
  const std::vector<Probe>& results() const { return results_; }

  // Returns the longest time without a successful response to a request that
  // was sent after the event.
  Milliseconds LongestUnserved(SteadyTime event) const {
    SteadyTime served = event;
    SteadyTime::duration longest{0};
    for (const Probe& probe : results_) {
      if (probe.sent < event || probe.code != 0) continue;
      longest = std::max(longest, probe.answered - served);
      served = probe.answered;
    }
    longest = std::max(longest, results_.back().answered - served);
    return std::chrono::duration_cast<Milliseconds>(longest);
  }

 private:
  std::atomic<bool> stop_{false};
  std::vector<Probe> results_;
  std::thread thread_;
};

struct LossCase {
  const char* name;
  const char* kind;  // also the name of the service
  bool log_down;
  bool lose_router;  // false: lose the owner
  int signal;
};

std::ostream& operator<<(std::ostream& out, const LossCase& loss) {
  return out << loss.kind << ": " << loss.name;
}

constexpr Milliseconds kMaxUnservedTime{2000};  // required recovery time

// Starts a fleet, kills or pauses the owner of a key or its primary router, and
// checks how long the key is not served.
void CheckServedAgain(const LossCase& loss) {
  Fleet fleet;
  fleet.Publish();
  const std::string kind = loss.kind;
  std::string key;
  std::pair<std::string, std::string> owner;
  for (int i = 0; owner.second.empty() || owner.second == "r0"; ++i) {
    BOOST_REQUIRE_LT(i, 500);
    key = "key-" + std::to_string(i);
    owner = fleet.OwnerOf(0, kind, key);
  }
  if (loss.log_down) fleet.log().Signal(SIGSTOP);
  Prober prober(fleet, 0, "/v1/" + kind + "/" + kind + "/" + key,
                Milliseconds(300));
  std::this_thread::sleep_for(Milliseconds(500));
  const auto event = std::chrono::steady_clock::now();
  Process& lost = loss.lose_router ? fleet.router(owner.second.back() - '0')
                                   : fleet.backend(owner.first);
  lost.Signal(loss.signal);
  std::this_thread::sleep_for(Milliseconds(6000));
  prober.Stop();
  BOOST_TEST_MESSAGE(loss << ": unserved for "
                          << prober.LongestUnserved(event).count() << " ms");
  BOOST_CHECK_LT(prober.LongestUnserved(event).count(),
                 kMaxUnservedTime.count());
  lost.Signal(SIGCONT);
  BOOST_CHECK_EQUAL(fleet.CountExecutions().duplicates, 0U);
}

// Guards against keys that stay unserved after a failure that the fleet must
// tolerate.
BOOST_DATA_TEST_CASE(
    KeyIsServedAgainWithinTwoSeconds,
    boost::unit_test::data::make(std::vector<LossCase>{
        {"owner killed", "lookup", false, false, SIGKILL},
        {"owner frozen", "lookup", false, false, SIGSTOP},
        {"owner killed, log down", "lookup", true, false, SIGKILL},
        {"primary router killed", "lookup", false, true, SIGKILL},
        {"primary router paused", "lookup", false, true, SIGSTOP},
        {"primary router killed, log down", "lookup", true, true, SIGKILL},
        {"owner killed", "transfer", false, false, SIGKILL},
        {"primary router killed", "transfer", false, true, SIGKILL},
    }),
    loss) {
  CheckServedAgain(loss);
}

// Guards against requests that a graceful shutdown aborts or executes twice.
BOOST_AUTO_TEST_CASE(GracefulShutdownCutsOffNoRequest) {
  Fleet fleet;
  fleet.Publish();
  std::vector<std::unique_ptr<Prober>> leaving;
  std::vector<std::unique_ptr<Prober>> staying;
  // During its slow start of 10 s, an endpoint opens only one slot, which the
  // long request would occupy.
  std::this_thread::sleep_for(DispatcherOptions{}.slow_start_time);
  // A request of 1.5 s is in flight when the shutdown begins. A second one
  // could occupy both slots of an endpoint, and short requests would then be
  // rejected because of their deadline.
  leaving.push_back(std::make_unique<Prober>(fleet, 0, "/v1/lookup/slow/long",
                                             Milliseconds(5000)));
  for (int i = 0; i < 4; ++i) {
    const std::string key = std::to_string(i);
    leaving.push_back(std::make_unique<Prober>(
        fleet, 0, "/v1/lookup/lookup/short-" + key, Milliseconds(1000)));
    staying.push_back(std::make_unique<Prober>(
        fleet, 1, "/v1/lookup/lookup/short-" + key, Milliseconds(1000)));
  }
  std::this_thread::sleep_for(Milliseconds(500));
  fleet.router(0).Signal(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(300));
  const auto ready = fleet.Control(0, "GET", "/ready");
  BOOST_REQUIRE(ready.response);
  BOOST_CHECK_EQUAL(ready.response->status, 503U);
  const auto exit_code = fleet.router(0).Wait(Milliseconds(30'000));
  BOOST_REQUIRE(exit_code.has_value());
  BOOST_CHECK_EQUAL(*exit_code, 0);
  std::this_thread::sleep_for(Milliseconds(500));
  std::size_t answered = 0;
  for (const auto& prober : staying) {
    prober->Stop();
    for (const Prober::Probe& probe : prober->results()) {
      BOOST_CHECK_EQUAL(probe.code, 0);
      ++answered;
    }
  }
  for (const auto& prober : leaving) {
    prober->Stop();
    bool refused = false;
    for (const Prober::Probe& probe : prober->results()) {
      // Once the router has stopped listening, connections are refused at once,
      // which aborts no request. Every other request must succeed.
      const bool at_once = probe.answered - probe.sent < Milliseconds(50);
      refused = refused || (probe.code == -1 && at_once);
      BOOST_CHECK_EQUAL(probe.code, refused ? -1 : 0);
      ++answered;
    }
  }
  BOOST_CHECK_GT(answered, 100U);
  BOOST_CHECK_EQUAL(fleet.CountExecutions().duplicates, 0U);
}

}  // namespace
}  // namespace balsamhall
