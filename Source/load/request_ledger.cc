#include "load/request_ledger.h"

#include <charconv>

namespace balsamhall {

std::size_t RequestLedger::Add(std::uint8_t kind) {
  entries_.push_back({kind, false, false, 1});
  return entries_.size() - 1;
}

void RequestLedger::OnAnswer(std::size_t request, ResultCode code) {
  Entry& entry = entries_[request];
  --entry.unanswered;
  if (code == ResultCode::kOk) {
    entry.acknowledged = true;
  } else if (!IsNotRun(code)) {
    entry.may_have_run = true;
  }
}

std::string RequestLedger::IdOf(std::size_t request) const {
  return tag_ + "." + std::to_string(request);
}

std::optional<std::size_t> RequestLedger::Find(std::string_view id) const {
  if (!id.starts_with(tag_) || id.size() < tag_.size() + 2 ||
      id[tag_.size()] != '.') {
    return std::nullopt;
  }
  const std::string_view number = id.substr(tag_.size() + 1);
  std::size_t request = 0;
  const char* const end = number.data() + number.size();
  const auto parsed = std::from_chars(number.data(), end, request);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      request >= entries_.size()) {
    return std::nullopt;
  }
  return request;
}

}  // namespace balsamhall
