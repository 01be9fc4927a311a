#ifndef PERSIMMONTALLY_LIB_WIRE_BOUNDEDINPUTARCHIVE_H
#define PERSIMMONTALLY_LIB_WIRE_BOUNDEDINPUTARCHIVE_H

#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>

#include <cstring>
#include <string_view>

namespace persimmontally {

/// cereal archive that reads the layout of `cereal::BinaryOutputArchive` from
/// memory and refuses any length that exceeds the bytes left, which cereal's
/// own archive takes on trust.
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive,
                                cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aBytes)
    : InputArchive(this)
    , m_left(aBytes)
  {
  }

  void loadBinary(void* aTo, size_t aSize)
  {
    if (aSize > m_left.size()) {
      throw cereal::Exception("the message ends early");
    }
    // An empty vector has no memory to copy to.
    if (aSize == 0) {
      return;
    }
    std::memcpy(aTo, m_left.data(), aSize);
    m_left.remove_prefix(aSize);
  }

  size_t BytesLeft() const { return m_left.size(); }

private:
  std::string_view m_left;
};

template<class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t byte = 0;
    aArchive.loadBinary(&byte, 1);
    if (byte > 1) {
      throw cereal::Exception("a flag is neither 0 nor 1");
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

/// Every element takes a byte at least, so a count above the bytes left is
/// false.
template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& aArchive,
                                    cereal::SizeTag<T>& aSize)
{
  aArchive(aSize.size);
  if (aSize.size > aArchive.BytesLeft()) {
    throw cereal::Exception("a length exceeds the message");
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

/// Names the archive whose layout is read, which cereal needs for enumerations.
template<>
struct cereal::traits::detail::get_output_from_input<
  persimmontally::BoundedInputArchive>
{
  using type = cereal::BinaryOutputArchive;
};

#endif
