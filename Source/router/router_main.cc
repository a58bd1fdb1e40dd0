// balsamhall-router: routes caller requests to backend servers.
#include <tclap/CmdLine.h>

#include <iostream>

#include "config/settings_loader.h"
#include "router/control_loop.h"
#include "telemetry/event_log.h"
#include "telemetry/trace_store.h"

namespace {

constexpr int kExitSettings = 2;
constexpr int kExitListen = 3;
constexpr int kExitShutdownLimit = 4;

int Fail(const balsamhall::Error& error, const char* event, int exit_code) {
  balsamhall::LogEvent(
      balsamhall::EventLevel::kError, event, static_cast<unsigned>(error.code),
      {{"name", std::string(balsamhall::ResultCodeName(error.code))},
       {"detail", error.detail}});
  return exit_code;
}

int Run(const balsamhall::schema::RouterSettings& settings) {
  balsamhall::StartEventLog(balsamhall::ParseEventLevel(settings.log_level()));
  int exit_code = 0;
  {
    balsamhall::TraceStore traces(settings.trace_capacity_spans(),
                                  settings.trace_export_file());
    balsamhall::ControlLoop control(settings, traces);
    const auto listening = control.Listen();
    if (!listening) {
      exit_code = Fail(listening.error(), "listen_failed", kExitListen);
    } else if (!control.Run(true)) {
      exit_code = kExitShutdownLimit;
    }
  }
  balsamhall::StopEventLog();
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Routes requests to servers that own keys.", ' ',
                           "0.1.0");
    TCLAP::ValueArg<std::string> path("", "settings", "Settings in JSON.", true,
                                      "", "FILE", command);
    TCLAP::SwitchArg check("", "check", "Checks the settings and ends.",
                           command);
    command.parse(argc, argv);
    auto settings = balsamhall::LoadSettings(path.getValue());
    if (!settings) {
      return Fail({balsamhall::ResultCode::kSettingsInvalid,
                   path.getValue() + ": " + settings.error().detail},
                  "settings_invalid", kExitSettings);
    }
    if (check.getValue()) {
      std::cout << path.getValue() << ": valid\n";
      return 0;
    }
    return Run(settings.value());
  } catch (const std::exception& error) {
    std::cerr << "balsamhall-router: " << error.what() << "\n";
    return 1;
  }
}
