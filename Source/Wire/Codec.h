#pragma once

#include <cstddef>
#include <cstring>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>

#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace camphorstep {

/// Bytes that are not a message of the expected type.
class DecodeError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

namespace detail {

/// Reads what cereal's BinaryOutputArchive wrote. Unlike cereal's own input
/// archive it checks every size against the bytes that are left, so that a
/// hostile length cannot make it allocate.
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive,
                                cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aBytes)
    : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(
        this)
    , mBytes(aBytes)
  {
  }

  void LoadBinary(void* aTarget, std::size_t aSize)
  {
    if (aSize > mBytes.size()) {
      throw DecodeError("message ends early");
    }
    std::memcpy(aTarget, mBytes.data(), aSize);
    mBytes.remove_prefix(aSize);
  }

  std::size_t Left() const { return mBytes.size(); }

private:
  std::string_view mBytes;
};

}

}

// Tells cereal which output archive the input archive above reads.
template<>
struct cereal::traits::detail::get_output_from_input<
  camphorstep::detail::BoundedInputArchive>
{
  using type = cereal::BinaryOutputArchive;
};

namespace camphorstep {

namespace detail {

template<typename T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, T& aValue)
{
  aArchive.LoadBinary(std::addressof(aValue), sizeof(aValue));
}

template<>
inline void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive, bool& aValue)
{
  std::uint8_t byte = 0;
  aArchive.LoadBinary(&byte, sizeof(byte));
  if (byte > 1) {
    throw DecodeError("a truth value is neither 0 nor 1");
  }
  aValue = byte == 1;
}

template<typename T>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                          cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<typename T>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                          cereal::SizeTag<T>& aTag)
{
  aArchive(aTag.size);
  if (aTag.size > aArchive.Left()) {
    throw DecodeError("a size is larger than the message");
  }
}

template<typename T>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& aArchive,
                          cereal::BinaryData<T>& aData)
{
  aArchive.LoadBinary(aData.data, static_cast<std::size_t>(aData.size));
}

}

/// Encodes a message with cereal's binary archive (little-endian hosts).
template<typename Message>
std::string
Encode(const Message& aMessage)
{
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(aMessage);
  return std::move(out).str();
}

/// Decodes a message that fills the bytes exactly; throws DecodeError.
template<typename Message>
Message
Decode(std::string_view aBytes)
{
  Message message;
  try {
    detail::BoundedInputArchive archive(aBytes);
    archive(message);
    if (archive.Left() != 0) {
      throw DecodeError("bytes are left over after the message");
    }
  } catch (const cereal::Exception& ex) {
    throw DecodeError(ex.what());
  }
  return message;
}

}
