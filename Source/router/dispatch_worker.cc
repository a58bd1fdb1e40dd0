#include "router/dispatch_worker.h"

#include <algorithm>
#include <utility>

#include "core/partitioner.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kLoadTimeConstant{30'000};

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

DispatcherOptions OptionsOf(const schema::EndpointConfig& config,
                            const schema::PolicyConfig& policy) {
  DispatcherOptions options;
  options.slots = std::max(1U, config.slots());
  options.floor_normal = policy.floor_normal();
  options.floor_background = policy.floor_background();
  return options;
}

// An endpoint is cold until the slow start after serving_since has ended.
bool IsCold(const EndpointRoute& route, SteadyTime now) {
  return route.serving_since != SteadyTime{} &&
         now - route.serving_since < DispatcherOptions{}.slow_start_time;
}

std::uint64_t ContentDigest(const schema::ForwardRequest& request) {
  const std::string hex =
      Digest(request.kind() + '\n' + request.key() + '\n' + request.body());
  return std::stoull(hex, nullptr, 16);
}

std::int64_t UnixMicroseconds(WallTime time) {
  return std::chrono::duration_cast<Microseconds>(time.time_since_epoch())
      .count();
}

Microseconds ToMicroseconds(SteadyTime::duration duration) {
  return std::chrono::duration_cast<Microseconds>(duration);
}

}  // namespace

schema::ForwardReply ReplyOf(ResultCode code) {
  schema::ForwardReply reply;
  reply.set_code(static_cast<std::uint32_t>(code));
  return reply;
}

DispatchWorker::DispatchWorker(const EndpointRoute& route,
                               const BackendFactory& factory, RouterId self,
                               TraceStore& traces, SteadyTime now)
    : route_(route),
      factory_(factory),
      self_(std::move(self)),
      traces_(traces),
      dispatcher_(OptionsOf(route.config, {}), route.serving_since,
                  IsCold(route, now)),
      backend_(factory(route.config)),
      load_meter_(kLoadTimeConstant) {}

void DispatchWorker::Apply(const EndpointRoute& route,
                           const schema::PolicyConfig& policy,
                           const std::map<PartitionId, Fence>& partitions,
                           SteadyTime now, WallTime wall_now) {
  if (stopped_) return;
  if (route.config.address() != route_.config.address() ||
      route.config.connections() != route_.config.connections()) {
    retired_backends_.push_back(std::move(backend_));
    backend_ = factory_(route.config);
  }
  route_ = route;
  Execute(dispatcher_.SetOptions(OptionsOf(route.config, policy), now));
  if (partitions != partitions_) {
    partitions_ = partitions;
    Execute(dispatcher_.SetPartitions(partitions, now, wall_now));
  }
}

void DispatchWorker::Submit(DispatchJob job, SteadyTime now,
                            WallTime wall_now) {
  DispatchRequest request;
  request.ticket = job.ticket;
  request.request_id = job.request.request_id();
  request.rank = job.kind.rank();
  request.idempotent = job.kind.idempotent();
  request.long_running = job.kind.long_running();
  request.partition = job.partition;
  if (!request.idempotent) {
    request.first_issued =
        WallTime(Milliseconds(job.request.first_issued_ms()));
  }
  request.first_attempt = job.request.first_attempt();
  request.deadline = job.deadline;
  request.bytes = job.request.body().size() + job.request.key().size();
  request.kind = job.kind_number;
  request.content_digest = ContentDigest(job.request);

  PendingJob pending;
  pending.submitted = now;
  pending.submitted_wall = wall_now;
  pending.queue_span = NextSpan(ParseTraceparent(job.request.traceparent()));
  pending.job = std::move(job);
  jobs_.emplace(request.ticket, std::move(pending));
  Execute(dispatcher_.Submit(std::move(request), now, wall_now));
}

void DispatchWorker::Cancel(Ticket ticket, SteadyTime now) {
  if (jobs_.contains(ticket)) Execute(dispatcher_.Cancel(ticket, now));
}

std::map<PartitionId, SteadyTime> DispatchWorker::Stop(ResultCode code,
                                                       bool cancel_running,
                                                       SteadyTime now) {
  stopped_ = true;
  Execute(dispatcher_.Stop(code, now));
  if (cancel_running) {
    for (const auto& [ticket, pending] : jobs_) {
      backend_->Cancel(pending.job.request.request_id());
    }
  }
  return dispatcher_.RunningUntil();
}

void DispatchWorker::Tick(SteadyTime now, WallTime wall_now) {
  Execute(dispatcher_.Tick(now, wall_now));
}

LoadMeasured DispatchWorker::Measure(SteadyTime now) {
  LoadMeter::Reading reading = load_meter_.Read(now);
  LoadMeasured measured;
  measured.endpoint = route_.config.name();
  measured.load = reading.total;
  measured.by_partition = std::move(reading.by_partition);
  measured.drain_refused = std::exchange(drain_refused_, false);
  return measured;
}

void DispatchWorker::Execute(DispatchActions actions) {
  std::ranges::move(actions, std::back_inserter(actions_));
  // Work may end within Start() and yield further actions. The outermost call
  // runs them in order, which avoids recursion.
  if (executing_) return;
  executing_ = true;
  while (!actions_.empty()) {
    const DispatchAction action = std::move(actions_.front());
    actions_.pop_front();
    std::visit(
        Overloaded{[this](const StartWork& start) { Start(start.ticket); },
                   [this](const RejectRequest& reject) {
                     StoredResponse response;
                     response.code = reject.code;
                     SendReply(reject.ticket, response);
                   },
                   [this](const SendStoredResponse& stored) {
                     SendReply(stored.ticket, *stored.response);
                   },
                   [this](const CancelWork& cancel) {
                     const auto found = jobs_.find(cancel.ticket);
                     if (found == jobs_.end()) return;
                     backend_->Cancel(found->second.job.request.request_id());
                   }},
        action);
  }
  executing_ = false;
}

bool DispatchWorker::HasAuthority(SteadyTime now) const {
  if (route_.config.checks_fences() || !route_.authority_until) return true;
  return now.time_since_epoch().count() < route_.authority_until->load();
}

void DispatchWorker::Start(Ticket ticket) {
  const auto found = jobs_.find(ticket);
  if (found == jobs_.end()) return;
  PendingJob& pending = found->second;
  const SteadyTime now = std::chrono::steady_clock::now();
  pending.started = now;
  const DispatchJob& job = pending.job;
  const auto epoch =
      job.partition ? partitions_.find(*job.partition) : partitions_.end();
  if (!HasAuthority(now) || (job.partition && epoch == partitions_.end())) {
    auto response = std::make_shared<StoredResponse>();
    response->code = job.partition && epoch == partitions_.end()
                         ? ResultCode::kNotRunMoved
                         : ResultCode::kNotRunNoAuthority;
    EndWork(ticket, response);
    return;
  }
  pending.backend_span = NextSpan(pending.queue_span);
  WorkRequest work;
  work.kind = job.request.kind();
  work.key = job.request.key();
  work.request_id = job.request.request_id();
  work.fenced = route_.config.checks_fences();
  work.term = route_.term;
  work.partition = job.partition;
  if (job.partition) work.epoch = epoch->second;
  work.remaining = std::chrono::duration_cast<Milliseconds>(job.deadline - now);
  work.traceparent = FormatTraceparent(pending.backend_span);
  work.content_type = job.request.content_type();
  work.body = job.request.body();
  backend_->Work(std::move(work),
                 [weak = weak_from_this(), ticket](const WorkAnswer& response) {
                   if (const auto self = weak.lock()) {
                     self->OnWorkDone(ticket, response);
                   }
                 });
}

void DispatchWorker::OnWorkDone(Ticket ticket, const WorkAnswer& response) {
  if (response.draining) drain_refused_ = true;
  auto stored = std::make_shared<StoredResponse>();
  stored->code = response.code;
  stored->http_status = response.http_status;
  stored->content_type = response.content_type;
  stored->body = response.body;
  EndWork(ticket, stored);
}

void DispatchWorker::EndWork(Ticket ticket, const StoredResponsePtr& response) {
  const auto found = jobs_.find(ticket);
  if (found == jobs_.end()) return;
  const SteadyTime now = std::chrono::steady_clock::now();
  if (!IsNotRun(response->code)) {
    load_meter_.Add(found->second.job.partition,
                    ToMicroseconds(now - found->second.started), now);
  }
  SendReply(ticket, *response);
  Execute(dispatcher_.Finish(ticket, response, now,
                             std::chrono::system_clock::now()));
}

void DispatchWorker::SendReply(Ticket ticket, const StoredResponse& response) {
  const auto found = jobs_.find(ticket);
  if (found == jobs_.end()) return;
  const PendingJob pending = std::move(found->second);
  jobs_.erase(found);
  schema::ForwardReply reply = ReplyOf(response.code);
  reply.set_correlation(pending.job.request.correlation());
  reply.set_http_status(response.http_status);
  reply.set_content_type(response.content_type);
  reply.set_body(response.body);
  reply.set_endpoint(route_.config.name());
  RecordSpans(pending, reply.code(), std::chrono::steady_clock::now());
  pending.job.done(std::move(reply));
}

void DispatchWorker::RecordSpans(const PendingJob& pending, unsigned code,
                                 SteadyTime now) {
  const auto parent = ParseTraceparent(pending.job.request.traceparent());
  const bool started = pending.started != SteadyTime{};
  schema::Span span;
  span.set_trace_id(pending.queue_span.trace_id);
  span.set_span_id(pending.queue_span.span_id);
  if (parent) span.set_parent_span_id(parent->span_id);
  span.set_name("queue");
  span.set_router(self_);
  span.set_request_id(pending.job.request.request_id());
  span.set_endpoint(route_.config.name());
  span.set_start_us(UnixMicroseconds(pending.submitted_wall));
  span.set_duration_us(
      ToMicroseconds((started ? pending.started : now) - pending.submitted)
          .count());
  span.set_code(started ? 0 : code);
  if (started) {
    schema::Span backend = span;
    backend.set_span_id(pending.backend_span.span_id);
    backend.set_parent_span_id(pending.queue_span.span_id);
    backend.set_name("backend");
    backend.set_start_us(span.start_us() + span.duration_us());
    backend.set_duration_us(ToMicroseconds(now - pending.started).count());
    backend.set_code(code);
    traces_.Record(std::move(backend), pending.queue_span.sampled);
  }
  traces_.Record(std::move(span), pending.queue_span.sampled);
}

}  // namespace balsamhall
