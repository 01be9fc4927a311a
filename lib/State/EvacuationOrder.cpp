#include "persimmontally/State/EvacuationOrder.h"

namespace persimmontally {

std::set<DataCentreId> EvacuatedDataCentres(
  const std::vector<EvacuationRow>& aRows)
{
  std::set<DataCentreId> evacuated;
  for (const EvacuationRow& row : aRows) {
    if (row.m_isEvacuated) {
      evacuated.insert(row.m_dataCentre);
    }
  }
  return evacuated;
}

static void Propose(StateService& aState,
                    std::function<Instant()> aClock,
                    std::function<bool()> aIsWanted,
                    SetEvacuation aCommand,
                    Instant aUntil,
                    StateService::Callback aCallback)
{
  Instant now = aClock();
  auto onResult = [&aState,
                   clock = std::move(aClock),
                   isWanted = std::move(aIsWanted),
                   command = aCommand,
                   aUntil,
                   callback =
                     std::move(aCallback)](const CommandResult& aResult) {
    if (aResult.m_status != CommandStatus::VersionConflict ||
        clock() >= aUntil || !isWanted()) {
      callback(aResult);
      return;
    }
    SetEvacuation again = command;
    again.m_basisIndex = aResult.m_version;
    Propose(aState, clock, isWanted, std::move(again), aUntil, callback);
  };
  aState.Propose(now, std::move(aCommand), std::move(onResult));
}

void ProposeEvacuation(StateService& aState,
                       std::function<Instant()> aClock,
                       std::function<bool()> aIsWanted,
                       const DataCentreId& aDataCentre,
                       bool aIsEvacuated,
                       StateService::Callback aCallback)
{
  SetEvacuation command{ aDataCentre, aIsEvacuated, 0 };
  for (const EvacuationRow& row : aState.Plans().m_evacuations) {
    if (row.m_dataCentre == aDataCentre) {
      command.m_basisIndex = row.m_index;
    }
  }
  Instant until = aClock() + kMaxOrderAge;
  Propose(aState,
          std::move(aClock),
          std::move(aIsWanted),
          std::move(command),
          until,
          std::move(aCallback));
}

} // namespace persimmontally
