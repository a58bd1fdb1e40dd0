// Arrival times and keys of a load run.
#ifndef BALSAMHALL_LOAD_LOAD_PLAN_H_
#define BALSAMHALL_LOAD_LOAD_PLAN_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/types.h"
#include "load/zipf_sampler.h"

namespace balsamhall {

struct PlannedRequest {
  Microseconds at{0};  // since the start of the run
  std::uint32_t kind = 0;
  std::string key;
  std::optional<Microseconds> repeat_after;
};

// Poisson arrivals by kind, in time order. The same scenario gives the same
// plan. Not thread-safe.
class LoadPlan {
 public:
  explicit LoadPlan(const schema::LoadScenario& scenario);

  // Returns the next request, or nullopt at the end of the duration.
  std::optional<PlannedRequest> Next();

 private:
  struct Stream {
    ZipfSampler keys;
    double next_us = 0;
  };

  double Advance(const schema::LoadKind& kind, double from_us);
  std::string DrawKey(std::uint32_t kind, double at_us);

  schema::LoadScenario scenario_;
  std::mt19937_64 random_;
  std::vector<Stream> streams_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_LOAD_LOAD_PLAN_H_
