#include "gateway/range_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <ranges>

namespace balsamhall::gateway {
namespace {

// Hot keys change within seconds, so a request counts half after this time.
constexpr Milliseconds kHalfLife{2'500};
// Total baseline load, spread evenly over all keys, as a share of the measured
// load.
constexpr double kBaselineShare = 0.15;
// Load moves from an endpoint above kOverloadRatio times its fair share to one
// below kUnderloadRatio times its own.
constexpr double kOverloadRatio = 1.2;
constexpr double kUnderloadRatio = 0.95;
// Above this ratio, any target below its fair share is accepted. Otherwise the
// rest of a hot range that was divided among nearly full endpoints would stay
// where it is.
constexpr double kSevereOverloadRatio = 1.25;
// Requests arrive at random, so a load measured from a few dozen requests
// varies by chance. A load counts as above its fair share only if the excess is
// more than this many standard deviations, because keys are unserved while they
// move. With a few hundred endpoints and a plan each second, four make needless
// moves rare.
constexpr double kMinDeviations = 4;
// A piece with at most this multiple of the wanted load is not split.
constexpr double kMaxWholePieceRatio = 1.3;
// Ranges are not split further at this number of ranges per endpoint.
constexpr std::size_t kMaxRangesPerEndpoint = 5;
// Keys without an owner are not split into parts below this share of an
// endpoint's fair load. A part below this share of the wanted load is not
// moved.
constexpr double kMinPartShare = 0.25;

// A small fleet is balanced by a few moves per plan. In a large one, two plans
// have to divide a hot range that carries nearly half of the load (the users'
// sheets). Every endpoint then takes a part, because each already has load.
constexpr std::size_t kMinMovesPerPlan = 4;
constexpr std::size_t kEndpointsPerMove = 2;

struct Piece {
  KeyRange range;
  std::optional<std::size_t> owner;  // index of a usable endpoint
  bool movable = true;
};

class Planner {
 public:
  Planner(const LeaseTable& table,
          const std::vector<EligibleEndpoint>& endpoints,
          std::span<const double> sums)
      : endpoints_(endpoints), prefix_sums_(sums), load_(endpoints.size(), 0) {
    AddPieces(table);
    const bool all_cold =
        std::ranges::all_of(endpoints, &EligibleEndpoint::cold);
    // A cold endpoint without keys takes no part of the load.
    double capacity = 0;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      const bool takes_keys = all_cold || !endpoints[i].cold;
      if (takes_keys) targets_.push_back(i);
      if (takes_keys || load_[i] > 0) capacity += endpoints[i].capacity;
    }
    for (const auto& endpoint : endpoints) {
      fair_load_.push_back(sums.back() * endpoint.capacity / capacity);
    }
  }

  std::vector<RangeMove> Plan(std::size_t max_moves) {
    AssignUnownedKeys();
    for (std::size_t i = 0; i < max_moves; ++i) {
      if (!PlanOneMove()) break;
    }
    return std::move(moves_);
  }

 private:
  double Load(const KeyRange& range) const {
    return prefix_sums_[std::size_t{range.last} + 1] -
           prefix_sums_[range.first];
  }

  void AddPieces(const LeaseTable& table) {
    std::uint32_t next = 0;
    const auto fill = [&](std::uint32_t end) {
      if (next < end) {
        pieces_.push_back(
            {{static_cast<ShardKey>(next), static_cast<ShardKey>(end - 1)},
             std::nullopt,
             true});
      }
    };
    for (const RangeLease& lease : table.ranges) {
      fill(lease.range.first);
      next = std::uint32_t{lease.range.last} + 1;
      const auto owner =
          std::ranges::find(endpoints_, lease.owner, &EligibleEndpoint::holder);
      Piece piece{lease.range, std::nullopt, lease.granted};
      if (owner != endpoints_.end()) {
        piece.owner = owner - endpoints_.begin();
        load_[*piece.owner] += Load(lease.range);
      }
      pieces_.push_back(piece);
    }
    fill(kShardKeys);
  }

  double RelativeLoad(std::size_t endpoint) const {
    return load_[endpoint] / std::max(fair_load_[endpoint], 1e-9);
  }

  // Returns the standard deviation of a load of randomly arriving requests.
  // Because the load decays exponentially, its variance is half of its mean.
  static double StandardDeviation(double load) { return std::sqrt(load / 2); }

  // Returns the last key of the longest prefix of the range with at most this
  // load, but at least the first key.
  ShardKey CutAtLoad(const KeyRange& range, double load) const {
    const auto begin = prefix_sums_.begin() + range.first + 1;
    const auto end = prefix_sums_.begin() + range.last + 1;
    const auto cut =
        std::upper_bound(begin, end, prefix_sums_[range.first] + load);
    const auto keys = std::max<std::ptrdiff_t>(1, cut - begin);
    return static_cast<ShardKey>(range.first + keys - 1);
  }

  void AddMove(const KeyRange& range, std::size_t to) {
    load_[to] += Load(range);
    moves_.push_back({range, endpoints_[to].holder});
  }

  std::size_t LeastLoaded() const {
    return *std::ranges::min_element(
        targets_, std::less{},
        [this](std::size_t i) { return RelativeLoad(i); });
  }

  void AssignUnownedKeys() {
    std::vector<Piece> assigned;
    for (const Piece& piece : pieces_) {
      if (piece.owner || !piece.movable) {
        assigned.push_back(piece);
        continue;
      }
      KeyRange rest = piece.range;
      for (bool done = false; !done;) {
        const std::size_t to = LeastLoaded();
        const double headroom = std::max(fair_load_[to] - load_[to], 0.0);
        KeyRange part = rest;
        if (Load(rest) > headroom + kMinPartShare * fair_load_[to]) {
          part.last = CutAtLoad(
              rest, std::max(headroom, kMinPartShare * fair_load_[to]));
        }
        done = part.last == rest.last;
        AddMove(part, to);
        assigned.push_back({part, to, false});
        rest.first = static_cast<ShardKey>(part.last + 1);
      }
    }
    pieces_ = std::move(assigned);
  }

  struct Candidate {
    std::size_t piece = 0;
    KeyRange range;
    double error = 0;
  };

  void ConsiderCandidate(std::size_t index, KeyRange range, double wanted,
                         double limit, std::optional<Candidate>& best) const {
    const double load = Load(range);
    if (load <= 0 || load >= limit) return;
    const double error = std::abs(load - wanted);
    if (!best || error < best->error) best = Candidate{index, range, error};
  }

  // Finds the part of the source's ranges whose load is closest to the wanted
  // load and below the limit.
  std::optional<Candidate> FindPart(std::size_t from, double wanted,
                                    double limit) const {
    const bool may_cut =
        pieces_.size() < kMaxRangesPerEndpoint * endpoints_.size();
    std::optional<Candidate> best;
    for (std::size_t i = 0; i < pieces_.size(); ++i) {
      const Piece& piece = pieces_[i];
      if (piece.owner != from || !piece.movable) continue;
      ConsiderCandidate(i, piece.range, wanted, limit, best);
      if (!may_cut || piece.range.size() < 2 ||
          Load(piece.range) <= wanted * kMaxWholePieceRatio) {
        continue;
      }
      // A hot key changes the load of a part by a large step, so the splits
      // before and after it are both considered.
      const std::uint32_t head = CutAtLoad(piece.range, wanted);
      for (const std::uint32_t last : {head, head + 1}) {
        if (last >= piece.range.last) break;
        ConsiderCandidate(i, {piece.range.first, static_cast<ShardKey>(last)},
                          wanted, limit, best);
      }
      const std::uint32_t tail =
          CutAtLoad(piece.range, Load(piece.range) - wanted);
      for (const std::uint32_t last : {tail, tail + 1}) {
        if (last >= piece.range.last) break;
        ConsiderCandidate(i,
                          {static_cast<ShardKey>(last + 1), piece.range.last},
                          wanted, limit, best);
      }
    }
    // A part that is far smaller than wanted is not worth a move.
    if (best && Load(best->range) < wanted * kMinPartShare) return std::nullopt;
    return best;
  }

  bool PlanOneMove() {
    std::vector<std::size_t> sources(endpoints_.size());
    std::iota(sources.begin(), sources.end(), 0);
    std::ranges::sort(sources, std::greater{},
                      [this](std::size_t i) { return RelativeLoad(i); });
    const std::size_t to = LeastLoaded();
    const bool idle = load_[to] <= 0;
    for (const std::size_t from : sources) {
      if (from == to) break;
      const bool needed =
          load_[from] - fair_load_[from] >
              kMinDeviations * StandardDeviation(fair_load_[from]) &&
          RelativeLoad(from) > kOverloadRatio &&
          RelativeLoad(to) <
              (RelativeLoad(from) > kSevereOverloadRatio ? 1 : kUnderloadRatio);
      if (!needed && !idle) break;
      const double surplus = std::max(load_[from] - fair_load_[from],
                                      idle ? load_[from] / 2 : 0.0);
      const double wanted = std::min(surplus, fair_load_[to] - load_[to]);
      // The target must not end up with a higher relative load than the source
      // had.
      const double limit = RelativeLoad(from) * fair_load_[to] - load_[to];
      const auto part = FindPart(from, wanted, std::min(limit, load_[from]));
      if (!part) continue;
      MovePart(*part, from, to);
      return true;
    }
    return false;
  }

  void MovePart(const Candidate& part, std::size_t from, std::size_t to) {
    const Piece piece = pieces_[part.piece];
    load_[from] -= Load(part.range);
    AddMove(part.range, to);
    std::vector<Piece> parts;
    if (piece.range.first < part.range.first) {
      parts.push_back(
          {{piece.range.first, static_cast<ShardKey>(part.range.first - 1)},
           from,
           true});
    }
    parts.push_back({part.range, to, false});
    if (part.range.last < piece.range.last) {
      parts.push_back(
          {{static_cast<ShardKey>(part.range.last + 1), piece.range.last},
           from,
           true});
    }
    const auto position =
        pieces_.begin() + static_cast<std::ptrdiff_t>(part.piece);
    pieces_.insert(pieces_.erase(position), parts.begin(), parts.end());
  }

  const std::vector<EligibleEndpoint>& endpoints_;
  std::span<const double> prefix_sums_;
  std::vector<Piece> pieces_;
  std::vector<std::size_t> targets_;  // endpoints that may get keys
  std::vector<double> load_;
  std::vector<double> fair_load_;
  std::vector<RangeMove> moves_;
};

}  // namespace

void KeyLoad::Decay(BootTime now) {
  const std::chrono::duration<double> passed = now - decayed_at_;
  const std::chrono::duration<double> half_life = kHalfLife;
  decayed_at_ = now;
  const auto factor = static_cast<float>(std::exp2(-(passed / half_life)));
  std::ranges::for_each(load_, [factor](float& load) { load *= factor; });
}

void KeyLoad::Add(std::span<const ShardKey> keys, BootTime now) {
  if (load_.empty()) {
    load_.assign(kShardKeys, 0);
    decayed_at_ = now;
  }
  if (now - decayed_at_ > kHalfLife / 10) Decay(now);
  std::ranges::for_each(keys, [this](ShardKey key) { load_[key] += 1; });
}

std::vector<double> KeyLoad::PrefixSums(BootTime now) {
  const double baseline = std::max(1.0, Total(now)) * kBaselineShare /
                          static_cast<double>(kShardKeys);
  std::vector<double> sums(kShardKeys + 1, 0);
  for (std::size_t key = 0; key < kShardKeys; ++key) {
    sums[key + 1] = sums[key] + baseline + (load_.empty() ? 0 : load_[key]);
  }
  return sums;
}

double KeyLoad::Total(BootTime now) {
  Decay(now);
  return std::accumulate(load_.begin(), load_.end(), 0.0);
}

std::size_t MaxMovesPerPlan(std::size_t endpoints) {
  return std::max(kMinMovesPerPlan, endpoints / kEndpointsPerMove);
}

std::vector<RangeMove> PlanMoves(const LeaseTable& table,
                                 const std::vector<EligibleEndpoint>& endpoints,
                                 std::span<const double> prefix_sums,
                                 std::size_t max_moves) {
  if (endpoints.empty()) return {};
  return Planner(table, endpoints, prefix_sums).Plan(max_moves);
}

}  // namespace balsamhall::gateway
