#include "router/degraded_since.h"

#include <utility>

namespace balsamhall {

void DegradedSince::Observe(schema::RouterStatus& status, WallTime now) {
  std::map<std::string, WallTime> current;
  for (auto& item : *status.mutable_degraded()) {
    const auto known = since_.find(item.what());
    const WallTime since = known == since_.end() ? now : known->second;
    current.emplace(item.what(), since);
    item.set_since_ms(
        std::chrono::duration_cast<Milliseconds>(since.time_since_epoch())
            .count());
  }
  since_ = std::move(current);
}

}  // namespace balsamhall
