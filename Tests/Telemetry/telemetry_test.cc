#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "telemetry/event_log.h"
#include "telemetry/metrics.h"
#include "telemetry/trace_store.h"

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;
using std::chrono::microseconds;

struct Line {
  EventFields fields;
  std::string expected;
};

std::ostream& operator<<(std::ostream& out, const Line& line) {
  return out << line.expected;
}

// Guards against values that forge further pairs or lines in the event log.
BOOST_DATA_TEST_CASE(
    EventValuesAreQuoted,
    data::make(std::vector<Line>{
        {{}, "event=e code=7"},
        {{{"k", "plain"}}, "event=e code=7 k=plain"},
        {{{"k", ""}}, "event=e code=7 k=\"\""},
        {{{"k", "two words"}}, "event=e code=7 k=\"two words\""},
        {{{"k", "a=b"}}, "event=e code=7 k=\"a=b\""},
        {{{"k", "a\"b\\c"}}, "event=e code=7 k=\"a\\\"b\\\\c\""},
        {{{"k", "a\nlevel=x"}}, "event=e code=7 k=\"a\\nlevel=x\""},
        {{{"k", "a\x01"}}, "event=e code=7 k=\"a\\x01\""},
        {{{"k", std::string(1'000'000, 'x')}, {"l", "m"}},
         "event=e code=7 k=" + std::string(1'024, 'x') + "... l=m"},
    }),
    line) {
  BOOST_CHECK_EQUAL(FormatEvent("e", 7, line.fields), line.expected);
}

struct Header {
  std::string text;
  bool valid;
};

std::ostream& operator<<(std::ostream& out, const Header& header) {
  return out << header.text;
}

const std::string kTrace = "0af7651916cd43dd8448eb211c80319c";
const std::string kSpan = "b7ad6b7169203331";

// Guards against trace ids that other tools refuse.
BOOST_DATA_TEST_CASE(
    TraceparentIsParsed,
    data::make(std::vector<Header>{
        {"00-" + kTrace + "-" + kSpan + "-01", true},
        {"cc-" + kTrace + "-" + kSpan + "-01-later", true},
        {"00-" + kTrace + "-" + kSpan + "-01-later", false},
        {"ff-" + kTrace + "-" + kSpan + "-01", false},
        {"00-" + std::string(32, '0') + "-" + kSpan + "-01", false},
        {"00-" + kTrace + "-" + std::string(16, '0') + "-01", false},
        {"00-" + kTrace + "-" + kSpan, false},
        {"00-" + kTrace + "-" + kSpan + "-0g", false},
        {"00_" + kTrace + "-" + kSpan + "-01", false},
        {"", false},
    }),
    header) {
  const auto context = ParseTraceparent(header.text);
  BOOST_REQUIRE_EQUAL(context.has_value(), header.valid);
  if (!context) return;
  BOOST_CHECK_EQUAL(context->trace_id, kTrace);
  BOOST_CHECK_EQUAL(context->span_id, kSpan);
  BOOST_CHECK(context->sampled);
  const TraceContext next = NextSpan(context);
  BOOST_CHECK_EQUAL(next.trace_id, kTrace);
  BOOST_CHECK_NE(next.span_id, kSpan);
  BOOST_CHECK(ParseTraceparent(FormatTraceparent(next)).has_value());
}

schema::Span Span(const std::string& request, std::int64_t start) {
  schema::Span span;
  span.set_trace_id(kTrace);
  span.set_span_id(kSpan);
  span.set_request_id(request);
  span.set_start_us(start);
  span.set_duration_us(5);
  span.set_name("entry");
  return span;
}

// Guards against a store that grows with the traffic.
BOOST_AUTO_TEST_CASE(RingKeepsTheLatestSpans) {
  TraceStore store(10, "");
  for (int i = 0; i < 100; ++i) {
    store.Record(Span("r" + std::to_string(i), i), true);
  }
  BOOST_CHECK(store.Find("r89").empty());
  BOOST_CHECK_EQUAL(store.Find("r90").size(), 1U);
  BOOST_CHECK(store.Find("").empty());
  store.Record(Span("r99", 1), true);
  const auto spans = store.Find("r99");
  BOOST_REQUIRE_EQUAL(spans.size(), 2U);
  BOOST_CHECK_EQUAL(spans[0].start_us(), 1);
}

// Guards against export lines that an OTLP reader refuses.
BOOST_AUTO_TEST_CASE(ExportIsOneJsonLineForEachSampledSpan) {
  const std::string path =
      "/tmp/balsamhall-telemetry-test-" + std::to_string(::getpid()) + ".jsonl";
  {
    TraceStore store(10, path);
    store.Record(Span("a", 1), true);
    store.Record(Span("b\xff", 2), true);
    store.Record(Span("c", 3), false);
    store.Flush();
  }
  std::ifstream file(path);
  std::string line;
  int lines = 0;
  while (std::getline(file, line)) {
    ++lines;
    const auto json = nlohmann::json::parse(line);
    const auto& span = json["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    BOOST_CHECK_EQUAL(span["traceId"].get<std::string>(), kTrace);
    BOOST_CHECK(span["startTimeUnixNano"].is_string());
  }
  BOOST_CHECK_EQUAL(lines, 2);
  std::remove(path.c_str());
}

// Guards against shards that are lost or counted twice in the output.
BOOST_AUTO_TEST_CASE(ShardsAreMergedAndPrinted) {
  Metrics one;
  Metrics two;
  for (int i = 0; i < 99; ++i) {
    one.RecordRequest(schema::RANK_URGENT, "ok", 0, microseconds(2000), true);
  }
  two.RecordRequest(schema::RANK_URGENT, "ok", 0, microseconds(500'000), false);
  two.RecordRequest(schema::RANK_NORMAL, "not-run", 100, microseconds(10),
                    false);
  one.Add("retries_total", "", 2);
  two.Add("retries_total", "", 3);
  two.Add("link_bytes_total", "cause=\"forward\"", 7);
  Metrics all;
  all.MergeFrom(one);
  all.MergeFrom(two);
  const auto ranks = all.ranks();
  BOOST_CHECK_EQUAL(ranks[0].requests(), 100U);
  BOOST_CHECK_EQUAL(ranks[0].in_target(), 99U);
  BOOST_CHECK_EQUAL(ranks[1].not_run(), 1U);
  // Bins are 32% wide, so the printed upper edge is up to 32% too high.
  BOOST_CHECK_GE(ranks[0].p50_ms(), 2.0);
  BOOST_CHECK_LE(ranks[0].p50_ms(), 2.0 * 1.33);
  BOOST_CHECK_LE(ranks[0].p99_ms(), 2.0 * 1.33);
  const std::string text = all.PrometheusText();
  BOOST_CHECK_NE(text.find("balsamhall_retries_total 5\n"), std::string::npos);
  BOOST_CHECK_NE(text.find("balsamhall_link_bytes_total{cause=\"forward\"} 7"),
                 std::string::npos);
  BOOST_CHECK_NE(
      text.find("balsamhall_requests_total{rank=\"urgent\",code=\"0\"} 100"),
      std::string::npos);
}

}  // namespace
}  // namespace balsamhall
