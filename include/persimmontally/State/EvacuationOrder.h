#ifndef PERSIMMONTALLY_STATE_EVACUATIONORDER_H
#define PERSIMMONTALLY_STATE_EVACUATIONORDER_H

#include "persimmontally/State/StateService.h"

#include <functional>
#include <set>

namespace persimmontally {

/// Time in which an order is proposed again on top of a change that this host
/// did not know. Later, its operator may have sent it to another host, and a
/// contrary order after it.
inline constexpr Duration kMaxOrderAge = milliseconds(800);

/// Returns the data centres that are evacuated.
std::set<DataCentreId> EvacuatedDataCentres(
  const std::vector<EvacuationRow>& aRows);

/// Orders the evacuation of a data centre, or takes it back. `aClock` returns
/// the current time, and `aIsWanted` whether the sender of the order still
/// waits for the answer; without it, the order is not proposed on top of
/// another one that this host did not know. The callback receives `Accepted`
/// once a majority of voters has stored the order, or else `Undecided`, after
/// which it may still take effect, or `VersionConflict` if a later order
/// overtook it.
void ProposeEvacuation(StateService& aState,
                       std::function<Instant()> aClock,
                       std::function<bool()> aIsWanted,
                       const DataCentreId& aDataCentre,
                       bool aIsEvacuated,
                       StateService::Callback aCallback);

} // namespace persimmontally

#endif
