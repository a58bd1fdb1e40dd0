#include "StandIn/users_store.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/detail/base64.hpp>

#include "StandIn/http_reply.h"

namespace balsamhall::stand_in {
namespace {

using nlohmann::json;

constexpr Milliseconds kPoll{5};

std::string BigEndian(std::uint64_t number, int bytes) {
  std::string text;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    text.push_back(static_cast<char>(number >> static_cast<unsigned>(shift)));
  }
  return text;
}

std::string Base64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

}  // namespace

UsersStore::UsersStore(boost::asio::io_context& loop)
    : loop_(loop),
      server_(loop, HttpServerOptions{},
              [this](const HttpRequest& request,
                     const HttpServer::Respond& respond) {
                OnRequest(request, silent_topics_, SIZE_MAX, respond);
              }),
      server_for_some_(
          loop, HttpServerOptions{},
          [this](const HttpRequest& request,
                 const HttpServer::Respond& respond) {
            OnRequest(request, silent_topics_for_some_, page_records_for_some_,
                      [this, respond](HttpResponse response) {
                        if (page_delay_for_some_ == Milliseconds(0)) {
                          return respond(std::move(response));
                        }
                        RunAfter(loop_, page_delay_for_some_,
                                 [respond, response] { respond(response); });
                      });
          }) {}

std::string UsersStore::Listen() {
  return "127.0.0.1:" + std::to_string(server_.Listen("127.0.0.1:0").value());
}

std::string UsersStore::ListenForSome() {
  return "127.0.0.1:" +
         std::to_string(server_for_some_.Listen("127.0.0.1:0").value());
}

void UsersStore::Put(const std::string& topic, const std::string& key,
                     const std::string& value) {
  topics_[topic].records.push_back({key, value});
}

void UsersStore::Compact(const std::string& topic) {
  topics_[topic].first = topics_[topic].records.size();
}

std::size_t UsersStore::calls(const std::string& name) const {
  const auto found = calls_.find(name);
  return found == calls_.end() ? 0 : found->second;
}

std::size_t UsersStore::reads(const std::string& topic) const {
  const auto found = reads_.find(topic);
  return found == reads_.end() ? 0 : found->second;
}

std::size_t UsersStore::deliveries(const std::string& topic) const {
  const auto found = deliveries_.find(topic);
  return found == deliveries_.end() ? 0 : found->second;
}

HttpResponse UsersStore::Append(const HttpRequest& request) {
  const Target target(request.target);
  Topic& topic = topics_[target.Text("topic")];
  const std::uint64_t end = topic.records.size();
  if (target.Number("store_revision", end) != end) {
    return JsonReply({{"end", end}}, 412);
  }
  // One record: four bytes of length, the key's length, key and value.
  const std::string& body = request.body;
  const std::size_t key = static_cast<unsigned char>(body.at(4));
  topic.records.push_back({body.substr(5, key), body.substr(5 + key)});
  return JsonReply({{"offset", end}, {"end", end + 1}});
}

HttpResponse UsersStore::Newest(const std::string& name) {
  json items = json::array();
  std::uint64_t end = 0;
  const auto found = topics_.find(name);
  if (found != topics_.end()) {
    std::map<std::string, std::uint64_t> newest;
    const auto& records = found->second.records;
    end = records.size();
    for (std::uint64_t i = 0; i < end; ++i) newest[records[i].key] = i;
    for (const auto& [key, offset] : newest) {
      if (records[offset].value.empty()) continue;
      items.push_back({{"key", key},
                       {"value", Base64(records[offset].value)},
                       {"offset", offset}});
    }
  }
  if (!items.empty()) ++deliveries_[name];
  return JsonReply({{"items", items}, {"more", false}, {"end", end}});
}

void UsersStore::Read(const std::string& name, std::uint64_t from, int wait_ms,
                      const std::set<std::string>& silent,
                      std::size_t page_records,
                      const HttpServer::Respond& respond) {
  if (fault_ == StoreFault::kSilent || silent.contains(name)) return;
  const Topic& topic = topics_[name];
  // With eras, an offset that the store does not have may be one of an earlier
  // era.
  const bool beyond = era_ > 0 && from > topic.records.size();
  if (from < topic.first || beyond) {
    return respond(JsonReply({{"first", topic.first}}, 410));
  }
  const std::uint64_t end = topic.records.size();
  if (from >= end && wait_ms > 0) {
    return RunAfter(
        loop_, kPoll,
        [this, name, from, wait_ms, &silent, page_records, respond] {
          Read(name, from, wait_ms - static_cast<int>(kPoll.count()), silent,
               page_records, respond);
        });
  }
  if (from < end) ++deliveries_[name];
  std::string body = BigEndian(end, 8) + BigEndian(topic.first, 8);
  const std::uint64_t page_end =
      from < end ? from + std::min<std::uint64_t>(page_records, end - from)
                 : end;
  for (std::uint64_t i = from; i < page_end; ++i) {
    const Record& record = topic.records[i];
    const std::string content =
        BigEndian(record.key.size(), 1) + record.key + record.value;
    body += BigEndian(content.size(), 4) + content;
  }
  respond({200, {}, body});
}

void UsersStore::OnRequest(const HttpRequest& request,
                           const std::set<std::string>& silent,
                           std::size_t page_records,
                           const HttpServer::Respond& to_caller) {
  const HttpServer::Respond respond = [this, to_caller](HttpResponse response) {
    if (era_ > 0) {
      response.headers.emplace_back("Store-Era", std::to_string(era_));
    }
    to_caller(std::move(response));
  };
  const Target target(request.target);
  const std::string call = target.path.empty() ? "" : target.path[0];
  ++calls_[call];
  if (call == "log-read") ++reads_[target.Text("topic")];
  if (fault_ == StoreFault::kSilent) return;
  if (fault_ == StoreFault::kBusy) return respond({503, {}, ""});
  if (call == "log-append") {
    const HttpResponse response = Append(request);
    if (fault_ != StoreFault::kLoseAppends) respond(response);
    return;
  }
  if (silent.contains(target.Text("topic"))) return;
  if (call == "log-newest") return respond(Newest(target.Text("topic")));
  if (call == "log-read") {
    return Read(target.Text("topic"), target.Number("from", 0),
                static_cast<int>(target.Number("wait_ms", 0)), silent,
                page_records, respond);
  }
  if (call == "log-join") {
    const json body = json::parse(request.body);
    const auto now = std::chrono::steady_clock::now();
    const auto joining = body.at("member").get<std::string>();
    if (member_.empty() || now >= member_until_) member_ = joining;
    json parts = json::array();
    if (member_ == joining) {
      member_until_ =
          now + Milliseconds(std::stoi(body.at("ttl_time").get<std::string>()));
      parts.push_back({body.at("topics").at(0), 0, 0});
    }
    return respond(JsonReply({{"generation", ++generation_},
                              {"ttl_time", body.at("ttl_time")},
                              {"parts", parts}}));
  }
  if (call == "log-leave") {
    if (json::parse(request.body).at("member") == member_) member_.clear();
    return respond(JsonReply(json::object()));
  }
  respond({404, {}, ""});
}

}  // namespace balsamhall::stand_in
