#ifndef PERSIMMONTALLY_STATE_POISONSTORE_H
#define PERSIMMONTALLY_STATE_POISONSTORE_H

#include "persimmontally/Wire/PoisonRow.h"

#include "absl/status/statusor.h"

#include <string>
#include <vector>

namespace persimmontally {

/// Stores poison rows in a data folder, so that a quarantine outlives a power
/// loss of all hosts. Returns OK only when they are durable.
absl::Status StorePoisonRows(const std::string& aFolder,
                             const std::vector<PoisonRow>& aRows);

/// Returns the rows stored last, none if none were stored, or DataLoss if they
/// cannot be read.
absl::StatusOr<std::vector<PoisonRow>> LoadPoisonRows(
  const std::string& aFolder);

} // namespace persimmontally

#endif
