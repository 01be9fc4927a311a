/// Daemon that runs on every host; its settings select the role of the host.

#include "persimmontally/Daemon/EntryHost.h"
#include "persimmontally/Daemon/RoutedHost.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Support/Log.h"
#include "persimmontally/Support/Settings.h"

#include "platform/PlatformProtocol.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(config, "", "INI file with the settings of this host");
DEFINE_string(set,
              "",
              "settings that override the file, as SECTION.KEY=VALUE,...");
DEFINE_bool(check_config, false, "check the settings and exit");
DEFINE_bool(print_settings, false, "print the settings reference and exit");

using namespace persimmontally;

template<class Host>
static int RunHost(EventLoop& aLoop, Host& aHost)
{
  absl::Status started = aHost.Start();
  if (!started.ok()) {
    std::cerr << "cannot start: " << started.message() << "\n";
    return 1;
  }
  aLoop.OnTerminate([&] { aHost.BeginShutdown(); });
  aLoop.Run();
  return aHost.Failure().ok() ? 0 : 1;
}

/// Reloads the settings file. If the file is invalid, logs the error and keeps
/// the current settings.
static void ReloadSettings(RoutedHost& aHost)
{
  auto settings = LoadSettings(FLAGS_config, FLAGS_set);
  if (!settings.ok()) {
    WriteLog(LogLevel::Error,
             "settings_refused",
             { { "reason", std::string(settings.status().message()) } });
    return;
  }
  aHost.Reload(*settings);
}

int main(int argc, char** argv)
{
  EventLoop::PrepareSignals();
  gflags::SetUsageMessage(
    "persimmontallyd --config FILE [--set LIST] [--check_config]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_print_settings) {
    std::cout << SettingsReference();
    return 0;
  }
  auto settings = LoadSettings(FLAGS_config, FLAGS_set);
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return 2;
  }
  if (FLAGS_check_config) {
    std::cout << FLAGS_config << ": ok\n";
    return 0;
  }
  InitLog(
    settings->m_logLevel, settings->m_logFormat, settings->m_host.Value());
  if (IsRoutedHost(*settings)) {
    platform::PlatformProtocol protocol;
    EventLoop loop;
    RoutedHost host(loop, *settings, protocol);
    loop.OnReload([&] { ReloadSettings(host); });
    return RunHost(loop, host);
  }
  EventLoop loop;
  EntryHost host(loop, *settings);
  // An entry host cannot change its settings at run time.
  loop.OnReload(
    [] { WriteLog(LogLevel::Info, "settings_reload_ignored", {}); });
  return RunHost(loop, host);
}
