#ifndef PERSIMMONTALLY_LIB_DAEMON_HOSTCORE_H
#define PERSIMMONTALLY_LIB_DAEMON_HOSTCORE_H

#include "persimmontally/Membership/Membership.h"
#include "persimmontally/Net/EventLoop.h"
#include "persimmontally/Net/FrameLink.h"
#include "persimmontally/Net/UdpSocket.h"
#include "persimmontally/State/StateService.h"
#include "persimmontally/Support/Metrics.h"
#include "persimmontally/Support/Settings.h"
#include "persimmontally/Wire/Codec.h"

#include <functional>
#include <memory>

namespace persimmontally {

/// What every kind of host has: the links to its peers, membership and the
/// replicated state, run each turn of the loop.
class HostCore
{
public:
  using PeerHandler =
    std::function<void(const HostId& aFrom, const PeerMessage& aMessage)>;

  HostCore(EventLoop& aLoop, Settings aSettings, MembershipOptions aOptions);

  /// Opens the data folder, and makes the replicated state.
  absl::Status OpenState();
  /// Opens the links to the peers and starts to run. The handler gets the
  /// messages that neither membership nor state take.
  absl::Status Start(PeerHandler aHandler);
  /// Called in each control turn, before the state runs.
  void OnTurn(std::function<void()> aAction) { m_onTurn = std::move(aAction); }
  /// Called for each change of a host's state.
  void OnHostChange(std::function<void(const HostChange&)> aAction)
  {
    m_onHostChange = std::move(aAction);
  }
  void Send(const Endpoint& aTo, const PeerMessage& aMessage)
  {
    Send(std::vector<Endpoint>{ aTo }, aMessage);
  }
  /// Sends one message to several peers; it is encoded and sealed once.
  void Send(const std::vector<Endpoint>& aTo, const PeerMessage& aMessage);
  void FlushMembership();
  /// Writes and syncs what the state decided, at most once a turn of the loop.
  void FlushState();
  /// Tells the peers that this host leaves.
  void Leave();
  /// Applies the settings that may change while the host runs.
  void Reload(const Settings& aSettings);
  /// Stops the host for good.
  void Fail(const absl::Status& aStatus);

  EventLoop& Loop() { return m_loop; }
  const Settings& Config() const { return m_settings; }
  Metrics& Counters() { return m_metrics; }
  Membership& Members() { return m_membership; }
  StateService& State() { return *m_state; }
  const absl::Status& Failure() const { return m_failure; }

private:
  void ControlTurn();
  void OnDiskFailed();
  void ReopenState();
  void LogHostChange(const HostChange& aChange);
  void OnDatagram(std::string_view aData);
  void OnFrame(std::string_view aData);
  std::vector<StatePeer> StatePeers() const;

  EventLoop& m_loop;
  Settings m_settings;
  UdpSocket m_udp;
  FrameLink m_link;
  Metrics m_metrics;
  Membership m_membership;
  std::unique_ptr<StateService> m_state;
  PeerHandler m_onMessage;
  std::function<void()> m_onTurn;
  std::function<void(const HostChange&)> m_onHostChange;
  Timer m_controlTimer;
  Timer m_reopenTimer;
  bool m_isDiskFailed = false;
  bool m_flushPosted = false;
  absl::Status m_failure;
};

} // namespace persimmontally

#endif
