// One OwnershipController in a fleet of a given shape, for measuring.
#ifndef BALSAMHALL_CAPACITY_CONTROLLER_FIXTURE_H_
#define BALSAMHALL_CAPACITY_CONTROLLER_FIXTURE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/lease_holder.h"
#include "core/ownership_controller.h"
#include "core/routing_table.h"

namespace balsamhall {

struct FleetShape {
  std::size_t routers = 8;  // besides the measured one
  std::size_t services = 4;
  std::size_t endpoints = 32;    // of all services; a multiple of services
  std::size_t partitions = 256;  // of each service; a power of two
  std::size_t own = 4;           // endpoints whose primary is measured
  std::size_t backups = 0;       // endpoints whose backup is measured
  bool fenced = true;
};

// CPU time and bytes of a controller over simulated time.
struct ControlCost {
  double micros = 0;
  double grants = 0;
  double json_micros = 0;  // to encode requests and read responses
  double grant_json_bytes = 0;
  double response_json_bytes = 0;
  double peer_messages = 0;
  double peer_bytes = 0;  // with the 4 bytes of the frame's length
  double witness_messages = 0;
  double witness_bytes = 0;
};

// Feeds the events that the outer layer and the other processes would produce.
// Not thread-safe.
class ControllerFixture {
 public:
  explicit ControllerFixture(const FleetShape& shape);

  OwnershipActions Handle(const OwnershipEvent& event);
  void Advance(Milliseconds step) { now_ += step; }

  // Heartbeat of another router; its sequence grows with each call.
  PeerMessageReceived HeartbeatOf(std::size_t router);
  // Report of an endpoint of another router with a new revision and load.
  PeerMessageReceived RoutingOf(std::size_t endpoint);
  // Grant that an endpoint's primary sends to its witness.
  PeerMessageReceived WitnessRequestOf(std::size_t endpoint);
  // Publication that adds nothing but one change of a policy.
  LogRecordRead NextPublication();
  LogRecordRead NextJoin();
  // Incarnation of a joined router as the controller knows it.
  std::uint64_t IncarnationOf(const RouterId& router) const;

  // Binds the own endpoints: heartbeats, ticks and grants for two seconds.
  void Settle();
  // Runs ticks, grants and heartbeats; heartbeats in are not counted. With
  // load_changes, each own endpoint reports another load every 500 ms.
  ControlCost Run(Milliseconds duration, bool load_changes);

  const schema::RoutingConfig& config() const { return config_; }
  OwnershipController& controller() { return controller_; }
  std::size_t own_serving() const;

 private:
  void BuildConfig();
  void Start();
  void DeliverRecord(schema::LogRecord record);
  void DeliverHeartbeats();
  void Process(const OwnershipActions& actions, ControlCost* cost);
  void Answer(const SendPeerMessage& send, ControlCost* cost);
  OwnershipActions Timed(const OwnershipEvent& event, ControlCost* cost);
  schema::EndpointRouting InitialRouting(std::size_t endpoint) const;
  std::string RouterName(std::size_t router) const;
  schema::RouterRef RouterAt(std::size_t router) const;

  FleetShape shape_;
  schema::RoutingConfig config_;
  std::vector<std::string> endpoints_;
  std::vector<std::string> service_of_;
  OwnershipController controller_;
  SteadyTime now_;
  std::uint64_t next_offset_ = 1;
  std::uint64_t publications_ = 0;
  std::uint64_t joins_ = 0;
  std::vector<std::uint64_t> incarnations_;
  std::uint64_t heartbeats_ = 0;
  std::uint64_t witness_requests_ = 0;
  RoutingTable table_;  // what the other routers know of themselves
  std::map<RouterId, std::uint64_t> digests_;
  std::map<EndpointId, std::unique_ptr<LeaseHolder>> holders_;
  std::map<EndpointId, std::unique_ptr<LeaseHolder>> witnesses_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CAPACITY_CONTROLLER_FIXTURE_H_
