#include <algorithm>
#include <charconv>
#include <ranges>

#include "gateway/gateway_impl.h"

namespace balsamhall::gateway {
namespace {

// A gateway that the store does not answer asks another one. Configurations
// and drains bind it even so.
constexpr Milliseconds kAskPeerInterval{400};
// Calls to the store are priced, bytes within a data centre are not: one
// gateway of each data centre reads, the others follow it by questions that it
// holds until it has something new.
constexpr Milliseconds kHoldQuestion{1'000};
constexpr Milliseconds kFollowPause{80};
constexpr Milliseconds kNoReaderPause{1'000};
// How long a starting gateway waits for the one that reads the store for it.
constexpr Milliseconds kStartPatience{1'200};
// A reader that did not answer is not followed for this time.
constexpr Milliseconds kAvoidReader{5'000};
constexpr Milliseconds kEndpointConnectTimeout{250};

std::vector<ShardKey> DecodeKeys(std::string_view bytes) {
  std::vector<ShardKey> keys;
  for (std::size_t i = 0; i + 1 < bytes.size(); i += 2) {
    keys.push_back(
        static_cast<ShardKey>(static_cast<unsigned char>(bytes[i]) << 8U |
                              static_cast<unsigned char>(bytes[i + 1])));
  }
  return keys;
}

}  // namespace

std::optional<std::uint64_t> ParseWhole(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

HttpClient& Gateway::Impl::ClientOf(
    std::map<std::string, std::unique_ptr<HttpClient>>& pool,
    const std::string& address) {
  auto& client = pool[address];
  if (!client) {
    HttpClientOptions options;
    options.connect_timeout = kEndpointConnectTimeout;
    client = std::make_unique<HttpClient>(loop_, address, options);
  }
  return *client;
}

std::optional<std::string> Gateway::Impl::NextPeer() {
  if (routers_.empty()) return std::nullopt;
  // Another one after each question: the last may be cut off as well.
  auto next = routers_.upper_bound(asked_peer_);
  if (next == routers_.end()) next = routers_.begin();
  if (next->first == self_.id && ++next == routers_.end()) {
    next = routers_.begin();
  }
  if (next->first == self_.id) return std::nullopt;
  asked_peer_ = next->first;
  return next->second.address;
}

// Asks one gateway after the other until the store answers again.
void Gateway::Impl::AskPeer() {
  if (asking_ || stopping_) return;
  const auto address = NextPeer();
  if (!address) return;
  asking_ = true;
  const BootTime as_of = BootClock::now();
  ClientOf(peer_clients_, *address)
      .Send({"GET", FormatPeerStateRequest(OwnQuestion(false)), {}, "", 0},
            kPeerTimeout, [this, as_of](const HttpClient::Outcome& outcome) {
              if (outcome.response && outcome.response->status == 200) {
                auto state = ParsePeerState(outcome.response->body);
                if (state) {
                  TakePeerState(std::move(state.value()), as_of);
                } else {
                  LogEvent(EventLevel::kError, "peer_state_rejected",
                           static_cast<unsigned>(state.error().code),
                           {{"peer", asked_peer_},
                            {"detail", state.error().detail}});
                }
              }
              Every(ask_timer_, kAskPeerInterval, [this] {
                asking_ = false;
                if (store_failures_ > 0) AskPeer();
              });
            });
}

void Gateway::Impl::TakePeerState(PeerState state, BootTime as_of) {
  if (!state.store_reachable) return;
  if (!state.config.empty()) TakeConfig(state.config);
  if (state.endpoints && state.registry_offset >= registry_offset_) {
    registry_offset_ = state.registry_offset;
    OnRegistryChanges(registry_.OnListing(
        *state.endpoints, std::chrono::steady_clock::now(), true));
  }
  for (LeaseTable& table : state.tables) TakeTable(std::move(table), "peer");
  for (auto& keeper : keepers_ | std::views::values) {
    keeper->OnLogEnd(state.leases_end, as_of - state.leases_age);
  }
}

PeerStateRequest Gateway::Impl::OwnQuestion(bool hold) const {
  PeerStateRequest question;
  question.config_version = routes_ ? routes_->config().version : 0;
  // 0 asks for any listing, also for an empty one.
  question.endpoints_digest =
      registry_.loaded() ? EndpointsDigest(registry_.endpoints()) : 0;
  for (const auto& keeper : keepers_ | std::views::values) {
    question.leases_end =
        std::max(question.leases_end, keeper->table().version);
  }
  question.long_poll = hold;
  return question;
}

// All gateways of a data centre prefer the same one; the mover and those that
// find nobody better read for themselves.
std::optional<GatewayInstance> Gateway::Impl::ReaderToFollow() const {
  if (on_duty_ || stopping_) return std::nullopt;
  const BootTime now = BootClock::now();
  const GatewayInstance* best = &self_;
  for (const GatewayInstance& router : routers_ | std::views::values) {
    const auto avoided = avoided_readers_.find(router.id);
    const bool usable =
        router.data_centre == self_.data_centre &&
        (avoided == avoided_readers_.end() || avoided->second <= now);
    if (usable && router.id < best->id) best = &router;
  }
  if (best->id == self_.id) return std::nullopt;
  return *best;
}

void Gateway::Impl::Follow() {
  const auto reader = ReaderToFollow();
  if (!reader) {
    ReadDirectly("no reader");
    return Every(follow_timer_, kNoReaderPause, [this] { Follow(); });
  }
  const BootTime as_of = BootClock::now();
  ClientOf(peer_clients_, reader->address)
      .Send(
          {"GET", FormatPeerStateRequest(OwnQuestion(true)), {}, "", 0},
          kHoldQuestion + kPeerTimeout,
          [this, reader = *reader, as_of](const HttpClient::Outcome& outcome) {
            OnFollowed(reader, outcome, as_of);
          });
}

void Gateway::Impl::OnFollowed(const GatewayInstance& reader,
                               const HttpClient::Outcome& outcome,
                               BootTime as_of) {
  auto state = outcome.response && outcome.response->status == 200
                   ? ParsePeerState(outcome.response->body)
                   : Result<PeerState>(Error{ResultCode::kPeerUnreachable,
                                             outcome.error.detail});
  if (!state || !state.value().store_reachable || stopping_) {
    // Gateways that start together are not all up at once.
    const bool starting = !reads_store_ && reader_.empty() && !stopping_ &&
                          BootClock::now() - started_ < kStartPatience;
    if (starting) {
      return Every(follow_timer_, kFollowPause, [this] { Follow(); });
    }
    avoided_readers_[reader.id] = BootClock::now() + kAvoidReader;
    ReadDirectly(state ? "reader without store" : state.error().detail);
    return Every(follow_timer_, kFollowPause, [this] { Follow(); });
  }
  OnStoreAnswer(true, "");
  TakePeerState(std::move(state.value()), as_of);
  if (!on_duty_ && std::exchange(reader_, reader.id) != reader.id) {
    LogState("following", {{"reader", reader.id}});
    reads_store_ = false;
    for (const auto* follower :
         {&config_follower_, &registry_follower_, &leases_follower_}) {
      (*follower)->Pause();
    }
  }
  Every(follow_timer_, kFollowPause, [this] { Follow(); });
}

void Gateway::Impl::ReadDirectly(std::string_view reason) {
  if (std::exchange(reads_store_, true)) return;
  LogState("reading_directly",
           {{"before", reader_}, {"reason", std::string(reason)}});
  reader_.clear();
  config_follower_->Resume();
  registry_follower_->Resume(registry_offset_);
  leases_follower_->Resume();
}

// all: also those whose time is not over. While nothing is known yet, only the
// end of the time ends the wait.
void Gateway::Impl::AnswerHeldQuestions(bool all) {
  const bool known = registry_.loaded() && routes_ != nullptr;
  const BootTime now = BootClock::now();
  for (HeldQuestion& held : std::exchange(held_questions_, {})) {
    if ((all && (known || store_failures_ > 0)) || held.until <= now) {
      held.respond(AnswerPeer(held.question));
    } else {
      held_questions_.push_back(std::move(held));
    }
  }
}

HttpResponse Gateway::Impl::AnswerPeer(const PeerStateRequest& question) {
  PeerState state;
  // What was learned from a third gateway is not passed on.
  state.store_reachable =
      store_failures_ == 0 && registry_.loaded() && reads_store_;
  if (routes_ && routes_->config().version > question.config_version) {
    state.config = config_text_;
  }
  state.registry_offset = registry_offset_;
  if (EndpointsDigest(registry_.endpoints()) != question.endpoints_digest) {
    state.endpoints = registry_.endpoints();
  }
  BootTime confirmed = BootClock::now();
  for (const auto& keeper : keepers_ | std::views::values) {
    state.leases_end = std::max(state.leases_end, keeper->log_end());
    confirmed = std::min(confirmed, keeper->confirmed_at());
    if (keeper->table().version > question.leases_end) {
      state.tables.push_back(keeper->table());
    }
  }
  state.leases_age =
      std::chrono::duration_cast<Milliseconds>(BootClock::now() - confirmed) +
      Milliseconds(1);
  return {200, {}, SerializePeerState(state)};
}

HttpResponse Gateway::Impl::OnPeerTable(const std::string& service,
                                        std::uint64_t version,
                                        const std::string& body) {
  auto table = ParseLeaseTable(body);
  if (!table) return {400, {}, table.error().detail};
  table.value().service = service;
  table.value().version = version;
  TakeTable(std::move(table.value()), "mover");
  LeaseKeeper& keeper = Keeper(service);
  if (keeper.table().version < version) return {409, {}, ""};
  return {200,
          {{kSinceRenewal,
            std::to_string(keeper.SinceRenewal(BootClock::now()).count())}},
          ""};
}

void Gateway::Impl::OnPeerRequest(const HttpRequest& request,
                                  const HttpServer::Respond& respond) {
  if (const auto question = ParsePeerStateRequest(request.target)) {
    const bool known = registry_.loaded() && routes_ != nullptr;
    const bool news =
        store_failures_ > 0 || !reader_.empty() ||
        (known &&
         OwnQuestion(false) != PeerStateRequest{question->config_version,
                                                question->endpoints_digest,
                                                question->leases_end, false});
    if (!question->long_poll || news) return respond(AnswerPeer(*question));
    held_questions_.push_back(
        {*question, respond, BootClock::now() + kHoldQuestion});
    return;
  }
  std::vector<std::string> parts;
  for (const auto part : std::views::split(request.target, '/')) {
    parts.emplace_back(part.begin(), part.end());
  }
  if (parts.size() == 4 && parts[1] == "table") {
    const auto version = ParseWhole(parts[3]);
    if (version) return respond(OnPeerTable(parts[2], *version, request.body));
  }
  if (parts.size() == 3 && parts[1] == "load" && DividedByKey(parts[2])) {
    const BootTime now = BootClock::now();
    Keeper(parts[2]).load().Add(DecodeKeys(request.body), now);
    return respond({204, {}, ""});
  }
  respond({404, {}, ""});
}

}  // namespace balsamhall::gateway
