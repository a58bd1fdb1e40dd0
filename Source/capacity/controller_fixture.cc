#include "capacity/controller_fixture.h"

#include <google/protobuf/util/json_util.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "capacity/slope_table.h"
#include "core/config_rules.h"
#include "core/partitioner.h"

namespace balsamhall {
namespace {

constexpr Milliseconds kTick{20};  // as in the router's control loop
constexpr Milliseconds kHeartbeat{150};
constexpr Milliseconds kLoadInterval{500};  // of the router's dispatch table
constexpr std::size_t kFrameHeader = 4;
constexpr auto kRetention = std::chrono::hours{24};

schema::RouterJoined JoinOf(const std::string& id, std::size_t place) {
  schema::RouterJoined join;
  join.set_id(id);
  join.set_data_centre(fmt::format("dc-{}", place % 23));
  join.set_region(fmt::format("region-{}", place % 7));
  const std::string host = fmt::format("10.{}.{}.{}", place >> 16U,
                                       place >> 8U & 255U, place & 255U);
  join.set_peer_address(host + ":7001");
  join.set_forward_address(host + ":7002");
  join.set_control_address(host + ":7003");
  join.set_nonce(place * 0x9e3779b97f4a7c15ULL);
  return join;
}

std::string ToJson(const google::protobuf::Message& message) {
  std::string json;
  if (!google::protobuf::util::MessageToJsonString(message, &json).ok()) {
    json.clear();
  }
  return json;
}

}  // namespace

ControllerFixture::ControllerFixture(const FleetShape& shape)
    : shape_(shape),
      controller_(JoinOf("router-self", 70'000), OwnershipOptions{}, 1),
      now_(SteadyTime{} + std::chrono::hours{1}) {
  BuildConfig();
  Start();
}

std::string ControllerFixture::RouterName(std::size_t router) const {
  return fmt::format("router-{:05}", router);
}

schema::RouterRef ControllerFixture::RouterAt(std::size_t router) const {
  schema::RouterRef ref;
  ref.set_id(RouterName(router));
  ref.set_incarnation(incarnations_[router]);
  return ref;
}

void ControllerFixture::BuildConfig() {
  const std::size_t each = shape_.endpoints / shape_.services;
  for (std::size_t s = 0; s < shape_.services; ++s) {
    schema::ServiceConfig* service = config_.add_services();
    service->set_name(fmt::format("service-{}", s));
    service->set_keyed(true);
    service->set_partitions(static_cast<std::uint32_t>(shape_.partitions));
    schema::KindConfig* kind = service->add_kinds();
    kind->set_name("posting");
    kind->set_rank(schema::RANK_URGENT);
    kind->set_target_ms(50);
    kind->set_deadline_ms(1000);
    for (std::size_t i = 0; i < each; ++i) {
      const std::size_t place = s * each + i;
      schema::EndpointConfig* endpoint = service->add_endpoints();
      endpoint->set_name(fmt::format("server-{:05}", place));
      endpoint->set_data_centre(fmt::format("dc-{}", place % 23));
      endpoint->set_region(fmt::format("region-{}", place % 7));
      endpoint->set_address(fmt::format("11.{}.{}.{}:8000", place >> 16U,
                                        place >> 8U & 255U, place & 255U));
      endpoint->set_slots(3);
      endpoint->set_connections(100);
      endpoint->set_checks_fences(shape_.fenced);
      endpoints_.push_back(endpoint->name());
      service_of_.push_back(service->name());
    }
  }
  *config_.mutable_policy() = DefaultPolicy();
  config_.set_customer("capacity");
}

OwnershipActions ControllerFixture::Handle(const OwnershipEvent& event) {
  return controller_.Handle(event, now_);
}

void ControllerFixture::DeliverRecord(schema::LogRecord record) {
  LogRecordRead read;
  read.offset = next_offset_++;
  read.writer = fmt::format("writer-{}", read.offset);
  read.sequence = 1;
  read.record = std::move(record);
  Handle(read);
}

LogRecordRead ControllerFixture::NextPublication() {
  config_.mutable_policy()->set_link_kbit_per_s(30'000 + ++publications_);
  LogRecordRead read;
  read.offset = next_offset_++;
  read.writer = "publisher";
  read.sequence = publications_;
  schema::ConfigPublished* publication = read.record.mutable_config_published();
  publication->set_based_on(controller_.configuration().version());
  publication->set_body(ToJson(config_));
  publication->set_digest(Digest(publication->body()));
  publication->set_author("operator");
  return read;
}

LogRecordRead ControllerFixture::NextJoin() {
  LogRecordRead read;
  read.offset = next_offset_++;
  const std::size_t place = 80'000 + joins_++;
  *read.record.mutable_router_joined() =
      JoinOf(fmt::format("router-{:05}", place), place);
  read.writer = fmt::format("router-{:05}#{}", place, place * 7919);
  read.sequence = 1;
  return read;
}

std::uint64_t ControllerFixture::IncarnationOf(const RouterId& router) const {
  const auto routing = controller_.routing();
  const auto found = routing->routers.find(router);
  return found == routing->routers.end() ? 0 : found->second.incarnation;
}

schema::EndpointRouting ControllerFixture::InitialRouting(
    std::size_t endpoint) const {
  const std::size_t each = shape_.endpoints / shape_.services;
  schema::EndpointRouting routing;
  routing.set_service(service_of_[endpoint]);
  schema::View* view = routing.mutable_view();
  view->set_endpoint(endpoints_[endpoint]);
  view->mutable_term()->set_offset(next_offset_);
  view->mutable_term()->set_counter(1);
  view->set_endpoint_incarnation(1'700'000'000'000'000ULL + endpoint);
  *view->mutable_primary() = RouterAt(endpoint % shape_.routers);
  if (endpoint < shape_.own + shape_.backups) {
    *view->mutable_backup() = ToProto(controller_.self());
  } else {
    *view->mutable_backup() = RouterAt((endpoint + 1) % shape_.routers);
  }
  for (std::size_t p = endpoint % each; p < shape_.partitions; p += each) {
    schema::PartitionEpoch* entry = routing.add_partitions();
    entry->set_partition(static_cast<std::uint32_t>(p));
    entry->mutable_epoch()->set_offset(next_offset_);
    entry->mutable_epoch()->set_counter(1);
  }
  routing.set_revision(1);
  routing.set_load(100.5);
  routing.set_accepting(true);
  routing.set_state("serving");
  return routing;
}

void ControllerFixture::Start() {
  DeliverRecord(NextPublication().record);
  for (std::size_t r = 0; r < shape_.routers; ++r) {
    incarnations_.push_back(next_offset_);
    schema::LogRecord record;
    *record.mutable_router_joined() = JoinOf(RouterName(r), r);
    DeliverRecord(std::move(record));
  }
  Handle(LogReadFinished{true, 1, next_offset_, kRetention});
  DeliverHeartbeats();
  // The controller appends its own join record at its first tick.
  for (const OwnershipAction& action : Handle(TimerTick{})) {
    const auto* append = std::get_if<AppendLogRecord>(&action);
    if (append == nullptr) continue;
    LogRecordRead read;
    read.offset = next_offset_++;
    read.writer = controller_.writer_id();
    read.sequence = append->sequence;
    read.record = append->record;
    Handle(read);
  }
  schema::LogRecord views;
  for (std::size_t e = 0; e < endpoints_.size(); ++e) {
    schema::View* view = views.mutable_view_set()->add_views();
    view->set_endpoint(endpoints_[e]);
    if (e < shape_.own) {
      *view->mutable_primary() = ToProto(controller_.self());
      holders_[endpoints_[e]] = std::make_unique<LeaseHolder>(
          endpoints_[e], 1'700'000'000'000'000ULL + e, shape_.fenced);
    } else {
      *view->mutable_primary() = RouterAt(e % shape_.routers);
    }
    if (e >= shape_.own && e < shape_.own + shape_.backups) {
      *view->mutable_backup() = ToProto(controller_.self());
    } else {
      *view->mutable_backup() = RouterAt((e + 1) % shape_.routers);
    }
  }
  DeliverRecord(std::move(views));
  const std::size_t each = shape_.endpoints / shape_.services;
  for (const auto& service : config_.services()) {
    schema::LogRecord record;
    schema::Assignment* assignment = record.mutable_assignment();
    assignment->set_service(service.name());
    for (const auto& endpoint : service.endpoints()) {
      assignment->add_endpoints(endpoint.name());
    }
    for (std::size_t p = 0; p < shape_.partitions; ++p) {
      assignment->add_owner(static_cast<std::uint32_t>(p % each));
    }
    DeliverRecord(std::move(record));
  }
  schema::PeerMessage message;
  *message.mutable_sender() = RouterAt(0);
  for (std::size_t e = shape_.own; e < endpoints_.size(); ++e) {
    const schema::EndpointRouting routing = InitialRouting(e);
    table_.Update(routing, now_);
    *message.mutable_routing_update()->add_endpoints() = routing;
  }
  Handle(PeerMessageReceived{message});
  for (std::size_t r = 0; r < shape_.routers; ++r) {
    digests_[RouterName(r)] = table_.DigestOf(RouterName(r));
  }
}

PeerMessageReceived ControllerFixture::HeartbeatOf(std::size_t router) {
  PeerMessageReceived received;
  *received.message.mutable_sender() = RouterAt(router);
  schema::Heartbeat* heartbeat = received.message.mutable_heartbeat();
  *heartbeat->mutable_sender() = RouterAt(router);
  heartbeat->set_sequence(++heartbeats_);
  heartbeat->set_config_version(controller_.configuration().version());
  heartbeat->set_config_digest(controller_.configuration().digest());
  heartbeat->set_log_offset(next_offset_);
  heartbeat->set_routing_digest(digests_[RouterName(router)]);
  heartbeat->set_ready(true);
  heartbeat->set_acked_sequence(heartbeats_);
  return received;
}

PeerMessageReceived ControllerFixture::RoutingOf(std::size_t endpoint) {
  schema::EndpointRouting routing = *table_.Find(endpoints_[endpoint]);
  routing.set_revision(routing.revision() + 1);
  routing.set_load(routing.load() + 1.25);
  table_.Update(routing, now_);
  const RouterId& primary = routing.view().primary().id();
  digests_[primary] = table_.DigestOf(primary);
  PeerMessageReceived received;
  *received.message.mutable_sender() = routing.view().primary();
  *received.message.mutable_routing_update()->add_endpoints() = routing;
  return received;
}

PeerMessageReceived ControllerFixture::WitnessRequestOf(std::size_t endpoint) {
  PeerMessageReceived received;
  schema::GrantRequest* request = received.message.mutable_witness_request();
  *request->mutable_view() = table_.Find(endpoints_[endpoint])->view();
  *received.message.mutable_sender() = request->view().primary();
  request->set_sequence(++witness_requests_);
  request->set_lease_ms(600);
  return received;
}

void ControllerFixture::DeliverHeartbeats() {
  for (std::size_t r = 0; r < shape_.routers; ++r) Handle(HeartbeatOf(r));
}

OwnershipActions ControllerFixture::Timed(const OwnershipEvent& event,
                                          ControlCost* cost) {
  const double start = ThreadMicros();
  OwnershipActions actions = Handle(event);
  cost->micros += ThreadMicros() - start;
  return actions;
}

void ControllerFixture::Answer(const SendPeerMessage& send, ControlCost* cost) {
  const auto bytes =
      static_cast<double>(send.message.ByteSizeLong() + kFrameHeader);
  if (send.message.has_witness_request()) {
    const schema::GrantRequest& request = send.message.witness_request();
    const EndpointId& endpoint = request.view().endpoint();
    auto& witness = witnesses_[endpoint];
    if (!witness) witness = std::make_unique<LeaseHolder>(endpoint, 1, true);
    PeerMessageReceived reply;
    reply.message.mutable_sender()->set_id(send.to);
    auto* body = reply.message.mutable_witness_reply();
    body->set_endpoint(endpoint);
    *body->mutable_response() = witness->OnGrant(request, now_, 0);
    cost->witness_messages += 2;
    cost->witness_bytes +=
        bytes +
        static_cast<double>(reply.message.ByteSizeLong() + kFrameHeader);
    Process(Timed(reply, cost), cost);
    return;
  }
  if (send.message.has_backup_request()) {
    PeerMessageReceived reply;
    *reply.message.mutable_sender() =
        send.message.backup_request().view().backup();
    auto* body = reply.message.mutable_backup_reply();
    *body->mutable_view() = send.message.backup_request().view();
    body->set_agreed(true);
    Process(Timed(reply, cost), cost);
    return;
  }
  if (send.message.has_heartbeat()) return;
  cost->peer_messages += 1;
  cost->peer_bytes += bytes;
}

void ControllerFixture::Process(const OwnershipActions& actions,
                                ControlCost* cost) {
  for (const OwnershipAction& action : actions) {
    if (const auto* send = std::get_if<SendPeerMessage>(&action)) {
      Answer(*send, cost);
    }
    const auto* probe = std::get_if<SendHealthProbe>(&action);
    if (probe != nullptr && holders_.contains(probe->endpoint)) {
      schema::HealthReport report;
      report.set_endpoint(probe->endpoint);
      report.set_incarnation(holders_[probe->endpoint]->incarnation());
      Process(Timed(HealthReportReceived{report}, cost), cost);
    }
    const auto* grant = std::get_if<SendGrant>(&action);
    if (grant == nullptr || !holders_.contains(grant->endpoint)) continue;
    GrantResponseReceived received{
        grant->endpoint,
        holders_[grant->endpoint]->OnGrant(grant->request, now_, 0)};
    cost->grants += 1;
    std::string request;
    cost->json_micros += MicrosOf([&] { request = ToJson(grant->request); });
    const std::string response = ToJson(received.response);
    schema::GrantResponse read;
    cost->json_micros += MicrosOf([&] {
      if (!google::protobuf::util::JsonStringToMessage(response, &read).ok()) {
        read.Clear();
      }
    });
    cost->grant_json_bytes += static_cast<double>(request.size());
    cost->response_json_bytes += static_cast<double>(response.size());
    Process(Timed(received, cost), cost);
  }
}

ControlCost ControllerFixture::Run(Milliseconds duration, bool load_changes) {
  ControlCost cost;
  const SteadyTime end = now_ + duration;
  SteadyTime heartbeat = now_;
  SteadyTime load = now_;
  double value = 1;
  while (now_ < end) {
    Advance(kTick);
    if (now_ >= heartbeat + kHeartbeat) {
      heartbeat = now_;
      DeliverHeartbeats();
    }
    if (load_changes && now_ >= load + kLoadInterval) {
      load = now_;
      value += 1.5;
      for (const auto& [endpoint, holder] : holders_) {
        Process(Timed(LoadMeasured{endpoint, value, {}, false}, &cost), &cost);
      }
    }
    Process(Timed(TimerTick{}, &cost), &cost);
  }
  return cost;
}

void ControllerFixture::Settle() { Run(Milliseconds{2000}, false); }

std::size_t ControllerFixture::own_serving() const {
  const schema::RouterStatus status = controller_.status(now_);
  return static_cast<std::size_t>(
      std::ranges::count_if(status.endpoints(), [](const auto& endpoint) {
        return endpoint.accepting() && endpoint.partitions_size() > 0;
      }));
}

}  // namespace balsamhall
