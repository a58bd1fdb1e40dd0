// Which records of the store could not be used, so that each is logged once.
#ifndef BALSAMHALL_GATEWAY_REJECTED_RECORDS_H_
#define BALSAMHALL_GATEWAY_REJECTED_RECORDS_H_

#include <cstddef>
#include <set>
#include <string>
#include <utility>

#include "gateway/coordination_store.h"

namespace balsamhall::gateway {

// Not thread-safe.
class RejectedRecords {
 public:
  // Other programs may write any number of such records.
  static constexpr std::size_t kMaxRecords = 1'000;

  // Returns whether to log that the record under this key was rejected: the
  // first time since it was last usable or deleted. Once kMaxRecords are known,
  // others are not logged.
  bool Add(Log log, const std::string& key) {
    return records_.size() < kMaxRecords && records_.emplace(log, key).second;
  }
  // The record under this key is usable, or was deleted.
  void Remove(Log log, const std::string& key) { records_.erase({log, key}); }

  std::size_t size() const { return records_.size(); }

 private:
  std::set<std::pair<Log, std::string>> records_;
};

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_REJECTED_RECORDS_H_
