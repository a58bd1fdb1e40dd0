#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

#include "gateway/gateway_impl.h"

namespace balsamhall::gateway {
namespace {

// Interval at which a gateway whose state is overdue requests the state of
// other gateways, because configurations and drains still apply to it: for the
// first requests, which go to the likely readers, and for the later ones.
constexpr Milliseconds kFirstPeerRequestInterval{150};
constexpr std::size_t kFirstPeerRequests = 8;
constexpr Milliseconds kPeerRequestInterval{400};
// Maximum age of the state while no reader is followed.
constexpr Milliseconds kMaxStateAgeWithoutReader{500};
// Age of the state at which a gateway that finds no current one reads the store
// itself. An accepted configuration has to be in force, and a draining endpoint
// without new requests, after 2.5 s (the users' limits).
constexpr Milliseconds kDirectReadAge{2'200};
// Interval of single reads while another gateway cannot reach the store, so
// that a fleet without the store does not read everything at its return.
constexpr Milliseconds kProbeInterval{1'000};

}  // namespace

BootTime Gateway::Impl::StateAsOf() const {
  return std::max(proofs_.oldest(), started_);
}

bool Gateway::Impl::StateOverdue(BootTime now) const {
  const bool is_old = now - StateAsOf() > kMaxStateAge;
  if (reads_store_) {
    return store_failures_ > 0 || now - store_response_at_ > kReaderTimeout ||
           (is_old && !store_.IsReceiving(Log::kOperatorConfig));
  }
  const auto client = peer_clients_.find(follow_address_);
  if (client != peer_clients_.end() &&
      client->second->IsReceiving(follow_exchange_)) {
    return false;
  }
  return (is_old && !config_arriving_) ||
         now - source_response_at_ > (without_reader_since_
                                          ? kMaxStateAgeWithoutReader
                                          : kReaderTimeout);
}

bool Gateway::Impl::IsCurrent(const PeerState& state, BootTime sent) const {
  if (state.store_era < store_.era()) return false;
  const BootTime now = BootClock::now();
  const auto is_current = [&](const std::optional<ProofAge>& age) {
    return now - ProofFrom(age.value_or(ProofAge{}), sent, now).as_of <=
           kMaxStateAge;
  };
  return is_current(state.config_age) && is_current(state.registry_age);
}

// The gateways that are likely to read the store come first, of these the
// nearest ones. The one that answered last comes before all others.
std::vector<GatewayInstance> Gateway::Impl::PeersToAsk() const {
  struct Candidate {
    bool answered_last;
    std::size_t place;  // among the gateways of its data centre
    Distance distance;
    GatewayInstance gateway;
  };
  std::map<std::string, std::vector<GatewayInstance>> by_data_centre;
  for (const GatewayInstance& gateway : gateways_ | std::views::values) {
    if (gateway.id == self_.id) continue;
    by_data_centre[gateway.data_centre].push_back(gateway);
  }
  std::vector<Candidate> candidates;
  for (auto& [data_centre, gateways] : by_data_centre) {
    std::ranges::sort(gateways, ReadsBefore);
    const Distance distance = settings_.DistanceTo(data_centre);
    for (std::size_t place = 0; place < gateways.size(); ++place) {
      candidates.push_back({gateways[place].id == last_source_, place, distance,
                            gateways[place]});
    }
  }
  std::ranges::stable_sort(candidates, {}, [](const Candidate& candidate) {
    return std::tuple(!candidate.answered_last, candidate.place,
                      candidate.distance);
  });
  std::vector<GatewayInstance> peers;
  std::ranges::transform(candidates, std::back_inserter(peers),
                         &Candidate::gateway);
  return peers;
}

void Gateway::Impl::WatchState(BootTime now) {
  if (stopping_ || !StateOverdue(now)) {
    peer_search_ = {};
    return;
  }
  if (!std::exchange(peer_search_.logged, true)) {
    LogInfo("state_overdue",
            {{"reader", reader_},
             {"reads_store", reads_store_ ? "true" : "false"},
             {"config_age", FormatAge(proofs_.Of(Log::kOperatorConfig), now)},
             {"endpoints_age",
              FormatAge(proofs_.Of(Log::kEndpointRegistry), now)}});
  }
  if (now >= peer_search_.next_request) RequestNextPeerState(now);
  if (reads_store_ || !gateways_known_ || now - StateAsOf() < kDirectReadAge) {
    return;
  }
  if (peer_search_.store_away) {
    ProbeStore(now);
  } else {
    ReadDirectly("no gateway has a current state");
  }
}

void Gateway::Impl::ProbeStore(BootTime now) {
  if (now < next_store_probe_) return;
  next_store_probe_ = now + kProbeInterval;
  // Together with the word of another gateway, which led to the probe, one
  // failure is enough.
  config_follower_->ReadNow(
      ConfigReadOffset(), [this](const std::string& detail, BootTime sent) {
        if (reads_store_ || sent < store_response_at_) return;
        LogInfo("store_probe_failed", {{"detail", detail}});
        registry_.OnStoreLost();
      });
}

void Gateway::Impl::OnStoreAnswers() {
  const BootTime now = BootClock::now();
  if (!reads_store_ && gateways_known_ && StateOverdue(now) &&
      now - StateAsOf() >= kDirectReadAge) {
    ReadDirectly("the store answers");
  }
}

void Gateway::Impl::RequestNextPeerState(BootTime now) {
  const auto peers = PeersToAsk();
  if (peers.empty()) return;
  RequestPeerState(peers[peer_search_.requests % peers.size()]);
  ++peer_search_.requests;
  peer_search_.next_request = now + (peer_search_.requests < kFirstPeerRequests
                                         ? kFirstPeerRequestInterval
                                         : kPeerRequestInterval);
}

void Gateway::Impl::RequestPeerState(const GatewayInstance& peer) {
  if (!asked_peers_.insert(peer.id).second) return;
  HttpClient& client = ClientOf(peer_clients_, peer.address);
  const BootTime as_of = BootClock::now();
  const auto done = [this, peer, as_of](const HttpClient::Outcome& outcome) {
    asked_peers_.erase(peer.id);
    OnPeerState(peer, outcome, as_of);
  };
  // The reader may be well, and only the connections to it silent.
  if (peer.address == follow_address_) {
    client.SendOnNew(MakePeerStateRequest(false), kPeerTimeout, done);
  } else {
    client.Send(MakePeerStateRequest(false), kPeerTimeout, done);
  }
}

void Gateway::Impl::OnPeerState(const GatewayInstance& peer,
                                const HttpClient::Outcome& outcome,
                                BootTime as_of) {
  if (!outcome.response || outcome.response->status != 200) return;
  auto state = ParsePeerState(outcome.response->body);
  if (!state) {
    return LogEvent(EventLevel::kError, "peer_state_rejected",
                    static_cast<unsigned>(state.error().code),
                    {{"peer", peer.id}, {"detail", state.error().detail}});
  }
  if (!state.value().store_reachable) {
    if (state.value().reader.empty()) peer_search_.store_away = true;
    return;
  }
  if (IsCurrent(state.value(), as_of)) {
    last_source_ = peer.id;
    last_source_asked_at_ = as_of;
    avoided_readers_.erase(peer.id);
    source_response_at_ = std::max(source_response_at_, as_of);
  }
  ApplyPeerState(std::move(state.value()), as_of);
}

}  // namespace balsamhall::gateway
