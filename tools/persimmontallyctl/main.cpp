/// Command line tool for operators.

#include "Commands.h"
#include "persimmontally/Support/Log.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DEFINE_string(host, "127.0.0.1:8080", "entry host, ADDRESS:PORT");
DEFINE_string(admin_key_file, "", "file with the operators' key");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(change_id,
              "",
              "id of the change; a change with the same id is applied "
              "at most once. Generated if empty");
DEFINE_int64(from_version,
             -1,
             "version that the change is based on; the current "
             "version if negative");

using namespace persimmontally;

static constexpr const char* kUsage =
  "persimmontallyctl [flags] COMMAND\n"
  "  status                    hosts, upstreams, accounts, leases, suspects\n"
  "  routed                    hosts, upstreams and queues in the local "
  "view\n"
  "                            of a host that routes traffic; --host is "
  "its\n"
  "                            metrics address\n"
  "  show plans|accounts       a list and its version\n"
  "  validate plans|accounts FILE\n"
  "  diff plans|accounts FILE  changes that the file would make\n"
  "  submit plans|accounts FILE\n"
  "  evacuate DATA_CENTRE      sends nothing more to its upstreams\n"
  "  restore DATA_CENTRE       takes an evacuation back\n"
  "  explain REQUEST_ID        decisions of this host on one request\n"
  "  hash-key KEY              digest of a key, for the account list";

int main(int argc, char** argv)
{
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  InitLog(LogLevel::Warning, LogFormat::Text, "ctl");
  std::vector<std::string> arguments(argv + 1, argv + argc);
  ControlOptions options;
  options.m_json = FLAGS_json;
  options.m_changeId = FLAGS_change_id;
  options.m_fromVersion = FLAGS_from_version;
  auto host = ParseEndpoint(FLAGS_host);
  if (!host.ok()) {
    std::cerr << "--host: " << host.status().message() << "\n";
    return 2;
  }
  options.m_host = *host;
  std::ifstream keyFile(FLAGS_admin_key_file);
  std::getline(keyFile, options.m_adminKey);
  absl::StatusOr<std::string> output = RunCommand(options, arguments);
  if (output.ok()) {
    std::cout << *output;
    return 0;
  }
  std::cerr << output.status().message() << "\n";
  if (output.status().code() == absl::StatusCode::kUnimplemented) {
    std::cerr << kUsage << "\n";
    return 2;
  }
  return 1;
}
