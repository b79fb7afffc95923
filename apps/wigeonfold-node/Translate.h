// Translation between callers' HTTP, calls and target's HTTP.
#pragma once

#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/net/Http.h"
#include "wigeonfold/routing/View.h"

#include <memory>
#include <optional>
#include <string>

namespace wigeonfold::node {

inline constexpr const char* kAccountHeader = "Wigeonfold-Account";
inline constexpr const char* kDeadlineHeader = "Wigeonfold-Deadline-Ms";
inline constexpr const char* kDepthHeader = "Wigeonfold-Depth";
inline constexpr const char* kIdempotentHeader = "Wigeonfold-Idempotent";
inline constexpr const char* kRunHeader = "Wigeonfold-Run";
inline constexpr const char* kTargetHeader = "Wigeonfold-Target";
inline constexpr const char* kReasonHeader = "Wigeonfold-Reason";
// Value of kTargetHeader when the request was sent to no target.
inline constexpr const char* kNoTarget = "none";

inline constexpr int kMaxDepth = 6;

// A caller's request, ready to be sent.
struct ParsedCall
{
  const routing::ServiceRoute* m_route = nullptr;
  std::shared_ptr<wire::CallRequest> m_request; // without call id and deadline
  TimePoint m_deadline{};
};

// Returns the outcome when the request is rejected. The body is moved out of
// aRequest.
std::optional<forwarding::Outcome> ParseCall(net::HttpRequest&& aRequest,
                                             const routing::View& aView,
                                             TimePoint aNow,
                                             ParsedCall& aCall);

// Answer that the target gave.
net::HttpResponse TargetAnswer(forwarding::Outcome aOutcome,
                               wire::CallResponse&& aResponse,
                               const std::string& aTarget);
// Answer of the system itself.
net::HttpResponse OwnAnswer(forwarding::Outcome aOutcome,
                            const std::string& aTarget);
// Fields of answers that the HTTP server gives by itself.
std::vector<net::HttpField> RejectFields();

// Removes fields that concern one connection only and those that frame the
// message, which is framed anew. An answer to HEAD keeps its Content-Length: it
// describes a body that is not sent.
void StripHopByHop(std::vector<wire::HeaderField>& aFields,
                   bool aKeepLength = false);

} // namespace wigeonfold::node
