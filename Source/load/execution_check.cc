#include "load/execution_check.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "net/http_client.h"

namespace balsamhall {
namespace {

using nlohmann::json;

constexpr Milliseconds kFetchTimeout{5000};
constexpr int kPageSize = 20'000;
constexpr int kMaxPages = 1000;
constexpr std::size_t kMaxExamples = 20;

std::optional<json> Fetch(const std::string& backend,
                          const std::string& target) {
  const auto outcome =
      SendHttpAndWait(backend, {"GET", target, {}, ""}, kFetchTimeout);
  if (!outcome.response || outcome.response->status != 200) return std::nullopt;
  json body = json::parse(outcome.response->body, nullptr, false);
  if (!body.is_object()) return std::nullopt;
  return body;
}

bool FetchBackend(const std::string& backend, BackendExecutions& all) {
  const auto summary = Fetch(backend, "/executions");
  if (!summary) return false;
  all.executions += summary->value("executions", std::uint64_t{0});
  all.above_slots += summary->value("above_slots", std::uint64_t{0});
  all.refused_full += summary->value("refused_full", std::uint64_t{0});
  all.unrecorded += summary->value("unrecorded", std::uint64_t{0});
  std::uint64_t next = 0;
  for (int i = 0; i < kMaxPages; ++i) {
    const auto page =
        Fetch(backend, "/executions?after=" + std::to_string(next) +
                           "&max=" + std::to_string(kPageSize));
    if (!page) return false;
    for (const json& entry : page->at("ids")) {
      all.runs[entry.at(0).get<std::string>()] +=
          entry.at(2).get<std::uint32_t>();
    }
    next = page->at("next").get<std::uint64_t>();
    if (page->value("end", true)) return true;
  }
  return false;
}

}  // namespace

BackendExecutions FetchExecutions(const std::vector<std::string>& backends) {
  BackendExecutions all;
  for (const std::string& backend : backends) {
    try {
      if (FetchBackend(backend, all)) continue;
    } catch (const json::exception&) {
      // Counted below: a malformed answer proves nothing.
    }
    all.unreachable.push_back(backend);
  }
  return all;
}

ExecutionFaults CheckExecutions(const schema::LoadScenario& scenario,
                                const RequestLedger& ledger,
                                const BackendExecutions& executions) {
  ExecutionFaults faults;
  const bool complete =
      executions.unreachable.empty() && executions.unrecorded == 0;
  for (std::size_t i = 0; i < ledger.entries().size(); ++i) {
    const RequestLedger::Entry& entry = ledger.entries()[i];
    const std::string id = ledger.IdOf(i);
    const auto found = executions.runs.find(id);
    const std::uint32_t runs =
        found == executions.runs.end() ? 0 : found->second;
    const bool idempotent = scenario.kinds(entry.kind).idempotent();
    const auto fault = [&](const char* what, std::uint64_t& counter) {
      ++counter;
      if (faults.examples.size() < kMaxExamples) {
        faults.examples.push_back(std::string(what) + " " + id);
      }
    };
    if (runs > 1 && idempotent) ++faults.idempotent_again;
    if (runs > 1 && !idempotent) fault("doubled", faults.doubled);
    if (runs == 0 && entry.acknowledged) {
      if (complete) {
        fault("lost", faults.lost);
      } else {
        ++faults.unverified;
      }
    }
    const bool told_not_run =
        !entry.acknowledged && !entry.may_have_run && entry.unanswered == 0;
    if (runs > 0 && told_not_run) fault("not-run-ran", faults.not_run_ran);
  }
  return faults;
}

}  // namespace balsamhall
