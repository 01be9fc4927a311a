#ifndef PERSIMMONTALLY_CATALOG_CATALOGITEMS_H
#define PERSIMMONTALLY_CATALOG_CATALOGITEMS_H

#include "persimmontally/Catalog/Catalog.h"
#include "persimmontally/Wire/CatalogMessage.h"

#include "absl/status/statusor.h"

#include <string_view>
#include <variant>
#include <vector>

namespace persimmontally {

/// Beginnings of the keys of items, by kind. Behind it, the key of a route has
/// its host name, a space and its path prefix, that of a service its name.
inline constexpr std::string_view kRouteItems = "route/";
inline constexpr std::string_view kServiceItems = "service/";
inline constexpr std::string_view kAccountItems = "account/";
/// The same for terms; behind it, the key has what that of the route, service
/// or account has.
inline constexpr std::string_view kRouteTermsItems = "route-terms/";
inline constexpr std::string_view kServiceTermsItems = "service-terms/";
inline constexpr std::string_view kAccountTermsItems = "account-terms/";

/// Behind it, the key of an evacuation has the data centre's name.
inline constexpr std::string_view kEvacuationItems = "evacuation/";

/// A catalog entry decoded from an item.
using CatalogEntry = std::variant<Route,
                                  ServiceSpec,
                                  ClientAccount,
                                  CallerLimits,
                                  RouteTerms,
                                  ServiceTerms,
                                  AccountTerms>;

/// Encodes each entry of a valid catalog as an item of its own. Terms get an
/// item only if they differ from the default.
std::vector<CatalogItem> EncodeItems(const Catalog& aCatalog);

/// Encodes an evacuation. Builds without evacuations read the item as a service
/// that no route names, and still apply the rest of its update.
CatalogItem EncodeEvacuation(const DataCentreId& aDataCentre);

/// Decodes an item, or returns InvalidArgument if it is malformed.
absl::StatusOr<CatalogEntry> DecodeItem(const CatalogItem& aItem);

} // namespace persimmontally

#endif
