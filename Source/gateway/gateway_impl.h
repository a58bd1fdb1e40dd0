// Implementation of the gateway, private to the files that divide it by topic:
// gateway.cc (start, stop and timers), gateway_store.cc (reads from the store),
// gateway_endpoints.cc (the registered endpoints), gateway_leases.cc (leases on
// keys), gateway_peers.cc (communication between gateways) and
// gateway_state_search.cc (the search for the state of others while the own one
// is overdue). Includes Asio.
#ifndef BALSAMHALL_GATEWAY_GATEWAY_IMPL_H_
#define BALSAMHALL_GATEWAY_GATEWAY_IMPL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/config_history.h"
#include "gateway/endpoint_notices.h"
#include "gateway/endpoint_registry.h"
#include "gateway/endpoint_speeds.h"
#include "gateway/forwarder.h"
#include "gateway/gateway.h"
#include "gateway/known_position.h"
#include "gateway/lease_keeper.h"
#include "gateway/loop_watch.h"
#include "gateway/peer_state.h"
#include "gateway/placement_limits.h"
#include "gateway/rejected_records.h"
#include "gateway/store_era.h"
#include "gateway/store_follower.h"
#include "gateway/store_proofs.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace balsamhall::gateway {

// Time-out of a call to another gateway.
inline constexpr Milliseconds kPeerTimeout{400};
// Calls to the store are charged, traffic within a data centre is not.
// Therefore one gateway in each data centre, the reader, reads the store. The
// others get its state by long polling: it delays its response for up to this
// time until it has something new.
inline constexpr Milliseconds kLongPollTime{1'000};
// Time within which the reader responds. Also the longest time between two
// responses of the store to a gateway that reads it.
inline constexpr Milliseconds kReaderTimeout = kLongPollTime + kPeerTimeout;
inline constexpr Milliseconds kReportInterval{1'000};
// Age of its state at which a gateway asks others for theirs. With responses in
// time it stays below: a wait at the store, two round trips to it and the pause
// between two long polls.
inline constexpr Milliseconds kMaxStateAge{1'950};
// Number of consecutive failures after which the store counts as lost; a single
// lost response says little.
inline constexpr int kStoreLostFailures = 2;
// The gateways of a fleet start together; after this time all have registered,
// and their log is read again.
inline constexpr Milliseconds kGatewaysRereadDelay{2'500};
// Header of the response to a published table: LeaseKeeper::SinceRenewal().
inline constexpr const char* kSinceRenewalHeader =
    "Balsamhall-Since-Renewal-Ms";

// Header of a report of keys in use: see FormatSpeedReport().
inline constexpr const char* kSpeedsHeader = "Balsamhall-Speeds";
// Header of a request for the state of a gateway: the configuration may come as
// a patch.
inline constexpr const char* kAcceptPatchHeader = "Balsamhall-Accept-Patch";
// Target of a report that an endpoint is leaving. Its body has the incarnation
// and the id.
inline constexpr const char* kLeavingTarget = "/leaving";
// First part of the target with which the leader announces an era of the store;
// the service and the era follow. The response has kSinceRenewalHeader.
inline constexpr const char* kEraTarget = "/store-era/";

// Order in which the gateways of a data centre become its reader.
bool ReadsBefore(const GatewayInstance& a, const GatewayInstance& b);

// Returns nullopt for anything but decimal digits.
std::optional<std::uint64_t> ParseUnsigned(std::string_view text);

inline void LogInfo(std::string_view event, const EventFields& fields) {
  LogEvent(EventLevel::kInfo, event, 0, fields);
}

class Gateway::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop, GatewaySettings settings,
       CoordinationStore& store, const BackendDialect& dialect,
       RecordParsers parsers);

  Result<void> Start();
  void Reload(const GatewaySettings& settings);
  void Stop(std::function<void()> done);

 private:
  Result<void> Listen(std::unique_ptr<HttpServer>& server,
                      const std::string& address, HttpServerOptions options,
                      HttpServer::Handler handler);
  void FollowLogs();
  void RegisterGateway();
  // Registers this process unless the store has its record or one of a later
  // process, and no later one at its address.
  void RegisterIfNeeded();
  // Runs the action once after the delay, unless the timer is set again or this
  // object is destroyed first.
  void RunAfter(boost::asio::steady_timer& timer, Milliseconds delay,
                std::function<void()> action);

  // Records whether a call to the store, or to the gateway through which this
  // one reads it, succeeded. A failure counts only if there was no response
  // after sent_at.
  void OnStoreResult(bool success, const std::string& detail, BootTime sent_at);
  // The same for a call of this gateway itself. Only such a failure shows that
  // the store may be away: the loss of a reader does not.
  void OnStoreCall(bool success, const std::string& detail, BootTime sent_at);
  void ReadAllLogsNow();
  // The store was restored from an older copy: reads all logs again, and keeps
  // what the copy would undo. What else depends on records of the operator or
  // the endpoints (evacuations) has to be kept here.
  void OnStoreRestored(std::uint64_t before, std::uint64_t now);
  HttpResponse OnPeerEra(const std::string& service, std::uint64_t era);
  // The store has answered a read. Reads on if nothing else has kept the state
  // current.
  void OnStoreAnswers();
  void OnConfigPage(const LogPage& page, BootTime as_of);
  bool HasEvacuations() const {
    return settings_.evacuate > Milliseconds(0) &&
           parsers_.evacuated_data_centre != nullptr;
  }
  // Applies the evacuations that a page of the operator's log begins and ends.
  // Returns whether there are any.
  bool OnEvacuationRecords(const LogPage& page, BootTime as_of);
  // Returns whether there are changes. source: for the log.
  bool ApplyEvacuations(const std::vector<Evacuations::Change>& changes,
                        const char* source);
  struct ParsedConfig {
    RoutingConfig config;
    SteadyTime::duration parsed_in;
  };
  // Returns nullopt after logging that the text is invalid.
  std::optional<ParsedConfig> ParseConfig(const std::string& text);
  // Where a configuration came from, for the log.
  struct ConfigSource {
    const char* name;
    LogProof proof;
  };
  void ApplyConfig(ParsedConfig parsed, const std::string& text,
                   const ConfigSource& source);
  // Returns false if the text is not a valid configuration.
  bool ApplyConfig(const std::string& text, const ConfigSource& source);
  // Logs and counts the entries of the configuration in force that cannot be
  // served.
  void ReportUnusableEntries();
  // sent: when the read of the page was sent.
  void OnRegistryPage(const LogPage& page, BootTime sent);
  std::optional<EndpointInfo> ParseEntry(const KeyedRecord& record);
  // Logs an entry that names no endpoint to use, once until it does again.
  void OnEntryRejected(const EndpointId& id, const Error& error);
  // source: for the log.
  void OnRegistryChanges(std::vector<EndpointRegistry::Change> changes,
                         const char* source);
  void UpdateWarmUp(EndpointInfo& endpoint, SteadyTime now) const;
  void OnLeasesPage(const LogPage& page, BootTime as_of);
  // sent: when the read of the page was sent.
  void OnGatewaysPage(const LogPage& page, BootTime sent);

  LeaseKeeper& Keeper(const ServiceId& service);
  // Passes a table to its keeper, which adopts it if it is newer. source: for
  // the log.
  void AdoptTable(LeaseTable table, const char* source);
  void ApplyTable(LeaseKeeper& keeper, const char* source);
  std::vector<EligibleEndpoint> EligibleEndpoints(
      const ServiceId& service) const;
  std::vector<EndpointInfo> LiveEndpoints() const;
  void ApplyEndpoints();
  bool IsShardedByKey(const ServiceId& service) const;
  bool UsesLeases() const;

  void Tick();
  void WatchLoop();
  void JoinElection();
  void ReportKeyLoad();
  // An endpoint has said that it is leaving: its keys have to move.
  void OnEndpointLeaving(const EndpointRef& endpoint);
  // Records it, if it is not known from a response to a request.
  void RecordLeaving(const EndpointRef& endpoint, const char* source);
  // Tells the leader which owners of keys are leaving.
  void ReportLeavingOwners();
  void ReportLeaving(const LeaseKeeper& keeper, const EndpointRef& endpoint);
  HttpResponse OnPeerLeaving(const std::string& body);
  void Apply(LeaseKeeper& keeper, const LeaseAction& action);
  void SendGrant(LeaseKeeper& keeper, const GrantCall& grant);
  void SendRelease(LeaseKeeper& keeper, const ReleaseCall& release);
  void OnCallOutcome(LeaseKeeper& keeper, std::uint64_t call, const char* name,
                     const EndpointRef& endpoint,
                     const HttpClient::Outcome& outcome);
  HttpClient& CallClientOf(const std::string& address);
  void OnPeerStateRequest(const PeerStateRequest& query,
                          const HttpRequest& request,
                          const HttpServer::Respond& respond);
  void OnPeerRequest(const HttpRequest& request,
                     const HttpServer::Respond& respond);
  // Whether this gateway may be missing changes: what it learns from has not
  // answered in time, or what the store has shown is too old.
  bool StateOverdue(BootTime now) const;
  // While the state is overdue, requests the state of one gateway after the
  // other without waiting for the answers, and reads the store itself if none
  // has a current one.
  void WatchState(BootTime now);
  // Reads the configuration, once in a while, to see whether the store that
  // another gateway cannot reach answers this one.
  void ProbeStore(BootTime now);
  Milliseconds TickInterval(BootTime now) const;
  std::vector<GatewayInstance> PeersToAsk() const;
  void RequestNextPeerState(BootTime now);
  void RequestPeerState(const GatewayInstance& peer);
  void OnPeerState(const GatewayInstance& peer,
                   const HttpClient::Outcome& outcome, BootTime as_of);
  // sent: when the state was requested.
  void ApplyPeerState(PeerState state, BootTime sent);
  struct LongPoll;
  HttpResponse MakePeerStateResponse(const LongPoll& poll);
  PeerStateRequest MakePeerStateQuery(bool long_poll) const;
  HttpRequest MakePeerStateRequest(bool long_poll) const;
  // Returns false if the configuration in the state cannot be applied.
  bool ApplyPeerConfig(const PeerState& state, const LogProof& proof);
  // As of when this gateway's state is complete; not before its start.
  BootTime StateAsOf() const;
  // Whether the state that a gateway sent is new enough to follow that gateway,
  // or to go on without the store.
  bool IsCurrent(const PeerState& state, BootTime sent) const;
  // Returns whether the proofs of this gateway are so much later than those of
  // the requesting one that a response is worth it without any change.
  bool HasLaterProof(const LongPoll& poll) const;
  bool LacksEvacuations(const HttpRequest& request) const;
  // Sets the gauges of the age of this gateway's state.
  void ReportStateAge(BootTime now);
  bool ReadsStore() const;
  void AddConfig(const PeerStateRequest& query, bool accepts_patch,
                 PeerState& state);
  // Digest of the registered endpoints and of which ones are cold, if requests
  // to these are limited.
  std::uint64_t CurrentEndpointsDigest() const;
  std::uint64_t LeasesEnd() const;
  std::optional<GatewayInstance> ReaderToFollow() const;
  std::size_t PlaceAmongReaders() const;
  struct ReaderFailure {
    bool responded = false;      // but it does not read the store
    bool may_take_over = false;  // it responded, and does not stop
    BootTime asked_at;
    std::string detail;
  };
  void OnReaderNamed(const RouterId& reader);
  void OnReaderFailed(const GatewayInstance& reader,
                      const ReaderFailure& failure);
  void FollowReader();
  void OnFollowResult(const GatewayInstance& reader,
                      const HttpClient::Outcome& outcome, BootTime as_of);
  // Offset from which this gateway has to read the operator's log.
  std::uint64_t ConfigReadOffset() const;
  void ReadDirectly(std::string_view reason);
  void RespondToLongPolls(bool all);
  HttpResponse OnPeerTable(const std::string& service, std::uint64_t version,
                           const std::string& body);
  HttpClient& ClientOf(std::map<std::string, std::unique_ptr<HttpClient>>& pool,
                       const std::string& address);
  bool Ready() const {
    return routes_ != nullptr && registry_.loaded() && !stopping_;
  }
  void ApplyLimits();
  // Reports requests that callers sent ahead and responses that they do not
  // read.
  void ReportFront(BootTime now);

  boost::asio::io_context& loop_;
  GatewaySettings settings_;
  EraStore store_;
  const BackendDialect& dialect_;
  const RecordParsers parsers_;
  const BootTime started_;
  GatewayInstance self_;  // constant once registration has started
  Metrics metrics_;
  LoopWatch loop_watch_;
  EndpointNotices notices_;
  Forwarder forwarder_;
  const std::shared_ptr<BodyMemory> request_memory_;  // of callers' bodies
  EndpointRegistry registry_;
  std::map<std::string, AddressHolder> address_holders_;
  std::shared_ptr<const RouteTable> routes_;
  BootTime front_reported_;
  bool pipelining_limited_ = false;
  int slow_readers_closed_ = 0;  // since the last report
  std::map<ServiceId, std::unique_ptr<LeaseKeeper>> keepers_;
  // Used as the leader.
  std::map<ServiceId, EndpointSpeeds> endpoint_speeds_;
  std::map<ServiceId, std::uint64_t> applied_versions_;
  ConfigHistory configs_;
  Evacuations evacuations_;
  // Offsets up to which the logs were read, by this gateway or its reader.
  std::uint64_t config_offset_ = 0;
  KnownPosition registry_position_;
  BootTime last_turned_cold_;  // any endpoint that was known
  // False once a patch did not fit: other gateways then send whole texts.
  bool accepts_patches_ = true;
  std::map<RouterId, GatewayInstance> gateways_;
  bool gateways_known_ = false;   // read from the store at least once
  bool gateways_listed_ = false;  // to its end
  bool registering_ = false;      // the record has been sent at least once
  // Whether this gateway reads the configuration, registry and leases itself.
  bool reads_store_ = false;
  // The gateway through which this one reads the store; empty if there is none.
  RouterId reader_;
  struct AvoidedReader {
    BootTime until;
    bool responded = false;  // it answered, but did not read the store
  };
  std::map<RouterId, AvoidedReader> avoided_readers_;
  // The request to the reader that is in progress.
  std::string follow_address_;
  std::uint64_t follow_exchange_ = 0;
  // As of when the store has shown that this gateway's state is complete.
  StoreProofs proofs_;
  // When the gateway that this one follows last responded with a current state,
  // or another one was asked that did.
  BootTime source_response_at_;
  BootTime store_response_at_;  // the last one from the store
  // The gateway that this one follows receives a configuration.
  bool config_arriving_ = false;
  // The search for another source while the state is overdue.
  struct PeerSearch {
    std::size_t requests = 0;
    BootTime next_request;
    bool logged = false;
    // A gateway that reads the store answered that it cannot reach it. That
    // says nothing about whether the store answers this one.
    bool store_away = false;
  };
  PeerSearch peer_search_;
  BootTime next_store_probe_;
  std::set<RouterId> asked_peers_;  // that have not answered yet
  // The gateway that answered such a request last, and when it was asked.
  RouterId last_source_;
  BootTime last_source_asked_at_;
  // Since when no reader has delivered its state; empty while one does.
  std::optional<BootTime> without_reader_since_;
  // The gateway that is expected to take over, and since when.
  RouterId next_reader_;
  BootTime next_reader_since_;
  // A request for the state of this gateway.
  struct LongPoll {
    PeerStateRequest query;
    bool accepts_patch = false;
    BootTime arrived;
    // As of when the state of the requesting gateway is complete; empty from
    // gateways of earlier versions.
    std::optional<BootTime> known_as_of;
    HttpServer::Respond respond;
  };
  std::vector<LongPoll> long_polls_;
  RejectedRecords rejected_records_;

  std::unique_ptr<HttpServer> front_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<StoreFollower> config_follower_;
  std::unique_ptr<StoreFollower> registry_follower_;
  std::unique_ptr<StoreFollower> leases_follower_;
  std::unique_ptr<StoreFollower> gateways_follower_;
  std::map<std::string, std::unique_ptr<HttpClient>> call_clients_;
  std::map<std::string, std::unique_ptr<HttpClient>> peer_clients_;

  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer watch_timer_;
  boost::asio::steady_timer join_timer_;
  boost::asio::steady_timer report_timer_;
  boost::asio::steady_timer follow_timer_;
  boost::asio::steady_timer gateways_timer_;
  boost::asio::steady_timer register_timer_;
  boost::asio::steady_timer restore_timer_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer give_up_timer_;

  int store_failures_ = 0;           // in a row
  std::map<Log, int> log_failures_;  // in a row, of each log
  bool registry_read_ = false;       // from the store at least once
  bool store_lost_ = false;
  bool elected_ = false;
  bool stopping_ = false;
  bool was_ready_ = false;
  std::function<void()> on_stopped_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_GATEWAY_IMPL_H_
