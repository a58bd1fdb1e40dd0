// Helpers of the stand-ins.
#ifndef BALSAMHALL_TESTS_STANDIN_HTTP_REPLY_H_
#define BALSAMHALL_TESTS_STANDIN_HTTP_REPLY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core/types.h"
#include "net/http_types.h"

namespace balsamhall::stand_in {

inline HttpResponse JsonReply(const nlohmann::json& body,
                              unsigned status = 200) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

inline HttpResponse TextReply(unsigned status, std::string body) {
  return {status, {}, std::move(body)};
}

// Makes the server cut the answer off before its announced end.
inline HttpResponse Truncate(HttpResponse response) {
  response.headers.emplace_back("Content-Length",
                                std::to_string(response.body.size() + 1000));
  return response;
}

// Runs a function once after a delay. Precondition: the loop outlives it.
inline void RunAfter(boost::asio::io_context& loop, Milliseconds delay,
                     std::function<void()> run) {
  auto timer = std::make_shared<boost::asio::steady_timer>(loop, delay);
  timer->async_wait([timer, run = std::move(run)](auto error) {
    if (!error) run();
  });
}

// A target split at '/' and its query; "/a/b?x=1" has path {"a", "b"}.
struct Target {
  explicit Target(const std::string& text) {
    const std::size_t mark = text.find('?');
    Split(text.substr(0, mark), '/', path);
    if (mark != std::string::npos) Split(text.substr(mark + 1), '&', query);
  }

  std::string Text(const std::string& name) const {
    for (const std::string& part : query) {
      if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
    }
    return {};
  }

  std::uint64_t Number(const std::string& name, std::uint64_t otherwise) const {
    const std::string text = Text(name);
    std::uint64_t value = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  }

  static void Split(const std::string& text, char separator,
                    std::vector<std::string>& parts) {
    for (std::size_t begin = 0; begin <= text.size();) {
      const std::size_t end =
          std::min(text.find(separator, begin), text.size());
      if (end > begin) parts.push_back(text.substr(begin, end - begin));
      begin = end + 1;
    }
  }

  std::vector<std::string> path;
  std::vector<std::string> query;
};

}  // namespace balsamhall::stand_in

#endif  // BALSAMHALL_TESTS_STANDIN_HTTP_REPLY_H_
