// The gateway process: serves callers, and coordinates through the store.
#ifndef BALSAMHALL_GATEWAY_GATEWAY_H_
#define BALSAMHALL_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/result_code.h"
#include "gateway/backend_dialect.h"
#include "gateway/coordination_store.h"
#include "gateway/fleet_view.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall::gateway {

// Parsers of the store's records that gateways only read.
struct RecordParsers {
  std::string config_key;  // key of the configuration's record
  std::function<Result<RoutingConfig>(const std::string&)> config;
  std::function<Result<EndpointInfo>(const std::string& id,
                                     const std::string& text)>
      endpoint;
  // Returns the data centre whose evacuation a record of the configuration's
  // log with this key requests; nullopt for any other key. Empty function: no
  // key does.
  std::function<std::optional<std::string>(const std::string& key)>
      evacuated_data_centre = {};
};

// Runs on one event loop; not thread-safe.
class Gateway {
 public:
  // The store and the dialect must outlive the gateway.
  Gateway(boost::asio::io_context& loop, GatewaySettings settings,
          CoordinationStore& store, const BackendDialect& dialect,
          RecordParsers parsers);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Starts to listen and to read the store. Fails if an address is in use.
  Result<void> Start();

  // Applies changed regions, retry limits and stop grace time. All other
  // settings, such as the addresses to listen on, take effect at the next
  // start.
  void Reload(const GatewaySettings& settings);

  // Stops gracefully: reports itself as not ready at once, finishes requests in
  // progress and leaves the leader election. Calls done when all connections
  // are closed, or when stop_grace is nearly over. No effect if called again.
  void Stop(std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_GATEWAY_H_
