// The gateway's implementation, divided by job: gateway.cc (start, stop and
// timers), gateway_store.cc (what it learns from the store), gateway_leases.cc
// (who holds which keys) and gateway_peers.cc (what gateways tell each other).
// Only for these files: includes Asio.
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

#include "gateway/endpoint_registry.h"
#include "gateway/forwarder.h"
#include "gateway/gateway.h"
#include "gateway/lease_keeper.h"
#include "gateway/peer_state.h"
#include "gateway/store_follower.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

namespace balsamhall::gateway {

// A call to another gateway.
inline constexpr Milliseconds kPeerTimeout{400};
inline constexpr Milliseconds kReportInterval{1'000};
// The gateways of a fleet start together; by then all have registered.
inline constexpr Milliseconds kRoutersDelay{2'500};
// Header of the answer to a table that a gateway adopted.
inline constexpr const char* kSinceRenewal = "Balsamhall-Since-Renewal-Ms";

// Returns nullopt for anything but decimal digits.
std::optional<std::uint64_t> ParseWhole(std::string_view text);

inline void LogState(std::string_view event, const EventFields& fields) {
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
  void RegisterRouter();
  void Every(boost::asio::steady_timer& timer, Milliseconds pause,
             std::function<void()> action);

  void OnStoreAnswer(bool success, const std::string& detail);
  void OnConfigPage(const LogPage& page);
  void TakeConfig(const std::string& text);
  void OnRegistryPage(const LogPage& page);
  std::optional<EndpointInfo> ReadEntry(const KeyedRecord& record);
  void OnRegistryChanges(const std::vector<EndpointRegistry::Change>& changes);
  void OnLeasesPage(const LogPage& page, BootTime as_of);
  void OnRoutersPage(const LogPage& page);

  LeaseKeeper& Keeper(const ServiceId& service);
  void TakeTable(LeaseTable table, const char* source);
  void ShowTable(LeaseKeeper& keeper, const char* source);
  std::vector<EligibleEndpoint> KeyHolders(const ServiceId& service) const;
  std::vector<EndpointInfo> LiveEndpoints() const;
  void ShowEndpoints();
  bool DividedByKey(const ServiceId& service) const;
  bool UsesLeases() const;

  void Tick();
  void Join();
  void Report();
  void Do(LeaseKeeper& keeper, const LeaseAction& action);
  void SendCall(LeaseKeeper& keeper, std::uint64_t call,
                const std::string& address, HttpRequest request,
                Milliseconds timeout);
  void OnPeerRequest(const HttpRequest& request,
                     const HttpServer::Respond& respond);
  void AskPeer();
  std::optional<std::string> NextPeer();
  void TakePeerState(PeerState state, BootTime as_of);
  HttpResponse AnswerPeer(const PeerStateRequest& question);
  PeerStateRequest OwnQuestion(bool hold) const;
  std::optional<GatewayInstance> ReaderToFollow() const;
  void Follow();
  void OnFollowed(const GatewayInstance& reader,
                  const HttpClient::Outcome& outcome, BootTime as_of);
  void ReadDirectly(std::string_view reason);
  void AnswerHeldQuestions(bool all);
  HttpResponse OnPeerTable(const std::string& service, std::uint64_t version,
                           const std::string& body);
  HttpClient& ClientOf(std::map<std::string, std::unique_ptr<HttpClient>>& pool,
                       const std::string& address);
  bool Ready() const {
    return routes_ != nullptr && registry_.loaded() && !stopping_;
  }
  void ApplyLimits();

  boost::asio::io_context& loop_;
  GatewaySettings settings_;
  CoordinationStore& store_;
  const BackendDialect& dialect_;
  const RecordParsers parsers_;
  const BootTime started_;
  const GatewayInstance self_;
  Metrics metrics_;
  Forwarder forwarder_;
  EndpointRegistry registry_;
  std::map<std::string, AddressHolder> address_holders_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<ServiceId, std::unique_ptr<LeaseKeeper>> keepers_;
  std::map<ServiceId, std::uint64_t> shown_versions_;
  std::string config_text_;
  std::uint64_t registry_offset_ = 0;
  std::map<RouterId, GatewayInstance> routers_;
  bool routers_known_ = false;  // the store told them once
  // Whether this gateway reads the store's logs itself.
  bool reads_store_ = false;
  // The gateway through which this one learns from the store, if any.
  RouterId reader_;
  std::map<RouterId, BootTime> avoided_readers_;
  struct HeldQuestion {
    PeerStateRequest question;
    HttpServer::Respond respond;
    BootTime until;
  };
  std::vector<HeldQuestion> held_questions_;
  RouterId asked_peer_;
  bool asking_ = false;
  std::set<std::pair<EndpointId, std::string>> bad_entries_;

  std::unique_ptr<HttpServer> front_;
  std::unique_ptr<HttpServer> ready_;
  std::unique_ptr<HttpServer> peers_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<StoreFollower> config_follower_;
  std::unique_ptr<StoreFollower> registry_follower_;
  std::unique_ptr<StoreFollower> leases_follower_;
  std::unique_ptr<StoreFollower> routers_follower_;
  std::map<std::string, std::unique_ptr<HttpClient>> call_clients_;
  std::map<std::string, std::unique_ptr<HttpClient>> peer_clients_;

  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer join_timer_;
  boost::asio::steady_timer report_timer_;
  boost::asio::steady_timer ask_timer_;
  boost::asio::steady_timer follow_timer_;
  boost::asio::steady_timer routers_timer_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer give_up_timer_;

  int store_failures_ = 0;
  bool store_away_ = false;
  bool on_duty_ = false;
  bool stopping_ = false;
  bool was_ready_ = false;
  std::function<void()> stopped_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_GATEWAY_IMPL_H_
