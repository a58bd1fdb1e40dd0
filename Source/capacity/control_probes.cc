#include <algorithm>
#include <iterator>
#include <utility>

#include "capacity/controller_fixture.h"
#include "capacity/probes.h"

namespace balsamhall {
namespace {

constexpr std::size_t kFrameHeader = 4;
constexpr Milliseconds kTick{20};

double PeerBytes(const OwnershipActions& actions) {
  double bytes = 0;
  for (const OwnershipAction& action : actions) {
    const auto* send = std::get_if<SendPeerMessage>(&action);
    if (send == nullptr) continue;
    bytes += static_cast<double>(send->message.ByteSizeLong() + kFrameHeader);
  }
  return bytes;
}

bool SendsHeartbeats(const OwnershipActions& actions) {
  return std::ranges::any_of(actions, [](const auto& action) {
    const auto* send = std::get_if<SendPeerMessage>(&action);
    return send != nullptr && send->message.has_heartbeat();
  });
}

struct TickCost {
  double heartbeat_micros = 0;  // of one tick, beyond that of other ticks
  double heartbeat_bytes = 0;
  double idle_micros = 0;  // of the other ticks, for one second
};

// Covers 480 ms: longer, and the other routers count as silent.
TickCost MeasureTicks(ControllerFixture* fixture) {
  TickCost cost;
  double with = 0;
  double without = 0;
  int heartbeats = 0;
  constexpr int ticks = 24;
  for (int i = 0; i < ticks; ++i) {
    fixture->Advance(kTick);
    OwnershipActions actions;
    const double micros =
        MicrosOf([&] { actions = fixture->Handle(TimerTick{}); });
    if (SendsHeartbeats(actions)) {
      with += micros;
      ++heartbeats;
      cost.heartbeat_bytes = PeerBytes(actions);
    } else {
      without += micros;
    }
  }
  const double idle = without / (ticks - heartbeats);
  cost.heartbeat_micros = heartbeats == 0 ? 0 : with / heartbeats - idle;
  cost.idle_micros = idle * (Milliseconds{1000} / kTick);
  return cost;
}

VmListRead ListOf(std::size_t vms) {
  VmListRead list;
  for (std::size_t i = 0; i < vms; ++i) {
    list.vms.push_back({"vm-" + std::to_string(10'000 + i), false, false});
  }
  return list;
}

std::vector<Reading> ByRouters(std::size_t routers, std::size_t runs) {
  FleetShape shape;
  shape.routers = routers;
  shape.own = 0;
  // One-time allocations of the libraries are not counted.
  const ControllerFixture warm_up(FleetShape{});
  const double before = AllocatedBytes();
  ControllerFixture fixture(shape);
  const double memory = AllocatedBytes() - before;
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    std::vector<PeerMessageReceived> heartbeats;
    double bytes = 0;
    for (std::size_t r = 0; r < routers; ++r) {
      heartbeats.push_back(fixture.HeartbeatOf(r));
      bytes += static_cast<double>(heartbeats.back().message.ByteSizeLong() +
                                   kFrameHeader);
    }
    const double in = MicrosOf([&] {
      for (const auto& heartbeat : heartbeats) fixture.Handle(heartbeat);
    });
    const TickCost ticks = MeasureTicks(&fixture);
    const PeerMessageReceived update = fixture.RoutingOf(shape.own);
    const double routing = MicrosOf([&] { fixture.Handle(update); });
    const VmListRead list = ListOf(routers);
    const double vms = MicrosOf([&] { fixture.Handle(list); });
    readings.push_back({in, bytes, ticks.heartbeat_micros,
                        ticks.heartbeat_bytes, ticks.idle_micros, routing, vms,
                        memory});
  }
  return readings;
}

std::vector<Reading> ByEndpoints(std::size_t endpoints, std::size_t runs) {
  FleetShape shape;
  shape.endpoints = endpoints;
  shape.partitions = 1024;
  shape.own = 0;
  const double before = AllocatedBytes();
  ControllerFixture fixture(shape);
  const double memory = AllocatedBytes() - before;
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    std::vector<PeerMessageReceived> heartbeats;
    for (std::size_t r = 0; r < shape.routers; ++r) {
      heartbeats.push_back(fixture.HeartbeatOf(r));
    }
    const double heartbeat = MicrosOf([&] {
      for (const auto& message : heartbeats) fixture.Handle(message);
    });
    const TickCost ticks = MeasureTicks(&fixture);
    const PeerMessageReceived update = fixture.RoutingOf(shape.own);
    const double routing = MicrosOf([&] { fixture.Handle(update); });
    const LogRecordRead publication = fixture.NextPublication();
    const double change = MicrosOf([&] { fixture.Handle(publication); });
    readings.push_back({heartbeat / static_cast<double>(shape.routers),
                        ticks.idle_micros, routing, change,
                        static_cast<double>(publication.record.ByteSizeLong()),
                        memory});
  }
  return readings;
}

std::vector<Reading> ByOwnEndpoints(std::size_t own, std::size_t runs,
                                    bool fenced) {
  FleetShape shape;
  shape.own = own;
  shape.endpoints = 128;
  shape.partitions = 2048;  // 64 for each endpoint
  shape.fenced = fenced;
  const double before = AllocatedBytes();
  ControllerFixture fixture(shape);
  fixture.Settle();
  const double memory = AllocatedBytes() - before;
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    const ControlCost quiet = fixture.Run(Milliseconds{3000}, false);
    const ControlCost busy = fixture.Run(Milliseconds{3000}, true);
    const auto peers = static_cast<double>(shape.routers);
    readings.push_back({quiet.micros / 3, quiet.grants / 3,
                        quiet.grant_json_bytes / 3,
                        quiet.response_json_bytes / 3, quiet.json_micros / 3,
                        busy.micros / 3, busy.peer_bytes / 3 / peers,
                        quiet.witness_messages / 3, quiet.witness_bytes / 3,
                        static_cast<double>(fixture.own_serving()), memory});
  }
  return readings;
}

std::vector<Reading> ByOwnPartitions(std::size_t partitions, std::size_t runs) {
  FleetShape shape;
  shape.services = 1;
  shape.endpoints = 8;
  shape.own = 1;
  shape.partitions = 8 * partitions;
  ControllerFixture fixture(shape);
  fixture.Settle();
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    const ControlCost quiet = fixture.Run(Milliseconds{1000}, false);
    const ControlCost busy = fixture.Run(Milliseconds{3000}, true);
    readings.push_back(
        {quiet.micros, busy.micros / 3,
         busy.peer_bytes / 3 / static_cast<double>(shape.routers)});
  }
  return readings;
}

std::vector<Reading> ByBackups(std::size_t backups, std::size_t runs) {
  FleetShape shape;
  shape.own = 0;
  shape.backups = backups;
  shape.endpoints = 128;
  shape.partitions = 2048;
  const double before = AllocatedBytes();
  ControllerFixture fixture(shape);
  fixture.Settle();
  const double memory = AllocatedBytes() - before;
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    const ControlCost cost = fixture.Run(Milliseconds{3000}, false);
    readings.push_back({cost.micros / 3, memory});
  }
  return readings;
}

// Grants of unfenced endpoints that this router acknowledges.
std::vector<Reading> ByWitnessed(std::size_t endpoints, std::size_t runs) {
  FleetShape shape;
  shape.own = 0;
  shape.backups = endpoints;
  shape.endpoints = 128;
  shape.partitions = 2048;
  shape.fenced = false;
  ControllerFixture fixture(shape);
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    std::vector<PeerMessageReceived> requests;
    double bytes = 0;
    for (std::size_t e = 0; e < endpoints; ++e) {
      requests.push_back(fixture.WitnessRequestOf(e));
      bytes += static_cast<double>(requests.back().message.ByteSizeLong() +
                                   kFrameHeader);
    }
    OwnershipActions replies;
    const double cpu = MicrosOf([&] {
      for (const auto& request : requests) {
        std::ranges::move(fixture.Handle(request), std::back_inserter(replies));
      }
    });
    readings.push_back({cpu, bytes, PeerBytes(replies)});
  }
  return readings;
}

Probe OwnProbe(const std::string& name, bool fenced) {
  return {name,
          "own endpoint",
          {{"cpu", "us/s"},
           {"grants", "1/s"},
           {"grant bodies", "B/s"},
           {"response bodies", "B/s"},
           {"grant json cpu", "us/s"},
           {"cpu with changing load", "us/s"},
           {"reports per receiver", "B/s"},
           {"witness messages", "1/s"},
           {"witness bytes", "B/s"},
           {"serving", "endpoints"},
           // With the lease holder that stands in for the endpoint.
           {"memory", "B"}},
          {1, 4, 16, 64},
          [fenced](std::size_t size, std::size_t runs) {
            return ByOwnEndpoints(size, runs, fenced);
          }};
}

}  // namespace

std::vector<Probe> ControlProbes() {
  return {{"routers",
           "router",
           {{"heartbeats in cpu", "us"},
            {"heartbeats in", "B"},
            {"heartbeats out cpu", "us"},
            {"heartbeats out", "B"},
            {"ticks cpu", "us/s"},
            {"routing update cpu", "us"},
            {"vm list cpu", "us"},
            {"memory", "B"}},
           {8, 32, 128, 512, 2048, 4096},
           ByRouters},
          {"endpoints",
           "endpoint",
           {{"one heartbeat in cpu", "us"},
            {"ticks cpu", "us/s"},
            {"routing update cpu", "us"},
            {"config change cpu", "us"},
            {"config record", "B"},
            {"memory", "B"}},
           {32, 128, 1024, 4096, 17'600},
           ByEndpoints},
          OwnProbe("primary", true),
          OwnProbe("primary-unfenced", false),
          {"primary-partitions",
           "partition of an own endpoint",
           {{"cpu", "us/s"},
            {"cpu with changing load", "us/s"},
            {"reports per receiver", "B/s"}},
           {16, 64, 256, 1024},
           ByOwnPartitions},
          {"backup",
           "endpoint",
           {{"cpu", "us/s"}, {"memory", "B"}},
           {1, 4, 16, 64},
           ByBackups},
          {"witness",
           "grant",
           {{"cpu", "us"}, {"request", "B"}, {"reply", "B"}},
           {4, 16, 64, 128},
           ByWitnessed}};
}

std::vector<Probe> AllProbes() {
  std::vector<Probe> all;
  for (auto probes :
       {ControlProbes(), PartitionProbes(), LogProbes(), RequestProbes()}) {
    std::ranges::move(probes, std::back_inserter(all));
  }
  return all;
}

}  // namespace balsamhall
