#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "Dispatch/dispatcher_fixture.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

constexpr ResultCode kOutcomes[] = {ResultCode::kOk, ResultCode::kNotRunShed,
                                    ResultCode::kUnknownTimeout};

// Applies random submissions, repeats, completions, cancellations, partition
// moves and clock steps to a dispatcher, and checks it against a model that is
// built from its actions alone.
class RandomRun {
 public:
  RandomRun(unsigned seed, bool check_memory_start)
      : random_(seed), fixture_(Options(check_memory_start)) {}

  // Returns the violated rules.
  std::set<std::string> Run() {
    for (int step = 0; step < 4000; ++step) {
      Step(random_() % 100);
      Check();
    }
    // Every ticket must end.
    for (int i = 0; i < 3; ++i) {
      fixture_.AdvanceTime(Milliseconds{3000});
      while (!running_.empty()) Finish(ResultCode::kOk);
      Check();
    }
    for (const auto& [ticket, id] : id_of_) {
      Expect(finished_.contains(ticket) || fixture_.results.contains(ticket),
             "ticket without result");
    }
    return violations_;
  }

 private:
  static DispatcherOptions Options(bool check_memory_start) {
    DispatcherOptions options;
    options.slots = 3;
    options.max_queued = 12;
    options.max_stored_responses = 20;
    options.memory_window = Milliseconds{20'000};
    options.check_memory_start = check_memory_start;
    return options;
  }

  void Step(std::uint64_t choice) {
    if (choice < 45) {
      Submit();
    } else if (choice < 70) {
      Finish(kOutcomes[random_() % 3]);
    } else if (choice < 75 && fixture_.next_ticket > 1) {
      fixture_.RecordActions(fixture_.dispatcher.Cancel(
          1 + random_() % fixture_.next_ticket, fixture_.steady));
    } else if (choice < 77) {
      epoch_ += random_() % 2;
      fixture_.RecordActions(fixture_.dispatcher.SetPartitions(
          {{7, Fence{5, epoch_}}}, fixture_.steady, fixture_.wall));
    } else if (choice < 78) {
      fixture_.wall -= Milliseconds{random_() % 1000};
    } else {
      fixture_.AdvanceTime(Milliseconds{random_() % 200});
    }
  }

  void Submit() {
    auto request =
        fixture_.MakeRequest(static_cast<schema::Rank>(random_() % 3));
    request.long_running = random_() % 4 == 0;
    request.deadline = fixture_.steady + Milliseconds{random_() % 2500};
    if (random_() % 3 == 0 && !issued_.empty()) {
      auto repeat = issued_[random_() % issued_.size()];
      repeat.ticket = request.ticket;
      repeat.deadline = request.deadline;
      request = repeat;
    }
    issued_.push_back(request);
    id_of_[request.ticket] = request.request_id;
    fixture_.Submit(request);
  }

  void Finish(ResultCode code) {
    if (running_.empty()) return;
    auto ticket = running_.begin();
    std::advance(ticket, random_() % running_.size());
    const Ticket finished = *ticket;
    running_.erase(ticket);
    finished_.insert(finished);
    if (IsNotRun(code)) ran_.erase(id_of_[finished]);
    fixture_.Finish(finished, code);
  }

  void Expect(bool condition, const std::string& violation) {
    if (!condition) violations_.insert(violation);
  }

  void Check() {
    for (; checked_starts_ < fixture_.started.size(); ++checked_starts_) {
      const Ticket ticket = fixture_.started[checked_starts_];
      Expect(!settled_.contains(ticket), "settled ticket started");
      Expect(ran_.insert(id_of_[ticket]).second, "request ran twice");
      running_.insert(ticket);
    }
    for (const auto& [ticket, code] : fixture_.results) {
      if (!settled_.insert(ticket).second) continue;
      Expect(!running_.contains(ticket), "running ticket settled");
      Expect(!IsNotRun(code) || !ran_.contains(id_of_[ticket]),
             "reported not run, but ran");
    }
    Expect(running_.size() <= 3, "more running than slots");
    Expect(running_.size() == fixture_.dispatcher.running(),
           "wrong number of slots in use");
    Expect(fixture_.dispatcher.queued() <= 12, "queue above its bound");
  }

  std::mt19937 random_;
  DispatcherFixture fixture_;
  std::uint32_t epoch_ = 0;
  std::vector<DispatchRequest> issued_;
  std::map<Ticket, std::string> id_of_;
  std::set<std::string> ran_;
  std::set<Ticket> running_;
  std::set<Ticket> finished_;
  std::set<Ticket> settled_;
  std::size_t checked_starts_ = 0;
  std::set<std::string> violations_;
};

// Guards against sequences of events that the other tests do not list: a
// request that runs twice or starts after its rejection, a lost ticket, more
// running requests than slots.
BOOST_DATA_TEST_CASE(RandomSequences, data::xrange(1U, 41U), seed) {
  const auto violations = RandomRun(seed, true).Run();
  BOOST_TEST(violations == std::set<std::string>{},
             boost::test_tools::per_element());
}

// Guards against a random test that cannot fail: without the check of the start
// of the memory, a request runs twice.
BOOST_AUTO_TEST_CASE(RemovedCheckIsDetected) {
  std::set<std::string> violations;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    violations.merge(RandomRun(seed, false).Run());
  }
  BOOST_CHECK(violations.contains("request ran twice"));
}

}  // namespace
}  // namespace balsamhall
