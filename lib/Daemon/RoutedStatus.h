#ifndef PERSIMMONTALLY_LIB_DAEMON_ROUTEDSTATUS_H
#define PERSIMMONTALLY_LIB_DAEMON_ROUTEDSTATUS_H

#include "persimmontally/Support/Ids.h"

#include <set>
#include <string>

namespace persimmontally {

class ForwardGateway;
class HostCore;

/// Returns a routed host's local view as JSON: the hosts, the group, the
/// version of the catalog, the evacuated data centres, the upstreams with their
/// running requests, and the backlog. `aGateway` is null on control hosts,
/// which have no running requests and no backlog to report.
std::string RoutedStatusJson(HostCore& aCore,
                             const std::set<DataCentreId>& aEvacuated,
                             const ForwardGateway* aGateway);

} // namespace persimmontally

#endif
