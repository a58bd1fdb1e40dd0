#include "clients/http_vm_list.h"

#include <nlohmann/json.hpp>

namespace balsamhall {
namespace {

using nlohmann::json;

constexpr Milliseconds kTimeout{2000};

HttpClientOptions ClientOptions() {
  HttpClientOptions options;
  options.max_connections = 2;
  return options;
}

Vm ParseVm(const json& entry) {
  const auto text = [&](const char* name) {
    return entry.value(name, std::string());
  };
  const std::string state = entry.at("state").get<std::string>();
  if (state != "live" && state != "leaving") {
    throw std::invalid_argument("unknown state " + state);
  }
  return {entry.at("id").get<std::string>(),
          text("role"),
          text("data_centre"),
          text("region"),
          text("address"),
          state == "leaving"};
}

Result<std::vector<Vm>> Parse(const HttpClient::Outcome& outcome) {
  if (!outcome.response) {
    return Error{ResultCode::kVmListUnavailable, outcome.error.detail};
  }
  if (outcome.response->status != 200) {
    return Error{ResultCode::kVmListUnavailable,
                 "status " + std::to_string(outcome.response->status)};
  }
  try {
    const json body = json::parse(outcome.response->body);
    std::vector<Vm> vms;
    for (const json& entry : body.at("vms")) vms.push_back(ParseVm(entry));
    return vms;
  } catch (const std::exception& error) {
    return Error{ResultCode::kVmListUnavailable, error.what()};
  }
}

}  // namespace

HttpVmList::HttpVmList(boost::asio::io_context& loop, std::string address)
    : client_(loop, std::move(address), ClientOptions()) {}

void HttpVmList::Fetch(Callback done) {
  client_.Send({"GET", "/vms", {}, ""}, kTimeout,
               [done = std::move(done)](const HttpClient::Outcome& outcome) {
                 done(Parse(outcome));
               });
}

}  // namespace balsamhall
