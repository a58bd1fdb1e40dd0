// Stand-in of the users' metadata store, with switchable faults.
#ifndef BALSAMHALL_TESTS_STANDIN_USERS_STORE_H_
#define BALSAMHALL_TESTS_STANDIN_USERS_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/http_server.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace balsamhall::stand_in {

enum class StoreFault {
  kNone,
  kBusy,         // 503 to every call
  kSilent,       // no answer
  kLoseAppends,  // done, but not answered
};

// One log for each topic, partition 0 only; a group with one member that holds
// its partition until its time to live is over. Runs on one loop.
class UsersStore {
 public:
  explicit UsersStore(boost::asio::io_context& loop);

  std::string Listen();
  // Returns a further address, which has faults of its own. Call it once.
  std::string ListenForSome();
  // Reads of these topics that arrive at that address get no answer.
  void set_silent_topics_for_some(std::set<std::string> topics) {
    silent_topics_for_some_ = std::move(topics);
  }
  // Reads that arrive at that address get at most so many records, that late.
  void set_pages_for_some(std::size_t records, Milliseconds delay) {
    page_records_for_some_ = records;
    page_delay_for_some_ = delay;
  }
  // Appends as the operator or an endpoint would; an empty value drops the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  // Deletes the records of a topic; the newest of each key stay readable.
  void Compact(const std::string& topic);
  // All responses state this era from now on. 0: none do.
  void set_era(std::uint64_t era) { era_ = era; }
  // Keeps a copy of all topics.
  void TakeCopy() { copy_ = topics_; }
  // The copy has no records of this topic.
  void DropFromCopy(const std::string& topic) { copy_.erase(topic); }
  // Comes back from the copy, in the next era.
  void RestoreCopy() {
    topics_ = copy_;
    ++era_;
  }
  // Number of records of the topic.
  std::size_t size(const std::string& topic) {
    return topics_[topic].records.size();
  }
  void set_fault(StoreFault fault) { fault_ = fault; }
  // Reads of these topics get no answer.
  void set_silent_topics(std::set<std::string> topics) {
    silent_topics_ = std::move(topics);
  }
  std::size_t calls(const std::string& name) const;
  // Reads of the topic from an offset on that have arrived.
  std::size_t reads(const std::string& topic) const;
  // Responses with records of the topic.
  std::size_t deliveries(const std::string& topic) const;

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Topic {
    std::vector<Record> records;
    std::uint64_t first = 0;
  };

  void OnRequest(const HttpRequest& request,
                 const std::set<std::string>& silent, std::size_t page_records,
                 const HttpServer::Respond& respond);
  HttpResponse Append(const HttpRequest& request);
  HttpResponse Newest(const std::string& topic);
  // silent: topics whose reads that wait here get no answer either.
  void Read(const std::string& topic, std::uint64_t from, int wait_ms,
            const std::set<std::string>& silent, std::size_t page_records,
            const HttpServer::Respond& respond);

  boost::asio::io_context& loop_;
  HttpServer server_;
  HttpServer server_for_some_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Topic> copy_;
  std::uint64_t era_ = 0;
  std::map<std::string, std::size_t> calls_;
  std::map<std::string, std::size_t> reads_;
  std::map<std::string, std::size_t> deliveries_;
  std::string member_;
  SteadyTime member_until_;
  std::uint64_t generation_ = 0;
  StoreFault fault_ = StoreFault::kNone;
  std::set<std::string> silent_topics_;
  std::set<std::string> silent_topics_for_some_;
  std::size_t page_records_for_some_ = SIZE_MAX;
  Milliseconds page_delay_for_some_{0};
};

}  // namespace balsamhall::stand_in

#endif  // BALSAMHALL_TESTS_STANDIN_USERS_STORE_H_
