// Drives an EndpointDispatcher with a simulated clock and records its actions.
#ifndef BALSAMHALL_TESTS_DISPATCH_DISPATCHER_FIXTURE_H_
#define BALSAMHALL_TESTS_DISPATCH_DISPATCHER_FIXTURE_H_

#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/invariant.h"
#include "dispatch/endpoint_dispatcher.h"

namespace balsamhall {

class DispatcherFixture {
 public:
  explicit DispatcherFixture(DispatcherOptions options, bool cold = false)
      : dispatcher(options, steady, cold) {
    SetInvariantHandler([](const std::string& name, const std::string& detail) {
      throw std::runtime_error("invariant " + name + ": " + detail);
    });
    RecordActions(dispatcher.SetPartitions({{7, Fence{5, 0}}}, steady, wall));
    // Longer than the clock skew, so that requests issued from now on are later
    // than the start of the memory of request ids.
    AdvanceTime(Milliseconds{5000});
  }
  ~DispatcherFixture() { SetInvariantHandler(nullptr); }
  DispatcherFixture(const DispatcherFixture&) = delete;
  DispatcherFixture& operator=(const DispatcherFixture&) = delete;

  void AdvanceTime(Milliseconds time) {
    steady += time;
    wall += time;
    RecordActions(dispatcher.Tick(steady, wall));
  }

  DispatchRequest MakeRequest(schema::Rank rank) {
    DispatchRequest request;
    request.ticket = next_ticket++;
    request.request_id = "request-" + std::to_string(request.ticket);
    request.rank = rank;
    request.partition = 7;
    request.first_issued = wall;
    request.deadline = steady + Milliseconds{1000};
    request.bytes = 10;
    return request;
  }

  Ticket Submit(const DispatchRequest& request) {
    RecordActions(dispatcher.Submit(request, steady, wall));
    return request.ticket;
  }
  Ticket Submit(schema::Rank rank) { return Submit(MakeRequest(rank)); }

  void Finish(Ticket ticket, ResultCode code = ResultCode::kOk) {
    RecordActions(dispatcher.Finish(
        ticket,
        std::make_shared<StoredResponse>(StoredResponse{code, 200, {}, "body"}),
        steady, wall));
  }

  void RecordActions(const DispatchActions& actions) {
    for (const auto& action : actions) {
      if (const auto* start = std::get_if<StartWork>(&action)) {
        started.push_back(start->ticket);
      } else if (const auto* reject = std::get_if<RejectRequest>(&action)) {
        results[reject->ticket] = reject->code;
      } else if (const auto* stored =
                     std::get_if<SendStoredResponse>(&action)) {
        results[stored->ticket] = stored->response->code;
      } else if (const auto* cancel = std::get_if<CancelWork>(&action)) {
        cancelled.push_back(cancel->ticket);
      }
    }
  }

  SteadyTime steady{std::chrono::hours{1}};
  WallTime wall{std::chrono::hours{400'000}};
  Ticket next_ticket = 1;
  std::vector<Ticket> started;
  std::vector<Ticket> cancelled;
  std::map<Ticket, ResultCode> results;
  EndpointDispatcher dispatcher;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_DISPATCH_DISPATCHER_FIXTURE_H_
