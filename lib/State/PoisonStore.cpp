#include "persimmontally/State/PoisonStore.h"

#include "DurableFile.h"
#include "persimmontally/Wire/Codec.h"

namespace persimmontally {

static std::filesystem::path PoisonPath(const std::string& aFolder)
{
  return std::filesystem::path(aFolder) / "poison";
}

absl::Status StorePoisonRows(const std::string& aFolder,
                             const std::vector<PoisonRow>& aRows)
{
  MembershipTables tables;
  tables.m_poison = aRows;
  return ReplaceFile(PoisonPath(aFolder),
                     Encode(PeerMessage(std::move(tables))));
}

absl::StatusOr<std::vector<PoisonRow>> LoadPoisonRows(
  const std::string& aFolder)
{
  std::filesystem::path path = PoisonPath(aFolder);
  std::error_code ignored;
  if (!std::filesystem::exists(path, ignored)) {
    return std::vector<PoisonRow>();
  }
  auto data = ReadFile(path);
  if (!data.ok()) {
    return data.status();
  }
  auto message = Decode<PeerMessage>(*data);
  const auto* tables =
    message.ok() ? std::get_if<MembershipTables>(&*message) : nullptr;
  if (tables == nullptr) {
    return absl::DataLossError(path.string() + ": no poison rows");
  }
  return tables->m_poison;
}

} // namespace persimmontally
