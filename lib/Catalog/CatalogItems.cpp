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

/// Adds the item of an entry and, if need be, one of its terms.
template<class Entry>
static void AddItems(std::vector<CatalogItem>& aItems,
                     std::string_view aKind,
                     std::string_view aTermsKind,
                     const std::string& aName,
                     const Entry& aEntry)
{
  aItems.push_back(EncodeItem(std::string(aKind) + aName, aEntry));
  if (aEntry.m_terms != decltype(aEntry.m_terms)()) {
    aItems.push_back(
      EncodeItem(std::string(aTermsKind) + aName, aEntry.m_terms));
  }
}

std::vector<CatalogItem> EncodeItems(const Catalog& aCatalog)
{
  std::vector<CatalogItem> items;
  items.push_back(EncodeItem("limits", aCatalog.m_limits));
  for (const ServiceSpec& service : aCatalog.m_services) {
    AddItems(items, kServiceItems, kServiceTermsItems, service.m_name, service);
  }
  for (const Route& route : aCatalog.m_routes) {
    AddItems(items,
             kRouteItems,
             kRouteTermsItems,
             route.m_hostName + " " + route.m_pathPrefix,
             route);
  }
  // Several accounts may have the same name.
  std::map<AccountId, size_t> counts;
  for (const ClientAccount& account : aCatalog.m_accounts) {
    size_t number = counts[account.m_id]++;
    AddItems(items,
             kAccountItems,
             kAccountTermsItems,
             std::to_string(number) + "/" + account.m_id.Value(),
             account);
  }
  return items;
}

CatalogItem EncodeEvacuation(const DataCentreId& aDataCentre)
{
  std::string key = std::string(kEvacuationItems) + aDataCentre.Value();
  ServiceSpec placeholder;
  placeholder.m_name = key;
  return EncodeItem(key, placeholder);
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
