#include "wigeonfold/forwarding/AnswerCheck.h"

#include "wigeonfold/base/Text.h"

#include <algorithm>

namespace wigeonfold::forwarding {

namespace {

using net::AnswerFault;
using net::BrokenAnswer;

// Bytes of a broken field that are shown.
constexpr size_t kMaxShownBytes = 64;

// Characters of a field's name (RFC 9110, 5.6.2).
bool IsTokenCharacter(char aByte)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9') ||
         kMarks.find(aByte) != std::string_view::npos;
}

bool IsName(const std::string& aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

// Whether the text has no control byte but tabs.
bool IsValue(const std::string& aText)
{
  return std::none_of(aText.begin(), aText.end(), [](char aByte) {
    const auto code = static_cast<unsigned char>(aByte);
    return (code < ' ' && aByte != '\t') || code == '\x7f';
  });
}

bool IsOfTarget(Outcome aOutcome)
{
  return aOutcome == Outcome::Answered ||
         aOutcome == Outcome::AnsweredFailure || aOutcome == Outcome::Shed;
}

} // namespace

std::optional<BrokenAnswer> CheckAnswer(Outcome aOutcome,
                                        const wire::CallResponse& aResponse)
{
  if (!IsOfTarget(aOutcome)) {
    return std::nullopt;
  }
  if (!net::IsFinalStatus(aResponse.status)) {
    return BrokenAnswer{ AnswerFault::StatusOutOfRange,
                         "status " + std::to_string(aResponse.status) };
  }
  if (aResponse.body.size() > net::kMaxBodyBytes) {
    return BrokenAnswer{ AnswerFault::TooLarge,
                         std::to_string(aResponse.body.size()) + " bytes" };
  }
  for (const wire::HeaderField& field : aResponse.headers) {
    if (!IsName(field.name) || !IsValue(field.value)) {
      const std::string line = field.name + ": " + field.value;
      return BrokenAnswer{
        AnswerFault::Malformed,
        "bad field '" + EscapeBytes(line.substr(0, kMaxShownBytes)) + "'"
      };
    }
  }
  return std::nullopt;
}

} // namespace wigeonfold::forwarding
