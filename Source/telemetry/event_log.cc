#include "telemetry/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>

namespace balsamhall {
namespace {

constexpr std::size_t kQueuedLines = 8192;
// A value may quote what another system sent.
constexpr std::size_t kMaxValueBytes = 1024;
constexpr std::string_view kCutMark = "...";
constexpr const char* kPattern = "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v";

std::shared_ptr<spdlog::logger>& Logger() {
  static std::shared_ptr<spdlog::logger> logger = [] {
    auto direct = std::make_shared<spdlog::logger>(
        "direct", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    direct->set_pattern(kPattern);
    return direct;
  }();
  return logger;
}

spdlog::level::level_enum ToSpdlog(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return spdlog::level::debug;
    case EventLevel::kInfo:
      return spdlog::level::info;
    case EventLevel::kWarning:
      return spdlog::level::warn;
    case EventLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::ranges::any_of(value, [](char c) {
           return static_cast<unsigned char>(c) <= ' ' || c == '"' ||
                  c == '=' || c == '\\' || c == 0x7f;
         });
}

void AppendWholeValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (c == '\n') {
      line += "\\n";
    } else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f) {
      line += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      line += c;
    }
  }
  line += '"';
}

void AppendValue(std::string& line, std::string_view value) {
  if (value.size() <= kMaxValueBytes) return AppendWholeValue(line, value);
  AppendWholeValue(
      line, std::string(value.substr(0, kMaxValueBytes)).append(kCutMark));
}

}  // namespace

std::string FormatEvent(std::string_view event, unsigned code,
                        const EventFields& fields) {
  std::string line = "event=";
  AppendValue(line, event);
  line += " code=" + std::to_string(code);
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=';
    AppendValue(line, value);
  }
  return line;
}

EventLevel ParseEventLevel(std::string_view text) {
  if (text == "trace" || text == "debug") return EventLevel::kDebug;
  if (text == "warn") return EventLevel::kWarning;
  if (text == "error") return EventLevel::kError;
  return EventLevel::kInfo;
}

void StartEventLog(EventLevel level, EventStream stream) {
  spdlog::init_thread_pool(kQueuedLines, 1);
  spdlog::sink_ptr sink;
  if (stream == EventStream::kStandardOutput) {
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  auto logger = std::make_shared<spdlog::async_logger>(
      "events", std::move(sink), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern(kPattern);
  logger->set_level(ToSpdlog(level));
  Logger() = std::move(logger);
}

void StopEventLog() {
  Logger()->flush();
  spdlog::shutdown();
}

void LogEvent(EventLevel level, std::string_view event, unsigned code,
              const EventFields& fields) {
  const auto& logger = Logger();
  if (!logger->should_log(ToSpdlog(level))) return;
  logger->log(ToSpdlog(level), "{}", FormatEvent(event, code, fields));
}

}  // namespace balsamhall
