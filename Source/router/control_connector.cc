#include "router/control_connector.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/jsonparser.h>

#include <utility>

namespace balsamhall {
namespace {

// Replaces the placeholder result in a response of the library. Returns the
// response unchanged if it is not a JSON object.
std::string ReplaceResult(const std::string& response,
                          const Result<std::string>& result) {
  Json::Value value;
  Json::CharReaderBuilder reader;
  std::string errors;
  const std::unique_ptr<Json::CharReader> parser(reader.newCharReader());
  if (!parser->parse(response.data(), response.data() + response.size(), &value,
                     &errors) ||
      !value.isObject()) {
    return response;
  }
  if (result) {
    value["result"] = result.value();
  } else {
    value.removeMember("result");
    value["error"]["code"] = static_cast<int>(result.error().code);
    value["error"]["message"] = DescribeError(result.error());
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, value);
}

}  // namespace

std::string DescribeError(const Error& error) {
  std::string text(ResultCodeName(error.code));
  if (!error.detail.empty()) text += ": " + error.detail;
  return text;
}

void ControlConnector::Handle(const std::string& body, Respond respond) {
  const auto exchange = std::make_shared<Exchange>();
  exchange->respond = std::move(respond);
  const std::size_t first = body.find_first_not_of(" \t\r\n");
  exchange->batch = first != std::string::npos && body[first] == '[';
  current_ = exchange;
  OnRequest(body, exchange.get());
  current_.reset();
  if (exchange->complete) exchange->complete();
}

ControlConnector::Complete ControlConnector::Defer() {
  if (!current_ || current_->batch) {
    throw jsonrpc::JsonRpcException(
        static_cast<int>(ResultCode::kOperatorUsage),
        "commands that change state are not allowed in a batch");
  }
  current_->deferred = true;
  return [exchange = current_](const Result<std::string>& result) {
    const auto complete = [exchange, result] {
      exchange->respond(ReplaceResult(exchange->library_response, result));
    };
    if (exchange->library_response.empty()) {
      exchange->complete = complete;
    } else {
      complete();
    }
  };
}

bool ControlConnector::SendResponse(const std::string& response,
                                    void* exchange) {
  auto* const target = static_cast<Exchange*>(exchange);
  if (target->deferred) {
    target->library_response = response.empty() ? "{}" : response;
  } else {
    target->respond(response);
  }
  return true;
}

}  // namespace balsamhall
