#include "wigeonfold/forwarding/Dialect.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <cmath>

namespace wigeonfold::forwarding {

namespace {

constexpr std::array kHopByHop{
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect",
  "proxy-authenticate",
  "proxy-authorization",
};

bool IsOneOf(const std::string& aName, const std::vector<std::string>& aNames)
{
  return std::any_of(
    aNames.begin(), aNames.end(), [&aName](const std::string& aOther) {
      return boost::iequals(aName, aOther);
    });
}

bool IsHopByHop(const std::string& aName)
{
  return std::any_of(
    kHopByHop.begin(), kHopByHop.end(), [&aName](const char* aOther) {
      return boost::iequals(aName, aOther);
    });
}

// Names listed in Connection fields.
std::vector<std::string> ConnectionNames(
  const std::vector<wire::HeaderField>& aFields)
{
  std::vector<std::string> names;
  for (const wire::HeaderField& field : aFields) {
    if (boost::iequals(field.name, "connection")) {
      std::vector<std::string> part;
      boost::split(part, field.value, boost::is_any_of(","));
      for (std::string& name : part) {
        boost::trim(name);
        names.push_back(std::move(name));
      }
    }
  }
  return names;
}

} // namespace

void StripHopByHop(std::vector<wire::HeaderField>& aFields, bool aKeepLength)
{
  const std::vector<std::string> named = ConnectionNames(aFields);
  const auto end = std::remove_if(
    aFields.begin(), aFields.end(), [&](const wire::HeaderField& aField) {
      const bool kept =
        aKeepLength && boost::iequals(aField.name, "content-length");
      return !kept && (IsHopByHop(aField.name) || IsOneOf(aField.name, named));
    });
  aFields.erase(end, aFields.end());
}

std::optional<int64_t> ParseNumber(const std::string& aText)
{
  int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || rest != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

AnswerOrigin CompareIds(const std::vector<wire::HeaderField>& aRequest,
                        const std::vector<wire::HeaderField>& aAnswer,
                        const std::string& aName)
{
  const std::string* sent = FindField(aRequest, aName);
  const std::string* answered = FindField(aAnswer, aName);
  if (sent == nullptr || answered == nullptr) {
    return AnswerOrigin::Unnamed;
  }
  return *sent == *answered ? AnswerOrigin::Named : AnswerOrigin::Other;
}

void ReadRequestLimit(const std::vector<wire::HeaderField>& aFields,
                      const std::string& aName,
                      TargetNotice& aNotice)
{
  const std::string* text = FindField(aFields, aName);
  if (text == nullptr) {
    return;
  }
  double value = 0;
  const char* end = text->data() + text->size();
  const auto [rest, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc() || rest != end || !std::isfinite(value) ||
      value < 0) {
    aNotice.m_malformed = true;
    return;
  }
  aNotice.m_requestLimit = value;
}

wire::HeaderField MakeField(const std::string& aName, std::string aValue)
{
  wire::HeaderField field;
  field.name = aName;
  field.value = std::move(aValue);
  return field;
}

const std::string* FindField(const std::vector<wire::HeaderField>& aFields,
                             const std::string& aName)
{
  for (const wire::HeaderField& field : aFields) {
    if (boost::iequals(field.name, aName)) {
      return &field.value;
    }
  }
  return nullptr;
}

} // namespace wigeonfold::forwarding
