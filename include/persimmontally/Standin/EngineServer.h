#ifndef PERSIMMONTALLY_STANDIN_ENGINESERVER_H
#define PERSIMMONTALLY_STANDIN_ENGINESERVER_H

#include "persimmontally/Standin/EngineModel.h"
#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"

#include <memory>
#include <string>
#include <vector>

namespace persimmontally {

class EventLoop;

struct EngineServerOptions
{
  /// Upstream id to announce.
  std::string m_id;
  Endpoint m_listen;
  /// Address to announce; port 0 stands for `m_listen`.
  Endpoint m_advertise;
  std::string m_dataCentre;
  std::string m_region;
  /// Name of the service to simulate; empty for an inference engine.
  std::string m_service;
  std::vector<std::string> m_models;
  /// Hosts that receive the announcements, one at a time; a failed call
  /// switches to the next. Nothing is announced if empty.
  std::vector<Endpoint> m_entryHosts;
  /// Bearer key that requests must carry and that announcements are sent with.
  std::string m_upstreamKey;
  EngineOptions m_engine;
  /// Announced as `checks_fencing`.
  bool m_checksFencing = true;
  /// Age of the load values in announcements.
  Duration m_reportLag = milliseconds(500);
  /// Period of cache event messages, and the probability that one is dropped.
  Duration m_cacheEventPeriod = milliseconds(500);
  double m_cacheEventLossProbability = 0;
  /// Time for which a generation without a connection can be resumed before it
  /// is cancelled.
  Duration m_resumeWindow = seconds(2);
  /// Time that a service call takes.
  Duration m_serviceTime = milliseconds(20);
  /// A prompt that contains this text is a poison request: it crashes the
  /// process.
  std::string m_poisonText = "POISON";
  uint64_t m_seed = 1;
};

/// HTTP server of a stand-in upstream, either an inference engine that is
/// simulated by `EngineModel` or a service. `GET /standin/runs` returns the
/// number of runs of each request, `POST /standin/fault` injects a fault.
class EngineServer
{
public:
  EngineServer(EventLoop& aLoop, EngineServerOptions aOptions);
  ~EngineServer();

  /// Listens and announces the upstream; returns the error of listening.
  absl::Status Start();
  /// Announces the state `leaving`, finishes the running requests, withdraws
  /// the upstream and stops the event loop.
  void Leave();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
