#ifndef PERSIMMONTALLY_SUPPORT_IDS_H
#define PERSIMMONTALLY_SUPPORT_IDS_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace persimmontally {

/// String identifier of one kind of entity. Each `Tag` makes a distinct type,
/// so identifiers of different kinds do not convert into one another.
template<class Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  const std::string& Value() const { return m_value; }
  bool Empty() const { return m_value.empty(); }

  auto operator<=>(const Id&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(m_value);
  }

private:
  std::string m_value;
};

using HostId = Id<struct HostTag>;
using UpstreamId = Id<struct UpstreamTag>;
using AccountId = Id<struct AccountTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RegionId = Id<struct RegionTag>;
using ModelId = Id<struct ModelTag>;
using RequestId = Id<struct RequestTag>;
using GenerationId = Id<struct GenerationTag>;
using DiskId = Id<struct DiskTag>;

} // namespace persimmontally

template<class Tag>
struct std::hash<persimmontally::Id<Tag>>
{
  size_t operator()(const persimmontally::Id<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.Value());
  }
};

#endif
