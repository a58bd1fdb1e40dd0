#include "gateway/cold_start.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <string_view>
#include <tuple>
#include <utility>

#include "core/rendezvous.h"

namespace balsamhall::gateway {
namespace {

// Bounds memory: far more endpoints than a service has at a time.
constexpr std::size_t kMaxEndpoints = 4'000;
// Lists that differ and count at the same time. If a fleet changes more often,
// this gateway uses no share until the older ones have settled.
constexpr std::size_t kMaxLists = 32;
// Far above any bound; keeps conversions within range.
constexpr double kMaxBound = 1'000'000;

}  // namespace

unsigned ColdStartBudget(double bound) {
  if (!(bound >= 1)) return 0;
  const auto whole = static_cast<unsigned>(std::min(bound, kMaxBound));
  return std::max(1U, whole / 2);
}

bool InRampShare(const EndpointId& endpoint, std::uint64_t job,
                 std::size_t endpoints, SteadyTime::duration warm_for) {
  const std::chrono::duration<double> passed = warm_for;
  const std::chrono::duration<double> ramp = kRampTime;
  const double share =
      std::pow(static_cast<double>(std::max<std::size_t>(1, endpoints)),
               std::min(passed / ramp, 1.0) - 1);
  const auto score =
      static_cast<double>(RendezvousScore(endpoint, std::to_string(job)));
  return score <= share * static_cast<double>(~std::uint64_t{0});
}

void ColdStartGateways::SetList(std::vector<GatewayPlace> gateways,
                                SteadyTime as_of, SteadyTime now) {
  std::ranges::sort(gateways);
  as_of_ = as_of;
  std::erase_if(lists_, [now](const List& list) {
    return list.replaced_at < now - kSettleTime;
  });
  if (!lists_.empty() && lists_.back().gateways == gateways) return;
  if (!lists_.empty()) lists_.back().replaced_at = now;
  if (lists_.size() >= kMaxLists) {
    // An empty list designates no gateway.
    lists_.erase(lists_.begin());
    lists_.back().gateways.clear();
    lists_.back().positions.clear();
  }
  lists_.push_back({std::move(gateways), SteadyTime::max(), {}});
}

std::size_t ColdStartGateways::PositionIn(
    const List& list, const EndpointId& endpoint,
    const std::string& data_centre) const {
  const auto known = list.positions.find(endpoint);
  if (known != list.positions.end() &&
      known->second.data_centre == data_centre) {
    return known->second.value;
  }
  if (list.positions.size() >= kMaxEndpoints) list.positions.clear();
  // Within a data centre as in RendezvousOrder().
  using Order = std::tuple<bool, std::uint64_t, std::string_view>;
  const auto order = [&](const GatewayPlace& gateway) -> Order {
    const bool elsewhere = gateway.data_centre != data_centre;
    const std::uint64_t score = RendezvousScore(endpoint, gateway.id);
    return {elsewhere, ~score, gateway.id};
  };
  const auto self = std::ranges::find(list.gateways, self_, &GatewayPlace::id);
  std::size_t position = list.gateways.size();
  if (self != list.gateways.end()) {
    const auto own = order(*self);
    position = static_cast<std::size_t>(std::ranges::count_if(
        list.gateways,
        [&](const GatewayPlace& gateway) { return order(gateway) < own; }));
  }
  list.positions[endpoint] = {data_centre, position};
  return position;
}

unsigned ColdStartGateways::Share(const EndpointId& endpoint,
                                  const std::string& data_centre,
                                  unsigned budget, SteadyTime now) const {
  if (lists_.empty() || now - as_of_ > kMaxListAge) return 0;
  unsigned share = budget;
  for (const List& list : lists_) {
    if (list.replaced_at != SteadyTime::max() &&
        now - list.replaced_at > kSettleTime) {
      continue;
    }
    const auto designated = static_cast<unsigned>(
        std::min<std::size_t>(list.gateways.size(), budget));
    if (PositionIn(list, endpoint, data_centre) >= designated) return 0;
    share = std::min(share, budget / designated);
  }
  return share;
}

void ColdStart::End(Send& send, SteadyTime now) {
  send.in_flight = false;
  send.cancelled = false;
  // The endpoint has got the request by now, but perhaps only just.
  if (now > send.counts_until) send.counts_until = now + kWindow;
}

void ColdStart::RemoveExpired(std::vector<Send>& sends, SteadyTime now) {
  for (Send& send : sends) {
    if (send.cancelled) End(send, now);
  }
  std::erase_if(sends, [now](const Send& send) {
    return !send.in_flight && send.counts_until <= now;
  });
}

std::optional<Milliseconds> ColdStart::Wait(const EndpointId& endpoint,
                                            const std::string& data_centre,
                                            std::size_t ahead, SteadyTime now) {
  if (!limited()) return Milliseconds(0);
  const std::size_t share = Share(endpoint, data_centre, now);
  if (share == 0) return std::nullopt;
  std::vector<SteadyTime> ends;
  if (const auto found = sends_.find(endpoint); found != sends_.end()) {
    RemoveExpired(found->second, now);
    // One that should have had an outcome is assumed to get it now.
    std::ranges::transform(
        found->second, std::back_inserter(ends), [now](const Send& send) {
          return send.counts_until > now ? send.counts_until : now + kWindow;
        });
  }
  std::ranges::sort(ends);
  const std::size_t before = ends.size() + ahead;
  if (before < share) return Milliseconds(0);
  // The requests ahead take the places that come free first, and each keeps
  // its place for the window.
  const std::size_t excess = before - share;
  Milliseconds wait{0};
  if (!ends.empty()) {
    const auto end = ends[std::min(excess, ends.size() - 1)];
    wait = std::chrono::ceil<Milliseconds>(end - now);
  }
  const std::size_t rounds =
      excess < ends.size() ? 0 : (excess - ends.size()) / share + 1;
  return wait + kWindow * static_cast<std::int64_t>(rounds);
}

void ColdStart::OnSent(const EndpointId& endpoint, std::uint64_t job,
                       SteadyTime now) {
  if (!limited()) return;
  if (sends_.size() >= kMaxEndpoints) {
    for (std::vector<Send>& sends : sends_ | std::views::values) {
      RemoveExpired(sends, now);
    }
    std::erase_if(sends_,
                  [](const auto& entry) { return entry.second.empty(); });
  }
  std::vector<Send>& sends = sends_[endpoint];
  RemoveExpired(sends, now);
  sends.push_back({job, now + kWindow});
}

void ColdStart::OnOutcome(const EndpointId& endpoint, std::uint64_t job,
                          SteadyTime now) {
  const auto found = sends_.find(endpoint);
  if (found == sends_.end()) return;
  for (Send& send : found->second) {
    if (send.job == job && send.in_flight && !send.cancelled) End(send, now);
  }
  RemoveExpired(found->second, now);
}

void ColdStart::OnCancelled(const EndpointId& endpoint, std::uint64_t job) {
  const auto found = sends_.find(endpoint);
  if (found == sends_.end()) return;
  for (Send& send : found->second) {
    if (send.job == job && send.in_flight) send.cancelled = true;
  }
}

}  // namespace balsamhall::gateway
