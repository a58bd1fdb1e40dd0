#include "gateway/endpoint_speeds.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>
#include <optional>
#include <ranges>

namespace balsamhall::gateway {
namespace {

// Speeds from another program are taken only within these bounds.
constexpr double kMinSpeed = 0.1;
constexpr double kMaxSpeed = 10;
constexpr unsigned kMaxSamples = 10'000;
// Endpoints change their speed within seconds when they warm up or fail.
constexpr Milliseconds kHalfLife{6'000};
// Weight of the assumption that an endpoint is as fast as the others: about as
// many samples show a speed against the variation of service times.
constexpr double kPriorWeight = 4;
// Bounds the header and the memory.
constexpr std::size_t kMaxReportBytes = 4'000;
constexpr std::size_t kMaxEntries = 10'000;

double Decay(BootTime::duration age) {
  const std::chrono::duration<double> half_life = kHalfLife;
  return std::exp2(-(std::chrono::duration<double>(age) / half_life));
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

}  // namespace

void SpeedSamples::Add(double speed) {
  ++count;
  mean += (speed - mean) / count;
}

// One entry is "ID INCARNATION COUNT MEAN"; commas separate entries. Ids are
// visible ASCII, but may have commas: such an endpoint is left out.
std::string FormatSpeedReport(const SpeedReport& report) {
  std::string text;
  for (const auto& [endpoint, samples] : report) {
    if (endpoint.id.find(',') != std::string::npos) continue;
    std::string entry =
        endpoint.id + " " + std::to_string(endpoint.incarnation) + " " +
        std::to_string(samples.count) + " " + std::to_string(samples.mean);
    if (text.size() + entry.size() + 1 > kMaxReportBytes) break;
    if (!text.empty()) text += ",";
    text += entry;
  }
  return text;
}

SpeedReport ParseSpeedReport(std::string_view text) {
  SpeedReport report;
  for (const auto part : std::views::split(text, ',')) {
    std::array<std::string_view, 4> fields;
    std::size_t count = 0;
    for (const auto field : std::views::split(part, ' ')) {
      if (count < fields.size()) {
        fields.at(count) = std::string_view(field.begin(), field.end());
      }
      ++count;
    }
    if (count != fields.size() || fields[0].empty()) continue;
    const auto incarnation = ParseNumber<std::int64_t>(fields[1]);
    const auto samples = ParseNumber<unsigned>(fields[2]);
    const auto mean = ParseNumber<double>(fields[3]);
    if (!incarnation || *incarnation < 0 || !samples || *samples == 0 ||
        *samples > kMaxSamples || !mean || !std::isfinite(*mean)) {
      continue;
    }
    report[{std::string(fields[0]), *incarnation}] = {
        *samples, std::clamp(*mean, kMinSpeed, kMaxSpeed)};
  }
  return report;
}

void EndpointSpeeds::Add(const SpeedReport& report, BootTime now) {
  for (const auto& [endpoint, samples] : report) {
    Entry& entry = entries_[endpoint];
    entry.weight = entry.weight * Decay(now - entry.updated_at) + samples.count;
    entry.speed += (samples.mean - entry.speed) * samples.count / entry.weight;
    entry.updated_at = now;
  }
  if (entries_.size() <= kMaxEntries) return;
  std::erase_if(entries_, [now](const auto& entry) {
    return Decay(now - entry.second.updated_at) < 0.01;
  });
  while (entries_.size() > kMaxEntries) entries_.erase(entries_.begin());
}

double EndpointSpeeds::MeanSpeed() const {
  const auto entries = entries_ | std::views::values;
  if (entries.empty()) return 1;
  const double sum = std::accumulate(
      entries.begin(), entries.end(), 0.0,
      [](double total, const Entry& entry) { return total + entry.speed; });
  return sum / static_cast<double>(entries_.size());
}

double EndpointSpeeds::Speed(const EndpointRef& endpoint, BootTime now) const {
  const auto found = entries_.find(endpoint);
  if (found == entries_.end()) return 1;
  const Entry& entry = found->second;
  const double weight = entry.weight * Decay(now - entry.updated_at);
  return (weight * entry.speed / MeanSpeed() + kPriorWeight) /
         (weight + kPriorWeight);
}

}  // namespace balsamhall::gateway
