#ifndef PERSIMMONTALLY_PROXY_DECISIONLOG_H
#define PERSIMMONTALLY_PROXY_DECISIONLOG_H

#include "persimmontally/Support/Log.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace persimmontally {

/// Logs each decision on a request, and keeps the lines of the most recent
/// requests so that operators can look them up by request id.
class DecisionLog
{
public:
  static constexpr size_t kRequestsKept = 4096;
  static constexpr size_t kLinesPerRequest = 32;

  void Write(const std::string& aRequestId,
             const std::string& aEvent,
             std::vector<LogField> aFields);
  /// Returns the kept lines of a request; empty if there are none.
  std::vector<std::string> Explain(const std::string& aRequestId) const;

private:
  std::map<std::string, std::vector<std::string>> m_linesByRequest;
  std::deque<std::string> m_requestOrder;
};

} // namespace persimmontally

#endif
