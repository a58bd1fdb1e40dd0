#include "StandIn/log_stand_in.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>

#include "StandIn/http_reply.h"
#include "net/http_server.h"

namespace balsamhall {

using nlohmann::json;
using stand_in::JsonReply;
using stand_in::RunAfter;
using stand_in::Target;
using stand_in::TextReply;

class LogStandIn::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop, LogStandInOptions options)
      : loop_(loop),
        options_(std::move(options)),
        vms_(json::parse(options_.vms)),
        server_(
            loop, {},
            [this](const HttpRequest& request, HttpServer::Respond respond) {
              Handle(request, std::move(respond));
            }) {}

  void Handle(const HttpRequest& request, HttpServer::Respond respond);

  void SetFault(const json& change) {
    fault_.update(change);
    // Waiting readers see an outage at once.
    if (fault_["outage"]) std::exchange(waiting_, {});
  }

  boost::asio::io_context& loop_;
  const LogStandInOptions options_;
  json vms_;
  HttpServer server_;

 private:
  struct Record {
    std::uint64_t offset;
    SteadyTime written;
    json fields;  // writer, sequence, payload
  };
  struct Stream {
    std::uint64_t next_offset = 1;
    std::deque<Record> records;
  };
  struct Waiting {
    std::string stream;
    std::uint64_t from;
    std::size_t max;
    SteadyTime until;
    HttpServer::Respond respond;
  };

  void HandleRecords(const HttpRequest& request, const Target& target,
                     const HttpServer::Respond& respond);
  void Append(const std::string& stream, const std::string& body,
              const HttpServer::Respond& respond);
  void Read(const Waiting& reader);
  void WakeReaders();
  void HandleVms(const HttpRequest& request,
                 const HttpServer::Respond& respond);
  bool TakeOne(const char* fault) {
    const int left = fault_[fault].get<int>();
    if (left > 0) fault_[fault] = left - 1;
    return left > 0;
  }

  json fault_ = {{"outage", false},
                 {"vms_outage", false},
                 {"lose_append_answers", 0},
                 {"slow_ms", 0},
                 {"malformed_pages", 0}};
  std::map<std::string, Stream> streams_;
  std::list<Waiting> waiting_;
};

void LogStandIn::Impl::Handle(const HttpRequest& request,
                              HttpServer::Respond respond) {
  const Target target(request.target);
  const std::string first = target.path.empty() ? "" : target.path[0];
  if (first == "fault" && request.method == "PUT") {
    const json change = json::parse(request.body, nullptr, false);
    if (!change.is_object()) return respond(TextReply(400, "not an object"));
    SetFault(change);
    return respond(JsonReply(fault_));
  }
  if (first == "vms") return HandleVms(request, respond);
  if (target.path.size() != 3 || first != "streams" ||
      target.path[2] != "records") {
    return respond(TextReply(404, "unknown target"));
  }
  const Milliseconds slow(fault_["slow_ms"].get<int>());
  if (slow.count() == 0) return HandleRecords(request, target, respond);
  RunAfter(loop_, slow,
           [self = shared_from_this(), request, target,
            respond = std::move(respond)] {
             self->HandleRecords(request, target, respond);
           });
}

void LogStandIn::Impl::HandleRecords(const HttpRequest& request,
                                     const Target& target,
                                     const HttpServer::Respond& respond) {
  if (fault_["outage"]) return respond(TextReply(503, "outage"));
  if (request.method == "POST") {
    return Append(target.path[1], request.body, respond);
  }
  const Milliseconds wait(target.Number("wait_ms", 0));
  const Waiting reader{target.path[1], target.Number("from", 1),
                       target.Number("max", 1000),
                       std::chrono::steady_clock::now() + wait, respond};
  const Stream& stream = streams_[reader.stream];
  if (reader.from < stream.next_offset || wait.count() == 0) {
    return Read(reader);
  }
  waiting_.push_back(reader);
  RunAfter(loop_, wait, [self = shared_from_this()] { self->WakeReaders(); });
}

void LogStandIn::Impl::Append(const std::string& name, const std::string& body,
                              const HttpServer::Respond& respond) {
  const json fields = json::parse(body, nullptr, false);
  if (!fields.is_object() || !fields.contains("writer") ||
      !fields.contains("sequence") || !fields.contains("payload")) {
    return respond(TextReply(400, "malformed record"));
  }
  Stream& stream = streams_[name];
  const std::uint64_t offset = stream.next_offset++;
  stream.records.push_back({offset, std::chrono::steady_clock::now(), fields});
  const HttpResponse reply = JsonReply({{"offset", offset}});
  respond(TakeOne("lose_append_answers") ? stand_in::Truncate(reply) : reply);
  WakeReaders();
}

void LogStandIn::Impl::Read(const Waiting& reader) {
  const auto now = std::chrono::steady_clock::now();
  Stream& stream = streams_[reader.stream];
  auto& records = stream.records;
  while (!records.empty() &&
         now - records.front().written > options_.retention) {
    records.pop_front();
  }
  const std::uint64_t first =
      records.empty() ? stream.next_offset : records.front().offset;
  json page = {{"first_offset", first},
               {"next_offset", stream.next_offset},
               {"retention_ms", options_.retention.count()},
               {"records", json::array()}};
  const auto begin =
      std::ranges::lower_bound(records, reader.from, {}, &Record::offset);
  for (auto record = begin;
       record != records.end() && page["records"].size() < reader.max;
       ++record) {
    json entry = record->fields;
    entry["offset"] = record->offset;
    entry["age_ms"] =
        std::chrono::duration_cast<Milliseconds>(now - record->written).count();
    page["records"].push_back(std::move(entry));
  }
  if (TakeOne("malformed_pages")) page["records"] = "none";
  reader.respond(JsonReply(page));
}

void LogStandIn::Impl::WakeReaders() {
  const auto now = std::chrono::steady_clock::now();
  waiting_.remove_if([&](const Waiting& reader) {
    const bool wake = reader.from < streams_[reader.stream].next_offset ||
                      now >= reader.until;
    if (wake) Read(reader);
    return wake;
  });
}

void LogStandIn::Impl::HandleVms(const HttpRequest& request,
                                 const HttpServer::Respond& respond) {
  if (request.method == "PUT") {
    const json vms = json::parse(request.body, nullptr, false);
    if (!vms.is_object() || !vms.contains("vms")) {
      return respond(TextReply(400, "malformed list"));
    }
    RunAfter(loop_, options_.vm_lag,
             [self = shared_from_this(), vms] { self->vms_ = vms; });
    return respond(JsonReply(vms));
  }
  if (fault_["vms_outage"]) return respond(TextReply(503, "outage"));
  respond(JsonReply(vms_));
}

LogStandIn::LogStandIn(boost::asio::io_context& loop, LogStandInOptions options)
    : impl_(std::make_shared<Impl>(loop, std::move(options))) {}

LogStandIn::~LogStandIn() = default;

Result<std::uint16_t> LogStandIn::Listen(const std::string& address) {
  return impl_->server_.Listen(address);
}

void LogStandIn::SetFault(const std::string& json_text) {
  impl_->SetFault(json::parse(json_text));
}

}  // namespace balsamhall
