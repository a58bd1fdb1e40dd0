#include "operator/explanation.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "core/result_code.h"
#include "operator/fleet_report.h"

namespace balsamhall {
namespace {

std::optional<Fence> EpochOf(const schema::EndpointRouting& owner,
                             PartitionId partition) {
  for (const auto& held : owner.partitions()) {
    if (held.partition() == partition) return FromProto(held.epoch());
  }
  return std::nullopt;
}

// Orders explanations by how new their owner is; no owner comes first.
auto Recency(const schema::KeyExplanation& key) {
  return std::tuple(!key.owner().view().endpoint().empty(),
                    EpochOf(key.owner(), key.partition()).value_or(Fence{}),
                    FromProto(key.owner().view().term()),
                    key.owner().revision());
}

auto MoveKey(const schema::MoveEvent& move) {
  return std::tuple(FromProto(move.epoch()), move.from_endpoint(),
                    move.to_endpoint());
}

std::string DescribeMove(const schema::MoveEvent& move, WallTime now) {
  return fmt::format(
      "  {}: from {} to {}, epoch {}, because of {}\n",
      DescribeTime(move.at_ms(), now),
      move.from_endpoint().empty() ? "nobody" : move.from_endpoint(),
      move.to_endpoint().empty() ? "nobody" : move.to_endpoint(),
      FromProto(move.epoch()).ToString(),
      move.cause().empty() ? "an unrecorded cause" : move.cause());
}

std::string DescribeReason(const schema::KeyExplanation& key, WallTime now) {
  const auto& owner = key.owner().view().endpoint();
  const auto epoch = EpochOf(key.owner(), key.partition());
  std::string text;
  if (epoch) text += fmt::format("Epoch {}. ", epoch->ToString());
  if (key.moves().empty()) {
    return text +
           "No move is remembered: the owner is that of the first "
           "assignment, or the routers that moved it restarted.\n";
  }
  const auto& last = *key.moves().rbegin();
  if (last.to_endpoint() != owner) {
    return text + "A move is under way; see the last one below.\n";
  }
  return text + fmt::format("{} owns it since {}, because of {}.\n", owner,
                            DescribeTime(last.at_ms(), now), last.cause());
}

class SpanTree {
 public:
  explicit SpanTree(std::vector<schema::Span> spans)
      : spans_(std::move(spans)) {
    std::set<std::string> ids;
    for (const auto& span : spans_) ids.insert(span.span_id());
    for (const auto& span : spans_) {
      const bool known = ids.contains(span.parent_span_id()) &&
                         span.parent_span_id() != span.span_id();
      children_[known ? span.parent_span_id() : ""].push_back(&span);
    }
  }

  std::string Describe() {
    AppendChildren("", 1);
    // Spans whose parents form a circle come from a damaged record.
    for (const auto& span : spans_) {
      if (!shown_.contains(&span)) Append(span, 1);
    }
    return std::move(text_);
  }

 private:
  void AppendChildren(const std::string& parent, std::size_t depth) {
    const auto found = children_.find(parent);
    if (found == children_.end()) return;
    for (const schema::Span* span : found->second) Append(*span, depth);
  }

  void Append(const schema::Span& span, std::size_t depth) {
    if (!shown_.insert(&span).second) return;
    const auto code = static_cast<ResultCode>(span.code());
    text_ += fmt::format(
        "{:>{}}+{:.3f} ms  {}  {:.3f} ms  at {}{}  [{} {}]\n", "", 2 * depth,
        static_cast<double>(span.start_us() - spans_.front().start_us()) / 1000,
        span.name(), static_cast<double>(span.duration_us()) / 1000,
        span.router(),
        span.endpoint().empty() ? "" : fmt::format(", {}", span.endpoint()),
        span.code(), ResultCodeName(code));
    AppendChildren(span.span_id(), depth + 1);
  }

  std::vector<schema::Span> spans_;
  std::map<std::string, std::vector<const schema::Span*>> children_;
  std::set<const schema::Span*> shown_;
  std::string text_;
};

}  // namespace

schema::KeyExplanation MergeKeyExplanations(
    const std::vector<schema::KeyExplanation>& answers) {
  schema::KeyExplanation merged = *std::ranges::max_element(
      answers, {}, [](const auto& key) { return Recency(key); });
  std::map<decltype(MoveKey({})), schema::MoveEvent> moves;
  for (const auto& answer : answers) {
    for (const auto& move : answer.moves()) moves.emplace(MoveKey(move), move);
  }
  merged.clear_moves();
  for (auto& [key, move] : moves) *merged.add_moves() = std::move(move);
  return merged;
}

std::string DescribeKey(const schema::KeyExplanation& key, WallTime now) {
  std::string text = fmt::format("Key {} of service {} is in partition {}.\n",
                                 key.key(), key.service(), key.partition());
  const auto& owner = key.owner();
  const auto& view = owner.view();
  if (view.endpoint().empty()) {
    text +=
        "It has no known owner: requests are answered \"not run\" [100 "
        "not-run-no-owner] until one is found.\n";
  } else {
    text += fmt::format(
        "Owner: endpoint {}, state {}, {}.\n", view.endpoint(),
        owner.state().empty() ? "unknown" : owner.state(),
        owner.accepting() ? "accepting work" : "not accepting work");
    text +=
        fmt::format("Its primary router is {}, its backup is {}, term {}.\n",
                    view.primary().id().empty() ? "none" : view.primary().id(),
                    view.backup().id().empty() ? "none" : view.backup().id(),
                    FromProto(view.term()).ToString());
    text += DescribeReason(key, now);
  }
  if (!key.moves().empty()) text += "Moves, oldest first:\n";
  for (const auto& move : key.moves()) text += DescribeMove(move, now);
  return text;
}

std::string DescribeSpans(std::vector<schema::Span> spans, WallTime now) {
  if (spans.empty()) return {};
  std::ranges::stable_sort(spans, {}, [](const schema::Span& span) {
    return std::tuple(span.start_us(), -span.duration_us());
  });
  std::set<std::string> seen;
  std::erase_if(spans, [&](const schema::Span& span) {
    return !seen.insert(span.span_id()).second;
  });
  const auto& first = spans.front();
  std::string text =
      fmt::format("Request {}, trace {}, first seen {}:\n", first.request_id(),
                  first.trace_id(), DescribeTime(first.start_us() / 1000, now));
  return text + SpanTree(std::move(spans)).Describe();
}

}  // namespace balsamhall
