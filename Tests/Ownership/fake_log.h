// Fakes of the platform's append-only log and list of VMs.
#ifndef BALSAMHALL_TESTS_OWNERSHIP_FAKE_LOG_H_
#define BALSAMHALL_TESTS_OWNERSHIP_FAKE_LOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Ownership/simulation.h"
#include "core/ownership_events.h"

namespace balsamhall::ownership_test {

class FakeLog {
 public:
  struct Entry {
    std::string writer;
    std::uint64_t sequence = 0;
    VirtualTime appended_at{0};
    schema::LogRecord record;
  };

  FakeLog(Simulation* simulation, Milliseconds retention)
      : simulation_(simulation), retention_(retention) {}

  std::uint64_t Append(const std::string& writer, std::uint64_t sequence,
                       const schema::LogRecord& record);
  // Return the retained records from the offset on, and the event that ends a
  // read.
  std::vector<LogRecordRead> Read(std::uint64_t from) const;
  LogReadFinished MakeReadFinished() const;

  // All records since the start; offset 1 is the first.
  const std::vector<Entry>& history() const { return history_; }
  bool available() const { return available_; }
  void SetAvailable(bool available) { available_ = available; }
  // Probability that an append takes effect but its answer is lost.
  double lost_answer_probability = 0;

 private:
  std::uint64_t FirstOffset() const;

  Simulation* simulation_;
  Milliseconds retention_;
  bool available_ = true;
  std::vector<Entry> history_;
};

// Shows each change of a VM after a delay; changes of one VM stay in order.
class FakeVmList {
 public:
  explicit FakeVmList(Simulation* simulation) : simulation_(simulation) {}

  // Schedules a change and returns the time at which readers see it.
  VirtualTime ScheduleChange(const std::string& vm, bool present,
                             bool is_router);
  VmListRead Read() const;
  bool available() const { return available_; }
  void SetAvailable(bool available) { available_ = available; }

 private:
  Simulation* simulation_;
  bool available_ = true;
  std::map<std::string, VirtualTime> last_change_visible_at_;
  std::map<std::string, bool> visible_vms_;  // VM and whether it is a router
};

}  // namespace balsamhall::ownership_test

#endif  // BALSAMHALL_TESTS_OWNERSHIP_FAKE_LOG_H_
