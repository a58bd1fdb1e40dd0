#include "StandIn/backend_stand_in.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <deque>
#include <unordered_map>

#include "StandIn/execution_record.h"
#include "StandIn/http_reply.h"
#include "core/lease_holder.h"
#include "net/http_server.h"
#include "net/percent_encoding.h"

namespace balsamhall {
namespace {

using nlohmann::json;
using stand_in::JsonReply;
using stand_in::RunAfter;
using stand_in::Target;
using stand_in::TextReply;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxHeld = 10'000;
constexpr int kColdFactor = 3;

std::uint64_t ClockMicros() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

HttpResponse ProtoReply(const google::protobuf::Message& message) {
  std::string body;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &body);
  return {
      status.ok() ? 200U : 500U, {{"Content-Type", "application/json"}}, body};
}

std::uint64_t NumberHeader(const HttpRequest& request, std::string_view name,
                           std::uint64_t otherwise) {
  const auto text = FindHeader(request.headers, name);
  std::from_chars(text.data(), text.data() + text.size(), otherwise);
  return otherwise;
}

}  // namespace

class BackendStandIn::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop, BackendStandInOptions options)
      : loop_(loop),
        options_(std::move(options)),
        incarnation_(options_.incarnation != 0 ? options_.incarnation
                                               : ClockMicros()),
        lease_(options_.name, incarnation_, options_.checks_fences),
        record_(options_.slots),
        server_(loop, ServerOptions(),
                [this](HttpRequest request, HttpServer::Respond respond) {
                  Handle(std::move(request), std::move(respond));
                }) {}

  void SetFault(const json& change);
  json Summary() const {
    json summary = record_.Summary();
    summary["name"] = options_.name;
    summary["connections"] = server_.connections();
    summary["max_connections"] = max_connections_;
    return summary;
  }

  boost::asio::io_context& loop_;
  const BackendStandInOptions options_;
  const std::uint64_t incarnation_;
  const SteadyTime started_ = Clock::now();
  LeaseHolder lease_;
  ExecutionRecord record_;
  HttpServer server_;

 private:
  struct Work {
    HttpRequest request;
    HttpServer::Respond respond;
    std::string id;
    std::optional<PartitionId> partition;
    bool checked = false;  // the lease holder counts it as running
    std::size_t number = 0;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  // The customer's connection bound is checked from the outside, by
  // max_connections; the server itself takes a few more for the tests.
  HttpServerOptions ServerOptions() const {
    HttpServerOptions options;
    options.max_connections = options_.connections + 100;
    return options;
  }
  bool Fault(const char* name) const { return fault_[name].get<bool>(); }

  void Handle(HttpRequest request, HttpServer::Respond respond);
  void HandlePlatform(const HttpRequest& request, const Target& target,
                      const HttpServer::Respond& respond);
  HttpResponse HandleTest(const HttpRequest& request, const Target& target);
  void StartWork(const HttpRequest& request, const Target& target,
                 const HttpServer::Respond& respond);
  ResultCode CheckFence(Work& work);
  void FinishWork(const std::shared_ptr<Work>& work, bool whole);
  void Refuse(const Work& work, unsigned status, ResultCode code);
  void Answer(const Work& work, HttpResponse response);
  HttpResponse Grant(const std::string& body);
  HttpResponse Health() const;

  json fault_ = {
      {"freeze", false},  {"silent", false},         {"late_ms", 0},
      {"crossed", false}, {"truncated", false},      {"shed", false},
      {"drain", false},   {"no_fence_check", false}, {"lying_load", false}};
  std::uint64_t newest_connection_ = 0;
  std::uint64_t silent_up_to_ = 0;
  std::size_t max_connections_ = 0;
  std::deque<std::function<void()>> held_;  // while frozen
  std::unordered_map<std::string, std::shared_ptr<Work>> running_;
};

void BackendStandIn::Impl::SetFault(const json& change) {
  fault_.update(change);
  if (change.value("silent", false)) silent_up_to_ = newest_connection_;
  if (Fault("freeze")) return;
  for (const auto& run : std::exchange(held_, {})) run();
}

void BackendStandIn::Impl::Handle(HttpRequest request,
                                  HttpServer::Respond respond) {
  const Target target(request.target);
  const std::string first = target.path.empty() ? "" : target.path[0];
  if (first == "fault" || first == "executions") {
    return respond(HandleTest(request, target));
  }
  newest_connection_ = std::max(newest_connection_, request.connection);
  max_connections_ = std::max(max_connections_, server_.connections());
  if (request.connection <= silent_up_to_) return;
  if (!Fault("freeze")) return HandlePlatform(request, target, respond);
  if (held_.size() >= kMaxHeld) return;
  held_.emplace_back([this, request = std::move(request), target,
                      respond = std::move(respond)] {
    HandlePlatform(request, target, respond);
  });
}

HttpResponse BackendStandIn::Impl::HandleTest(const HttpRequest& request,
                                              const Target& target) {
  if (target.path[0] == "fault") {
    const json change = json::parse(request.body, nullptr, false);
    if (!change.is_object()) return TextReply(400, "not an object");
    SetFault(change);
    return JsonReply(fault_);
  }
  if (const std::string id = target.Text("id"); !id.empty()) {
    return JsonReply(record_.Of(PercentDecode(id).value_or(id)));
  }
  if (!target.Text("after").empty()) {
    return JsonReply(
        record_.Page(target.Number("after", 0), target.Number("max", 10'000)));
  }
  return JsonReply(Summary());
}

void BackendStandIn::Impl::HandlePlatform(const HttpRequest& request,
                                          const Target& target,
                                          const HttpServer::Respond& respond) {
  const std::string first = target.path.empty() ? "" : target.path[0];
  if (first == "work" && target.path.size() == 3) {
    return StartWork(request, target, respond);
  }
  if (first == "grant") return respond(Grant(request.body));
  if (first == "health") return respond(Health());
  if (first == "cancel" && target.path.size() == 2) {
    const auto found =
        running_.find(PercentDecode(target.path[1]).value_or(""));
    const bool running = found != running_.end();
    if (running) FinishWork(std::shared_ptr<Work>(found->second), false);
    return respond(TextReply(running ? 200 : 404, ""));
  }
  respond(TextReply(404, "unknown target"));
}

ResultCode BackendStandIn::Impl::CheckFence(Work& work) {
  const auto header = [&](const char* name) {
    return FindHeader(work.request.headers, name);
  };
  if (!options_.checks_fences || Fault("no_fence_check")) {
    return ResultCode::kOk;
  }
  if (!header("Balsamhall-Partition").empty()) {
    work.partition = static_cast<PartitionId>(
        NumberHeader(work.request, "Balsamhall-Partition", 0));
  }
  const ResultCode code = lease_.TryStartWork(
      work.partition, ParseFence(header("Balsamhall-Term")).value_or(Fence{}),
      ParseFence(header("Balsamhall-Epoch")).value_or(Fence{}), Clock::now());
  work.checked = code == ResultCode::kOk;
  return code;
}

void BackendStandIn::Impl::StartWork(const HttpRequest& request,
                                     const Target& target,
                                     const HttpServer::Respond& respond) {
  auto work = std::make_shared<Work>();
  work->request = request;
  work->respond = respond;
  work->id = FindHeader(request.headers, "Balsamhall-Request-Id");
  if (Fault("drain")) return Refuse(*work, 503, ResultCode::kNotRunDraining);
  const bool full = record_.running() >= options_.slots;
  if (full) record_.RefuseFull();
  if (full || Fault("shed")) {
    return Refuse(*work, 503, ResultCode::kNotRunShed);
  }
  if (const ResultCode code = CheckFence(*work); code != ResultCode::kOk) {
    return Refuse(*work, 409, code);
  }
  const std::string kind = PercentDecode(target.path[1]).value_or("");
  const std::string key = PercentDecode(target.path[2]).value_or("");
  work->number =
      record_.Start(work->id, kind, key, std::chrono::system_clock::now());
  running_[work->id] = work;

  const auto by_kind = options_.service_time_by_kind.find(kind);
  Microseconds service = by_kind == options_.service_time_by_kind.end()
                             ? options_.service_time
                             : by_kind->second;
  if (Clock::now() < started_ + options_.cold_time) service *= kColdFactor;
  const Milliseconds remaining(
      NumberHeader(request, "Balsamhall-Deadline-Ms", 60'000));
  const bool whole = service <= remaining;
  work->timer = std::make_unique<boost::asio::steady_timer>(
      loop_, std::min<Microseconds>(service, remaining));
  work->timer->async_wait([self = shared_from_this(), work, whole](auto error) {
    if (error) return;
    if (self->Fault("freeze")) {
      self->held_.emplace_back(
          [self, work, whole] { self->FinishWork(work, whole); });
      return;
    }
    self->FinishWork(work, whole);
  });
}

void BackendStandIn::Impl::FinishWork(const std::shared_ptr<Work>& work,
                                      bool whole) {
  if (!work->timer) return;  // already cancelled
  work->timer.reset();
  record_.Finish(work->number, whole, std::chrono::system_clock::now());
  if (work->checked) lease_.FinishWork(work->partition);
  if (const auto found = running_.find(work->id);
      found != running_.end() && found->second == work) {
    running_.erase(found);
  }
  HttpResponse response = TextReply(
      whole ? 200 : 504, whole ? "done " + work->id : "stopped " + work->id);
  response.headers.emplace_back("Content-Type", "text/plain");
  Answer(*work, std::move(response));
}

void BackendStandIn::Impl::Refuse(const Work& work, unsigned status,
                                  ResultCode code) {
  HttpResponse response = TextReply(status, std::string(ResultCodeName(code)));
  response.headers.emplace_back("Balsamhall-Code",
                                std::to_string(static_cast<int>(code)));
  if (Fault("drain")) response.headers.emplace_back("Balsamhall-Drain", "1");
  Answer(work, std::move(response));
}

void BackendStandIn::Impl::Answer(const Work& work, HttpResponse response) {
  std::string id = work.id;
  if (Fault("crossed")) {
    id = "other-" + id;
    response.body = "done " + id;
  }
  response.headers.emplace_back("Balsamhall-Request-Id", id);
  if (Fault("truncated")) response = stand_in::Truncate(std::move(response));
  const Milliseconds late(fault_["late_ms"].get<int>());
  if (late.count() == 0) return work.respond(std::move(response));
  RunAfter(loop_, late,
           [respond = work.respond, response] { respond(response); });
}

HttpResponse BackendStandIn::Impl::Grant(const std::string& body) {
  schema::GrantRequest request;
  if (!google::protobuf::util::JsonStringToMessage(body, &request).ok()) {
    schema::GrantResponse response;
    response.set_status(schema::GRANT_MALFORMED);
    return ProtoReply(response);
  }
  return ProtoReply(lease_.OnGrant(request, Clock::now(), record_.running()));
}

HttpResponse BackendStandIn::Impl::Health() const {
  schema::HealthReport report;
  report.set_endpoint(options_.name);
  report.set_incarnation(incarnation_);
  report.set_draining(Fault("drain"));
  const double load =
      static_cast<double>(record_.running()) / std::max(1U, options_.slots);
  report.set_load(Fault("lying_load") ? 0.0 : std::min(1.0, load));
  report.set_in_flight(record_.running());
  report.set_cold(Clock::now() < started_ + options_.cold_time);
  return ProtoReply(report);
}

BackendStandIn::BackendStandIn(boost::asio::io_context& loop,
                               BackendStandInOptions options)
    : impl_(std::make_shared<Impl>(loop, std::move(options))) {}

BackendStandIn::~BackendStandIn() = default;

Result<std::uint16_t> BackendStandIn::Listen(const std::string& address) {
  return impl_->server_.Listen(address);
}

void BackendStandIn::SetFault(const std::string& json_text) {
  impl_->SetFault(json::parse(json_text));
}

std::string BackendStandIn::Executions() const {
  return impl_->Summary().dump();
}

}  // namespace balsamhall
