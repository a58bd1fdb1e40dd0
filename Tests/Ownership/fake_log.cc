#include "Ownership/fake_log.h"

#include <algorithm>

namespace balsamhall::ownership_test {

std::uint64_t FakeLog::Append(const std::string& writer, std::uint64_t sequence,
                              const schema::LogRecord& record) {
  history_.push_back({writer, sequence, simulation_->now(), record});
  simulation_->Trace("log " + std::to_string(history_.size()) + " " + writer +
                     "/" + std::to_string(sequence) + " " +
                     record.ShortDebugString().substr(0, 160));
  return history_.size();
}

std::uint64_t FakeLog::FirstOffset() const {
  const auto first = std::ranges::find_if(history_, [&](const Entry& entry) {
    return entry.appended_at + retention_ > simulation_->now();
  });
  return static_cast<std::uint64_t>(first - history_.begin()) + 1;
}

std::vector<LogRecordRead> FakeLog::Read(std::uint64_t from) const {
  std::vector<LogRecordRead> records;
  for (auto offset = std::max(from, FirstOffset()); offset <= history_.size();
       ++offset) {
    const Entry& entry = history_[offset - 1];
    const auto age = std::chrono::duration_cast<Milliseconds>(
        simulation_->now() - entry.appended_at);
    records.push_back({offset, entry.writer, entry.sequence, age, entry.record,
                       FirstOffset()});
  }
  return records;
}

LogReadFinished FakeLog::MakeReadFinished() const {
  return {true, FirstOffset(), history_.size() + 1, retention_};
}

VirtualTime FakeVmList::ScheduleChange(const std::string& vm, bool present,
                                       bool is_router) {
  VirtualTime& visible_at = last_change_visible_at_[vm];
  visible_at =
      std::max(visible_at,
               simulation_->now() + simulation_->RandomDuration(
                                        Milliseconds(500), Milliseconds(8000)));
  simulation_->ScheduleAfter(
      visible_at - simulation_->now(), [this, vm, present, is_router] {
        if (present) {
          visible_vms_[vm] = is_router;
        } else {
          visible_vms_.erase(vm);
        }
        simulation_->Trace("list " + vm + (present ? " live" : " gone"));
      });
  return visible_at;
}

VmListRead FakeVmList::Read() const {
  VmListRead read;
  for (const auto& [vm, is_router] : visible_vms_) {
    read.vms.push_back({vm, false, is_router});
  }
  return read;
}

}  // namespace balsamhall::ownership_test
