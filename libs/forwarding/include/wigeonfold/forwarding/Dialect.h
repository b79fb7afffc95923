// Names and meaning of the HTTP header fields that callers and targets use. One
// dialect serves all listeners of a node.
#pragma once

#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/identity/Credentials.h"
#include "wigeonfold/net/Http.h"
#include "wigeonfold/routing/View.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonfold::forwarding {

// A caller's request, ready to be sent.
struct ParsedCall
{
  const routing::ServiceRoute* m_route = nullptr;
  int m_maxAttempts = 1;
  int m_hedgePercent = 0; // hedges in percent of first attempts
  std::shared_ptr<wire::CallRequest> m_request; // without call id and deadline
  TimePoint m_deadline{};
  // Id of the request that a target may have been serving when it made this
  // call; empty: unknown.
  std::string m_parentId;
  // Set if the configuration requires keys and callers of this dialect have
  // some. The key is not in m_request.
  std::optional<identity::Credentials> m_credentials;
  bool m_isAuthExempt = false; // the route needs no key
};

// The node at which a request arrives.
struct CallerInfo
{
  std::string m_service; // service of the node's own target
};

// An answer that the node generates itself.
struct LocalReply
{
  Outcome m_outcome = Outcome::NoEndpoint;
  std::string m_target; // kNoTarget if the request was sent to none
  // Time after which the caller should retry; zero: the dialect's default.
  Duration m_retryAfter{};
};

// The request that an answer names.
enum class AnswerOrigin
{
  Unnamed, // the answer names no request, or the request has no id
  Named,   // this one
  Other,   // another one
};

// What a target says of itself beside its answer to a request.
struct TargetNotice
{
  bool m_leaving = false; // the target will exit
  // Requests per second that the target takes from all nodes together, for as
  // long as its answers say so. Nothing: no limit is named.
  std::optional<double> m_requestLimit;
  // A field is malformed. It says neither that there is a limit nor that there
  // is none.
  bool m_malformed = false;
};

// Target name in the answer to a request that was sent to no target.
inline constexpr const char* kNoTarget = "none";

// Not thread safe; used on the data thread.
class Dialect
{
public:
  virtual ~Dialect() = default;

  // Selects the route and fills aCall; returns the outcome when the request is
  // rejected. The body is moved out of aRequest.
  virtual std::optional<Outcome> ParseCall(net::HttpRequest&& aRequest,
                                           const routing::View& aView,
                                           const CallerInfo& aCaller,
                                           TimePoint aNow,
                                           ParsedCall& aCall) = 0;
  // The answer that the target gave.
  virtual net::HttpResponse TargetAnswer(Outcome aOutcome,
                                         wire::CallResponse&& aResponse,
                                         const std::string& aTarget) const = 0;
  // An answer that the node generates itself.
  virtual net::HttpResponse LocalAnswer(const LocalReply& aReply) const = 0;
  // Fields of answers that the HTTP server generates itself.
  virtual std::vector<net::HttpField> RejectFields() const = 0;

  // Fields that the target's node adds to the request; aLeft is the time until
  // the deadline, aInstance the target's own id.
  virtual std::vector<wire::HeaderField> TargetFields(
    const wire::CallRequest& aRequest,
    Duration aLeft,
    const std::string& aInstance) const = 0;
  // Fields of a request that name its client account to the target.
  virtual std::vector<wire::HeaderField> AccountFields(
    const std::string& aAccount) const
  {
    (void)aAccount;
    return {};
  }
  // True if the target's answer says that it did not run the request.
  virtual bool IsShed(int aStatus,
                      const std::vector<wire::HeaderField>& aFields) const = 0;
  // What the target says of itself. Empty if the answer comes from another
  // target than the one that the request named.
  virtual TargetNotice ReadNotice(
    int aStatus,
    const std::vector<wire::HeaderField>& aFields) const = 0;
  // Which request the answer names.
  virtual AnswerOrigin OriginOf(
    const wire::CallRequest& aRequest,
    const std::vector<wire::HeaderField>& aFields) const = 0;
};

// ---- Helpers for dialects --------------------------------------------------

// Removes hop-by-hop fields and those that frame the message, which is framed
// anew. aKeepLength keeps Content-Length, for an answer to HEAD: there it
// describes a body that is not sent.
void StripHopByHop(std::vector<wire::HeaderField>& aFields,
                   bool aKeepLength = false);

// Compares the ids in the field of that name of the request and the answer.
AnswerOrigin CompareIds(const std::vector<wire::HeaderField>& aRequest,
                        const std::vector<wire::HeaderField>& aAnswer,
                        const std::string& aName);

// Parses a decimal integer >= 0; nothing if the text is anything else.
std::optional<int64_t> ParseNumber(const std::string& aText);

// Reads a limit in requests per second, a decimal number >= 0, from the field
// of that name into aNotice.
void ReadRequestLimit(const std::vector<wire::HeaderField>& aFields,
                      const std::string& aName,
                      TargetNotice& aNotice);

wire::HeaderField MakeField(const std::string& aName, std::string aValue);

// Value of the first field of that name (case-insensitive), or nullptr.
const std::string* FindField(const std::vector<wire::HeaderField>& aFields,
                             const std::string& aName);

} // namespace wigeonfold::forwarding
