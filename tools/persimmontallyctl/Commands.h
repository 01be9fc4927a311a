#ifndef PERSIMMONTALLY_TOOLS_CTL_COMMANDS_H
#define PERSIMMONTALLY_TOOLS_CTL_COMMANDS_H

#include "persimmontally/Support/Settings.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmontally {

struct ControlOptions
{
  Endpoint m_host;
  std::string m_adminKey;
  bool m_json = false;
  std::string m_changeId;
  int64_t m_fromVersion = -1;
};

/// Runs one command and returns its output. Returns `Unimplemented` if the
/// command is unknown or an argument is missing.
absl::StatusOr<std::string> RunCommand(
  const ControlOptions& aOptions,
  const std::vector<std::string>& aArguments);

} // namespace persimmontally

#endif
