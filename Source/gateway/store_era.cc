#include "gateway/store_era.h"

#include <algorithm>
#include <utility>

namespace balsamhall::gateway {
namespace {

ReadResult Failed(ReadFailure failure, std::string detail) {
  ReadResult result;
  result.failure = failure;
  result.detail = std::move(detail);
  return result;
}

// Makes the offsets of a page positions. Returns false if one is out of range.
bool MakePositions(LogPage& page, std::uint64_t era) {
  if (era == 0) return true;
  const auto convert = [era](std::uint64_t& offset) {
    const bool in_range = offset <= kMaxOffset;
    if (in_range) offset = LogPosition(era, offset);
    return in_range;
  };
  return convert(page.next) && convert(page.log_end) &&
         std::ranges::all_of(page.records, [&](KeyedRecord& record) {
           return convert(record.offset);
         });
}

}  // namespace

EraVerdict KnownEra::Observe(std::uint64_t era) {
  if (era > kMaxEra) return EraVerdict::kInvalid;
  if (!value_) value_ = era;
  if (era < *value_) return EraVerdict::kEarlier;
  return std::exchange(*value_, era) == era ? EraVerdict::kCurrent
                                            : EraVerdict::kNew;
}

AppendOutcome JudgeAppend(const AppendResult& result, EraVerdict verdict,
                          std::optional<std::uint64_t> expected_end) {
  const bool proves = result.outcome == AppendOutcome::kDone ||
                      result.outcome == AppendOutcome::kConflict;
  if (!proves) return result.outcome;
  const bool same_era = verdict != EraVerdict::kEarlier &&
                        verdict != EraVerdict::kInvalid &&
                        (!expected_end || EraOf(*expected_end) == result.era);
  return same_era ? result.outcome : AppendOutcome::kUnknown;
}

EraVerdict EraStore::State::Observe(std::uint64_t stated) {
  const std::uint64_t before = era.value();
  const EraVerdict verdict = era.Observe(stated);
  if (verdict == EraVerdict::kNew && on_restored) on_restored(before, stated);
  return verdict;
}

ReadResult EraStore::State::Judge(ReadResult result,
                                  std::optional<std::uint64_t> from) {
  // A failed read may have no response, and so no era.
  if (!result.page && result.failure != ReadFailure::kTruncated) return result;
  switch (Observe(result.era)) {
    case EraVerdict::kEarlier:
      return Failed(ReadFailure::kUnavailable, "response of an earlier era");
    case EraVerdict::kInvalid:
      return Failed(ReadFailure::kUnavailable, "era out of range");
    case EraVerdict::kNew:
    case EraVerdict::kCurrent:
      break;
  }
  if (!result.page) return result;
  if (from && *from != result.era) {
    return Failed(ReadFailure::kTruncated, "the store was restored");
  }
  if (!MakePositions(*result.page, result.era)) {
    return Failed(ReadFailure::kUnavailable, "offset out of range");
  }
  return result;
}

void EraStore::ReadNewest(Log log, std::function<void(ReadResult)> done) {
  store_.ReadNewest(
      log, [state = state_, done = std::move(done)](ReadResult result) {
        done(state->Judge(std::move(result), std::nullopt));
      });
}

void EraStore::ReadFrom(Log log, std::uint64_t position, Milliseconds wait,
                        std::function<void(ReadResult)> done) {
  // Without eras a position is an offset, however high.
  const bool has_eras = era() > 0;
  const std::uint64_t from = has_eras ? EraOf(position) : 0;
  if (from < era()) return ReadNewest(log, std::move(done));
  store_.ReadFrom(
      log, has_eras ? OffsetOf(position) : position, wait,
      [state = state_, from, done = std::move(done)](ReadResult result) {
        done(state->Judge(std::move(result), from));
      });
}

void EraStore::Append(Log log, const std::string& key, const std::string& value,
                      std::optional<std::uint64_t> expected_end,
                      std::function<void(AppendResult)> done) {
  std::optional<std::uint64_t> offset = expected_end;
  if (offset && era() > 0) offset = OffsetOf(*offset);
  // The condition names no era: the store would take it for this one.
  if (expected_end && era() > 0 && EraOf(*expected_end) != era()) {
    // Cannot be met, so that nothing is appended.
    offset = kMaxOffset;
  }
  store_.Append(
      log, key, value, offset,
      [state = state_, expected_end,
       done = std::move(done)](const AppendResult& result) {
        const bool proves = result.outcome == AppendOutcome::kDone ||
                            result.outcome == AppendOutcome::kConflict;
        const EraVerdict verdict =
            proves ? state->Observe(result.era) : EraVerdict::kCurrent;
        done({JudgeAppend(result, verdict, expected_end), result.era});
      });
}

void EraStore::JoinLeaderElection(const RouterId& gateway,
                                  Milliseconds time_to_live,
                                  std::function<void(ElectionResult)> done) {
  store_.JoinLeaderElection(
      gateway, time_to_live,
      [state = state_, done = std::move(done)](const ElectionResult& result) {
        if (!result.reached) return done(result);
        const EraVerdict verdict = state->Observe(result.era);
        const bool counts =
            verdict == EraVerdict::kCurrent || verdict == EraVerdict::kNew;
        done(counts ? result : ElectionResult{});
      });
}

}  // namespace balsamhall::gateway
