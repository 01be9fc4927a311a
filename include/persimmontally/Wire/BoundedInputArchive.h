#ifndef PERSIMMONTALLY_WIRE_BOUNDEDINPUTARCHIVE_H
#define PERSIMMONTALLY_WIRE_BOUNDEDINPUTARCHIVE_H

#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>

#include <cstring>
#include <string_view>

namespace persimmontally {

/// cereal archive that reads the layout of `cereal::BinaryOutputArchive` from
/// memory. Unlike cereal's own input archive, it rejects lengths that exceed
/// the remaining input.
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive,
                                cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aBytes)
    : InputArchive(this)
    , m_unread(aBytes)
  {
  }

  void loadBinary(void* aTarget, size_t aSize)
  {
    if (aSize > m_unread.size()) {
      throw cereal::Exception("message is truncated");
    }
    // An empty vector may have a null data pointer, which memcpy must not get.
    if (aSize == 0) {
      return;
    }
    std::memcpy(aTarget, m_unread.data(), aSize);
    m_unread.remove_prefix(aSize);
  }

  size_t BytesLeft() const { return m_unread.size(); }

private:
  std::string_view m_unread;
};

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t byte = 0;
    aArchive.loadBinary(&byte, 1);
    if (byte > 1) {
      throw cereal::Exception("boolean is neither 0 nor 1");
    }
    aValue = byte == 1;
  } else {
    aArchive.loadBinary(std::addressof(aValue), sizeof(aValue));
  }
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive,
                                    cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

/// Rejects an element count that exceeds the remaining bytes, since each
/// element takes at least one byte.
template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive,
                                    cereal::SizeTag<T>& aSize)
{
  aArchive(aSize.size);
  if (aSize.size > aArchive.BytesLeft()) {
    throw cereal::Exception("length exceeds the rest of the message");
  }
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                               cereal::BinaryData<T>& aData)
{
  aArchive.loadBinary(aData.data, static_cast<size_t>(aData.size));
}

} // namespace persimmontally

CEREAL_REGISTER_ARCHIVE(persimmontally::BoundedInputArchive)

/// Maps the input archive to the output archive of the same layout, which
/// cereal needs for enumerations.
template<>
struct cereal::traits::detail::get_output_from_input<
  persimmontally::BoundedInputArchive>
{
  using type = cereal::BinaryOutputArchive;
};

#endif
