#include "net/response_queue.h"

#include <strings.h>

#include <algorithm>
#include <utility>

namespace balsamhall {
namespace {

constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

bool IsContentLength(const std::pair<std::string, std::string>& header) {
  return strcasecmp(header.first.c_str(), "Content-Length") == 0;
}

}  // namespace

void ResponseQueue::Add(Request request) {
  ++unanswered_;
  if (request.with_handler) ++with_handler_;
  if (request.pipelined) ++pipelined_;
  Entry& entry = entries_.emplace_back();
  entry.request = std::move(request);
}

bool ResponseQueue::SetResponse(std::uint64_t number, HttpResponse response) {
  const auto entry = std::ranges::find_if(entries_, [&](const Entry& queued) {
    return queued.request.number == number;
  });
  if (entry == entries_.end() || entry->answered) return false;
  entry->answered = true;
  entry->response = std::move(response);
  entry->request.body_memory = HeldBytes();
  --unanswered_;
  response_bytes_ += entry->response.body.size();
  return true;
}

ResponseQueue::Entry* ResponseQueue::Next() {
  if (entries_.empty() || !entries_.front().answered) return nullptr;
  return &entries_.front();
}

ResponseQueue::Request ResponseQueue::PopFront() {
  Entry& front = entries_.front();
  response_bytes_ -= front.response.body.size();
  if (front.request.with_handler) --with_handler_;
  if (front.request.pipelined) --pipelined_;
  Request request = std::move(front.request);
  entries_.pop_front();
  return request;
}

void ResponseQueue::ReturnBodyMemory() {
  for (Entry& entry : entries_) entry.request.body_memory = HeldBytes();
}

bool ResponseQueue::MayOvertake() const {
  return std::ranges::all_of(entries_, [](const Entry& entry) {
    return entry.request.may_be_overtaken;
  });
}

bool DeclaresOtherLength(const HttpResponse& response) {
  const auto declared = FindHeader(response.headers, "Content-Length");
  return !declared.empty() && declared != std::to_string(response.body.size());
}

void FixLength(HttpResponse& response, bool head_only) {
  // The length that such a response declares is not that of a body that
  // follows.
  if (head_only || response.status == kNoContent ||
      response.status == kNotModified) {
    if (response.body.empty()) return;
    if (FindHeader(response.headers, "Content-Length").empty()) {
      response.headers.emplace_back("Content-Length",
                                    std::to_string(response.body.size()));
    }
    response.body.clear();
    return;
  }
  if (DeclaresOtherLength(response)) {
    std::erase_if(response.headers, IsContentLength);
  }
}

}  // namespace balsamhall
