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
  std::string m_id;
  Endpoint m_listen;
  /// Address that it announces, where that is not the one it listens on.
  Endpoint m_advertise;
  std::string m_dataCentre;
  std::string m_region;
  /// Empty for a model engine, else the name of the plain service.
  std::string m_service;
  std::vector<std::string> m_models;
  std::vector<Endpoint> m_entryHosts;
  std::string m_upstreamKey;
  EngineOptions m_engine;
  bool m_checksFencing = true;
  /// Age of the load that an announcement reports.
  Duration m_reportLag = milliseconds(500);
  /// Delay of cache events, and the part of them that is lost.
  Duration m_cacheEventDelay = milliseconds(500);
  double m_cacheEventLoss = 0;
  /// How long a generation runs on without a connection.
  Duration m_resumeWindow = seconds(2);
  Duration m_serviceTime = milliseconds(20);
  /// Text that kills the process when a prompt with it begins to run.
  std::string m_poisonText = "POISON";
  uint64_t m_seed = 1;
};

/// Stand-in upstream behind HTTP: a model engine or a plain service. It counts
/// what it ran, under `GET /standin/runs`, and takes faults under
/// `POST /standin/fault`.
class EngineServer
{
public:
  EngineServer(EventLoop& aLoop, EngineServerOptions aOptions);
  ~EngineServer();

  absl::Status Start();
  /// Announces that it leaves, finishes what runs, then stops the loop.
  void Leave();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
