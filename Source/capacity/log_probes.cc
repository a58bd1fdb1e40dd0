#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <utility>

#include "capacity/controller_fixture.h"
#include "capacity/probes.h"

namespace balsamhall {
namespace {

// A read returns at most this many records, as in the router's log follower.
constexpr std::size_t kPage = 500;

struct EncodedRecord {
  std::uint64_t offset = 0;
  std::string writer;
  std::string payload;
};

// Join records of up to 4,400 different VMs; later records are restarts.
std::vector<EncodedRecord> Joins(std::size_t count) {
  std::vector<EncodedRecord> records;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string id = "router-" + std::to_string(10'000 + i % 4400);
    schema::LogRecord record;
    schema::RouterJoined* join = record.mutable_router_joined();
    join->set_id(id);
    join->set_data_centre("dc-" + std::to_string(i % 23));
    join->set_region("region-" + std::to_string(i % 7));
    join->set_peer_address("10.12.34.56:7001");
    join->set_forward_address("10.12.34.56:7002");
    join->set_control_address("10.12.34.56:7003");
    join->set_nonce(i * 0x9e3779b97f4a7c15ULL);
    // Offsets start at 1, so the earlier join of the VM is 4,400 below.
    join->set_replaces(i < 4400 ? 0 : i + 1 - 4400);
    records.push_back({i + 1, id + "#" + std::to_string(join->nonce()),
                       record.SerializeAsString()});
  }
  return records;
}

schema::RouterJoined Self() {
  schema::RouterJoined self;
  self.set_id("router-self");
  self.set_data_centre("dc-1");
  self.set_region("region-1");
  return self;
}

std::vector<Reading> StartFromLog(std::size_t count, std::size_t runs) {
  const std::vector<EncodedRecord> records = Joins(count);
  double bytes = 0;
  for (const auto& record : records) {
    bytes += static_cast<double>(record.payload.size());
  }
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    OwnershipController controller(Self(), OwnershipOptions{}, 1);
    const SteadyTime now = SteadyTime{} + std::chrono::hours{1};
    const double before = AllocatedBytes();
    const double start = MicrosOf([&] {
      for (std::size_t i = 0; i < records.size(); ++i) {
        LogRecordRead read;
        read.offset = records[i].offset;
        read.writer = records[i].writer;
        read.sequence = 1;
        read.record.ParseFromString(records[i].payload);
        controller.Handle(read, now);
        const bool page_ends = (i + 1) % kPage == 0 || i + 1 == count;
        if (!page_ends) continue;
        controller.Handle(
            LogReadFinished{true, 1, count + 1, std::chrono::hours{24}}, now);
      }
    });
    readings.push_back({start, bytes, AllocatedBytes() - before});
  }
  return readings;
}

// Records that arrive after the start; each one rebuilds the snapshot.
std::vector<Reading> FollowLog(std::size_t count, std::size_t runs) {
  FleetShape shape;
  shape.routers = 64;
  ControllerFixture fixture(shape);
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    std::vector<LogRecordRead> records;
    for (std::size_t i = 0; i < count; ++i) {
      // Restarts of one router leave the size of the fleet as it is.
      LogRecordRead read = fixture.NextJoin();
      schema::RouterJoined* join = read.record.mutable_router_joined();
      join->set_id("router-00001");
      join->set_replaces(i == 0 ? fixture.IncarnationOf("router-00001")
                                : read.offset - 1);
      records.push_back(std::move(read));
    }
    const double cpu = MicrosOf([&] {
      for (const auto& record : records) fixture.Handle(record);
    });
    readings.push_back({cpu});
  }
  return readings;
}

std::vector<Reading> FleetState(std::size_t routers, std::size_t runs) {
  FleetShape shape;
  shape.routers = routers;
  ControllerFixture fixture(shape);
  PeerMessageReceived request;
  request.message.mutable_sender()->set_id("router-00001");
  request.message.mutable_state_request();
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    OwnershipActions actions;
    const double cpu = MicrosOf([&] { actions = fixture.Handle(request); });
    double bytes = 0;
    for (const OwnershipAction& action : actions) {
      const auto* send = std::get_if<SendPeerMessage>(&action);
      if (send == nullptr || !send->message.has_state_reply()) continue;
      bytes = static_cast<double>(
          send->message.state_reply().fleet().ByteSizeLong());
    }
    readings.push_back({cpu, bytes});
  }
  return readings;
}

std::vector<Reading> AssignmentRecord(std::size_t partitions,
                                      std::size_t runs) {
  schema::LogRecord record;
  schema::Assignment* assignment = record.mutable_assignment();
  assignment->set_service("service-0");
  for (std::size_t p = 0; p < partitions; ++p) {
    assignment->add_owner(static_cast<std::uint32_t>(p % 550));
  }
  return std::vector<Reading>(
      runs, Reading{static_cast<double>(record.ByteSizeLong())});
}

}  // namespace

std::vector<Probe> LogProbes() {
  return {{"log-start",
           "record",
           {{"start cpu", "us"}, {"payload", "B"}, {"memory", "B"}},
           {100, 1000, 10'000, 50'000},
           StartFromLog},
          {"log-follow", "record", {{"cpu", "us"}}, {10, 100, 500}, FollowLog},
          {"fleet-state",
           "router",
           {{"state reply cpu", "us"}, {"fleet snapshot", "B"}},
           {8, 128, 1024, 4096},
           FleetState},
          {"assignment",
           "partition",
           {{"record", "B"}},
           {1024, 16'384, 262'144},
           AssignmentRecord}};
}

}  // namespace balsamhall
