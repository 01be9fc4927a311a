#ifndef PERSIMMONTALLY_SUPPORT_RANK_H
#define PERSIMMONTALLY_SUPPORT_RANK_H

#include <array>
#include <cstdint>
#include <string_view>

namespace persimmontally {

/// Priority class of a request.
enum class Rank : uint8_t
{
  Urgent,
  Routine
};

inline constexpr std::array<Rank, 2> kRanks = { Rank::Urgent, Rank::Routine };

inline std::string_view ToString(Rank aRank)
{
  return aRank == Rank::Urgent ? "urgent" : "routine";
}

} // namespace persimmontally

#endif
