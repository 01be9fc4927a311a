// Streams on model servers, and what has become of their runs.
#pragma once

#include "Kit.h"

namespace kit {

inline const char* kModelConfig =
  R"({"version":7,"routes":[)"
  R"({"name":"r-long","host":"ficu95.example","path-prefix":"/lohu930/","kind":"stream","timeout-ms":39000,"slo-ms":4000,"priority":2,"service":"huvo11a","attempts":1,"public":false,"sticky":true,"resumable":false,"gap-target-ms":180}],)"
  R"("services":[{"name":"huvo11a","health-path":"/health","max-conns":222,"protocol":"h1","tls":false,"engine":{"slots":24,"kv-tokens":34285,"kv-token-bytes":35136,"link-mbps":5100.0,"moves":false,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}}],)"
  R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
  R"("tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";

/// Asks for a stream of 120 events and returns whether it is complete.
inline bool AskForStream(const Record& aRecord,
                         const Machine& aFront,
                         const std::string& aId)
{
  std::string request =
    "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + aId +
    "\r\nModel: m\r\nToken-Count: 400,480\r\nLength-Hint: 480\r\n"
    "Prefix-Hash: 5c1e07a2:200,91bd" +
    aId.substr(8) +
    ":200\r\nDeadline-Ms: 20000\r\nX-Api-Key: xd9dnn2ctnfzs989anu6\r\n"
    "Content-Length: 4\r\n\r\nbody";
  Response response = Call(aFront.m_ip, kFrontPort, request, 21);
  bool isWhole = response.m_isComplete && response.m_head.Status() == 200;
  aRecord.Line("client: stream " + aId + " via " + aFront.m_name +
               " got status " + std::to_string(response.m_head.Status()) +
               ", " + (isWhole ? "complete" : "broken off"));
  return isWhole;
}

/// Looks for runs that went on at another server while the one before was at
/// work 400 ms later, and could be reached then.
inline int JudgeRuns(const Record& aRecord,
                     int aComplete,
                     int aBrokenOff,
                     double aReachableFrom = 0)
{
  constexpr double kAllowed = 0.4;
  struct Run
  {
    std::string m_server;
    double m_wentOnAt = 0;
    std::string m_next;
    double m_lastWorkBefore = 0;
  };
  std::map<std::string, Run> runs;
  std::istringstream lines(ReadFile(aRecord.Path()));
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    double at = 0;
    std::string server;
    std::string word;
    std::string id;
    words >> at >> word >> server >> word >> id >> word;
    if (line.find("server ") == std::string::npos) {
      continue;
    }
    Run& run = runs[id];
    if (line.find("from the memory") != std::string::npos) {
      run.m_wentOnAt = at;
      run.m_next = server;
    } else if (word == "begins") {
      run.m_server = server;
    } else if ((word == "makes" || word == "ends") && server == run.m_server) {
      run.m_lastWorkBefore = at;
    }
  }
  int wentOn = 0;
  int doubled = 0;
  for (const auto& [id, run] : runs) {
    if (run.m_wentOnAt == 0) {
      continue;
    }
    ++wentOn;
    double beside = run.m_lastWorkBefore - run.m_wentOnAt;
    char text[200];
    std::snprintf(
      text,
      sizeof text,
      "run %s went on at %s at %.3f; %s worked on it for %.3f s more",
      id.c_str(),
      run.m_next.c_str(),
      run.m_wentOnAt,
      run.m_server.c_str(),
      std::max(0.0, beside));
    aRecord.Line(text);
    bool isReached = run.m_wentOnAt + kAllowed >= aReachableFrom;
    doubled += beside > kAllowed && isReached ? 1 : 0;
  }
  aRecord.Line("result: " + std::to_string(aComplete) + " complete, " +
               std::to_string(aBrokenOff) + " broken off, " +
               std::to_string(wentOn) + " went on elsewhere, " +
               std::to_string(doubled) + " of them beside the first run");
  if (aComplete == 0) {
    return 2;
  }
  return doubled > 0 ? 1 : 0;
}

} // namespace kit
