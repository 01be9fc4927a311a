#include "persimmontally/Proxy/DecisionLog.h"

namespace persimmontally {

void DecisionLog::Write(const std::string& aRequestId,
                        const std::string& aEvent,
                        std::vector<LogField> aFields)
{
  std::string line = aEvent;
  for (const LogField& field : aFields) {
    line.append(" ").append(field.Key()).append("=").append(field.Value());
  }
  auto [at, isNew] = m_linesByRequest.try_emplace(aRequestId);
  if (at->second.size() < kLinesPerRequest) {
    at->second.push_back(std::move(line));
  }
  if (isNew) {
    m_requestOrder.push_back(aRequestId);
  }
  if (m_requestOrder.size() > kRequestsKept) {
    m_linesByRequest.erase(m_requestOrder.front());
    m_requestOrder.pop_front();
  }
  aFields.insert(aFields.begin(), LogField("request_id", aRequestId));
  WriteLog(LogLevel::Info, aEvent, aFields);
}

std::vector<std::string> DecisionLog::Explain(
  const std::string& aRequestId) const
{
  auto at = m_linesByRequest.find(aRequestId);
  return at == m_linesByRequest.end() ? std::vector<std::string>() : at->second;
}

} // namespace persimmontally
