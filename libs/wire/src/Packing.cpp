#include "wigeonfold/wire/Packing.h"

#include <zlib.h>

namespace wigeonfold::wire {

namespace {

Error UnpackError(const std::string& aPeer, const std::string& aDetail)
{
  return Error{ ErrorCode::Protocol, "unpack payload", aPeer, aDetail };
}

} // namespace

std::string Pack(std::string_view aBytes)
{
  std::string packed(compressBound(aBytes.size()), '\0');
  uLongf length = packed.size();
  // Can't fail: compressBound() is the greatest length that may be needed.
  compress2(reinterpret_cast<Bytef*>(packed.data()),
            &length,
            reinterpret_cast<const Bytef*>(aBytes.data()),
            aBytes.size(),
            Z_BEST_SPEED);
  packed.resize(length);
  packed.shrink_to_fit();
  return packed;
}

Result<std::string> Unpack(std::string_view aPacked,
                           size_t aLength,
                           size_t aLimit,
                           const std::string& aPeer)
{
  if (aLength > aLimit) {
    return UnpackError(aPeer,
                       "unpacked length of " + std::to_string(aLength) +
                         " bytes exceeds the limit");
  }
  std::string bytes(aLength, '\0');
  uLongf length = bytes.size();
  const int status = uncompress(reinterpret_cast<Bytef*>(bytes.data()),
                                &length,
                                reinterpret_cast<const Bytef*>(aPacked.data()),
                                aPacked.size());
  if (status != Z_OK || length != aLength) {
    return UnpackError(
      aPeer, "compressed data is corrupt or differs from the stated length");
  }
  return bytes;
}

} // namespace wigeonfold::wire
