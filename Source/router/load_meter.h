// Exponentially decayed load of one endpoint, by partition.
#ifndef BALSAMHALL_ROUTER_LOAD_METER_H_
#define BALSAMHALL_ROUTER_LOAD_METER_H_

#include <map>
#include <optional>

#include "core/types.h"

namespace balsamhall {

// Measures load in slot seconds per second, with exponential decay. Not
// thread-safe.
class LoadMeter {
 public:
  explicit LoadMeter(Milliseconds time_constant)
      : time_constant_(time_constant) {}

  // Adds the slot time of finished work.
  void Add(std::optional<PartitionId> partition, Microseconds slot_time,
           SteadyTime now);

  struct Reading {
    double total = 0;
    std::map<PartitionId, double> by_partition;
  };
  Reading Read(SteadyTime now);

 private:
  void Decay(SteadyTime now);

  Milliseconds time_constant_;
  SteadyTime decayed_at_{};
  double unpartitioned_ = 0;
  std::map<PartitionId, double> by_partition_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_ROUTER_LOAD_METER_H_
