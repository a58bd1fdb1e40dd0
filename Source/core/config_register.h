// Decides which published routing configurations are accepted, and holds the
// one in force, for one reader of the log.
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
  kIgnored,  // not evaluated: covered by the version in force, or buffered
};

// Deterministic: all readers of the same log reach the same version. The
// version never decreases. Not thread-safe.
class ConfigRegister {
 public:
  using Parse =
      std::function<Result<schema::RoutingConfig>(const std::string& body)>;

  // parse validates and decodes a body. It must give the same result in every
  // router.
  explicit ConfigRegister(Parse parse);

  // Evaluates the publication at this offset of the log. Offsets increase
  // from call to call, except for records that are delivered again.
  // Publications up to the version in force are ignored. Until the end of the
  // log has been reached, the publication is buffered and kIgnored is returned;
  // VerdictOf returns the verdict later.
  ConfigVerdict OnPublished(std::uint64_t offset,
                            const schema::ConfigPublished& publication);

  // Adopts a valid snapshot from the log if its version is higher than the one
  // in force. Until the end of the log has been reached, a snapshot with a
  // higher version may still replace it.
  ConfigVerdict OnSnapshot(const schema::ConfigSnapshot& snapshot);

  // Adopts a valid snapshot of another router if its version is higher than the
  // one in force. Returns true if it was adopted.
  bool OnPeerSnapshot(const schema::ConfigSnapshot& snapshot);

  // Must be called when the reader has reached the end of the log. The first
  // call evaluates the buffered publications, starting from the highest
  // snapshot.
  void OnReachedEnd();

  // Must be called when the log no longer holds the offset to read from, at the
  // start or later. Publications were missed, so the register buffers until the
  // end is reached again; if no configuration is known then, it waits for a
  // snapshot. Otherwise a publication would be evaluated against a version that
  // is not the one in force at that point.
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
  void Record(std::uint64_t offset, ConfigVerdict verdict);

  Parse parse_;
  Phase phase_ = Phase::kCatchingUp;
  bool truncated_ = false;
  schema::ConfigSnapshot current_;
  schema::RoutingConfig config_;
  // Publications after the version in force: not evaluated yet, or found stale.
  // A stale one is kept because a snapshot may show that this reader did not
  // know the version in force.
  std::map<std::uint64_t, schema::ConfigPublished> pending_;
  std::map<std::uint64_t, ConfigVerdict> verdicts_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_CONFIG_REGISTER_H_
