// Router processes with stand-ins on loopback.
#ifndef BALSAMHALL_TESTS_OPERATOR_PROCESS_FLEET_H_
#define BALSAMHALL_TESTS_OPERATOR_PROCESS_FLEET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Operator/child_process.h"
#include "core/types.h"

namespace balsamhall {

// Starts a log stand-in, a process with three backend stand-ins and routers in
// as many data centres, and ends them when destroyed. Not thread-safe.
class ProcessFleet {
 public:
  explicit ProcessFleet(int routers);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  static constexpr const char* kOperatorKey = "test-key";

  // Writes a sheet of the three endpoints that differs by its retry ratio, and
  // returns its path.
  std::string WriteSheet(int retry_percent) const;

  // Starts an operator command; "--router" arguments are added for all routers.
  std::unique_ptr<ChildProcess> Start(const std::string& command,
                                      std::vector<std::string> arguments);

  // Publishes and returns the exit status; -1 if the command did not end.
  int Publish(const std::string& sheet, std::uint64_t based_on);

  void StopRouter(int router, int signal);
  void StartRouter(int router);

  // Switches faults of the log, see Tests/StandIn/log_stand_in.h.
  void SetLogFault(const std::string& json) const;

  // Returns the status of a router, or nullopt if it does not answer.
  std::optional<schema::RouterStatus> Status(int router) const;

  // Returns the highest version that any router reports.
  std::uint64_t Version() const;

  // Returns the number of partitions that all routers report as owned.
  int ServedPartitions() const;

  // Returns all records of the log with their offsets.
  std::vector<std::pair<std::uint64_t, schema::LogRecord>> LogRecords() const;

  std::string CallerAddress(int router) const;

  // Waits until the condition holds; false after the limit.
  static bool WaitUntil(const std::function<bool()>& condition,
                        Milliseconds limit);

  int routers() const { return static_cast<int>(routers_.size()); }

 private:
  std::string Address(int offset) const;
  std::string ControlAddress(int router) const;
  std::string File(const std::string& name) const;
  void WriteFile(const std::string& path, const std::string& text) const;

  std::string folder_;
  int first_port_ = 0;
  int commands_ = 0;
  std::unique_ptr<ChildProcess> log_;
  std::unique_ptr<ChildProcess> backends_;
  std::vector<std::unique_ptr<ChildProcess>> routers_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_OPERATOR_PROCESS_FLEET_H_
