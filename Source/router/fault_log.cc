#include "router/fault_log.h"

#include "telemetry/event_log.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kReportInterval{5000};
constexpr std::size_t kMaxEntries = 256;

}  // namespace

void FaultLog::Report(const std::string& event, ResultCode code,
                      const std::string& detail) {
  const SteadyTime now = std::chrono::steady_clock::now();
  if (entries_.size() >= kMaxEntries) {
    std::erase_if(entries_, [now](const auto& item) {
      return now - item.second.written >= kReportInterval;
    });
    if (entries_.size() >= kMaxEntries) return;
  }
  Entry& entry = entries_[event + detail];
  if (entry.written != SteadyTime{} && now - entry.written < kReportInterval) {
    ++entry.repeats;
    return;
  }
  LogEvent(EventLevel::kWarning, event, static_cast<unsigned>(code),
           {{"name", std::string(ResultCodeName(code))},
            {"source", source_},
            {"detail", detail},
            {"repeats", std::to_string(entry.repeats)}});
  entry = {now, 0};
}

}  // namespace balsamhall
