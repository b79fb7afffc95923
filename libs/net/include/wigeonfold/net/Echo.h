// Echo protocol between the load generator (wigeonfold-load) and the simulated
// target (wigeonfold-target). The body of an answer is a function of the
// request id and the request body, so that a caller can tell whether it got the
// whole answer to its own request.
#pragma once

#include "wigeonfold/net/Http.h"

#include <string>

namespace wigeonfold::net {

inline constexpr const char* kRequestIdField = "X-Request-Id";
inline constexpr const char* kWorkField = "X-Work-Ms";
inline constexpr const char* kAnswerBytesField = "X-Answer-Bytes";
inline constexpr const char* kDepthChainField = "X-Depth-Chain";
// On answers: the target, how long it held the request, and the result of its
// internal calls ("ok", "failed" or "wrong").
inline constexpr const char* kTargetField = "X-Target";
inline constexpr const char* kTargetMicrosField = "X-Target-Micros";
inline constexpr const char* kChainField = "X-Chain";

inline constexpr const char* kRunField = "Wigeonfold-Run";
inline constexpr const char* kLeavingField = "Wigeonfold-Leaving";
inline constexpr const char* kDeadlineField = "Wigeonfold-Deadline-Ms";
inline constexpr const char* kDepthField = "Wigeonfold-Depth";
inline constexpr const char* kAccountField = "Wigeonfold-Account";
inline constexpr const char* kIdempotentField = "Wigeonfold-Idempotent";

inline constexpr size_t kDefaultAnswerBytes = 64;

// Body of the answer: a hash chain seeded with the id and the request body, cut
// to aLength bytes.
std::string EchoBody(const std::string& aId,
                     const std::string& aRequestBody,
                     size_t aLength);

enum class EchoCheck
{
  Right,
  OtherRequest, // carries another id or a body computed for another request
  WrongLength,  // truncated or too long
};

const char* ToString(EchoCheck aCheck);

// Checks an answer against the request it was sent for. The answer to a HEAD
// request must have no body.
EchoCheck CheckEcho(const HttpRequest& aRequest, const HttpResponse& aResponse);

// Value of an integer field; aDefault when it is absent or malformed.
int64_t NumberField(const std::vector<HttpField>& aFields,
                    const std::string& aName,
                    int64_t aDefault);

} // namespace wigeonfold::net
