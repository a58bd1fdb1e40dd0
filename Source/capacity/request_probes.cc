#include <string>
#include <utility>

#include "capacity/probes.h"
#include "core/partitioner.h"
#include "dispatch/endpoint_dispatcher.h"
#include "dispatch/request_memory.h"

namespace balsamhall {
namespace {

constexpr std::uint32_t kPartitions = 64;
const SteadyTime kNow = SteadyTime{} + std::chrono::hours{1};
const WallTime kWall = WallTime{} + std::chrono::hours{500'000};

std::vector<Reading> Dispatch(std::size_t requests, std::size_t runs) {
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    DispatcherOptions options;
    options.slots = 3;
    EndpointDispatcher dispatcher(options, kNow, false);
    std::map<PartitionId, Fence> partitions;
    for (PartitionId p = 0; p < kPartitions; ++p) partitions[p] = {1, 1};
    dispatcher.SetPartitions(partitions, kNow, kWall);
    const auto answer = std::make_shared<const StoredResponse>(
        StoredResponse{ResultCode::kOk, 200, {}, {}});
    std::size_t started = 0;
    SteadyTime now = kNow;
    WallTime wall = kWall + std::chrono::seconds{10};
    const double cpu = MicrosOf([&] {
      for (std::size_t i = 0; i < requests; ++i) {
        DispatchRequest request;
        request.ticket = i + 1;
        request.request_id = "request-" + std::to_string(1'000'000'000 + i);
        request.partition = static_cast<PartitionId>(i % kPartitions);
        request.first_issued = wall;
        request.deadline = now + std::chrono::seconds{1};
        request.bytes = 200;
        request.content_digest = i;
        started += dispatcher.Submit(std::move(request), now, wall).size();
        now += Milliseconds{1};
        wall += Milliseconds{1};
        dispatcher.Finish(i + 1, answer, now, wall);
      }
    });
    // A request that was not admitted would make the figure too low.
    readings.push_back({cpu, static_cast<double>(started)});
  }
  return readings;
}

std::vector<Reading> Remember(std::size_t ids, std::size_t runs) {
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    const double before = AllocatedBytes();
    RequestMemory::Options options;
    options.window = Milliseconds{600'000};
    options.max_stored_responses = ids;
    options.max_stored_response_bytes = 1U << 30U;
    RequestMemory memory(options);
    memory.Advance(kWall);
    for (std::size_t i = 0; i < ids; ++i) {
      const std::string id =
          "0f8fad5b-d9cb-469f-a165-" + std::to_string(100'000'000'000 + i);
      memory.Add(id, RequestMemory::Entry{});
      memory.StoreResponse(
          id, std::make_shared<const StoredResponse>(
                  StoredResponse{ResultCode::kOk, 200, "application/json",
                                 std::string(100, 'x')}));
    }
    readings.push_back(
        {AllocatedBytes() - before, static_cast<double>(memory.size())});
  }
  return readings;
}

std::vector<Reading> Hash(std::size_t keys, std::size_t runs) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < keys; ++i) {
    names.push_back("asset-" + std::to_string(1'000'000'000 + i));
  }
  std::vector<Reading> readings;
  for (std::size_t run = 0; run < runs; ++run) {
    std::uint64_t sum = 0;
    const double cpu = MicrosOf([&] {
      for (const auto& name : names) sum += PartitionOf(name, 32'768);
    });
    readings.push_back({sum == 0 ? 0 : cpu});
  }
  return readings;
}

}  // namespace

std::vector<Probe> RequestProbes() {
  return {{"dispatcher",
           "request",
           {{"submit and finish cpu", "us"}, {"started", "requests"}},
           {1000, 5000, 20'000, 50'000},
           Dispatch},
          {"request-memory",
           "remembered id",
           {{"memory", "B"}, {"remembered", "ids"}},
           {1000, 10'000, 50'000, 200'000},
           Remember},
          {"partitioner",
           "key",
           {{"PartitionOf cpu", "us"}},
           {1000, 10'000, 100'000},
           Hash}};
}

}  // namespace balsamhall
