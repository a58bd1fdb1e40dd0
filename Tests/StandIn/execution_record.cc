#include "StandIn/execution_record.h"

#include <algorithm>
#include <map>

namespace balsamhall {
namespace {

using nlohmann::json;

// Bounds the memory of one stand-in to about 200 MB.
constexpr std::size_t kMaxRecorded = 1'000'000;
constexpr std::size_t kMaxListed = 1000;

std::int64_t ToUnixMicros(WallTime time) {
  return std::chrono::duration_cast<Microseconds>(time.time_since_epoch())
      .count();
}

}  // namespace

std::size_t ExecutionRecord::Start(const std::string& id,
                                   const std::string& kind,
                                   const std::string& key, WallTime now) {
  ++started_;
  ++running_;
  max_concurrent_ = std::max(max_concurrent_, running_);
  const bool above = running_ > slots_;
  if (above) ++above_slots_;
  if (executions_.size() >= kMaxRecorded) {
    ++unrecorded_;
    return kMaxRecorded;
  }
  by_id_[id].push_back(static_cast<std::uint32_t>(executions_.size()));
  executions_.push_back({id, kind, key, now, {}, false, above});
  return executions_.size() - 1;
}

void ExecutionRecord::Finish(std::size_t number, bool whole, WallTime now) {
  --running_;
  if (number >= executions_.size()) return;
  executions_[number].end = now;
  executions_[number].whole = whole;
}

json ExecutionRecord::Summary() const {
  std::map<std::string, std::uint64_t> by_kind;
  for (const Execution& execution : executions_) ++by_kind[execution.kind];
  json doubled = json::array();
  for (const auto& [id, numbers] : by_id_) {
    if (numbers.size() < 2 || doubled.size() >= kMaxListed) continue;
    doubled.push_back({{"id", id},
                       {"kind", executions_[numbers[0]].kind},
                       {"runs", numbers.size()}});
  }
  return {{"executions", started_},
          {"distinct", by_id_.size()},
          {"doubled", std::move(doubled)},
          {"max_concurrent", max_concurrent_},
          {"slots", slots_},
          {"above_slots", above_slots_},
          {"refused_full", refused_full_},
          {"unrecorded", unrecorded_},
          {"by_kind", by_kind}};
}

json ExecutionRecord::Of(const std::string& id) const {
  json list = json::array();
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return {{"executions", std::move(list)}};
  for (const std::uint32_t number : found->second) {
    const Execution& execution = executions_[number];
    list.push_back({{"id", id},
                    {"kind", execution.kind},
                    {"key", execution.key},
                    {"start_us", ToUnixMicros(execution.start)},
                    {"end_us", ToUnixMicros(execution.end)},
                    {"whole", execution.whole},
                    {"above_slots", execution.above_slots}});
  }
  return {{"executions", std::move(list)}};
}

json ExecutionRecord::Page(std::size_t after, std::size_t max) const {
  json ids = json::array();
  std::size_t number = after;
  for (; number < executions_.size() && ids.size() < max; ++number) {
    const Execution& execution = executions_[number];
    const auto& runs = by_id_.at(execution.id);
    if (runs.front() != number) continue;
    ids.push_back({execution.id, execution.kind, runs.size()});
  }
  return {{"ids", std::move(ids)},
          {"next", number},
          {"end", number >= executions_.size()}};
}

}  // namespace balsamhall
