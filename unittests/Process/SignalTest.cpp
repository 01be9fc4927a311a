/// Tests of signals that must not end a process.

#include "Process/ProcessSite.h"

#include <doctest/doctest.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace persimmontally;

// Guards against processes that a change of their settings ends while they
// start, and against a change that is not read.
TEST_CASE("a reload signal while a process starts neither ends it nor is lost")
{
  ProcessSite site(ProcessSiteOptions{});
  for (DaemonProcess* process : { &site.Entry(0), &site.Control(0) }) {
    CAPTURE(process->m_name);
    std::string path = site.WriteSettings(*process);
    std::ifstream in(path);
    std::stringstream settings;
    settings << in.rdbuf();
    std::filesystem::remove(path);
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    site.StartProcess(*process);
    // A pipe can be opened for writing once the process reads its settings.
    auto write = [&](bool aSignals) {
      int pipe = -1;
      site.RunUntil([&] {
        pipe = ::open(path.c_str(), O_WRONLY | O_NONBLOCK);
        return pipe >= 0 || process->m_hasEnded;
      });
      if (aSignals) {
        ProcessSite::Signal(*process, SIGHUP);
      }
      if (pipe >= 0) {
        std::string text = settings.str();
        CHECK(::write(pipe, text.data(), text.size()) ==
              static_cast<ssize_t>(text.size()));
        ::close(pipe);
      }
    };
    write(true);
    // The first reading has ended once the host runs.
    site.RunUntil([&] {
      return process->m_hasEnded ||
             site.LogOf(*process).find("event=started") != std::string::npos;
    });
    write(false);
    site.RunFor(milliseconds(500));
    CAPTURE(site.LogOf(*process));
    CHECK(!process->m_hasEnded);
    CHECK(site.LogOf(*process).find("settings_reloaded") != std::string::npos);
  }
}

// Guards against processes that end when the reader of their log does.
TEST_CASE("a process runs on when the reader of its output has gone")
{
  ProcessSite site(ProcessSiteOptions{});
  DaemonProcess& process = site.Entry(0);
  int pipe[2];
  REQUIRE(::pipe2(pipe, O_CLOEXEC) == 0);
  site.StartProcess(process, pipe[1]);
  ::close(pipe[1]);
  site.RunFor(milliseconds(500));
  ::close(pipe[0]);
  // Each reload writes a line.
  for (int i = 0; i < 3; ++i) {
    ProcessSite::Signal(process, SIGHUP);
    site.RunFor(milliseconds(100));
  }
  CHECK(!process.m_hasEnded);
}
