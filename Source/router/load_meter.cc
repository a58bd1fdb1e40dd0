#include "router/load_meter.h"

#include <cmath>

namespace balsamhall {
namespace {

// Partitions with a load below this share of a slot are removed.
constexpr double kNegligibleLoad = 1e-9;

double Seconds(SteadyTime::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void LoadMeter::Add(std::optional<PartitionId> partition,
                    Microseconds slot_time, SteadyTime now) {
  // Loads are decayed only on reading. The decay of work that is added in
  // between is off by less than one reading interval.
  if (decayed_at_ == SteadyTime{}) decayed_at_ = now;
  const double rate = Seconds(slot_time) / Seconds(time_constant_);
  if (partition) {
    by_partition_[*partition] += rate;
  } else {
    unpartitioned_ += rate;
  }
}

LoadMeter::Reading LoadMeter::Read(SteadyTime now) {
  Decay(now);
  Reading reading{unpartitioned_, by_partition_};
  for (const auto& [partition, load] : by_partition_) reading.total += load;
  return reading;
}

void LoadMeter::Decay(SteadyTime now) {
  if (decayed_at_ == SteadyTime{}) decayed_at_ = now;
  const double factor =
      std::exp(-Seconds(now - decayed_at_) / Seconds(time_constant_));
  decayed_at_ = now;
  unpartitioned_ *= factor;
  for (auto& [partition, load] : by_partition_) load *= factor;
  std::erase_if(by_partition_,
                [](const auto& item) { return item.second < kNegligibleLoad; });
}

}  // namespace balsamhall
