// The platform's log over HTTP.
#ifndef BALSAMHALL_CLIENTS_HTTP_LOG_SERVICE_H_
#define BALSAMHALL_CLIENTS_HTTP_LOG_SERVICE_H_

#include <string>

#include "clients/log_service.h"
#include "net/http_client.h"

namespace balsamhall {

// Callbacks run on the loop's thread; pending ones are dropped when the object
// is destroyed.
class HttpLogService : public LogService {
 public:
  HttpLogService(boost::asio::io_context& loop, std::string address);

  void Append(const std::string& writer, std::uint64_t sequence,
              const std::string& payload, AppendCallback done) override;
  void Read(std::uint64_t from, std::size_t max_entries, Milliseconds wait,
            ReadCallback done) override;

 private:
  HttpClient client_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CLIENTS_HTTP_LOG_SERVICE_H_
