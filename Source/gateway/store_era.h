// Eras of the store: it may come back from an older copy of itself.
#ifndef BALSAMHALL_GATEWAY_STORE_ERA_H_
#define BALSAMHALL_GATEWAY_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/coordination_store.h"
#include "gateway/log_position.h"

namespace balsamhall::gateway {

// What a response of the store proves, by its era.
enum class EraVerdict {
  kCurrent,  // of the latest known era
  kNew,      // the store was restored: nothing read before holds
  kEarlier,  // arrived late: proves nothing
  kInvalid,  // out of range: no fence can express it
};

// The latest era of the store that this gateway knows. Not thread-safe.
class KnownEra {
 public:
  // Judges an era, and keeps it if it is later than the one so far. The first
  // one is kCurrent, because nothing was read before.
  EraVerdict Observe(std::uint64_t era);
  // Returns the latest known era; 0: the store states none.
  std::uint64_t value() const { return value_.value_or(0); }

 private:
  std::optional<std::uint64_t> value_;
};

// Judges the outcome of an append with a condition. expected_end: position at
// which the log had to end. In a later era the same offset may be the end of
// another log, so neither success nor conflict says anything. Thread-safe.
AppendOutcome JudgeAppend(const AppendResult& result, EraVerdict verdict,
                          std::optional<std::uint64_t> expected_end);

// A store whose offsets are positions (log_position.h), and whose responses
// count only if they are of the latest known era. Without eras it passes
// everything on unchanged. Not thread-safe.
class EraStore : public CoordinationStore {
 public:
  // before, now: the eras. Runs before the callback of the response that
  // showed the new era.
  using RestoreHandler =
      std::function<void(std::uint64_t before, std::uint64_t now)>;

  // The store must outlive this object. Callbacks still run after its end, but
  // the restore handler does not.
  explicit EraStore(CoordinationStore& store) : store_(store) {}
  ~EraStore() override { state_->on_restored = nullptr; }
  EraStore(const EraStore&) = delete;
  EraStore& operator=(const EraStore&) = delete;

  void set_restore_handler(RestoreHandler handler) {
    state_->on_restored = std::move(handler);
  }
  // Judges an era that another gateway has stated.
  EraVerdict Observe(std::uint64_t era) { return state_->Observe(era); }
  std::uint64_t era() const { return state_->era.value(); }

  void ReadNewest(Log log, std::function<void(ReadResult)> done) override;
  // A position of an earlier era has no meaning in this one: the newest records
  // are read in its place.
  void ReadFrom(Log log, std::uint64_t position, Milliseconds wait,
                std::function<void(ReadResult)> done) override;
  bool IsReceiving(Log log) const override { return store_.IsReceiving(log); }
  void Append(Log log, const std::string& key, const std::string& value,
              std::optional<std::uint64_t> expected_end,
              std::function<void(AppendResult)> done) override;
  void JoinLeaderElection(const RouterId& gateway, Milliseconds time_to_live,
                          std::function<void(ElectionResult)> done) override;
  void LeaveLeaderElection(const RouterId& gateway,
                           std::function<void()> done) override {
    store_.LeaveLeaderElection(gateway, std::move(done));
  }

 private:
  struct State {
    EraVerdict Observe(std::uint64_t stated);
    // from: era of the position that was read from; empty for a read of the
    // newest records.
    ReadResult Judge(ReadResult result, std::optional<std::uint64_t> from);

    KnownEra era;
    RestoreHandler on_restored;
  };

  CoordinationStore& store_;
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_STORE_ERA_H_
