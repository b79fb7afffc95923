#include "wigeonfold/net/Echo.h"

#include "wigeonfold/base/Hash.h"

#include <array>
#include <charconv>

namespace wigeonfold::net {

namespace {

std::string Hex(uint64_t aNumber)
{
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr int kHexLength = 16;
  std::string text(kHexLength, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = kDigits[aNumber & 0xf];
    aNumber >>= 4;
  }
  return text;
}

} // namespace

std::string EchoBody(const std::string& aId,
                     const std::string& aRequestBody,
                     size_t aLength)
{
  std::string body;
  body.reserve(aLength + 16);
  std::string block = Hex(Hash64(aId + "\n" + aRequestBody));
  while (body.size() < aLength) {
    body += block;
    block = Hex(Hash64(block));
  }
  body.resize(aLength);
  return body;
}

const char* ToString(EchoCheck aCheck)
{
  constexpr std::array<const char*, 3> kNames{ "right",
                                               "other request",
                                               "wrong length" };
  return kNames.at(static_cast<size_t>(aCheck));
}

EchoCheck CheckEcho(const HttpRequest& aRequest, const HttpResponse& aResponse)
{
  const std::string* sent = FindField(aRequest.m_fields, kRequestIdField);
  const std::string* received = FindField(aResponse.m_fields, kRequestIdField);
  if (sent == nullptr || received == nullptr || *sent != *received) {
    return EchoCheck::OtherRequest;
  }
  size_t length = 0;
  if (aRequest.m_method != "HEAD") {
    length = static_cast<size_t>(
      NumberField(aRequest.m_fields, kAnswerBytesField, kDefaultAnswerBytes));
  }
  if (aResponse.m_body.size() != length) {
    return EchoCheck::WrongLength;
  }
  return aResponse.m_body == EchoBody(*sent, aRequest.m_body, length)
           ? EchoCheck::Right
           : EchoCheck::OtherRequest;
}

int64_t NumberField(const std::vector<HttpField>& aFields,
                    const std::string& aName,
                    int64_t aDefault)
{
  const std::string* text = FindField(aFields, aName);
  if (text == nullptr) {
    return aDefault;
  }
  int64_t number = 0;
  const char* end = text->data() + text->size();
  const auto [stop, code] = std::from_chars(text->data(), end, number);
  return code == std::errc() && stop == end ? number : aDefault;
}

} // namespace wigeonfold::net
