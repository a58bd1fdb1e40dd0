// Control cost of one router at a fleet size, composed of measured slopes.
#ifndef BALSAMHALL_CAPACITY_TARGET_MODEL_H_
#define BALSAMHALL_CAPACITY_TARGET_MODEL_H_

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "capacity/slope_table.h"

namespace balsamhall {

struct FleetTarget {
  double routers = 4400;
  double endpoints_per_router = 4;
  double partitions_per_endpoint = 60;
  double services = 4;
  double changes_per_day = 6600;
  double joins_per_day = 1600;
};

// Budget of control per node, section 1.4 of the design.
struct ControlBudget {
  double micros_per_second = 14'000;  // 1.4% of a core
  double bytes_per_second = 5000;
  double memory = 64e6;
};

struct ControlLine {
  std::string name;
  double micros_per_second = 0;
  double bytes_per_second = 0;
  double memory = 0;
};

// Thread-safe.
class TargetModel {
 public:
  explicit TargetModel(std::vector<Slope> slopes);

  // True if every probe that the model needs was run.
  bool complete() const;

  // Control cost of one router by mechanism, the sum last.
  // Precondition: complete.
  std::vector<ControlLine> Lines(const FleetTarget& target) const;

 private:
  double At(const std::string& probe, const std::string& measure,
            double size) const;

  std::vector<Slope> slopes_;
};

// Returns the value at a size, on straight lines between the samples, and
// beyond them on the line through the last two. Precondition: sizes ascend, at
// least two. Thread-safe.
double Interpolate(std::span<const Sample> samples, double size);

// Returns the largest whole number up to limit whose cost is within the
// budget; 0 if there is none. Precondition: the cost does not decrease.
// Thread-safe.
double LargestWithin(const std::function<double(double)>& cost, double budget,
                     double limit);

// Returns the lines at the target with the budget and the largest fleet that
// keeps it, as lines that end with a line feed.
std::string ToText(const TargetModel& model, const FleetTarget& target,
                   const ControlBudget& budget);

}  // namespace balsamhall

#endif  // BALSAMHALL_CAPACITY_TARGET_MODEL_H_
