// Simulated processes and the network between them.
#ifndef BALSAMHALL_TESTS_OWNERSHIP_NETWORK_H_
#define BALSAMHALL_TESTS_OWNERSHIP_NETWORK_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Ownership/simulation.h"

namespace balsamhall::ownership_test {

// A process with its own clock. While it is paused, its clock continues and its
// messages are deferred.
class Process {
 public:
  Process(Simulation* simulation, std::string name, std::string data_centre);

  void Start();
  void Stop();
  void Pause();
  void Resume();
  // Runs the step in the process: at once, after Resume if it is paused, or
  // never if it stops.
  void Deliver(Simulation::Step step);
  // Delivers after a delay, unless the process was restarted meanwhile.
  void DeliverAfter(VirtualTime delay, Simulation::Step step);

  bool running() const { return running_; }
  bool paused() const { return paused_; }
  bool active() const { return running_ && !paused_; }
  // Number of processes started on this VM so far.
  std::uint64_t generation() const { return generation_; }
  const std::string& name() const { return name_; }
  const std::string& data_centre() const { return data_centre_; }
  std::string region() const { return data_centre_.substr(0, 1); }
  SteadyTime Clock() const;
  WallTime WallClock() const;

 private:
  Simulation* simulation_;
  std::string name_;
  std::string data_centre_;
  bool running_ = false;
  bool paused_ = false;
  std::uint64_t generation_ = 0;
  double clock_rate_ = 1;
  VirtualTime clock_offset_{0};
  VirtualTime wall_offset_{0};
  std::vector<Simulation::Step> deferred_;
};

// Probability of each fault for one message.
struct MessageFaults {
  double drop = 0;
  double duplicate = 0;
  double delay = 0;  // by up to 400 ms
};

class Network {
 public:
  explicit Network(Simulation* simulation) : simulation_(simulation) {}

  // Delivers 0 to 2 times, only to the process that runs at the time of
  // sending.
  void Send(const Process& from, Process* to, Simulation::Step step);
  // Delivers at most once, as a connection does.
  void SendOnce(const Process& from, Process* to, Simulation::Step step);
  // One-way delay of one message.
  VirtualTime Delay(bool same_region);

  // Blocks one direction between two nodes.
  void Block(const std::string& from, const std::string& to);
  void Unblock(const std::string& from, const std::string& to);
  void HealAll() { blocked_.clear(); }
  bool CanReach(const std::string& from, const std::string& to) const;
  void SetMessageFaults(const MessageFaults& faults) { faults_ = faults; }

 private:
  Simulation* simulation_;
  MessageFaults faults_;
  std::set<std::pair<std::string, std::string>> blocked_;
};

}  // namespace balsamhall::ownership_test

#endif  // BALSAMHALL_TESTS_OWNERSHIP_NETWORK_H_
