#include "load/load_runner.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <vector>

#include "load/load_plan.h"
#include "net/http_client.h"
#include "net/percent_encoding.h"

namespace balsamhall {
namespace {

using Clock = std::chrono::steady_clock;

// The router's own "deadline passed" arrives a little after the deadline.
constexpr Milliseconds kAnswerGrace{500};
constexpr int kMaxRouterTries = 3;

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

ResultCode CodeOf(const HttpClient::Outcome& outcome) {
  if (!outcome.response) {
    switch (outcome.error.failure) {
      case HttpFailure::kNotSent:
        return ResultCode::kNotRunNoConnection;
      case HttpFailure::kTimeout:
        return ResultCode::kUnknownTimeout;
      case HttpFailure::kClosed:
        return ResultCode::kUnknownConnectionLost;
      case HttpFailure::kBadAnswer:
        return ResultCode::kUnknownBadAnswer;
    }
  }
  const auto text = FindHeader(outcome.response->headers, "Balsamhall-Code");
  std::uint16_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc()) return ResultCode::kInternal;
  return static_cast<ResultCode>(number);
}

}  // namespace

class LoadRunner::Impl {
 public:
  Impl(const schema::LoadScenario& scenario, std::string tag,
       LoadOptions options)
      : scenario_(scenario),
        options_(options),
        plan_(scenario),
        random_(scenario.seed() + 1),
        loop_(1),
        timer_(loop_),
        report_(scenario, options.interval),
        ledger_(std::move(tag)) {
    HttpClientOptions client;
    client.max_connections = scenario.connections_per_router();
    for (const std::string& router : scenario.routers()) {
      routers_.push_back(std::make_unique<HttpClient>(loop_, router, client));
    }
  }

  void Run();

  const schema::LoadScenario scenario_;

 private:
  struct Attempt {
    std::size_t request = 0;
    std::uint32_t kind = 0;
    std::string key;
    Microseconds planned{0};
    std::int64_t first_issued_ms = 0;
    std::size_t router = 0;
    int tries = 1;
    bool repeat = false;
  };

  void SendDue();
  void StartRequest(PlannedRequest planned);
  void Send(const Attempt& attempt);
  void OnAnswer(const Attempt& attempt, const HttpClient::Outcome& outcome);
  void StopIfDone();
  HttpRequest MessageOf(const Attempt& attempt, Milliseconds remaining) const;
  Microseconds Elapsed() const {
    return std::chrono::duration_cast<Microseconds>(Clock::now() - start_);
  }
  std::size_t OtherRouter(std::size_t router) {
    if (routers_.size() == 1) return router;
    return (router + 1 + random_() % (routers_.size() - 1)) % routers_.size();
  }

  const LoadOptions options_;
  LoadPlan plan_;
  std::mt19937_64 random_;
  boost::asio::io_context loop_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<HttpClient>> routers_;
  std::optional<PlannedRequest> next_;
  Clock::time_point start_;
  std::uint64_t outstanding_ = 0;

 public:
  LoadReport report_;
  RequestLedger ledger_;
};

void LoadRunner::Impl::Run() {
  start_ = Clock::now();
  next_ = plan_.Next();
  SendDue();
  loop_.run();
}

void LoadRunner::Impl::SendDue() {
  while (next_ && next_->at <= Elapsed()) {
    report_.OnSendDelay(Elapsed() - next_->at);
    StartRequest(std::move(*next_));
    next_ = plan_.Next();
  }
  if (!next_) return StopIfDone();
  timer_.expires_at(start_ + next_->at);
  timer_.async_wait([this](auto error) {
    if (!error) SendDue();
  });
}

void LoadRunner::Impl::StartRequest(PlannedRequest planned) {
  report_.OnPlanned(planned.kind, planned.at);
  Attempt attempt;
  attempt.request = ledger_.Add(static_cast<std::uint8_t>(planned.kind));
  attempt.kind = planned.kind;
  attempt.key = std::move(planned.key);
  attempt.planned = planned.at;
  attempt.first_issued_ms = UnixMillis();
  attempt.router = random_() % routers_.size();
  ++outstanding_;
  Send(attempt);
  if (!planned.repeat_after) return;
  attempt.repeat = true;
  attempt.router = OtherRouter(attempt.router);
  ledger_.OnSentAgain(attempt.request);
  ++outstanding_;
  auto timer =
      std::make_shared<boost::asio::steady_timer>(loop_, *planned.repeat_after);
  timer->async_wait([this, timer, attempt](auto) { Send(attempt); });
}

HttpRequest LoadRunner::Impl::MessageOf(const Attempt& attempt,
                                        Milliseconds remaining) const {
  const auto& kind = scenario_.kinds(static_cast<int>(attempt.kind));
  HttpRequest request;
  request.method = kind.idempotent() ? "GET" : "POST";
  request.target = "/v1/" + kind.service() + "/" + kind.name() + "/" +
                   PercentEncode(attempt.key);
  request.headers = {
      {"Balsamhall-Request-Id", ledger_.IdOf(attempt.request)},
      {"Balsamhall-First-Issued", std::to_string(attempt.first_issued_ms)},
      {"Balsamhall-Attempt", attempt.repeat ? "2" : "1"},
      {"Balsamhall-Deadline-Ms", std::to_string(remaining.count())}};
  request.body = std::string(kind.body_bytes(), 'x');
  return request;
}

void LoadRunner::Impl::Send(const Attempt& attempt) {
  const auto& kind = scenario_.kinds(static_cast<int>(attempt.kind));
  const Microseconds left =
      attempt.planned + Milliseconds(kind.deadline_ms()) - Elapsed();
  const auto remaining =
      std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(left));
  routers_[attempt.router]->Send(
      MessageOf(attempt, remaining), remaining + kAnswerGrace,
      [this, attempt](const HttpClient::Outcome& outcome) {
        OnAnswer(attempt, outcome);
      });
}

void LoadRunner::Impl::OnAnswer(const Attempt& attempt,
                                const HttpClient::Outcome& outcome) {
  const auto& kind = scenario_.kinds(static_cast<int>(attempt.kind));
  const Microseconds latency = Elapsed() - attempt.planned;
  if (!outcome.response && outcome.error.failure == HttpFailure::kNotSent &&
      attempt.tries < kMaxRouterTries &&
      latency < Milliseconds(kind.deadline_ms())) {
    Attempt again = attempt;
    again.router = OtherRouter(attempt.router);
    ++again.tries;
    return Send(again);
  }
  const ResultCode code = CodeOf(outcome);
  ledger_.OnAnswer(attempt.request, code);
  if (attempt.repeat) {
    report_.OnRepeatAnswer(code);
  } else {
    report_.OnAnswer({attempt.kind, attempt.planned, latency, code});
  }
  if (code == ResultCode::kOk && options_.check_bodies &&
      outcome.response->body != "done " + ledger_.IdOf(attempt.request)) {
    report_.OnMismatchedBody();
  }
  --outstanding_;
  StopIfDone();
}

void LoadRunner::Impl::StopIfDone() {
  if (!next_ && outstanding_ == 0) loop_.stop();
}

LoadRunner::LoadRunner(const schema::LoadScenario& scenario, std::string tag,
                       LoadOptions options)
    : impl_(std::make_unique<Impl>(scenario, std::move(tag), options)) {}

LoadRunner::~LoadRunner() = default;

void LoadRunner::Run() { impl_->Run(); }

LoadReport& LoadRunner::report() { return impl_->report_; }

const RequestLedger& LoadRunner::ledger() const { return impl_->ledger_; }

}  // namespace balsamhall
