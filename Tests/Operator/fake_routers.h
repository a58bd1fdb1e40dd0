// Routers in memory that share one log, for tests of the operator commands.
#ifndef BALSAMHALL_TESTS_OPERATOR_FAKE_ROUTERS_H_
#define BALSAMHALL_TESTS_OPERATOR_FAKE_ROUTERS_H_

#include <spdlog/fmt/fmt.h>

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "config/sheet.h"
#include "core/partitioner.h"
#include "operator/control_client.h"

namespace balsamhall {

// A configuration with the given number of endpoints.
inline schema::RoutingConfig SmallConfig(int endpoints) {
  std::string sheet =
      "customer,name\ncustomer,Test\n"
      "service,name,divided by key,partitions\nservice,lookup,yes,64\n"
      "kind,service,name,rank,target ms,deadline ms,idempotent\n"
      "kind,lookup,read,normal,100,1000,yes\n"
      "endpoint,service,name,data centre,region,address,slots,connections,"
      "checks fences\n";
  for (int i = 1; i <= endpoints; ++i) {
    sheet += fmt::format(
        "endpoint,lookup,lookup-{0},d1,r1,127.0.0.1:{1},2,100,yes\n", i,
        7000 + i);
  }
  return ParseSheet(sheet).config;
}

// Thread-safe.
class FakeRouters : public ControlClient {
 public:
  struct Router {
    schema::RouterStatus status;
    bool answers = true;
    bool follows = true;  // adopts accepted configurations
  };
  // What happens to a publication at a router.
  enum class Publishing {
    kWorks,
    kAnswerLostAfterWrite,
    kAnswerLostBeforeWrite,
    kNothingSent,
    kLogDown,
    kWrongKey,
  };

  explicit FakeRouters(int count) {
    for (int i = 1; i <= count; ++i) {
      auto& status = routers_[Address(i)].status;
      status.mutable_router()->set_id(fmt::format("router-{}", i));
      status.set_ready(true);
      status.set_log_reachable(true);
      for (int j = 1; j <= count; ++j) {
        if (j == i) continue;
        auto& peer = *status.add_peers();
        peer.mutable_join()->set_id(fmt::format("router-{}", j));
        peer.mutable_join()->set_control_address(Address(j));
        peer.set_reachable(true);
      }
    }
  }

  static std::string Address(int router) {
    return fmt::format("127.0.0.1:{}", 9000 + router);
  }

  Router& router(int number) { return routers_.at(Address(number)); }
  void set_publishing(Publishing publishing) { publishing_ = publishing; }
  // Called before a publication reaches the log.
  void set_before_append(std::function<void()> hook) {
    before_append_ = std::move(hook);
  }
  int publications() const { return publications_; }
  std::uint64_t version() const { return in_force_.version(); }

  // Appends as the log would; accepts only on the version in force.
  bool Append(const Publication& publication) {
    const std::scoped_lock lock(mutex_);
    ++next_offset_;
    if (publication.based_on != in_force_.version()) return false;
    in_force_.set_version(next_offset_);
    in_force_.set_body(publication.body);
    in_force_.set_digest(Digest(publication.body));
    in_force_.set_author(publication.author);
    for (auto& [address, router] : routers_) {
      if (router.follows) router.status.set_config_version(next_offset_);
    }
    return true;
  }

  Result<schema::RouterStatus> Status(const std::string& address) override {
    const std::scoped_lock lock(mutex_);
    const auto found = routers_.find(address);
    if (found == routers_.end() || !found->second.answers) return Silent();
    return found->second.status;
  }

  Result<schema::ConfigSnapshot> Configuration(
      const std::string& address) override {
    const std::scoped_lock lock(mutex_);
    const auto& router = routers_.at(address);
    if (!router.answers) return Silent();
    return router.follows ? in_force_ : schema::ConfigSnapshot();
  }

  Result<schema::KeyExplanation> ExplainKey(
      const std::string& /*address*/, const ServiceId& /*service*/,
      const std::string& /*key*/) override {
    return Silent();
  }

  Result<schema::RequestExplanation> ExplainRequest(
      const std::string& /*address*/,
      const std::string& /*request_id*/) override {
    return Silent();
  }

  Result<std::uint64_t> Publish(const std::string& /*address*/,
                                const Publication& publication) override {
    ++publications_;
    if (before_append_) std::exchange(before_append_, nullptr)();
    switch (publishing_) {
      case Publishing::kNothingSent:
        return Silent();
      case Publishing::kLogDown:
        return Error{ResultCode::kLogUnavailable, "log down"};
      case Publishing::kWrongKey:
        return Error{ResultCode::kOperatorKeyWrong, "wrong key"};
      case Publishing::kAnswerLostBeforeWrite:
        return Error{ResultCode::kLogAnswerLost, "timeout"};
      case Publishing::kAnswerLostAfterWrite:
        Append(publication);
        return Error{ResultCode::kLogAnswerLost, "timeout"};
      default:
        break;
    }
    if (Append(publication)) return in_force_.version();
    return Error{ResultCode::kConfigStaleVersion, "stale"};
  }

  Result<void> DeclareLost(const std::string& /*address*/,
                           const std::string& /*vm*/,
                           const std::string& /*author*/) override {
    ++publications_;
    if (publishing_ == Publishing::kWorks) {
      return boost::outcome_v2::success();
    }
    return Error{ResultCode::kLogAnswerLost, "timeout"};
  }

 private:
  static Error Silent() {
    return {ResultCode::kOperatorUnreachable, "connection refused"};
  }

  std::mutex mutex_;
  std::map<std::string, Router> routers_;
  schema::ConfigSnapshot in_force_;
  std::uint64_t next_offset_ = 10;
  Publishing publishing_ = Publishing::kWorks;
  std::function<void()> before_append_;
  int publications_ = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_TESTS_OPERATOR_FAKE_ROUTERS_H_
