#ifndef PERSIMMONTALLY_TOOLS_LOAD_PLAYER_H
#define PERSIMMONTALLY_TOOLS_LOAD_PLAYER_H

#include "persimmontally/Load/History.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/HttpClient.h"
#include "persimmontally/Net/SseParser.h"
#include "persimmontally/Support/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmontally {

struct PlayerOptions
{
  std::vector<Endpoint> m_hosts;
  std::vector<Endpoint> m_upstreams;
  std::string m_keysJson;
  /// If set, requests are sent to stand-in upstreams directly, with this key.
  std::string m_directKey;
  Duration m_drainTimeout = seconds(120);
};

/// Sends the requests of a trace at their arrival times, whether or not earlier
/// ones have ended, and records the response to each.
class Player
{
public:
  Player(EventLoop& aLoop, PlayerOptions aOptions, Trace aTrace);
  ~Player();

  /// Starts the trace. Calls `aOnEnd` after all responses have ended, or the
  /// drain timeout has expired, and the upstreams' run counts have been read.
  void Start(std::function<void()> aOnEnd);
  const std::vector<CallerRecord>& Records() const { return m_records; }
  const RunCounts& Runs() const { return m_runs; }
  uint64_t Preemptions() const { return m_preemptions; }
  /// Returns the records in JSON lines.
  std::string HistoryJson() const;

private:
  struct Call
  {
    std::shared_ptr<HttpCall> m_call;
    SseParser m_parser;
  };

  void SendDueRequests();
  void Send(size_t aIndex);
  HttpRequest MakeRequest(const TraceItem& aItem) const;
  void OnEvent(size_t aIndex, const SseEvent& aEvent);
  void OnEnd(size_t aIndex, const absl::Status& aStatus);
  void ReadResponse(CallerRecord& aRecord);
  void FetchRunCounts();

  EventLoop& m_loop;
  PlayerOptions m_options;
  Trace m_trace;
  std::map<std::string, std::string> m_keys;
  std::vector<CallerRecord> m_records;
  std::vector<Call> m_calls;
  RunCounts m_runs;
  uint64_t m_preemptions = 0;
  size_t m_nextItem = 0;
  size_t m_openRequests = 0;
  size_t m_pendingRunCounts = 0;
  Instant m_startedAt;
  Timer m_timer;
  Timer m_drainTimer;
  std::function<void()> m_onEnd;
};

} // namespace persimmontally

#endif
