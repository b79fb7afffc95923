#include "wigeonfold/forwarding/Fingerprint.h"

#include "wigeonfold/base/Hash.h"

#include <array>
#include <iomanip>
#include <sstream>

namespace wigeonfold::forwarding {

namespace {

constexpr int kHexDigits = 16;

} // namespace

uint64_t FingerprintOf(const wire::CallRequest& aRequest)
{
  std::string head;
  for (const std::string* part : { &aRequest.route,
                                   &aRequest.method,
                                   &aRequest.path,
                                   &aRequest.office }) {
    head += *part;
    head += '\n'; // occurs in none of them
  }
  const std::array<uint64_t, 2> hashes{ Hash64(head), Hash64(aRequest.body) };
  return Hash64(
    { reinterpret_cast<const char*>(hashes.data()), sizeof(hashes) });
}

std::string FormatFingerprint(uint64_t aFingerprint)
{
  std::ostringstream text;
  text << std::hex << std::setw(kHexDigits) << std::setfill('0')
       << aFingerprint;
  return text.str();
}

} // namespace wigeonfold::forwarding
