#ifndef PERSIMMONTALLY_LIB_DAEMON_HOSTCORE_H
#define PERSIMMONTALLY_LIB_DAEMON_HOSTCORE_H

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/CallerGuard.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/FrameLink.h"
#include "persimmontally/Net/UdpSocket.h"
#include "persimmontally/State/CatalogSpread.h"
#include "persimmontally/State/StateService.h"
#include "persimmontally/Support/Metrics.h"
#include "persimmontally/Support/Settings.h"
#include "persimmontally/Wire/Codec.h"

#include <functional>
#include <memory>

namespace persimmontally {

/// The parts that every kind of host has: the links to its peers, membership
/// and the replicated state. Runs them on the event loop.
class HostCore
{
public:
  using PeerHandler =
    std::function<void(const HostId& aFrom, const PeerMessage& aMessage)>;

  HostCore(EventLoop& aLoop, Settings aSettings, MembershipOptions aOptions);

  /// Opens the data folder and creates the replicated state.
  absl::Status OpenState();
  /// Opens the links to the peers and starts the control timer. `aHandler` is
  /// called for messages that neither membership nor the state handles.
  absl::Status Start(PeerHandler aHandler);
  /// Sets the action that runs in each control tick, before the state's tick,
  /// and after each message about the replicated state.
  void OnControlTick(std::function<void()> aAction)
  {
    m_onControlTick = std::move(aAction);
  }
  /// Sets the action that runs for each change of a host's membership state.
  void OnHostChange(std::function<void(const HostChange&)> aAction)
  {
    m_onHostChange = std::move(aAction);
  }
  /// Sets the action that runs after a received update has changed the catalog
  /// of a host without a disk.
  void OnCatalog(std::function<void(const CatalogUpdate&)> aAction)
  {
    m_onCatalog = std::move(aAction);
  }
  /// Passes the catalog of the replicated log on to the hosts without a disk.
  void PublishCatalog(uint64_t aVersion, std::vector<CatalogItem> aItems);
  /// Sets the action that runs after the table of upstreams has changed.
  void OnUpstreamsChange(std::function<void()> aAction)
  {
    m_onUpstreamsChange = std::move(aAction);
  }
  void Send(const Endpoint& aTo, const PeerMessage& aMessage)
  {
    Send(std::vector<Endpoint>{ aTo }, aMessage);
  }
  /// Sends one message to several peers. It is encoded and sealed only once.
  void Send(const std::vector<Endpoint>& aTo, const PeerMessage& aMessage);
  /// Sends the messages that membership has queued.
  void FlushMembership();
  /// Schedules the state to write and sync its log and then to send its
  /// messages, at most once per event loop iteration.
  void FlushState();
  /// Announces to the peers that this host leaves.
  void Leave();
  /// Applies those of the settings that may change at run time.
  void Reload(const Settings& aSettings);
  /// Records and logs the error and stops the event loop.
  void Fail(const absl::Status& aStatus);

  EventLoop& Loop() { return m_loop; }
  const Settings& Config() const { return m_settings; }
  Metrics& Counters() { return m_metrics; }
  Membership& Members() { return m_membership; }
  StateService& State() { return *m_state; }
  const CatalogSpread& Catalog() const { return m_catalogSpread; }
  const absl::Status& Failure() const { return m_failure; }

  /// Sets the gauges of the connections of other hosts.
  void ReportPeers() { m_peerGuard->Report(); }

private:
  void ControlTick();
  void OnDiskFailed();
  void ReopenState();
  void LogHostChange(const HostChange& aChange);
  void OnDatagram(std::string_view aData);
  void OnFrame(std::string_view aData);
  void ReceiveCatalog(const CatalogUpdate& aUpdate);
  void FlushCatalog();
  void CheckCatalogAge(Instant aNow);
  void RestorePoison();
  /// Stores the quarantined rows if they have changed.
  void StorePoison(Instant aNow);
  std::vector<StatePeer> StatePeers() const;
  std::vector<SpreadPeer> SpreadPeers() const;

  EventLoop& m_loop;
  Settings m_settings;
  UdpSocket m_udp;
  FrameLink m_link;
  std::shared_ptr<CallerGuard> m_peerGuard;
  Metrics m_metrics;
  Membership m_membership;
  /// Version of the membership table that the state has received.
  uint64_t m_statePeersVersion = 0;
  CatalogSpread m_catalogSpread;
  bool m_isCatalogBehind = false;
  /// Version of the poison rows that were last compared with the stored ones.
  uint64_t m_storedPoisonVersion = 0;
  std::vector<PoisonRow> m_storedPoison;
  Instant m_nextPoisonStore;
  std::unique_ptr<StateService> m_state;
  PeerHandler m_onMessage;
  std::function<void()> m_onControlTick;
  std::function<void(const HostChange&)> m_onHostChange;
  std::function<void(const CatalogUpdate&)> m_onCatalog;
  std::function<void()> m_onUpstreamsChange;
  /// Version of the upstream table at the last call of `m_onUpstreamsChange`.
  uint64_t m_upstreamsVersion = 0;
  Timer m_controlTimer;
  Timer m_reopenTimer;
  bool m_isDiskFailed = false;
  bool m_isFlushPosted = false;
  absl::Status m_failure;
};

} // namespace persimmontally

#endif
