// Translation between the operators' HTTP/JSON API (docs/OPERATIONS.md) and
// the registry. Pure: no network, no clock. All functions are thread safe.
#pragma once

#include "wigeonfold/base/Error.h"
#include "wigeonfold/base/Time.h"
#include "wigeonfold/base/Version.h"
#include "wigeonfold/registry/Registry.h"
#include "wigeonfold/wire/gen/raft_types.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonfold::registry {

// "generation.number"; nothing for another form.
std::optional<Version> ParseVersion(const std::string& aText);

// ---- State of the cluster as one control VM sees it ------------------------

struct MemberStatus
{
  wire::Member m_member;
  // How long ago the member was last confirmed as current; absent: unknown.
  std::optional<Duration> m_freshnessAge;
  // Has every committed entry, synced; known to the leader only.
  bool m_caughtUp = false;
};

// A node that has a session with this control VM.
struct NodeReport
{
  std::string m_name;
  std::string m_availabilityZone;
  std::optional<Version> m_inForce;
  std::optional<Version> m_refused; // newest version that it refused
  std::string m_refusal;            // why
  Duration m_reportAge{};           // since its last report
};

struct ClusterView
{
  int64_t m_self = 0;
  std::optional<int64_t> m_leader;
  bool m_leaseHeld = false; // this VM leads and its lease is valid now
  int64_t m_term = 0;
  std::vector<MemberStatus> m_members;
  std::vector<NodeReport> m_nodes;
};

// ---- Answers ---------------------------------------------------------------

// An answer with a JSON body (Content-Type application/json).
struct ApiReply
{
  int m_status = 200;
  std::string m_body;
  std::string m_location; // value of the Location field of a 307, else empty
};

// Answers GET requests below /v1; aTarget is the path with its query. 404 for
// an unknown path, 400 for a bad query. Reads of the newest version need the
// lease or the query stale=1; without it the answer is 307 or 503.
ApiReply HandleRead(const RegistryView& aRegistry,
                    const ClusterView& aCluster,
                    const std::string& aTarget);

// 307 to the leader's API address or 503 when this VM is not the leader with
// a valid lease; nothing when it is. For POST requests.
std::optional<ApiReply> RedirectUnlessLeader(const ClusterView& aCluster,
                                             const std::string& aTarget);

// {"error": aProblem} with the status.
ApiReply FormatProblem(int aStatus, const std::string& aProblem);
// 503: the outcome of a proposed change or membership step is not known. The
// client sends it again.
ApiReply FormatUnknownOutcome(const std::string& aProblem);

// ---- Changes ---------------------------------------------------------------

// The body of POST /v1/accept; acceptedAtMs stays 0, the leader sets it. Fails
// with InvalidArgument and all problems, one a line, in the detail.
Result<wire::Change> ParseChange(const std::string& aBody);
// The inverse of ParseChange, for clients. acceptedAtMs is left out.
std::string FormatChange(const wire::Change& aChange);
// 200, 409 or 422.
ApiReply FormatAcceptResult(const wire::AcceptResult& aResult);
// 422 for the error of ParseChange.
ApiReply FormatInvalidBody(const Error& aError);

// ---- Members ---------------------------------------------------------------

enum class MemberAction
{
  Add,     // as a learner
  Promote, // from learner to voter
  Remove,
  Replace, // a member by a new one, in single steps
};

struct MemberRequest
{
  MemberAction m_action = MemberAction::Add;
  // Promote, Remove, Replace: the present member; 0: it is removed already.
  int64_t m_memberId = 0;
  wire::Member m_member; // Add, Replace: the new one; voter is ignored
};

// The body of POST /v1/members. Fails like ParseChange.
Result<MemberRequest> ParseMemberRequest(const std::string& aBody);

enum class PlanKind
{
  Propose, // propose m_next as the new membership
  Wait,    // the new member has not caught up yet
  Done,    // nothing is left to do
  Refused, // m_text says why
};

struct MembershipPlan
{
  PlanKind m_kind = PlanKind::Done;
  wire::Membership m_next;
  bool m_isLastStep = false; // Propose: the request is done after this step
  std::string m_text;        // the step in words
};

// The next single step of a request. Every step can be asked for again: the
// client repeats its request until the plan is Done. aCaughtUp holds the ids
// of the members that have every committed entry.
MembershipPlan PlanMembership(const wire::Membership& aCurrent,
                              const MemberRequest& aRequest,
                              const std::set<int64_t>& aCaughtUp);
// The inverse of ParseMemberRequest, for clients.
std::string FormatMemberRequest(const MemberRequest& aRequest);
// 200 done, 202 in progress (send the request again), 409 refused. Call it for
// a Propose plan after the proposed membership has been committed.
ApiReply FormatMembership(const MembershipPlan& aPlan);

} // namespace wigeonfold::registry
