// Encodes payloads that are sent to many nodes.
#pragma once

#include "wigeonfold/wire/Codec.h"

#include <memory>
#include <string>

namespace wigeonfold::distribution {

// Thread safe.
template<class T>
std::shared_ptr<const std::string> EncodeShared(const T& aMessage)
{
  return std::make_shared<const std::string>(wire::Encode(aMessage));
}

} // namespace wigeonfold::distribution
