#include "net/http_wire.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace balsamhall::http_wire {
namespace {

bool HasLineBreak(std::string_view text) {
  return text.find_first_of("\r\n") != std::string_view::npos;
}

void AppendHeaders(const HttpHeaders& headers, std::size_t body_bytes,
                   std::string& head) {
  for (const auto& [name, value] : headers) {
    if (HasLineBreak(name) || HasLineBreak(value)) continue;
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (!FindHeader(headers, "Content-Length").empty()) return;
  head.append("Content-Length: ")
      .append(std::to_string(body_bytes))
      .append("\r\n");
}

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::uint16_t port = 0;
  const char* const end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(host, error);
  if (error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, port);
}

std::string RequestHead(const HttpRequest& request, const std::string& host) {
  std::string head;
  head.reserve(512);
  head.append(request.method).append(" ");
  // A target with a space or line break would split the request line.
  for (const char c : request.target) {
    if (c == ' ' || c == '\r' || c == '\n') {
      head.append(c == ' ' ? "%20" : c == '\r' ? "%0D" : "%0A");
    } else {
      head.push_back(c);
    }
  }
  head.append(" HTTP/1.1\r\n");
  if (FindHeader(request.headers, "Host").empty()) {
    head.append("Host: ").append(host).append("\r\n");
  }
  AppendHeaders(request.headers, request.body.size(), head);
  return head.append("\r\n");
}

std::string ResponseHead(const HttpResponse& response, bool keep_alive) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(response.status));
  std::string head;
  head.reserve(256);
  head.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  head.append(reason.data(), reason.size()).append("\r\n");
  if (!keep_alive) head.append("Connection: close\r\n");
  AppendHeaders(response.headers, response.body.size(), head);
  return head.append("\r\n");
}

HttpHeaders CopyHeaders(const boost::beast::http::fields& fields) {
  HttpHeaders headers;
  headers.reserve(8);
  for (const auto& field : fields) {
    headers.emplace_back(
        std::string(field.name_string().data(), field.name_string().size()),
        std::string(field.value().data(), field.value().size()));
  }
  return headers;
}

}  // namespace balsamhall::http_wire
