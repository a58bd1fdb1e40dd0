#include <algorithm>
#include <charconv>
#include <ranges>
#include <utility>

#include "gateway/gateway_impl.h"

namespace balsamhall::gateway {
namespace {

// Pause between two long polls, and before the next search for a reader.
constexpr Milliseconds kFollowPause{80};
constexpr Milliseconds kNoReaderPause{1'000};
// How long a starting gateway takes an unresponsive reader for one that starts
// as well.
constexpr Milliseconds kReaderStartTimeout{1'200};
// A reader that did not respond, or cannot reach the store, is not followed for
// this time.
constexpr Milliseconds kAvoidReaderTime{5'000};
// Without a reader, the store counts as unreachable after this time.
constexpr Milliseconds kReaderLostTime{700};
// If a reader is lost, the next gateway in their order takes over, and the
// others wait for it. One that has waited for this time, and for the stagger
// times its place in the order, reads the store itself: if all did so at once,
// a large configuration would fill the link that they share.
constexpr Milliseconds kTakeoverTime{1'500};
constexpr Milliseconds kDirectReadStagger{500};
// An accepted configuration has to be in force soon after this time.
constexpr Milliseconds kMaxWithoutReader{3'000};
// Time without any further bytes after which a response that is late is given
// up. A configuration takes long on a slow link, and would start anew.
constexpr Milliseconds kProgressInterval{400};
constexpr Milliseconds kMaxReadingBeyond{2'000};
// Difference between the ages of two gateways' states from which on a long poll
// is responded to although nothing has changed.
constexpr Milliseconds kMinAgeGain{500};
// Time after an endpoint has turned cold in which every response has the
// endpoints: above the longest time between two responses to a gateway.
constexpr Milliseconds kColdNoticeTime{1'500};
constexpr Milliseconds kConnectTimeout{250};
// Age of leases that were never read: far above LeaseKeeper::kMaxViewAge. The
// time since the VM started would not do, because it may be short.
constexpr Milliseconds kNeverConfirmedAge{std::chrono::hours(24)};

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

bool ReadsBefore(const GatewayInstance& a, const GatewayInstance& b) {
  return a.link_mbps > b.link_mbps ||
         (a.link_mbps == b.link_mbps && a.id < b.id);
}

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
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
    options.connect_timeout = kConnectTimeout;
    options.progress_interval = kProgressInterval;
    options.max_reading_beyond = kMaxReadingBeyond;
    client = std::make_unique<HttpClient>(loop_, address, options);
  }
  return *client;
}

void Gateway::Impl::ApplyPeerState(PeerState state, BootTime sent) {
  if (!state.store_reachable) return;
  // What a gateway has of an earlier era may be lost; one that is out of range
  // cannot be ordered.
  const EraVerdict verdict = store_.Observe(state.store_era);
  if (verdict != EraVerdict::kCurrent && verdict != EraVerdict::kNew) return;
  // Gateways of earlier versions state no age: what they have counts as new.
  const BootTime now = BootClock::now();
  const LogProof config =
      ProofFrom(state.config_age.value_or(ProofAge{}), sent, now);
  // First, as in OnConfigPage.
  const bool evacuations_changed =
      HasEvacuations() && state.evacuations &&
      ApplyEvacuations(evacuations_.OnPeerSet(*state.evacuations, config.as_of),
                       "peer");
  if (ApplyPeerConfig(state, config)) {
    proofs_.Extend(Log::kOperatorConfig, config);
  }
  const LogProof registry =
      ProofFrom(state.registry_age.value_or(ProofAge{}), sent, now);
  using ShownBy = EndpointRegistry::ShownBy;
  registry_.OnLogShown(
      registry.as_of,
      state.removals_deferred ? ShownBy::kGatewayInGrace : ShownBy::kGateway,
      std::chrono::steady_clock::now());
  proofs_.Extend(Log::kEndpointRegistry, registry);
  // Positions of an era that the gateway does not claim to know are malformed.
  const auto of_known_era = [this](std::uint64_t position) {
    return store_.era() == 0 || EraOf(position) <= store_.era();
  };
  if (state.endpoints && state.registry_offset >= registry_position_.value() &&
      of_known_era(state.registry_offset)) {
    registry_position_.Set(state.registry_offset, now);
    OnRegistryChanges(
        registry_.OnListing(*state.endpoints, std::chrono::steady_clock::now()),
        "peer");
  }
  for (LeaseTable& table : state.tables) {
    if (of_known_era(table.version)) AdoptTable(std::move(table), "peer");
  }
  if (!of_known_era(state.leases_end)) return;
  for (auto& keeper : keepers_ | std::views::values) {
    keeper->OnEra(EraOf(state.leases_end), now);
    keeper->OnLogEnd(state.leases_end, sent - state.leases_age);
  }
  RespondToLongPolls(evacuations_changed);
}

bool Gateway::Impl::ApplyPeerConfig(const PeerState& state,
                                    const LogProof& proof) {
  if (state.config_patch) {
    auto text = configs_.Apply(*state.config_patch);
    if (!text) {
      accepts_patches_ = false;
      LogEvent(EventLevel::kError, "config_patch_rejected",
               static_cast<unsigned>(text.error().code),
               {{"detail", text.error().detail}});
      return false;
    }
    if (!ApplyConfig(text.value(), {"patch", proof})) return false;
  } else if (!state.config.empty()) {
    if (!ApplyConfig(state.config, {"peer", proof})) return false;
  }
  config_offset_ = std::max(config_offset_, state.config_offset);
  return true;
}

HttpRequest Gateway::Impl::MakePeerStateRequest(bool long_poll) const {
  HttpRequest request{
      "GET", FormatPeerStateRequest(MakePeerStateQuery(long_poll)), {}, "", 0};
  if (accepts_patches_) request.headers.emplace_back(kAcceptPatchHeader, "1");
  request.headers.emplace_back(
      kStateAgeHeader, std::to_string(std::chrono::ceil<Milliseconds>(
                                          BootClock::now() - StateAsOf())
                                          .count()));
  if (HasEvacuations()) {
    const auto known = evacuations_.known();
    request.headers.emplace_back(
        kEvacuationsHeader,
        std::to_string(known ? EvacuationsDigest(known->data_centres) : 0));
  }
  return request;
}

std::uint64_t Gateway::Impl::LeasesEnd() const {
  std::uint64_t end = 0;
  for (const auto& keeper : keepers_ | std::views::values) {
    end = std::max(end, keeper->log_end());
  }
  return end;
}

std::uint64_t Gateway::Impl::CurrentEndpointsDigest() const {
  const auto now = std::chrono::steady_clock::now();
  std::set<EndpointId> cold;
  std::map<EndpointId, EndpointInfo> listed;
  if (registry_.DefersAny()) listed = registry_.Listed();
  const auto& endpoints =
      registry_.DefersAny() ? listed : registry_.endpoints();
  for (const auto& [id, endpoint] : endpoints) {
    if (forwarder_.LimitsColdEndpoints(endpoint.service) &&
        registry_.WarmUpLeft(id, now) > Milliseconds(0)) {
      cold.insert(id);
    }
  }
  return EndpointsDigest(endpoints, cold);
}

PeerStateRequest Gateway::Impl::MakePeerStateQuery(bool long_poll) const {
  PeerStateRequest query;
  query.config_version = routes_ ? routes_->config().version : 0;
  // 0 requests any listing, even an empty one.
  query.endpoints_digest = registry_.loaded() ? CurrentEndpointsDigest() : 0;
  query.leases_end = LeasesEnd();
  query.long_poll = long_poll;
  return query;
}

// All gateways of a data centre choose the same reader: the one with the widest
// link, and of these the one with the lowest id. Returns nullopt if this
// gateway has to read the store itself, as the leader or because no other one
// is usable.
std::optional<GatewayInstance> Gateway::Impl::ReaderToFollow() const {
  if (elected_) return std::nullopt;
  const BootTime now = BootClock::now();
  const GatewayInstance* best = &self_;
  for (const GatewayInstance& gateway : gateways_ | std::views::values) {
    const auto avoided = avoided_readers_.find(gateway.id);
    const bool usable =
        gateway.data_centre == self_.data_centre &&
        (avoided == avoided_readers_.end() || avoided->second.until <= now);
    if (usable && ReadsBefore(gateway, *best)) best = &gateway;
  }
  if (best->id == self_.id) return std::nullopt;
  return *best;
}

void Gateway::Impl::FollowReader() {
  const auto reader = ReaderToFollow();
  if (!reader) {
    ReadDirectly("no gateway to follow");
    return RunAfter(follow_timer_, kNoReaderPause, [this] { FollowReader(); });
  }
  const BootTime as_of = BootClock::now();
  follow_address_ = reader->address;
  follow_exchange_ = ClientOf(peer_clients_, reader->address)
                         .Send(MakePeerStateRequest(true), kReaderTimeout,
                               [this, reader = *reader,
                                as_of](const HttpClient::Outcome& outcome) {
                                 OnFollowResult(reader, outcome, as_of);
                               });
}

// Returns how many gateways of the data centre take over reading before this
// one.
std::size_t Gateway::Impl::PlaceAmongReaders() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      gateways_ | std::views::values, [this](const GatewayInstance& gateway) {
        return gateway.data_centre == self_.data_centre &&
               ReadsBefore(gateway, self_);
      }));
}

void Gateway::Impl::OnReaderFailed(const GatewayInstance& reader,
                                   const ReaderFailure& failure) {
  const BootTime now = BootClock::now();
  if (std::exchange(next_reader_, reader.id) != reader.id) {
    next_reader_since_ = now;
  }
  const auto without =
      now - without_reader_since_.emplace(without_reader_since_.value_or(now));
  // Gateways that start together are not all ready at the same time.
  const bool starting =
      !reads_store_ && reader_.empty() && now - started_ < kReaderStartTimeout;
  // The gateway that was followed until now does not take over, and nobody does
  // while that one is well.
  const auto left = avoided_readers_.find(reader_);
  const bool reader_lost = reader_.empty() || (left != avoided_readers_.end() &&
                                               left->second.until > now);
  const bool waits_for_it = failure.may_take_over && reader_lost &&
                            reader.id != reader_ &&
                            now - next_reader_since_ < kTakeoverTime;
  // It responded on another connection meanwhile.
  const bool is_well =
      last_source_ == reader.id && last_source_asked_at_ >= failure.asked_at;
  if (!starting && !waits_for_it && !is_well) {
    avoided_readers_[reader.id] = {now + kAvoidReaderTime, failure.responded};
  }
  if (!reads_store_ && without >= kReaderLostTime) {
    OnStoreResult(false, failure.detail, now);
  }
  const Milliseconds patience = std::min<Milliseconds>(
      kTakeoverTime + kDirectReadStagger * PlaceAmongReaders(),
      kMaxWithoutReader);
  if (without >= patience) ReadDirectly(failure.detail);
}

// Another gateway follows this one, which may have taken over since it was
// avoided. One that did not respond stays avoided: the other gateway may not
// have noticed yet.
void Gateway::Impl::OnReaderNamed(const RouterId& reader) {
  const auto avoided = avoided_readers_.find(reader);
  if (avoided != avoided_readers_.end() && avoided->second.responded) {
    avoided_readers_.erase(avoided);
  }
}

void Gateway::Impl::OnFollowResult(const GatewayInstance& reader,
                                   const HttpClient::Outcome& outcome,
                                   BootTime as_of) {
  auto state = outcome.response && outcome.response->status == 200
                   ? ParsePeerState(outcome.response->body)
                   : Result<PeerState>(Error{ResultCode::kPeerUnreachable,
                                             outcome.error.detail});
  if (!state || !state.value().store_reachable) {
    config_arriving_ = false;
    if (state) OnReaderNamed(state.value().reader);
    // Whether the store is away, or the reader alone is cut off from it,
    // decides about the endpoints that are missing afterwards.
    if (state && !state.value().stopping && reader.id == reader_) {
      ProbeStore(BootClock::now());
    }
    OnReaderFailed(
        reader,
        {state.has_value(), state && !state.value().stopping, as_of,
         state ? "reader does not read the store" : state.error().detail});
    return RunAfter(follow_timer_, kFollowPause, [this] { FollowReader(); });
  }
  config_arriving_ = state.value().config_arriving;
  const bool current = IsCurrent(state.value(), as_of);
  if (current) {
    without_reader_since_.reset();
    next_reader_.clear();
    source_response_at_ = BootClock::now();
    OnStoreResult(true, "", as_of);
  }
  ApplyPeerState(std::move(state.value()), as_of);
  if (current && !elected_ && std::exchange(reader_, reader.id) != reader.id) {
    // Those that follow this gateway learn its reader.
    RespondToLongPolls(true);
    LogInfo("following", {{"reader", reader.id}});
    reads_store_ = false;
    for (const auto* follower :
         {&config_follower_, &registry_follower_, &leases_follower_}) {
      (*follower)->Pause();
    }
  }
  RunAfter(follow_timer_, kFollowPause, [this] { FollowReader(); });
}

// A gateway of an earlier version delivers configurations without the
// evacuations that the log has before them.
std::uint64_t Gateway::Impl::ConfigReadOffset() const {
  return HasEvacuations() ? std::min(config_offset_, evacuations_.offset())
                          : config_offset_;
}

void Gateway::Impl::ReadDirectly(std::string_view reason) {
  if (std::exchange(reads_store_, true)) return;
  LogInfo("reading_directly",
          {{"before", reader_}, {"reason", std::string(reason)}});
  reader_.clear();
  without_reader_since_.reset();
  config_follower_->Resume(ConfigReadOffset());
  // A gateway of an earlier version lists endpoints whose removal is deferred.
  if (registry_read_) {
    registry_follower_->Resume(registry_position_.value());
  } else {
    registry_follower_->Resume();
  }
  leases_follower_->Resume(LeasesEnd());
  leases_follower_->ReadNow();
}

// Responds to long polls whose deadline has passed; all: also to the others. As
// long as this gateway has no state and the store has not failed, each waits
// until its deadline in any case.
void Gateway::Impl::RespondToLongPolls(bool all) {
  const bool known = registry_.loaded() && routes_ != nullptr;
  const BootTime now = BootClock::now();
  for (LongPoll& poll : std::exchange(long_polls_, {})) {
    const bool answerable =
        known || store_lost_ || stopping_ || !reader_.empty();
    if ((all && answerable) || HasLaterProof(poll) ||
        now - poll.arrived >= kLongPollTime) {
      poll.respond(MakePeerStateResponse(poll));
    } else {
      long_polls_.push_back(std::move(poll));
    }
  }
}

// Returns whether this gateway reads the store, and none of its logs fails.
bool Gateway::Impl::ReadsStore() const {
  return !store_lost_ && registry_.loaded() && reads_store_ &&
         std::ranges::none_of(
             log_failures_ | std::views::values,
             [](int failures) { return failures >= kStoreLostFailures; });
}

void Gateway::Impl::AddConfig(const PeerStateRequest& query, bool accepts_patch,
                              PeerState& state) {
  state.config_offset = config_offset_;
  if (!routes_ || routes_->config().version <= query.config_version) return;
  const ConfigPatch* const patch =
      accepts_patch ? configs_.PatchFrom(query.config_version) : nullptr;
  if (patch != nullptr) {
    state.config_patch = *patch;
  } else {
    state.config = configs_.newest();
  }
}

bool Gateway::Impl::HasLaterProof(const LongPoll& poll) const {
  const BootTime as_of = proofs_.oldest();
  return poll.known_as_of && as_of != BootTime{} &&
         as_of - *poll.known_as_of >= kMinAgeGain;
}

HttpResponse Gateway::Impl::MakePeerStateResponse(const LongPoll& poll) {
  const LoopWatch::Step step(loop_watch_, "state");
  const PeerStateRequest& query = poll.query;
  PeerState state;
  // State that came from a third gateway is not passed on: without
  // store_reachable the receiver ignores the response. A gateway that stops is
  // left while it can still respond.
  state.stopping = stopping_;
  state.reader = reader_;
  state.store_reachable = ReadsStore() && !stopping_;
  if (state.store_reachable) AddConfig(query, poll.accepts_patch, state);
  state.config_age = AgeAt(proofs_.Of(Log::kOperatorConfig), poll.arrived);
  state.registry_age = AgeAt(proofs_.Of(Log::kEndpointRegistry), poll.arrived);
  state.config_arriving = store_.IsReceiving(Log::kOperatorConfig);
  if (state.store_reachable && HasEvacuations()) {
    state.evacuations = evacuations_.known();
  }
  state.registry_offset = registry_position_.value();
  state.removals_deferred = registry_.InGrace(std::chrono::steady_clock::now());
  // The digest does not show that an endpoint has turned cold once more.
  const bool turned_cold = last_turned_cold_ != BootTime{} &&
                           poll.arrived < last_turned_cold_ + kColdNoticeTime;
  if (state.store_reachable &&
      (turned_cold || CurrentEndpointsDigest() != query.endpoints_digest)) {
    state.endpoints = registry_.Listed();
    for (EndpointInfo& endpoint : *state.endpoints | std::views::values) {
      UpdateWarmUp(endpoint, std::chrono::steady_clock::now());
    }
  }
  const BootTime now = BootClock::now();
  // Without a keeper, this gateway has not read the leases.
  BootTime confirmed = keepers_.empty() ? BootTime{} : now;
  state.store_era = store_.era();
  state.leases_end = LeasesEnd();
  for (const auto& keeper : keepers_ | std::views::values) {
    confirmed = std::min(confirmed, keeper->confirmed_at());
    if (keeper->table().version > query.leases_end) {
      state.tables.push_back(keeper->table());
    }
  }
  state.leases_age =
      confirmed == BootTime{}
          ? kNeverConfirmedAge
          : std::chrono::duration_cast<Milliseconds>(now - confirmed) +
                Milliseconds(1);
  return {200, {}, SerializePeerState(state)};
}

HttpResponse Gateway::Impl::OnPeerTable(const std::string& service,
                                        std::uint64_t version,
                                        const std::string& body) {
  // A lease keeper takes the identity of this process, which is not final yet.
  if (!registering_) return {503, {}, ""};
  auto table = ParseLeaseTable(body, service, version);
  if (!table) return {400, {}, table.error().detail};
  // An earlier era is over. A later one is announced, not taken from a version.
  if (EraOf(version) != store_.era()) return {409, {}, ""};
  AdoptTable(std::move(table.value()), "mover");
  LeaseKeeper& keeper = Keeper(service);
  if (keeper.table().version < version) return {409, {}, ""};
  return {200,
          {{kSinceRenewalHeader,
            std::to_string(keeper.SinceRenewal(BootClock::now()).count())}},
          ""};
}

HttpResponse Gateway::Impl::OnPeerEra(const std::string& service,
                                      std::uint64_t era) {
  if (!registering_) return {503, {}, ""};
  const EraVerdict verdict = store_.Observe(era);
  if (verdict == EraVerdict::kInvalid) return {400, {}, ""};
  if (verdict == EraVerdict::kEarlier) return {409, {}, ""};
  const BootTime now = BootClock::now();
  // Without a keeper, this process has granted nothing since it started.
  auto since = std::chrono::duration_cast<Milliseconds>(now - started_);
  const auto keeper = keepers_.find(service);
  if (keeper != keepers_.end()) {
    keeper->second->OnEra(era, now);
    since = keeper->second->SinceRenewal(now);
  }
  return {200, {{kSinceRenewalHeader, std::to_string(since.count())}}, ""};
}

HttpResponse Gateway::Impl::OnPeerLeaving(const std::string& body) {
  const auto space = body.find(' ');
  const auto incarnation = ParseUnsigned(body.substr(0, space));
  if (space == std::string::npos || space + 1 == body.size() || !incarnation ||
      !std::in_range<std::int64_t>(*incarnation)) {
    return {400, {}, ""};
  }
  // A report of an endpoint that the registry does not show proves nothing.
  const auto known = registry_.endpoints().find(body.substr(space + 1));
  if (known == registry_.endpoints().end() ||
      known->second.ref.incarnation !=
          static_cast<std::int64_t>(*incarnation)) {
    return {404, {}, ""};
  }
  RecordLeaving(known->second.ref, "gateway");
  return {204, {}, ""};
}

// Returns whether the requesting gateway knows other evacuations than this one.
bool Gateway::Impl::LacksEvacuations(const HttpRequest& request) const {
  const auto digest =
      ParseUnsigned(FindHeader(request.headers, kEvacuationsHeader));
  const auto known = evacuations_.known();
  return HasEvacuations() && digest && known &&
         *digest != EvacuationsDigest(known->data_centres);
}

void Gateway::Impl::OnPeerStateRequest(const PeerStateRequest& query,
                                       const HttpRequest& request,
                                       const HttpServer::Respond& respond) {
  LongPoll poll{query, !FindHeader(request.headers, kAcceptPatchHeader).empty(),
                BootClock::now(), std::nullopt, respond};
  const auto age = ParseUnsigned(FindHeader(request.headers, kStateAgeHeader));
  if (age) {
    const auto limit = static_cast<std::uint64_t>(kNoProofAge.count());
    poll.known_as_of =
        poll.arrived -
        Milliseconds(static_cast<std::int64_t>(std::min(*age, limit)));
  }
  const bool known = registry_.loaded() && routes_ != nullptr;
  const bool due =
      store_lost_ || !reader_.empty() || stopping_ ||
      (known &&
       (HasLaterProof(poll) || LacksEvacuations(request) ||
        MakePeerStateQuery(false) !=
            PeerStateRequest{query.config_version, query.endpoints_digest,
                             query.leases_end, false}));
  if (!query.long_poll || due) return respond(MakePeerStateResponse(poll));
  long_polls_.push_back(std::move(poll));
}

void Gateway::Impl::OnPeerRequest(const HttpRequest& request,
                                  const HttpServer::Respond& respond) {
  if (const auto query = ParsePeerStateRequest(request.target)) {
    return OnPeerStateRequest(*query, request, respond);
  }
  if (request.target == kLeavingTarget) {
    return respond(OnPeerLeaving(request.body));
  }
  std::vector<std::string> parts;
  for (const auto part : std::views::split(request.target, '/')) {
    parts.emplace_back(part.begin(), part.end());
  }
  if (parts.size() == 4 && parts[1] == "table") {
    const auto version = ParseUnsigned(parts[3]);
    if (version) return respond(OnPeerTable(parts[2], *version, request.body));
  }
  if (parts.size() == 4 && "/" + parts[1] + "/" == kEraTarget) {
    const auto era = ParseUnsigned(parts[3]);
    if (era) return respond(OnPeerEra(parts[2], *era));
  }
  if (parts.size() == 3 && parts[1] == "load" && IsShardedByKey(parts[2])) {
    const BootTime now = BootClock::now();
    Keeper(parts[2]).load().Add(DecodeKeys(request.body), now);
    endpoint_speeds_[parts[2]].Add(
        ParseSpeedReport(FindHeader(request.headers, kSpeedsHeader)), now);
    return respond({204, {}, ""});
  }
  respond({404, {}, ""});
}

}  // namespace balsamhall::gateway
