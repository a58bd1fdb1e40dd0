#include "load/load_plan.h"

#include <algorithm>
#include <limits>

namespace balsamhall {
namespace {

constexpr double kMicrosPerMs = 1000;
constexpr double kMicrosPerSecond = 1e6;

// Mixes a number into a well-spread one (the finalizer of SplitMix64).
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

}  // namespace

LoadPlan::LoadPlan(const schema::LoadScenario& scenario)
    : scenario_(scenario), random_(scenario.seed()) {
  streams_.reserve(scenario.kinds_size());
  for (const auto& kind : scenario_.kinds()) {
    streams_.push_back({ZipfSampler(kind.keys(), kind.zipf_exponent()), 0});
    streams_.back().next_us = Advance(kind, 0);
  }
}

// Returns the next arrival after a time. Arrivals have no memory, so the draw
// starts anew where the rate changes.
double LoadPlan::Advance(const schema::LoadKind& kind, double from_us) {
  const double begin = kind.flood().start_ms() * kMicrosPerMs;
  const double end = begin + kind.flood().duration_ms() * kMicrosPerMs;
  const bool flood = kind.has_flood();
  while (true) {
    const bool inside = flood && from_us >= begin && from_us < end;
    const double rate = kind.rate() * (inside ? kind.flood().factor() : 1);
    const double change = !flood || from_us >= end
                              ? std::numeric_limits<double>::infinity()
                          : inside ? end
                                   : begin;
    std::exponential_distribution<double> gap(rate / kMicrosPerSecond);
    const double next = from_us + gap(random_);
    if (next < change) return next;
    from_us = change;
  }
}

std::string LoadPlan::DrawKey(std::uint32_t index, double at_us) {
  const schema::LoadKind& kind = scenario_.kinds(static_cast<int>(index));
  std::uint64_t key = streams_[index].keys.Draw(random_);
  if (kind.has_hot_set()) {
    const auto& hot = kind.hot_set();
    std::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(random_) < hot.share()) {
      const auto round = static_cast<std::uint64_t>(
          at_us / (hot.interval_ms() * kMicrosPerMs));
      const std::uint64_t member = random_() % hot.keys();
      key = Mix(Mix(scenario_.seed() + round) + member) % kind.keys() + 1;
    }
  }
  // Kinds of one service share their keys.
  return kind.service() + "-" + std::to_string(key);
}

std::optional<PlannedRequest> LoadPlan::Next() {
  const auto next = std::ranges::min_element(streams_, {}, &Stream::next_us);
  const double at_us = next->next_us;
  if (at_us >= scenario_.duration_ms() * kMicrosPerMs) return std::nullopt;
  const auto index = static_cast<std::uint32_t>(next - streams_.begin());
  next->next_us = Advance(scenario_.kinds(static_cast<int>(index)), at_us);
  PlannedRequest request{Microseconds(static_cast<std::int64_t>(at_us)), index,
                         DrawKey(index, at_us), std::nullopt};
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(random_) < scenario_.repeat_share()) {
    request.repeat_after = Microseconds(static_cast<std::int64_t>(
        uniform(random_) * scenario_.repeat_delay_ms() * kMicrosPerMs));
  }
  return request;
}

}  // namespace balsamhall
