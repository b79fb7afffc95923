#include "wigeonfold/base/Version.h"

namespace wigeonfold {

std::string ToString(const Version& aVersion)
{
  return std::to_string(aVersion.m_generation) + "." +
         std::to_string(aVersion.m_number);
}

} // namespace wigeonfold
