// The gateway process: entry for callers, control by the store.
#ifndef BALSAMHALL_GATEWAY_GATEWAY_H_
#define BALSAMHALL_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>

#include "core/result_code.h"
#include "gateway/backend_dialect.h"
#include "gateway/coordination_store.h"
#include "gateway/fleet_view.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall::gateway {

// Parsers of the records that others write.
struct RecordParsers {
  std::string config_key;
  std::function<Result<RoutingConfig>(const std::string&)> config;
  std::function<Result<EndpointInfo>(const std::string& id,
                                     const std::string& text)>
      endpoint;
};

// Runs on one loop; not thread-safe.
class Gateway {
 public:
  // The store and the dialect must outlive the gateway.
  Gateway(boost::asio::io_context& loop, GatewaySettings settings,
          CoordinationStore& store, const BackendDialect& dialect,
          RecordParsers parsers);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Listens and starts to follow the store. Fails if an address is in use.
  Result<void> Start();

  // Takes changed settings. Addresses to listen on take effect at the next
  // start only.
  void Reload(const GatewaySettings& settings);

  // Graceful stop: not ready at once, requests under way are finished, duties
  // are handed over; done is called when nothing is left or the time for a stop
  // is nearly over.
  void Stop(std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_GATEWAY_H_
