#include "wigeonfold/base/Text.h"

namespace wigeonfold {

std::string TruncateUtf8(std::string_view aText, size_t aMaxBytes)
{
  if (aText.size() <= aMaxBytes) {
    return std::string(aText);
  }
  const auto isContinuation = [](char aByte) {
    return (static_cast<unsigned char>(aByte) & 0xC0U) == 0x80U;
  };
  size_t end = aMaxBytes;
  while (end > 0 && isContinuation(aText[end])) {
    --end;
  }
  return std::string(aText.substr(0, end));
}

std::string EscapeBytes(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char byte : aBytes) {
    const auto code = static_cast<unsigned char>(byte);
    if (code >= ' ' && code <= '~' && code != '\\') {
      text += byte;
      continue;
    }
    text += "\\x";
    text += kDigits[code >> 4U];
    text += kDigits[code & 0xFU];
  }
  return text;
}

} // namespace wigeonfold
