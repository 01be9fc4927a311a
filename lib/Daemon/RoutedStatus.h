#ifndef PERSIMMONTALLY_LIB_DAEMON_ROUTEDSTATUS_H
#define PERSIMMONTALLY_LIB_DAEMON_ROUTEDSTATUS_H

#include <string>

namespace persimmontally {

class ForwardGateway;
class HostCore;

/// What a host of routed traffic believes, as JSON: hosts, the group, the
/// catalog, upstreams with what runs on them, and what waits. The gateway is
/// null on control hosts.
std::string RoutedStatusJson(HostCore& aCore, const ForwardGateway* aGateway);

} // namespace persimmontally

#endif
