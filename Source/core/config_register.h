// Acceptance of routing configurations by one reader of the log.
#ifndef BALSAMHALL_CORE_CONFIG_REGISTER_H_
#define BALSAMHALL_CORE_CONFIG_REGISTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/result_code.h"
#include "core/types.h"

namespace balsamhall {

enum class ConfigVerdict : std::uint8_t {
  kAccepted,
  kStaleVersion,
  kInvalid,
  kDigestMismatch,
  kIgnored,  // not judged: already covered by the version in force, or buffered
};

// Every reader of the same log reaches the same version. The version never
// decreases. Not thread-safe.
class ConfigRegister {
 public:
  using Parse =
      std::function<Result<schema::RoutingConfig>(const std::string& body)>;

  // parse checks and decodes a body. It must give the same result in every
  // router.
  explicit ConfigRegister(Parse parse);

  // Judges the publication at this offset of the log. Offsets grow between
  // calls, except for repeats. Publications up to the version in force are
  // ignored. Before the end of the log was reached, the publication is
  // buffered and kIgnored is returned; VerdictOf tells the verdict later.
  ConfigVerdict OnPublished(std::uint64_t offset,
                            const schema::ConfigPublished& publication);

  // Adopts a snapshot from the log if its version is higher than the one in
  // force. Before the end of the log was reached, it is a candidate.
  ConfigVerdict OnSnapshot(const schema::ConfigSnapshot& snapshot);

  // Adopts a snapshot of another router if its version is higher than the one
  // in force. Returns true if it was adopted.
  bool OnPeerSnapshot(const schema::ConfigSnapshot& snapshot);

  // The reader has read up to the end of the log. The first call starts from
  // the highest snapshot and judges the buffered publications.
  void OnReachedEnd();

  // The log no longer holds the offset to read from, at the start or later.
  // Publications were missed, so the register buffers until the end is reached
  // again; if no configuration is known then, it waits for a snapshot. Without
  // this, a publication would be judged against a version that is not the one
  // in force at that point.
  void OnTruncated();

  // Returns the configuration in force; version 0 if there is none.
  const schema::ConfigSnapshot& current() const { return current_; }
  const schema::RoutingConfig& config() const { return config_; }

  // Returns the verdict on a publication; nullopt if it has none yet or is no
  // longer in the bounded history.
  std::optional<ConfigVerdict> VerdictOf(std::uint64_t offset) const;

 private:
  enum class Phase : std::uint8_t {
    kCatchingUp,
    kWaitingForSnapshot,
    kFollowing
  };

  ConfigVerdict Evaluate(std::uint64_t offset,
                         const schema::ConfigPublished& publication);
  void EvaluatePending();
  ConfigVerdict AdoptIfValid(const schema::ConfigSnapshot& snapshot);
  void Adopt(schema::ConfigSnapshot snapshot, schema::RoutingConfig config);
  void RecordVerdict(std::uint64_t offset, ConfigVerdict verdict);

  Parse parse_;
  Phase phase_ = Phase::kCatchingUp;
  bool truncated_ = false;
  schema::ConfigSnapshot current_;
  schema::RoutingConfig config_;
  // Publications after the version in force: not judged yet, or judged stale.
  // A stale one is kept because a snapshot may show that this reader did not
  // know the version in force.
  std::map<std::uint64_t, schema::ConfigPublished> pending_;
  std::map<std::uint64_t, ConfigVerdict> verdicts_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_CONFIG_REGISTER_H_
