#include "gateway/config_history.h"

#include <utility>

namespace balsamhall::gateway {
namespace {

// Followers of a reader are at most a few versions behind it.
constexpr std::size_t kMaxTexts = 4;
// The platform's store accepts no longer records.
constexpr std::size_t kMaxTextBytes = 8U << 20U;

}  // namespace

void ConfigHistory::Add(std::uint64_t version, std::string text) {
  texts_.insert_or_assign(version, std::move(text));
  if (texts_.size() > kMaxTexts) texts_.erase(texts_.begin());
  patches_.clear();
}

const std::string& ConfigHistory::newest() const {
  static const std::string empty;
  return texts_.empty() ? empty : texts_.rbegin()->second;
}

const ConfigPatch* ConfigHistory::PatchFrom(std::uint64_t version) {
  const auto base = texts_.find(version);
  const std::uint64_t base_version = base == texts_.end() ? 0 : version;
  const auto known = patches_.find(base_version);
  if (known != patches_.end()) return &known->second;
  const std::string_view text =
      base == texts_.end() ? std::string_view() : base->second;
  auto patch = MakeTextPatch(text, newest());
  if (!patch) return nullptr;
  return &patches_
              .emplace(base_version,
                       ConfigPatch{base_version, std::move(*patch)})
              .first->second;
}

Result<std::string> ConfigHistory::Apply(const ConfigPatch& patch) const {
  if (patch.base_version == 0) {
    return ApplyTextPatch({}, patch.patch, kMaxTextBytes);
  }
  const auto base = texts_.find(patch.base_version);
  if (base == texts_.end()) {
    return Error{ResultCode::kPeerFrameMalformed,
                 "patch of configuration " +
                     std::to_string(patch.base_version) + ", which is unknown"};
  }
  return ApplyTextPatch(base->second, patch.patch, kMaxTextBytes);
}

}  // namespace balsamhall::gateway
