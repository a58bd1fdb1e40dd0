#include "core/config_register.h"

#include <utility>

#include "core/config_rules.h"
#include "core/invariant.h"
#include "core/partitioner.h"

namespace balsamhall {
namespace {

// Operators ask for a verdict within seconds of the publication; at 6,600
// changes a day this covers more than half an hour.
constexpr std::size_t kMaxVerdicts = 256;
// Stale publications are kept only to be evaluated again after a late snapshot.
constexpr std::size_t kMaxStale = 64;

}  // namespace

ConfigRegister::ConfigRegister(Parse parse) : parse_(std::move(parse)) {}

ConfigVerdict ConfigRegister::OnPublished(
    std::uint64_t offset, const schema::ConfigPublished& publication) {
  if (offset <= current_.version()) {
    if (!verdicts_.contains(offset)) Record(offset, ConfigVerdict::kIgnored);
    return ConfigVerdict::kIgnored;
  }
  if (phase_ != Phase::kFollowing) {
    pending_.insert_or_assign(offset, publication);
    return ConfigVerdict::kIgnored;
  }
  const ConfigVerdict verdict = Evaluate(offset, publication);
  if (verdict == ConfigVerdict::kStaleVersion) {
    pending_.insert_or_assign(offset, publication);
    if (pending_.size() > kMaxStale) pending_.erase(pending_.begin());
  }
  return verdict;
}

ConfigVerdict ConfigRegister::OnSnapshot(
    const schema::ConfigSnapshot& snapshot) {
  return AdoptIfValid(snapshot);
}

bool ConfigRegister::OnPeerSnapshot(const schema::ConfigSnapshot& snapshot) {
  return AdoptIfValid(snapshot) == ConfigVerdict::kAccepted;
}

void ConfigRegister::OnReachedEnd() {
  if (phase_ != Phase::kCatchingUp) return;
  if (truncated_ && current_.version() == 0) {
    phase_ = Phase::kWaitingForSnapshot;
    return;
  }
  phase_ = Phase::kFollowing;
  EvaluatePending();
}

void ConfigRegister::OnTruncated() {
  truncated_ = true;
  phase_ = Phase::kCatchingUp;
}

std::optional<ConfigVerdict> ConfigRegister::VerdictOf(
    std::uint64_t offset) const {
  const auto found = verdicts_.find(offset);
  if (found == verdicts_.end()) return std::nullopt;
  return found->second;
}

ConfigVerdict ConfigRegister::Evaluate(
    std::uint64_t offset, const schema::ConfigPublished& publication) {
  const ConfigVerdict verdict = [&] {
    if (publication.based_on() != current_.version()) {
      return ConfigVerdict::kStaleVersion;
    }
    if (Digest(publication.body()) != publication.digest()) {
      return ConfigVerdict::kDigestMismatch;
    }
    auto config = parse_(publication.body());
    if (!config) return ConfigVerdict::kInvalid;
    // Every reader that reaches this point holds the version that the
    // publication is based on, so all compare with the same configuration.
    if (!CheckConfigChange(config_, config.value()).empty()) {
      return ConfigVerdict::kInvalid;
    }
    schema::ConfigSnapshot snapshot;
    snapshot.set_version(offset);
    snapshot.set_digest(publication.digest());
    snapshot.set_body(publication.body());
    snapshot.set_author(publication.author());
    Adopt(std::move(snapshot), std::move(config).value());
    return ConfigVerdict::kAccepted;
  }();
  Record(offset, verdict);
  return verdict;
}

void ConfigRegister::EvaluatePending() {
  const auto pending = std::exchange(pending_, {});
  for (const auto& [offset, publication] : pending) {
    OnPublished(offset, publication);
  }
}

ConfigVerdict ConfigRegister::AdoptIfValid(
    const schema::ConfigSnapshot& snapshot) {
  if (snapshot.version() < current_.version() || snapshot.version() == 0) {
    return ConfigVerdict::kIgnored;
  }
  if (Digest(snapshot.body()) != snapshot.digest()) {
    return ConfigVerdict::kDigestMismatch;
  }
  if (snapshot.version() == current_.version()) {
    BALSAMHALL_INVARIANT(
        snapshot.digest() == current_.digest(), "config-version-unique",
        "version " + std::to_string(snapshot.version()) + " has digests " +
            snapshot.digest() + " and " + current_.digest());
    return ConfigVerdict::kIgnored;
  }
  auto config = parse_(snapshot.body());
  if (!config) return ConfigVerdict::kInvalid;
  Adopt(snapshot, std::move(config).value());
  Record(snapshot.version(), ConfigVerdict::kAccepted);
  if (phase_ == Phase::kWaitingForSnapshot) phase_ = Phase::kFollowing;
  if (phase_ == Phase::kFollowing) EvaluatePending();
  return ConfigVerdict::kAccepted;
}

void ConfigRegister::Adopt(schema::ConfigSnapshot snapshot,
                           schema::RoutingConfig config) {
  BALSAMHALL_INVARIANT(snapshot.version() > current_.version(),
                       "config-version-grows",
                       std::to_string(current_.version()) + " -> " +
                           std::to_string(snapshot.version()));
  current_ = std::move(snapshot);
  config_ = std::move(config);
  pending_.erase(pending_.begin(), pending_.upper_bound(current_.version()));
}

void ConfigRegister::Record(std::uint64_t offset, ConfigVerdict verdict) {
  verdicts_.insert_or_assign(offset, verdict);
  if (verdicts_.size() > kMaxVerdicts) verdicts_.erase(verdicts_.begin());
}

}  // namespace balsamhall
