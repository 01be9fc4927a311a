#include "persimmontally/Catalog/CatalogItems.h"

#include "persimmontally/Wire/BoundedInputArchive.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <map>
#include <sstream>

namespace persimmontally {

static CatalogItem EncodeItem(std::string aKey, const CatalogEntry& aEntry)
{
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(aEntry);
  return { std::move(aKey), std::move(out).str() };
}

std::vector<CatalogItem> EncodeItems(const Catalog& aCatalog)
{
  std::vector<CatalogItem> items;
  items.push_back(EncodeItem("limits", aCatalog.m_limits));
  for (const ServiceSpec& service : aCatalog.m_services) {
    items.push_back(
      EncodeItem(std::string(kServiceItems) + service.m_name, service));
  }
  for (const Route& route : aCatalog.m_routes) {
    items.push_back(EncodeItem(std::string(kRouteItems) + route.m_hostName +
                                 " " + route.m_pathPrefix,
                               route));
  }
  // Several accounts may have the same name.
  std::map<AccountId, size_t> counts;
  for (const ClientAccount& account : aCatalog.m_accounts) {
    size_t number = counts[account.m_id]++;
    items.push_back(EncodeItem(std::string(kAccountItems) +
                                 std::to_string(number) + "/" +
                                 account.m_id.Value(),
                               account));
  }
  return items;
}

absl::StatusOr<CatalogEntry> DecodeItem(const CatalogItem& aItem)
{
  try {
    BoundedInputArchive archive(aItem.m_data);
    CatalogEntry entry;
    archive(entry);
    if (archive.BytesLeft() != 0) {
      return absl::InvalidArgumentError(aItem.m_key +
                                        ": item has trailing bytes");
    }
    return entry;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(aItem.m_key + ": " + error.what());
  }
}

} // namespace persimmontally
