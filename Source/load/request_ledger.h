// What callers were told about each request of a run.
#ifndef BALSAMHALL_LOAD_REQUEST_LEDGER_H_
#define BALSAMHALL_LOAD_REQUEST_LEDGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result_code.h"

namespace balsamhall {

// Not thread-safe.
class RequestLedger {
 public:
  struct Entry {
    std::uint8_t kind = 0;
    bool acknowledged = false;
    bool may_have_run = false;  // some answer was neither ok nor not-run
    std::uint8_t unanswered = 0;
  };

  // The tag separates the ids of this run from those of others. Precondition:
  // it holds no '.'.
  explicit RequestLedger(std::string tag) : tag_(std::move(tag)) {}

  // Returns the number of a new request that was sent once.
  std::size_t Add(std::uint8_t kind);
  void OnSentAgain(std::size_t request) { ++entries_[request].unanswered; }
  void OnAnswer(std::size_t request, ResultCode code);

  std::string IdOf(std::size_t request) const;
  // Returns nullopt for an id of another run.
  std::optional<std::size_t> Find(std::string_view id) const;

  const std::vector<Entry>& entries() const { return entries_; }

 private:
  std::string tag_;
  std::vector<Entry> entries_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_LOAD_REQUEST_LEDGER_H_
