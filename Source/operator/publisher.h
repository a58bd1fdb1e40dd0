// Publishes a configuration and waits until it is in force.
#ifndef BALSAMHALL_OPERATOR_PUBLISHER_H_
#define BALSAMHALL_OPERATOR_PUBLISHER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/result_code.h"
#include "core/types.h"
#include "operator/control_client.h"
#include "operator/fleet.h"

namespace balsamhall {

struct PublisherOptions {
  std::vector<std::string> routers;  // control addresses
  std::string author;
  // P8: an accepted configuration is in force everywhere within 16 s.
  Milliseconds in_force_timeout{16'000};
  // Time to find the outcome of a publication whose answer was lost.
  Milliseconds resolve_timeout{16'000};
  Milliseconds poll_interval{200};
};

// What a publication led to.
struct PublishReport {
  Error outcome;              // kOk, or why the command fails
  std::uint64_t version = 0;  // in force, or the winner's after a lost race
  bool sent = false;          // a publication was sent
  std::vector<std::string> missing;  // live routers without the version
  std::vector<std::string> notes;    // for the operator, in order
};

// Sends at most one publication that may take effect: after an answer that was
// lost it reads the configuration in force instead of sending again. Not
// thread-safe.
class Publisher {
 public:
  Publisher(ControlClient& client, PublisherOptions options);

  // Precondition: config is valid.
  PublishReport Publish(const schema::RoutingConfig& config,
                        std::uint64_t based_on);

  // Declares a VM lost; the outcome is in the report.
  PublishReport DeclareLost(const std::string& vm);

 private:
  // Returns false if the report already holds the outcome.
  bool CheckBase(const schema::RoutingConfig& config, std::uint64_t based_on);
  void Send(const Publication& publication);
  // Waits for a version above based_on, and judges whose it is.
  void Resolve(const schema::RoutingConfig& config, std::uint64_t based_on);
  void JudgeSuccessor(const schema::RoutingConfig& config,
                      const schema::ConfigSnapshot& in_force);
  void WaitUntilInForce();

  // Returns false and sets the outcome if the VM is unknown or a live router.
  bool CheckLost(const std::string& vm);
  bool LogReachable() const;
  Result<schema::ConfigSnapshot> NewestConfiguration();
  std::vector<std::string> AnsweringRouters() const;
  void Fail(ResultCode code, std::string detail);

  ControlClient& client_;
  PublisherOptions options_;
  Fleet fleet_;
  PublishReport report_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_OPERATOR_PUBLISHER_H_
