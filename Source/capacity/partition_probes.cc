#include <google/protobuf/util/json_util.h>

#include <memory>
#include <utility>

#include "capacity/probes.h"
#include "core/lease_holder.h"
#include "core/routing_table.h"

namespace balsamhall {
namespace {

constexpr std::size_t kEndpoints = 16;
const SteadyTime kNow = SteadyTime{} + std::chrono::hours{1};

std::string EndpointName(std::size_t index) {
  return "server-" + std::to_string(10'000 + index);
}

schema::View ViewOf(std::size_t endpoint) {
  schema::View view;
  view.set_endpoint(EndpointName(endpoint));
  view.mutable_term()->set_offset(1'000'000);
  view.mutable_term()->set_counter(1);
  view.mutable_primary()->set_id("router-00001");
  view.mutable_primary()->set_incarnation(1'000'000);
  view.mutable_backup()->set_id("router-00002");
  view.mutable_backup()->set_incarnation(1'000'001);
  view.set_endpoint_incarnation(1'700'000'000'000'000ULL);
  return view;
}

void SetPartition(schema::PartitionEpoch* entry, std::size_t partition) {
  entry->set_partition(static_cast<std::uint32_t>(partition));
  entry->mutable_epoch()->set_offset(1'000'000);
  entry->mutable_epoch()->set_counter(1);
}

schema::EndpointRouting RoutingOf(std::size_t endpoint, std::size_t partitions,
                                  std::size_t step) {
  schema::EndpointRouting routing;
  routing.set_service("service-0");
  *routing.mutable_view() = ViewOf(endpoint);
  routing.set_revision(1);
  routing.set_load(100.5);
  routing.set_accepting(true);
  routing.set_state("serving");
  for (std::size_t p = endpoint % step; p < partitions; p += step) {
    SetPartition(routing.add_partitions(), p);
  }
  return routing;
}

schema::RoutingConfig ConfigOf(std::size_t partitions) {
  schema::RoutingConfig config;
  schema::ServiceConfig* service = config.add_services();
  service->set_name("service-0");
  service->set_partitions(static_cast<std::uint32_t>(partitions));
  for (std::size_t e = 0; e < kEndpoints; ++e) {
    service->add_endpoints()->set_name(EndpointName(e));
  }
  return config;
}

std::vector<Reading> ByPartitions(std::size_t partitions, std::size_t runs) {
  const schema::RoutingConfig config = ConfigOf(partitions);
  std::vector<schema::EndpointRouting> updates;
  for (std::size_t e = 0; e < kEndpoints; ++e) {
    updates.push_back(RoutingOf(e, partitions, kEndpoints));
  }
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    const double empty = AllocatedBytes();
    RoutingTable table;
    const double update = MicrosOf([&] {
      for (const auto& routing : updates) table.Update(routing, kNow);
    });
    const double with_table = AllocatedBytes();
    auto snapshot = std::make_unique<RoutingSnapshot>();
    const double fill =
        MicrosOf([&] { table.FillSnapshot(config, snapshot.get()); });
    const double with_snapshot = AllocatedBytes();
    readings.push_back(
        {with_table - empty, with_snapshot - with_table, update, fill});
  }
  return readings;
}

std::vector<Reading> ByReportedPartitions(std::size_t partitions,
                                          std::size_t runs) {
  schema::EndpointRouting routing = RoutingOf(0, partitions, 1);
  std::vector<Reading> readings;
  RoutingTable table;
  for (std::size_t run = 0; run < runs; ++run) {
    routing.set_revision(run + 1);
    std::string frame;
    const double encode = MicrosOf([&] { routing.SerializeToString(&frame); });
    schema::EndpointRouting read;
    const double decode = MicrosOf([&] { read.ParseFromString(frame); });
    const double update = MicrosOf([&] { table.Update(read, kNow); });
    readings.push_back(
        {static_cast<double>(frame.size()), encode, decode, update});
  }
  return readings;
}

std::vector<Reading> ByHeldPartitions(std::size_t partitions,
                                      std::size_t runs) {
  LeaseHolder holder(EndpointName(0), 1'700'000'000'000'000ULL, true);
  schema::GrantRequest grant;
  *grant.mutable_view() = ViewOf(0);
  grant.set_lease_ms(600);
  grant.set_lease_from_us(3'600'000'000);
  for (std::size_t p = 0; p < partitions; ++p) {
    SetPartition(grant.add_add(), p);
  }
  const double before = AllocatedBytes();
  grant.set_sequence(1);
  holder.OnGrant(grant, kNow, 0);
  const double memory = AllocatedBytes() - before;
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    schema::GrantRequest renewal;
    *renewal.mutable_view() = ViewOf(0);
    renewal.set_lease_ms(600);
    renewal.set_sequence(2 + run);
    schema::GrantResponse response;
    // One call is too short for the clock.
    constexpr int calls = 100;
    const double renew = MicrosOf([&] {
      for (int i = 0; i < calls; ++i) {
        renewal.set_sequence(2 + run * calls + static_cast<unsigned>(i));
        response = holder.OnGrant(renewal, kNow, 0);
      }
    });
    renewal.set_read_only(true);
    const double full =
        MicrosOf([&] { response = holder.OnGrant(renewal, kNow, 0); });
    std::string json;
    const double encode = MicrosOf([&] {
      if (!google::protobuf::util::MessageToJsonString(response, &json).ok()) {
        json.clear();
      }
    });
    readings.push_back({renew / calls, full, encode,
                        static_cast<double>(response.ByteSizeLong()),
                        static_cast<double>(json.size()), memory});
  }
  return readings;
}

std::vector<Reading> ByDigestedEndpoints(std::size_t endpoints,
                                         std::size_t runs) {
  RoutingTable table;
  for (std::size_t e = 0; e < endpoints; ++e) {
    table.Update(RoutingOf(e, 0, 1), kNow);
  }
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    std::uint64_t digest = 0;
    const double other =
        MicrosOf([&] { digest += table.DigestOf("router-00009"); });
    const double own =
        MicrosOf([&] { digest += table.DigestOf("router-00001"); });
    readings.push_back({other, digest == 0 ? 0 : own});
  }
  return readings;
}

}  // namespace

std::vector<Probe> PartitionProbes() {
  return {{"partitions",
           "partition",
           {{"routing table", "B"},
            {"snapshot", "B"},
            {"table update cpu", "us"},
            {"snapshot rebuild cpu", "us"}},
           {1024, 4096, 16'384, 65'536, 262'144},
           ByPartitions},
          {"routing-update",
           "partition",
           {{"frame", "B"},
            {"encode cpu", "us"},
            {"decode cpu", "us"},
            {"store cpu", "us"}},
           {16, 64, 256, 1024, 4096},
           ByReportedPartitions},
          {"lease-holder",
           "partition",
           {{"renewal cpu", "us"},
            {"full response cpu", "us"},
            {"full response to json cpu", "us"},
            {"full response", "B"},
            {"full response as json", "B"},
            {"memory", "B"}},
           {16, 64, 256, 1024, 4096, 16'384},
           ByHeldPartitions},
          {"digest",
           "endpoint",
           {{"DigestOf a router with none", "us"},
            {"DigestOf a router with all", "us"}},
           {32, 256, 1024, 4096, 17'600},
           ByDigestedEndpoints}};
}

}  // namespace balsamhall
