#ifndef PERSIMMONTALLY_NET_FRAMELINK_H
#define PERSIMMONTALLY_NET_FRAMELINK_H

#include "persimmontally/Support/Settings.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmontally {

class CallerGuard;
class EventLoop;

/// Length-prefixed messages over TCP between hosts. Each host sends on the
/// connections it opens and receives on those it accepts; the next send
/// reconnects a broken connection. Messages are lost when their connection
/// breaks; within a connection they are neither reordered nor truncated.
class FrameLink
{
public:
  using Receiver = std::function<void(std::string_view aFrame)>;

  /// Largest frame in bytes. A longer length prefix closes the connection.
  static constexpr size_t kMaxFrameBytes = size_t(64) << 20;
  /// Largest number of bytes queued for one peer; a frame that would exceed it
  /// is dropped.
  static constexpr size_t kMaxQueuedBytes = size_t(96) << 20;

  explicit FrameLink(EventLoop& aLoop);
  ~FrameLink();

  /// Sets the guard that bounds what accepted connections may hold together.
  /// Called before `Open`.
  void SetGuard(std::shared_ptr<CallerGuard> aGuard);
  /// Listens on the address and passes each received frame to the receiver.
  /// Returns an error if the address cannot be bound.
  absl::Status Open(const Endpoint& aListen, Receiver aReceiver);
  /// Queues a frame for a peer and connects to it if necessary. Delivery is not
  /// guaranteed.
  void Send(const Endpoint& aTo, std::string aFrame);
  /// Stops listening, closes the connections to peers and drops queued frames.
  /// Connections that were accepted before stay open.
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace persimmontally

#endif
